//! Processes started for an experiment. Each prints one line `listening name=address …`
//! when it is there, and is killed when it is dropped.

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
use tokio::process::Command;
use tokio::time::timeout;

/// Longest time until a process says where it listens.
const START_LIMIT: Duration = Duration::from_secs(20);

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
}

impl Child {
    /// Starts `program`; its log goes to `log`.
    pub async fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self, ChildError> {
        let name = program.display().to_string();
        let refuse = |source| ChildError::Start { program: name.clone(), source };
        let errors = File::create(log).map_err(refuse)?;
        Self::spawn(program, arguments, errors.into(), &log.display().to_string()).await
    }

    /// Starts `program` with a log that goes into a pipe which nobody ever reads.
    pub async fn start_unread(program: &Path, arguments: &[&str]) -> Result<Self, ChildError> {
        Self::spawn(program, arguments, Stdio::piped(), "nowhere").await
    }

    async fn spawn(
        program: &Path,
        arguments: &[&str],
        errors: Stdio,
        log: &str,
    ) -> Result<Self, ChildError> {
        let name = program.display().to_string();
        let refuse = |source| ChildError::Start { program: name.clone(), source };
        let mut process = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(refuse)?;
        let silent = || ChildError::Silent { program: name.clone(), log: log.to_owned() };
        let output = process.stdout.take().ok_or_else(silent)?;
        let mut lines = BufReader::new(output).lines();
        let line = timeout(START_LIMIT, lines.next_line()).await;
        let Ok(Ok(Some(line))) = line else {
            return Err(silent());
        };
        Ok(Self { program: name.clone(), process, addresses: addresses(&line) })
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
