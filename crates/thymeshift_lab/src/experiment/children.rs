//! Processes started for an experiment. Each prints one line `listening name=address …`
//! among its log when it is there, and is killed when it is dropped.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::ChildStdout;
use tokio::process::Command;
use tokio::time::sleep;
use tokio::time::timeout;

/// Longest time until a process says where it listens.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at a log that does not say so yet.
const LOG_LOOK: Duration = Duration::from_millis(5);
/// Beginning of the line that says so.
const LISTENING: &str = "listening ";

/// A process that could not be started or used.
#[derive(Debug, Display, Error)]
pub enum ChildError {
    /// It could not be started.
    #[display("starting {program}: {source}")]
    Start {
        /// Its program.
        program: String,
        /// Why.
        source: io::Error,
    },
    /// It did not say where it listens.
    #[display("{program} did not say where it listens, see {log}")]
    Silent {
        /// Its program.
        program: String,
        /// Its log.
        log: String,
    },
    /// It has no such address.
    #[display("{program} has no address '{name}'")]
    NoAddress {
        /// Its program.
        program: String,
        /// The name asked for.
        name: String,
    },
}

/// A running process.
pub struct Child {
    program: String,
    process: tokio::process::Child,
    addresses: BTreeMap<String, SocketAddr>,
    /// Held open and not read.
    _unread: Option<BufReader<ChildStdout>>,
}

impl Child {
    /// Starts `program`; what it prints goes to `log`.
    pub async fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self, ChildError> {
        let name = program.display().to_string();
        let refuse = |source| ChildError::Start { program: name.clone(), source };
        let silent =
            || ChildError::Silent { program: name.clone(), log: log.display().to_string() };
        File::create(log).map_err(refuse)?;
        let open = || File::options().append(true).open(log).map_err(refuse);
        let mut process = command(program, arguments)
            .stdout(Stdio::from(open()?))
            .stderr(Stdio::from(open()?))
            .spawn()
            .map_err(refuse)?;
        let told = timeout(START_LIMIT, logged_addresses(&mut process, log)).await;
        let Ok(Ok(Some(addresses))) = told else {
            return Err(silent());
        };
        Ok(Self { program: name.clone(), process, addresses, _unread: None })
    }

    /// Starts `program` with its log in a pipe which nobody reads once it listens.
    pub async fn start_unread(program: &Path, arguments: &[&str]) -> Result<Self, ChildError> {
        let name = program.display().to_string();
        let refuse = |source| ChildError::Start { program: name.clone(), source };
        let silent = || ChildError::Silent { program: name.clone(), log: "nowhere".to_owned() };
        let mut process = command(program, arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(refuse)?;
        let mut output = BufReader::new(process.stdout.take().ok_or_else(silent)?);
        let told = timeout(START_LIMIT, printed_addresses(&mut output)).await;
        let Ok(Ok(Some(addresses))) = told else {
            return Err(silent());
        };
        Ok(Self { program: name.clone(), process, addresses, _unread: Some(output) })
    }

    /// One of the addresses it listens on.
    pub fn address(&self, name: &str) -> Result<SocketAddr, ChildError> {
        let known = self.addresses.get(name).copied();
        known.ok_or_else(|| ChildError::NoAddress {
            program: self.program.clone(),
            name: name.to_owned(),
        })
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Sends it a signal, if it still runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.process.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // It may just have ended by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.process.wait().await
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

fn command(program: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).kill_on_drop(true);
    command
}

/// The addresses that the log tells of; none if the process ended without.
async fn logged_addresses(
    process: &mut tokio::process::Child,
    log: &Path,
) -> io::Result<Option<BTreeMap<String, SocketAddr>>> {
    loop {
        let has_ended = process.try_wait()?.is_some();
        let text = String::from_utf8_lossy(&std::fs::read(log)?).into_owned();
        let mut whole_lines = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
        if let Some(line) = whole_lines.find(|line| line.starts_with(LISTENING)) {
            return Ok(Some(addresses(line)));
        }
        if has_ended {
            return Ok(None);
        }
        sleep(LOG_LOOK).await;
    }
}

/// The same from a pipe, which is read up to there.
async fn printed_addresses(
    output: &mut BufReader<ChildStdout>,
) -> io::Result<Option<BTreeMap<String, SocketAddr>>> {
    let mut line = String::new();
    while output.read_line(&mut line).await? > 0 {
        if line.starts_with(LISTENING) {
            return Ok(Some(addresses(&line)));
        }
        line.clear();
    }
    Ok(None)
}

fn addresses(line: &str) -> BTreeMap<String, SocketAddr> {
    let pairs = line.split_whitespace().filter_map(|word| word.split_once('='));
    let pairs = pairs.filter_map(|(name, address)| Some((name.to_owned(), address.parse().ok()?)));
    pairs.collect()
}

/// A program of this workspace, built with the one that runs now.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Tests lie one folder below the programs.
    let folder = own.parent().map_or(Path::new("."), |folder| match folder.file_name() {
        Some(last) if last == "deps" => folder.parent().unwrap_or(folder),
        _ => folder,
    });
    Ok(folder.join(name))
}
