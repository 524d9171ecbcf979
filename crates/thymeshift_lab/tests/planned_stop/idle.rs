//! Connections on which no request is in progress when a planned stop begins.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::forced::start_with_head_timeout;
use crate::http2::http2_connection;
use crate::support::LIMIT;

/// Maximum time from SIGTERM to the exit: the lag, the idle time of a connection, the linger and the
/// notice to peers take 1.5 s at most.
const EXIT_LIMIT: Duration = Duration::from_secs(3);
/// Time for the process to read what was sent and to answer it.
const SETTLE: Duration = Duration::from_millis(100);

/// Bytes that a caller has sent before the stop.
struct Idle {
    note: &'static str,
    bytes: &'static [u8],
}

const CASES: &[Idle] = &[
    Idle { note: "nothing sent", bytes: b"" },
    Idle {
        note: "an empty line behind a body",
        bytes: b"POST /w?nonce=1&bytes=20 HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab\r\n",
    },
];

/// Returns which connections kept a planned stop from ending; empty if none did.
pub(crate) async fn idle_failures() -> String {
    let mut failures = String::new();
    for Idle { note, bytes } in CASES {
        let taken = stop_time(async |mut stream| {
            stream.write_all(bytes).await.expect("sent");
            stream
        })
        .await;
        record(&mut failures, note, taken);
    }
    let taken = stop_time(http2_connection).await;
    record(&mut failures, "HTTP/2 without a request", taken);
    failures
}

fn record(failures: &mut String, note: &str, taken: Duration) {
    if taken > EXIT_LIMIT {
        writeln!(failures, "{note}: the stop took {taken:?}")
            .expect("writing to a string cannot fail");
    }
}

/// Returns the time from SIGTERM to the exit of a process with the connection that `use_stream`
/// returns, which stays open until then.
async fn stop_time<C>(use_stream: impl AsyncFnOnce(TcpStream) -> C) -> Duration {
    let (_stand_in, mut single) = start_with_head_timeout(1, LIMIT).await;
    let caller = single.entry.address("caller").expect("an address");
    let stream = TcpStream::connect(caller).await.expect("a connection");
    let _connection = use_stream(stream).await;
    sleep(SETTLE).await;
    let began = Instant::now();
    single.entry.signal(Signal::TERM);
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    began.elapsed()
}
