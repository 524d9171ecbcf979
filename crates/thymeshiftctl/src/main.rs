//! Command-line client that operators use to query entry processes and to send them orders. The
//! query language is implemented in `thymeshift_query`.

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

/// Exit code for invalid arguments, an invalid command line or unreadable standard input.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let arguments = match arguments::parse(lexopt::Parser::from_env()) {
        Ok(Invocation::Help) => return print(HELP),
        Ok(Invocation::Version) => {
            return print(concat!("thymeshiftctl ", env!("CARGO_PKG_VERSION"), "\n"));
        }
        Ok(Invocation::KeyDigest) => return print_key_digest(),
        Ok(Invocation::Run(arguments)) => arguments,
        Err(error) => return invalid_input(&format!("{error}\nTry 'thymeshiftctl --help'.")),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return invalid_input(&format!("failed to start the async runtime: {error}")),
    };
    match &arguments.line {
        Some(line) => ExitCode::from(run_line(&runtime, &arguments, line)),
        None => read_lines(&runtime, &arguments),
    }
}

/// Prints the digest of a key that is read from standard input.
///
/// A key given as an argument would be visible in the process list.
fn print_key_digest() -> ExitCode {
    let mut key = String::new();
    if let Err(error) = std::io::stdin().lock().read_line(&mut key) {
        return invalid_input(&format!("failed to read standard input: {error}"));
    }
    match KeyDigest::of(key.trim_end_matches(['\r', '\n']).as_bytes()) {
        Some(digest) => print(&format!("{digest}\n")),
        None => invalid_input(
            "invalid key on standard input: a key is one or more visible ASCII characters",
        ),
    }
}

/// Runs each line of standard input as a command and returns the exit code of the last one.
fn read_lines(runtime: &tokio::runtime::Runtime, arguments: &Arguments) -> ExitCode {
    let mut exit_code = 0;
    for line in std::io::stdin().lock().lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => return invalid_input(&format!("failed to read standard input: {error}")),
        };
        if !line.trim().is_empty() {
            exit_code = run_line(runtime, arguments, &line);
        }
    }
    ExitCode::from(exit_code)
}

/// Runs one command line, prints its output and returns its exit code.
fn run_line(runtime: &tokio::runtime::Runtime, arguments: &Arguments, line: &str) -> u8 {
    let command = match parse(line) {
        Ok(command) => command,
        Err(error) => {
            let pointer = " ".repeat(error.column.saturating_sub(1));
            eprintln!("thymeshiftctl: {error}\n  {line}\n  {pointer}^");
            return EXIT_INVALID_INPUT;
        }
    };
    let output = runtime.block_on(execute(&command, arguments));
    print(&output.stdout);
    if !output.stderr.is_empty() {
        eprint!("{}", output.stderr);
    }
    output.exit_code
}

async fn execute(command: &Command, arguments: &Arguments) -> CommandOutput {
    match command {
        Command::Tables => output::list_tables(),
        Command::Show(query) => {
            let results = client::fetch_dumps(arguments).await;
            output::query_result(query, &results, arguments.format)
        }
        Command::Explain(request) => output::explanation(
            &client::fetch_explanation(arguments, request).await,
            arguments.format,
        ),
        Command::Order { subject, change, expires_in } => {
            let result = client::send_order(arguments, subject, *change, *expires_in).await;
            output::order_result(&result, arguments.format)
        }
    }
}

fn print(text: &str) -> ExitCode {
    // A write error is ignored: it usually means that the reader has closed the pipe.
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

/// Prints an error message and returns the exit code for invalid input.
fn invalid_input(text: &str) -> ExitCode {
    eprintln!("thymeshiftctl: {text}");
    ExitCode::from(EXIT_INVALID_INPUT)
}
