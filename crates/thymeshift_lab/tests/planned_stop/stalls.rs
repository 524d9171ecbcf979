//! Bodies that go on while the process is suspended and their stall timer ends: the bytes arrive, or
//! the caller reads, before the timer ends, and the process finds both when it is resumed.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::process::Signal;
use thymeshift_lab::experiment::SingleEntry;
use thymeshift_lab::standin::expected_answer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::forced::End;
use crate::forced::Missed;
use crate::forced::SETUP_ATTEMPTS;
use crate::forced::answers;
use crate::forced::read_to_end;
use crate::forced::start_with_head_timeout;
use crate::forced::suspend;
use crate::support::LIMIT;
use crate::support::configuration;

/// Rounds of a case. The process does not lose every body that it could lose.
const ROUNDS: usize = 8;
/// Time from the last progress of a body until the process is suspended.
const SUSPEND_AFTER: Duration = Duration::from_millis(380);
/// Stall limit of bodies in the configuration of the tests. A body must go on before it has passed.
const STALL: Duration = Duration::from_millis(500);
/// Time from the last progress of a body until the process is resumed: the stall timer has ended.
const RESUME_AFTER: Duration = Duration::from_millis(620);
/// Length of each half of a target's answer, in bytes: too long to be buffered as a whole.
const HALF_BYTES: usize = 100_000;
/// Maximum number of bytes of one read from a socket.
const READ_BYTES: usize = 64 * 1_024;

const READ_AND_CLOSE: &str =
    "GET /r?nonce=1&bytes=20 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
/// Longer than the send buffer of a socket may grow.
const LARGE_BYTES: usize = 8_000_000;
const READ_LARGE: &str =
    "GET /r?nonce=4&bytes=8000000 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const WRITE_PATH: &str = "/w?nonce=7&bytes=20";
const WRITE_BEGIN: &str = "POST /w?nonce=7&bytes=20 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                           transfer-encoding: chunked\r\n\r\n1\r\ng\r\n";
const WRITE_REST: &str = "1\r\nh\r\n0\r\n\r\n";
/// Receive buffer of a caller that does not read, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 8 * 1_024;

/// Suspends the process shortly before the stall timer of a body that last went on at `since`.
async fn suspend_before_stall(single: &SingleEntry, since: Instant) -> Result<(), Missed> {
    sleep_until(since + SUSPEND_AFTER).await;
    suspend(single).await
}

/// Resumes the process after the end of the stall timer.
/// Fails if the body, at `went_on_at`, went on too late for the timer.
async fn resume(single: &SingleEntry, since: Instant, went_on_at: Instant) -> Result<(), Missed> {
    sleep_until(since + RESUME_AFTER).await;
    single.entry.signal(Signal::CONT);
    if went_on_at < since + STALL { Ok(()) } else { Err(Missed) }
}

/// Target that sends half of each answer and then waits until the test lets it go on.
async fn half_target(go_on: watch::Receiver<u64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_in_halves(stream, go_on.clone()));
        }
    });
    address
}

async fn answer_in_halves(mut stream: TcpStream, mut go_on: watch::Receiver<u64>) {
    let mut request = vec![0; READ_BYTES];
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 2 * HALF_BYTES);
    let half = vec![b'x'; HALF_BYTES];
    while matches!(stream.read(&mut request).await, Ok(1..)) {
        go_on.mark_unchanged();
        // A failed write shows in the answer that the caller gets.
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&half).await;
        if go_on.changed().await.is_err() {
            return;
        }
        let _ = stream.write_all(&half).await;
    }
}

/// Returns the length of the answer's body that a caller received.
async fn answer_round(
    single: &SingleEntry,
    go_on: &watch::Sender<u64>,
) -> Result<(usize, End), Missed> {
    let caller = single.entry.address("caller").expect("an address");
    let mut stream = TcpStream::connect(caller).await.expect("a connection");
    stream.write_all(READ_AND_CLOSE.as_bytes()).await.expect("sent");
    let since = Instant::now();
    suspend_before_stall(single, since).await?;
    go_on.send_modify(|round| *round += 1);
    resume(single, since, Instant::now()).await?;
    let mut bytes = Vec::new();
    let end = read_to_end(&mut stream, &mut bytes, LIMIT).await;
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    Ok((head.map_or(0, |head| bytes.len() - head - 4), end))
}

/// Returns what was wrong with answers whose second half arrived while the process was suspended.
pub(crate) async fn answer_failures() -> String {
    let (go_on, may_go_on) = watch::channel(0);
    let mut configuration = configuration(&[half_target(may_go_on).await], "", "");
    for kind in &mut configuration.kinds {
        kind.deadline_ms = LIMIT.as_millis() as u64;
        kind.wait_max_ms = kind.deadline_ms;
    }
    let single = SingleEntry::start(&configuration).await.expect("a process");
    let mut rounds = Rounds::default();
    while rounds.has_next() {
        let round = answer_round(&single, &go_on).await;
        rounds.record(round.map(|(length, end)| {
            (length != 2 * HALF_BYTES).then(|| format!("{length} bytes of the body, {end:?}"))
        }));
    }
    rounds.failures()
}

/// Returns the number of bytes that a caller received of an answer that it reads late.
async fn late_reader_round(single: &SingleEntry) -> Result<(usize, End), Missed> {
    let caller = single.entry.address("caller").expect("an address");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES).expect("a buffer");
    let mut stream = socket.connect(caller).await.expect("a connection");
    stream.write_all(READ_LARGE.as_bytes()).await.expect("sent");
    stream.readable().await.expect("an answer");
    let since = Instant::now();
    suspend_before_stall(single, since).await?;
    let mut length = 0;
    let mut went_on_at = None;
    let mut bytes = vec![0; READ_BYTES];
    while let Ok(Ok(read @ 1..)) = timeout_at(since + RESUME_AFTER, &mut stream, &mut bytes).await {
        length += read;
        went_on_at.get_or_insert_with(Instant::now);
    }
    resume(single, since, went_on_at.unwrap_or_else(Instant::now)).await?;
    let mut rest = Vec::new();
    let end = read_to_end(&mut stream, &mut rest, LIMIT).await;
    Ok((length + rest.len(), end))
}

async fn timeout_at(
    deadline: Instant,
    stream: &mut TcpStream,
    bytes: &mut [u8],
) -> Result<std::io::Result<usize>, tokio::time::error::Elapsed> {
    timeout(deadline.saturating_duration_since(Instant::now()), stream.read(bytes)).await
}

/// Returns what was wrong with answers that their callers read while the process was suspended.
pub(crate) async fn late_reader_failures() -> String {
    let (_stand_in, single) = start_with_head_timeout(1, LIMIT).await;
    let mut rounds = Rounds::default();
    while rounds.has_next() {
        let round = late_reader_round(&single).await;
        rounds.record(round.map(|(length, end)| {
            (length <= LARGE_BYTES).then(|| format!("{length} bytes of the answer, {end:?}"))
        }));
    }
    rounds.failures()
}

/// Returns what a caller received for a request whose body went on while the process was suspended.
async fn request_round(single: &SingleEntry) -> Result<Vec<u8>, Missed> {
    let caller = single.entry.address("caller").expect("an address");
    let mut stream = TcpStream::connect(caller).await.expect("a connection");
    stream.write_all(WRITE_BEGIN.as_bytes()).await.expect("sent");
    let since = Instant::now();
    suspend_before_stall(single, since).await?;
    stream.write_all(WRITE_REST.as_bytes()).await.expect("sent");
    resume(single, since, Instant::now()).await?;
    let mut bytes = Vec::new();
    // An early end shows in the answer.
    let _ = read_to_end(&mut stream, &mut bytes, LIMIT).await;
    Ok(bytes)
}

/// Returns what was wrong with requests whose rest arrived while the process was suspended.
pub(crate) async fn request_failures() -> String {
    let (_stand_in, single) = start_with_head_timeout(1, LIMIT).await;
    let expected = expected_answer(WRITE_PATH, b"gh", 20);
    let mut rounds = Rounds::default();
    while rounds.has_next() {
        let round = request_round(&single).await;
        rounds.record(round.map(|bytes| {
            let is_answered = answers(&bytes) == [expected.as_slice()];
            (!is_answered).then(|| String::from_utf8_lossy(&bytes).replace("\r\n", " | "))
        }));
    }
    rounds.failures()
}

/// Results of the rounds of a case.
#[derive(Default)]
struct Rounds {
    forced: usize,
    missed: usize,
    failures: String,
}

impl Rounds {
    fn has_next(&self) -> bool {
        self.forced < ROUNDS && self.missed < SETUP_ATTEMPTS
    }

    fn record(&mut self, round: Result<Option<String>, Missed>) {
        match round {
            Err(Missed) => self.missed += 1,
            Ok(failure) => {
                self.forced += 1;
                let line = |failure| format!("round {}: {failure}\n", self.forced);
                self.failures.extend(failure.map(line));
            }
        }
    }

    /// Returns what was wrong; empty if nothing was.
    fn failures(self) -> String {
        if self.forced < ROUNDS {
            return format!("{}not forced in {} attempts\n", self.failures, self.missed);
        }
        self.failures
    }
}
