//! The command line.

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
  run      Serve callers until SIGTERM or SIGINT, then finish what is in flight and stop.
  check    Report every mistake of the files, without running.

Options:
  --settings FILE       This VM's settings, in YAML.
  --configuration FILE  A configuration as the platform would publish it, in YAML.
  --environment NAME    How clients, targets and the source speak: native (the product's
                        own, the default) or platform (the users' platform).
  -h, --help            Print this text.
  -V, --version         Print the version.

Exit codes: 0 good or stopped as planned, 1 the process could not go on, 2 a mistake in
arguments or files, 3 a planned stop cut connections off at its bound.
";

/// What the process is asked to do.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Help,
    Version,
    Run { settings: String, environment: EnvironmentName },
    Check { settings: Option<String>, configuration: Option<String> },
}

/// How clients, targets and the source of configuration speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum EnvironmentName {
    #[default]
    Native,
    Platform,
}

impl EnvironmentName {
    fn parse(word: &str) -> Result<Self, Error> {
        match word {
            "native" => Ok(Self::Native),
            "platform" => Ok(Self::Platform),
            other => Err(format!("unknown environment '{other}': native or platform").into()),
        }
    }
}

#[derive(Clone, Copy)]
enum Verb {
    Run,
    Check,
}

pub(crate) fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut verb = None;
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
            Arg::Value(word) if verb.is_none() => {
                verb = Some(match word.string()?.as_str() {
                    "run" => Verb::Run,
                    "check" => Verb::Check,
                    other => return Err(format!("unknown command '{other}'").into()),
                });
            }
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    match verb {
        None => Err("a command is missing: run or check".into()),
        Some(Verb::Run) if configuration.is_some() => {
            Err("'run' takes no --configuration: the platform publishes it".into())
        }
        Some(Verb::Run) => match settings {
            Some(settings) => Ok(Command::Run { settings, environment }),
            None => Err("'run' needs --settings FILE".into()),
        },
        Some(Verb::Check) if settings.is_none() && configuration.is_none() => {
            Err("'check' needs --settings FILE or --configuration FILE".into())
        }
        Some(Verb::Check) => Ok(Command::Check { settings, configuration }),
    }
}
