//! Runs a case: performs its steps in order, with the entry process suspended where the order of
//! events would otherwise depend on timing.

use std::fmt::Write;
use std::fs;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use rustix::io::Errno;
use rustix::net::RecvFlags;
use rustix::net::recv;
use rustix::process::Signal;
use thymeshift_lab::experiment::SingleEntry;
use thymeshift_lab::http_client::send_request;
use thymeshift_lab::standin::TargetSettings;
use thymeshift_lab::standin::expected_answer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cases::READ_1;
use crate::cases::READ_1_PATH;
use crate::support::LIMIT;
use crate::support::TargetStandIn;
use crate::support::configuration;
use crate::support::target;
use crate::support::wait_until;

/// Time for which a suspended process stays suspended: longer than the lag of a stop.
pub(crate) const SUSPENDED: Duration = Duration::from_millis(200);
/// Time for which an idle connection stays open: it passes while the process is suspended.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to suspend the process at the intended moment; on a busy machine some come too late.
pub(crate) const SETUP_ATTEMPTS: usize = 10;
/// Maximum time for a connection that is not served to be refused.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);
/// Receive buffer of a slow caller, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 8 * 1_024;
/// Maximum number of requests in the queue of a kind, so that a crowd of callers is served.
const QUEUE_MAX: u64 = 400;

/// Step of a case. Bytes are sent on the connection that was opened last.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    Connect,
    /// Opens a connection with a small receive buffer.
    ConnectSlow,
    /// Sends a request and reads its whole answer.
    Serve,
    /// Sends bytes; fails the attempt if the connection has already been closed.
    Send(&'static str),
    /// Sends a further request; fails the attempt if an answer has already arrived, as the caller
    /// could then know that the connection closes.
    SendBeforeAnswer(&'static str),
    Wait(u64),
    /// Starts a request on a connection of its own, which keeps the process draining.
    Hold,
    /// Sends SIGTERM and waits until the process has noted the stop.
    Stop,
    /// Waits until the process accepts no more connections.
    AwaitClosing,
    /// Suspends the process; fails the attempt if it has already begun closing connections.
    Suspend,
    /// Sends SIGTERM without waiting.
    Terminate,
    /// Resumes the process once the lag of the stop has passed.
    Resume,
    /// Resumes the process after a time in milliseconds.
    ResumeAfter(u64),
}

/// Request whose answer the promise demands.
pub(crate) struct Expected {
    pub(crate) path: &'static str,
    pub(crate) body: &'static str,
    pub(crate) length: usize,
}

pub(crate) struct Case {
    pub(crate) name: &'static str,
    /// What the steps force.
    pub(crate) note: &'static str,
    pub(crate) service_ms: u64,
    pub(crate) steps: &'static [Step],
    pub(crate) expected: &'static [Expected],
    /// Whether the connection may be refused by the system instead of being served.
    pub(crate) may_refuse: bool,
}

pub(crate) const fn read_of(path: &'static str, length: usize) -> Expected {
    Expected { path, body: "", length }
}

pub(crate) const fn write_of(path: &'static str, body: &'static str) -> Expected {
    Expected { path, body, length: 20 }
}

/// How a connection ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Closed,
    Reset,
    Refused,
    /// The connection was still open at the time limit.
    Open,
}

/// What a caller saw on a connection.
pub(crate) struct Seen {
    pub(crate) bytes: Vec<u8>,
    pub(crate) end: End,
    pub(crate) taken: Duration,
}

/// Error of an attempt in which an event came too late for the intended order.
pub(crate) struct Missed;

pub(crate) async fn start(service_ms: u64) -> (TargetStandIn, SingleEntry) {
    start_with_head_timeout(service_ms, HEAD_TIMEOUT).await
}

pub(crate) async fn start_with_head_timeout(
    service_ms: u64,
    head_timeout: Duration,
) -> (TargetStandIn, SingleEntry) {
    let settings = TargetSettings {
        service_us: service_ms * 1_000,
        has_random_service_time: false,
        ..Default::default()
    };
    let stand_in = target(settings).await;
    let mut configuration = configuration(&[stand_in.ports.address], "", "");
    configuration.limits.header_read_timeout_ms = head_timeout.as_millis() as u64;
    configuration.limits.idle_timeout_ms = head_timeout.as_millis() as u64;
    for kind in &mut configuration.kinds {
        // A crowd is served, not refused for overload.
        kind.queue_max = QUEUE_MAX;
        kind.deadline_ms = LIMIT.as_millis() as u64;
        kind.wait_max_ms = kind.deadline_ms;
    }
    let single = SingleEntry::start(&configuration).await.expect("a process");
    (stand_in, single)
}

pub(crate) fn log_contains(single: &SingleEntry, text: &str) -> bool {
    single.log().is_ok_and(|log| log.contains(text))
}

pub(crate) fn has_begun_closing(single: &SingleEntry) -> bool {
    log_contains(single, "event=accepting_stopped")
}

pub(crate) async fn stop(single: &SingleEntry) {
    single.entry.signal(Signal::TERM);
    while !log_contains(single, "phase=stopping") {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Suspends the process; fails if it has already ended.
pub(crate) async fn suspend(single: &SingleEntry) -> Result<(), Missed> {
    single.entry.signal(Signal::STOP);
    let path = format!("/proc/{}/stat", single.entry.id().ok_or(Missed)?);
    let deadline = Instant::now() + LIMIT;
    while Instant::now() < deadline {
        let state = fs::read_to_string(&path).unwrap_or_default();
        if state.contains(") T ") {
            return Ok(());
        }
        if state.contains(") Z ") {
            return Err(Missed);
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("the process is neither suspended nor ended");
}

pub(crate) async fn read_to_end(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    limit: Duration,
) -> End {
    match timeout(limit, stream.read_to_end(bytes)).await {
        Err(_) => End::Open,
        Ok(Ok(_)) => End::Closed,
        Ok(Err(_)) => End::Reset,
    }
}

pub(crate) async fn run(case: &Case, single: &SingleEntry) -> Result<Seen, Missed> {
    let caller = single.entry.address("caller").expect("an address");
    let mut stream = None;
    let mut held = JoinSet::new();
    for step in case.steps {
        match step {
            Step::Connect => match TcpStream::connect(caller).await {
                Ok(connected) => stream = Some(connected),
                Err(_) if case.may_refuse => {
                    return Ok(Seen {
                        bytes: Vec::new(),
                        end: End::Refused,
                        taken: Duration::ZERO,
                    });
                }
                Err(error) => panic!("{}: {error}", case.name),
            },
            Step::ConnectSlow => {
                let socket = TcpSocket::new_v4().expect("a socket");
                socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES).expect("a buffer");
                stream = Some(socket.connect(caller).await.expect("a connection"));
            }
            Step::Serve => serve_one(stream.as_mut().expect("a connection")).await,
            Step::Send(text) => {
                let stream = stream.as_mut().expect("a connection");
                if is_closed(stream) {
                    return Err(Missed);
                }
                // The end that the caller reads tells whether the connection was closed.
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Step::SendBeforeAnswer(text) => {
                let stream = stream.as_mut().expect("a connection");
                let _ = stream.write_all(text.as_bytes()).await;
                if has_bytes(stream) {
                    return Err(Missed);
                }
            }
            Step::Wait(wait_ms) => sleep(Duration::from_millis(*wait_ms)).await,
            Step::Hold => {
                held.spawn(send_request(caller, Method::GET, "/r?nonce=hold&bytes=20", ""));
                sleep(Duration::from_millis(50)).await;
            }
            Step::Stop => stop(single).await,
            Step::AwaitClosing => {
                wait_until("closing", async || has_begun_closing(single)).await;
            }
            Step::Suspend => {
                suspend(single).await?;
                if has_begun_closing(single) {
                    return Err(Missed);
                }
            }
            Step::Terminate => single.entry.signal(Signal::TERM),
            Step::Resume => {
                sleep(SUSPENDED).await;
                single.entry.signal(Signal::CONT);
            }
            Step::ResumeAfter(wait_ms) => {
                sleep(Duration::from_millis(*wait_ms)).await;
                single.entry.signal(Signal::CONT);
            }
        }
    }
    let started = Instant::now();
    let mut bytes = Vec::new();
    let mut stream = stream.expect("a connection");
    let limit = if case.may_refuse { REFUSAL_LIMIT } else { LIMIT };
    let end = read_to_end(&mut stream, &mut bytes, limit).await;
    let taken = started.elapsed();
    if end == End::Open && case.may_refuse {
        // The end of a connection that was neither served nor refused, for the report.
        let later = read_to_end(&mut stream, &mut bytes, LIMIT).await;
        eprintln!(
            "{}: open after {taken:?}, then {later:?} after {:?}",
            case.name,
            started.elapsed()
        );
    }
    Ok(Seen { bytes, end, taken })
}

/// Returns whether the other side has closed the connection without any byte that is still unread.
pub(crate) fn is_closed(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    let mut byte = [0];
    match recv(stream, &mut byte[..], flags) {
        Ok((_, length)) => length == 0,
        Err(error) => error != Errno::AGAIN,
    }
}

/// Returns whether bytes or the end of the stream have arrived.
fn has_bytes(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    recv(stream, &mut [0][..], flags) != Err(Errno::AGAIN)
}

/// Sends a request and reads its answer on a connection that stays open.
pub(crate) async fn serve_one(stream: &mut TcpStream) {
    stream.write_all(READ_1.as_bytes()).await.expect("sent");
    let expected = expected_answer(READ_1_PATH, b"", 20);
    let mut bytes = Vec::new();
    let reading = async {
        while !bytes.ends_with(&expected) {
            assert!(
                stream.read_buf(&mut bytes).await.expect("an answer") > 0,
                "an open connection"
            );
        }
    };
    timeout(LIMIT, reading).await.expect("an answer in time");
}

/// Returns the bodies of the complete final answers.
pub(crate) fn answers(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut bodies = Vec::new();
    while let Some(head_length) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&bytes[..head_length]).to_lowercase();
        bytes = &bytes[head_length + 4..];
        if head.starts_with("http/1.1 100") {
            continue;
        }
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(usize::MAX);
        if !head.starts_with("http/1.1 200") || bytes.len() < length {
            break;
        }
        bodies.push(&bytes[..length]);
        bytes = &bytes[length..];
    }
    bodies
}

/// Returns the number of expected requests that were answered completely.
pub(crate) fn answered_count(case: &Case, seen: &Seen) -> usize {
    let expected = case.expected.iter();
    let bodies = expected.map(|one| expected_answer(one.path, one.body.as_bytes(), one.length));
    bodies.zip(answers(&seen.bytes)).filter(|(expected, body)| expected == body).count()
}

/// Returns whether an answer announced the end of its connection.
pub(crate) fn says_close(bytes: &[u8]) -> bool {
    bytes.windows(17).any(|window| window == b"connection: close")
}

/// Returns the log lines about connections since the stop.
pub(crate) fn connection_lines(log: &str) -> String {
    let events = ["caller_connection_closed", "accepting_stopped", "event=stopped"];
    let mut lines = String::new();
    for line in log.lines().filter(|line| events.iter().any(|event| line.contains(event))) {
        writeln!(lines, "    {line}").expect("writing to a string cannot fail");
    }
    lines
}

/// Runs a case, again if its events did not come in the intended order.
/// Returns what was wrong, or none.
pub(crate) async fn failure_of(case: &Case) -> Option<String> {
    for _ in 0..SETUP_ATTEMPTS {
        let (_stand_in, mut single) = start(case.service_ms).await;
        let Ok(seen) = run(case, &single).await else {
            single.entry.signal(Signal::KILL);
            continue;
        };
        if has_begun_closing(&single) {
            timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
        }
        let count = answered_count(case, &seen);
        let summary = format!(
            "{} ({}): {count} of {} answered, {} bytes, said close: {}, {:?} after {:?}\n{}",
            case.name,
            case.note,
            case.expected.len(),
            seen.bytes.len(),
            says_close(&seen.bytes),
            seen.end,
            seen.taken,
            connection_lines(&single.log().unwrap_or_default())
        );
        eprintln!("{summary}");
        let is_kept = count == case.expected.len() || seen.end == End::Refused;
        return (!is_kept).then_some(summary);
    }
    Some(format!("{}: not forced in {SETUP_ATTEMPTS} attempts", case.name))
}

/// Returns what was wrong with the cases that failed; empty if none did.
pub(crate) async fn failures_of(cases: &[Case]) -> String {
    let mut failures = String::new();
    for case in cases {
        failures.extend(failure_of(case).await);
    }
    failures
}
