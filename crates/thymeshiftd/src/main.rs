//! Command line of the entry process. The process itself is implemented in `thymeshift_entry`.

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

/// Exit code for invalid arguments, settings or configuration.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code for an error that the process cannot recover from.
const EXIT_FAILURE: u8 = 1;
/// Exit code of a planned stop that closed callers' connections because `stop_bound_ms` had passed.
const EXIT_DRAIN_TIMED_OUT: u8 = 3;

fn main() -> ExitCode {
    let command = match arguments::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => return invalid_input(&format!("{error}\nTry 'thymeshiftd --help'.")),
    };
    match command {
        Command::Help => print(HELP),
        Command::Version => print(concat!("thymeshiftd ", env!("CARGO_PKG_VERSION"), "\n")),
        Command::Check { settings, configuration } => check(settings, configuration),
        Command::Run { settings: path, environment } => match read_file(&path, Settings::parse) {
            Ok(settings) => match environment {
                EnvironmentName::Native => run::<NativeEnvironment>(settings, path),
                EnvironmentName::Platform => run::<PlatformEnvironment>(settings, path),
            },
            Err(text) => invalid_input(&text),
        },
    }
}

fn print(text: &str) -> ExitCode {
    // A write error is ignored: it usually means that the reader has closed the pipe.
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

/// Prints an error message and returns the exit code for invalid input.
fn invalid_input(text: &str) -> ExitCode {
    eprintln!("thymeshiftd: {text}");
    ExitCode::from(EXIT_INVALID_INPUT)
}

/// Reads and parses a file. Each line of an error message starts with the path of the file.
fn read_file<T, E: ToString>(path: &str, parse: fn(&str) -> Result<T, E>) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let prefix_path = |mistakes: String| {
        let lines = mistakes.lines().map(|line| format!("{path}: {line}"));
        lines.collect::<Vec<_>>().join("\n")
    };
    parse(&text).map_err(|mistakes| prefix_path(mistakes.to_string()))
}

/// Checks the given files. Errors in the settings don't keep the configuration from being checked.
fn check(settings: Option<String>, configuration: Option<String>) -> ExitCode {
    let settings = settings.map(|path| read_file(&path, Settings::parse).map(|_| path));
    let configuration =
        configuration.map(|path| read_file(&path, Configuration::parse).map(|_| path));
    let mut exit_code = ExitCode::SUCCESS;
    for checked in [settings, configuration].into_iter().flatten() {
        match checked {
            Ok(path) => println!("{path}: valid"),
            Err(mistakes) => {
                eprintln!("{mistakes}");
                exit_code = ExitCode::from(EXIT_INVALID_INPUT);
            }
        }
    }
    exit_code
}

fn run<E: Environment>(settings: Settings, path: String) -> ExitCode {
    if let Err(error) = start_logging(settings.log_level) {
        return invalid_input(&error.to_string());
    }
    let runtime = match runtime_builder(settings.worker_threads).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fatal_error(&format!("failed to start the async runtime: {error}")),
    };
    let exit = runtime.block_on(thymeshift_entry::run::<E>(settings, Some(path), print_addresses));
    runtime.shutdown_background();
    match exit {
        Ok(Exit::Stopped) => ExitCode::SUCCESS,
        Ok(Exit::DrainTimedOut { .. }) => ExitCode::from(EXIT_DRAIN_TIMED_OUT),
        Ok(Exit::Escalated(escalation)) => fatal_error(&escalation.to_string()),
        Err(error) => fatal_error(&error.to_string()),
    }
}

/// Returns a builder for a runtime with `worker_threads` threads, or with one per processor for 0.
/// A single thread uses the current-thread scheduler, because it needs no work stealing.
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

/// Prints an error message and returns the exit code for a fatal error.
fn fatal_error(text: &str) -> ExitCode {
    eprintln!("thymeshiftd: {text}");
    ExitCode::from(EXIT_FAILURE)
}

/// Prints the listening addresses on standard output.
///
/// A program that starts the process with port 0 reads the assigned ports from this line.
fn print_addresses(addresses: &BoundAddresses) {
    let BoundAddresses { caller, peer, control, observe } = addresses;
    print(&format!("listening caller={caller} peer={peer} control={control} observe={observe}\n"));
}
