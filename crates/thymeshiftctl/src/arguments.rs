//! Parsing of the command-line arguments.

use std::net::SocketAddr;

use lexopt::Arg;
use lexopt::Error;
use lexopt::Parser;
use lexopt::ValueExt;

pub(crate) const HELP: &str = "\
Queries the state of thymeshift's entry processes and sends them orders.

Usage:
  thymeshiftctl --at IP:PORT [--at IP:PORT…] [--all] [--json] [--operator NAME] [LINE]
  thymeshiftctl --key-digest                 print the digest of the key on standard input

Without LINE, lines are read from standard input.

Lines:
  show TABLE [COLUMN, …] [where CONDITION] [sort by COLUMN [desc]] [limit N]
  tables                                     list the tables and their columns
  explain METHOD PATH [host HOST] [header NAME = VALUE]
  drain target SERVICE/TARGET [for 10m]      send it no new requests (default 30m)
  undrain target SERVICE/TARGET
  pause probing SERVICE [for 10m]
  resume probing SERVICE
  refuse request FINGERPRINT [for 10m]       send it to no target, even if none crashed under it
  release request FINGERPRINT [for 10m]      send it to targets, even if some crashed under it

Example:
  thymeshiftctl --at 10.9.1.21:8082 'show targets where service = calculator and load > 2 sort by age'

Options:
  --at IP:PORT     Control address of an entry process. Repeat it to query several; explain
                   and orders go to the first.
  --all            Also query every other entry process that these know.
  --json           Print results as JSON.
  --operator NAME  Name recorded with an order (default: $USER).
  -h, --help       Print this text.
  -V, --version    Print the version.

Exit codes: 0 success, 1 no row or no effect, 2 invalid arguments or line,
3 a process did not answer or did not confirm an order.
";

/// Output format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Json,
}

/// Which entry processes a query is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessSelection {
    /// Only the processes given with `--at`.
    Listed,
    /// The processes given with `--at`, and all processes in the member lists of those.
    AllKnown,
}

/// Arguments of a run that contacts entry processes.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Arguments {
    /// Control addresses of entry processes; never empty.
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) selection: ProcessSelection,
    pub(crate) format: Format,
    /// Name recorded with an order.
    pub(crate) operator: String,
    /// Command line to run; without one, lines are read from standard input.
    pub(crate) line: Option<String>,
}

/// Action selected by the command-line arguments.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Invocation {
    Help,
    Version,
    /// Print the digest of a key that is read from standard input.
    KeyDigest,
    Run(Arguments),
}

pub(crate) fn parse(mut parser: Parser) -> Result<Invocation, Error> {
    let mut addresses = Vec::new();
    let mut selection = ProcessSelection::Listed;
    let mut format = Format::Text;
    let mut operator = None;
    let mut words: Vec<String> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Invocation::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Invocation::Version),
            Arg::Long("key-digest") => return Ok(Invocation::KeyDigest),
            Arg::Long("at") => addresses.push(parser.value()?.parse()?),
            Arg::Long("all") => selection = ProcessSelection::AllKnown,
            Arg::Long("json") => format = Format::Json,
            Arg::Long("operator") => operator = Some(parser.value()?.string()?),
            Arg::Value(word) => words.push(word.string()?),
            unexpected => return Err(unexpected.unexpected()),
        }
    }
    if addresses.is_empty() {
        return Err("--at IP:PORT is missing: the control address of an entry process".into());
    }
    let operator = operator.or_else(|| std::env::var("USER").ok());
    let operator = operator.unwrap_or_else(|| "unknown".to_owned());
    let line = (!words.is_empty()).then(|| words.join(" "));
    Ok(Invocation::Run(Arguments { addresses, selection, format, operator, line }))
}
