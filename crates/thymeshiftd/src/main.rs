//! The entry process of thymeshift. All it does is in `thymeshift_entry`.

mod arguments;

use std::fs;
use std::io::Write;
use std::process::ExitCode;

use thymeshift_config::Configuration;
use thymeshift_config::Settings;
use thymeshift_entry::BoundAddresses;
use thymeshift_entry::Environment;
use thymeshift_entry::Exit;
use thymeshift_entry::NativeEnvironment;
use thymeshift_platform::PlatformEnvironment;
use thymeshift_telemetry::start_logging;
use tokio::runtime::Builder;

use crate::arguments::Command;
use crate::arguments::EnvironmentName;
use crate::arguments::HELP;

/// Exit code for a mistake in arguments, settings or configuration.
const CODE_MISTAKE: u8 = 2;
/// Exit code when the process cannot go on.
const CODE_FAILED: u8 = 1;
/// Exit code when a planned stop cut connections off at its bound.
const CODE_BOUND_PASSED: u8 = 3;

fn main() -> ExitCode {
    let command = match arguments::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(mistake) => return mistaken(&format!("{mistake}\nTry 'thymeshiftd --help'.")),
    };
    match command {
        Command::Help => say(HELP),
        Command::Version => say(concat!("thymeshiftd ", env!("CARGO_PKG_VERSION"), "\n")),
        Command::Check { settings, configuration } => check(settings, configuration),
        Command::Run { settings: path, environment } => match read(&path, Settings::parse) {
            Ok(settings) => match environment {
                EnvironmentName::Native => run::<NativeEnvironment>(settings, path),
                EnvironmentName::Platform => run::<PlatformEnvironment>(settings, path),
            },
            Err(text) => mistaken(&text),
        },
    }
}

fn say(text: &str) -> ExitCode {
    // Nobody listens any more if this fails.
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn mistaken(text: &str) -> ExitCode {
    eprintln!("thymeshiftd: {text}");
    ExitCode::from(CODE_MISTAKE)
}

fn read<T, E: ToString>(path: &str, parse: fn(&str) -> Result<T, E>) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let place = |mistakes: String| {
        let lines = mistakes.lines().map(|line| format!("{path}: {line}"));
        lines.collect::<Vec<_>>().join("\n")
    };
    parse(&text).map_err(|mistakes| place(mistakes.to_string()))
}

/// Reports the mistakes of both files, not only of the first.
fn check(settings: Option<String>, configuration: Option<String>) -> ExitCode {
    let settings = settings.map(|path| read(&path, Settings::parse).map(|_| path));
    let configuration = configuration.map(|path| read(&path, Configuration::parse).map(|_| path));
    let mut code = ExitCode::SUCCESS;
    for checked in [settings, configuration].into_iter().flatten() {
        match checked {
            Ok(path) => println!("{path}: good"),
            Err(mistakes) => {
                eprintln!("{mistakes}");
                code = ExitCode::from(CODE_MISTAKE);
            }
        }
    }
    code
}

fn run<E: Environment>(settings: Settings, path: String) -> ExitCode {
    if let Err(error) = start_logging(settings.log_level) {
        return mistaken(&error.to_string());
    }
    let runtime = match runtime_builder(settings.worker_threads).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&format!("starting threads: {error}")),
    };
    let exit = runtime.block_on(thymeshift_entry::run::<E>(settings, Some(path), announce));
    runtime.shutdown_background();
    match exit {
        Ok(Exit::Stopped) => ExitCode::SUCCESS,
        Ok(Exit::DrainTimedOut { .. }) => ExitCode::from(CODE_BOUND_PASSED),
        Ok(Exit::Escalated(escalation)) => failed(&escalation.to_string()),
        Err(error) => failed(&error.to_string()),
    }
}

/// One thread needs no scheduler that shares work among several.
fn runtime_builder(worker_threads: u64) -> Builder {
    if worker_threads == 1 {
        return Builder::new_current_thread();
    }
    let mut builder = Builder::new_multi_thread();
    if worker_threads > 0 {
        builder.worker_threads(usize::try_from(worker_threads).unwrap_or(usize::MAX));
    }
    builder
}

fn failed(text: &str) -> ExitCode {
    eprintln!("thymeshiftd: {text}");
    ExitCode::from(CODE_FAILED)
}

/// One line on standard output, for whoever started the process with port 0.
fn announce(bound: &BoundAddresses) {
    let BoundAddresses { caller, peer, control, observe } = bound;
    say(&format!("listening caller={caller} peer={peer} control={control} observe={observe}\n"));
}
