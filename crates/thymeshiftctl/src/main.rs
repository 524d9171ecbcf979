//! The operators' program of thymeshift. The language is in `thymeshift_query`.

mod arguments;
mod client;
mod output;

use std::io::BufRead;
use std::io::Write;
use std::process::ExitCode;

use thymeshift_query::Command;
use thymeshift_query::parse;
use thymeshift_types::KeyDigest;

use crate::arguments::Arguments;
use crate::arguments::HELP;
use crate::arguments::Invocation;
use crate::output::CommandOutput;

/// Exit code for a mistake in the arguments or the line.
const CODE_MISTAKE: u8 = 2;

fn main() -> ExitCode {
    let arguments = match arguments::parse(lexopt::Parser::from_env()) {
        Ok(Invocation::Help) => return print(HELP),
        Ok(Invocation::Version) => {
            return print(concat!("thymeshiftctl ", env!("CARGO_PKG_VERSION"), "\n"));
        }
        Ok(Invocation::KeyDigest) => return tell_key_digest(),
        Ok(Invocation::Run(arguments)) => arguments,
        Err(mistake) => return mistaken(&format!("{mistake}\nTry 'thymeshiftctl --help'.")),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return mistaken(&format!("starting: {error}")),
    };
    match &arguments.line {
        Some(line) => ExitCode::from(answer(&runtime, &arguments, line)),
        None => read_lines(&runtime, &arguments),
    }
}

/// Prints the digest of the key on standard input: as an argument it would stand in the list of
/// processes.
fn tell_key_digest() -> ExitCode {
    let mut key = String::new();
    if let Err(error) = std::io::stdin().lock().read_line(&mut key) {
        return mistaken(&format!("reading standard input: {error}"));
    }
    match KeyDigest::of(key.trim_end_matches(['\r', '\n']).as_bytes()) {
        Some(digest) => print(&format!("{digest}\n")),
        None => mistaken("standard input: a key is of visible ASCII characters, and not empty"),
    }
}

/// Answers lines of standard input; the exit code is that of the last one.
fn read_lines(runtime: &tokio::runtime::Runtime, arguments: &Arguments) -> ExitCode {
    let mut code = 0;
    for line in std::io::stdin().lock().lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => return mistaken(&format!("reading standard input: {error}")),
        };
        if !line.trim().is_empty() {
            code = answer(runtime, arguments, &line);
        }
    }
    ExitCode::from(code)
}

fn answer(runtime: &tokio::runtime::Runtime, arguments: &Arguments, line: &str) -> u8 {
    let command = match parse(line) {
        Ok(command) => command,
        Err(mistake) => {
            let pointer = " ".repeat(mistake.column.saturating_sub(1));
            eprintln!("thymeshiftctl: {mistake}\n  {line}\n  {pointer}^");
            return CODE_MISTAKE;
        }
    };
    let output = runtime.block_on(run(&command, arguments));
    print(&output.stdout);
    if !output.stderr.is_empty() {
        eprint!("{}", output.stderr);
    }
    output.exit_code
}

async fn run(command: &Command, arguments: &Arguments) -> CommandOutput {
    match command {
        Command::Tables => output::list_tables(),
        Command::Show(query) => {
            let asked = client::fetch_dumps(arguments).await;
            output::query_result(query, &asked, arguments.format)
        }
        Command::Explain(request) => output::explanation(
            &client::fetch_explanation(arguments, request).await,
            arguments.format,
        ),
        Command::Order { subject, change, expires_in } => {
            let answer = client::send_order(arguments, subject, *change, *expires_in).await;
            output::order_result(&answer, arguments.format)
        }
    }
}

fn print(text: &str) -> ExitCode {
    // Nobody listens any more if this fails.
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn mistaken(text: &str) -> ExitCode {
    eprintln!("thymeshiftctl: {text}");
    ExitCode::from(CODE_MISTAKE)
}
