//! Child processes of an experiment. Each process logs one line `listening name=address …` when it
//! accepts connections, and is killed when its [`Child`] is dropped.

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

/// Maximum time until a started process logs the addresses that it listens on.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a log for the line with the listening addresses.
const LOG_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Prefix of the log line with the listening addresses.
const LISTENING_PREFIX: &str = "listening ";

/// Error of a child process that could not be started or used.
#[derive(Debug, Display, Error)]
pub enum ChildError {
    /// The operating system could not start the process, or its log file could not be created.
    #[display("starting {program}: {source}")]
    Start {
        /// Path of the program.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process ended or the start timeout passed before the process logged its listening
    /// addresses.
    #[display("{program} did not log its listening addresses, see {log}")]
    NotListening {
        /// Path of the program.
        program: String,
        /// Path of the process's log.
        log: String,
    },
    /// The process listens on no address of the requested name.
    #[display("{program} has no address '{name}'")]
    NoAddress {
        /// Path of the program.
        program: String,
        /// Name of the requested address.
        name: String,
    },
}

/// Child process, which is killed when the value is dropped.
pub struct Child {
    program: String,
    process: tokio::process::Child,
    addresses: BTreeMap<String, SocketAddr>,
    /// Reading end of the log pipe. It is kept open but not read, so that the pipe fills up.
    _unread: Option<BufReader<ChildStdout>>,
}

impl Child {
    /// Starts `program`, redirects its output to the file `log` and waits until it logs its
    /// listening addresses.
    pub async fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self, ChildError> {
        let name = program.display().to_string();
        let refuse = |source| ChildError::Start { program: name.clone(), source };
        let silent =
            || ChildError::NotListening { program: name.clone(), log: log.display().to_string() };
        File::create(log).map_err(refuse)?;
        let open = || File::options().append(true).open(log).map_err(refuse);
        let mut process = command(program, arguments)
            .stdout(Stdio::from(open()?))
            .stderr(Stdio::from(open()?))
            .spawn()
            .map_err(refuse)?;
        let logged = timeout(START_TIMEOUT, logged_addresses(&mut process, log)).await;
        let Ok(Ok(Some(addresses))) = logged else {
            return Err(silent());
        };
        Ok(Self { program: name.clone(), process, addresses, _unread: None })
    }

    /// Starts `program` with a pipe as its standard output, which is not read any more once the
    /// program has logged its listening addresses.
    pub async fn start_unread(program: &Path, arguments: &[&str]) -> Result<Self, ChildError> {
        let name = program.display().to_string();
        let refuse = |source| ChildError::Start { program: name.clone(), source };
        let silent =
            || ChildError::NotListening { program: name.clone(), log: "nowhere".to_owned() };
        let mut process = command(program, arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(refuse)?;
        let mut output = BufReader::new(process.stdout.take().ok_or_else(silent)?);
        let logged = timeout(START_TIMEOUT, printed_addresses(&mut output)).await;
        let Ok(Ok(Some(addresses))) = logged else {
            return Err(silent());
        };
        Ok(Self { program: name.clone(), process, addresses, _unread: Some(output) })
    }

    /// Returns the listening address of this name, such as `caller` or `control`.
    pub fn address(&self, name: &str) -> Result<SocketAddr, ChildError> {
        let known = self.addresses.get(name).copied();
        known.ok_or_else(|| ChildError::NoAddress {
            program: self.program.clone(),
            name: name.to_owned(),
        })
    }

    /// Returns the process id, or none if the process has been found to have ended.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Sends a signal to the process if it still runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.process.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // An error is ignored, because the process may have ended in the meantime.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process has ended and returns its exit status.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.process.wait().await
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

fn command(program: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).kill_on_drop(true);
    command
}

/// Polls the log file for the listening addresses; none if the process ends without logging them.
async fn logged_addresses(
    process: &mut tokio::process::Child,
    log: &Path,
) -> io::Result<Option<BTreeMap<String, SocketAddr>>> {
    loop {
        let has_ended = process.try_wait()?.is_some();
        let text = String::from_utf8_lossy(&std::fs::read(log)?).into_owned();
        let mut whole_lines = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
        if let Some(line) = whole_lines.find(|line| line.starts_with(LISTENING_PREFIX)) {
            return Ok(Some(addresses(line)));
        }
        if has_ended {
            return Ok(None);
        }
        sleep(LOG_CHECK_INTERVAL).await;
    }
}

/// Reads the listening addresses from a pipe, up to the line that contains them; none if the pipe
/// ends without such a line.
async fn printed_addresses(
    output: &mut BufReader<ChildStdout>,
) -> io::Result<Option<BTreeMap<String, SocketAddr>>> {
    let mut line = String::new();
    while output.read_line(&mut line).await? > 0 {
        if line.starts_with(LISTENING_PREFIX) {
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

/// Returns the path of another program of this workspace, which is expected in the build folder of
/// the running program.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Cargo puts test programs into `deps`, one folder below the other programs.
    let folder = own.parent().map_or(Path::new("."), |folder| match folder.file_name() {
        Some(last) if last == "deps" => folder.parent().unwrap_or(folder),
        _ => folder,
    });
    Ok(folder.join(name))
}
