//! Parsing of the command-line arguments.

use lexopt::Arg;
use lexopt::Error;
use lexopt::Parser;
use lexopt::ValueExt;

pub(crate) const HELP: &str = "\
The entry process of thymeshift, a load balancer.

Usage:
  thymeshiftd run --settings FILE [--environment NAME]
  thymeshiftd check [--settings FILE] [--configuration FILE]

Commands:
  run      Serve callers until SIGTERM or SIGINT, then finish the requests in flight and stop.
  check    Report every mistake in the files without serving callers.

Options:
  --settings FILE       This VM's settings, in YAML.
  --configuration FILE  A configuration as the platform would publish it, in YAML.
  --environment NAME    Protocols of callers, targets and the configuration source: native
                        (thymeshift's own, the default) or platform (the users' platform).
  -h, --help            Print this text.
  -V, --version         Print the version.

Exit codes: 0 valid files or planned stop, 1 fatal error, 2 invalid arguments or files,
3 planned stop that closed connections because its time limit had passed.
";

/// Action selected by the command-line arguments.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Help,
    Version,
    /// Serve callers with the settings file at the path `settings`.
    Run {
        settings: String,
        environment: EnvironmentName,
    },
    /// Check the files at the given paths; at least one path is given.
    Check {
        settings: Option<String>,
        configuration: Option<String>,
    },
}

/// Protocols that callers, targets and the configuration source use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum EnvironmentName {
    #[default]
    /// Thymeshift's own protocols.
    Native,
    /// Protocols of the users' platform, implemented in `thymeshift_platform`.
    Platform,
}

impl EnvironmentName {
    fn parse(word: &str) -> Result<Self, Error> {
        match word {
            "native" => Ok(Self::Native),
            "platform" => Ok(Self::Platform),
            other => {
                Err(format!("unknown environment '{other}', expected native or platform").into())
            }
        }
    }
}

#[derive(Clone, Copy)]
enum Subcommand {
    Run,
    Check,
}

pub(crate) fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut subcommand = None;
    let mut settings = None;
    let mut configuration = None;
    let mut environment = EnvironmentName::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Command::Version),
            Arg::Long("settings") => settings = Some(parser.value()?.string()?),
            Arg::Long("configuration") => configuration = Some(parser.value()?.string()?),
            Arg::Long("environment") => {
                environment = EnvironmentName::parse(&parser.value()?.string()?)?;
            }
            Arg::Value(word) if subcommand.is_none() => {
                subcommand = Some(match word.string()?.as_str() {
                    "run" => Subcommand::Run,
                    "check" => Subcommand::Check,
                    other => return Err(format!("unknown command '{other}'").into()),
                });
            }
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    match subcommand {
        None => Err("a command is missing: run or check".into()),
        Some(Subcommand::Run) if configuration.is_some() => {
            Err("'run' takes no --configuration: the platform publishes it".into())
        }
        Some(Subcommand::Run) => match settings {
            Some(settings) => Ok(Command::Run { settings, environment }),
            None => Err("'run' needs --settings FILE".into()),
        },
        Some(Subcommand::Check) if settings.is_none() && configuration.is_none() => {
            Err("'check' needs --settings FILE or --configuration FILE".into())
        }
        Some(Subcommand::Check) => Ok(Command::Check { settings, configuration }),
    }
}
