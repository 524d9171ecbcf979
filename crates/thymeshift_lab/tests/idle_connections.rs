//! Time limits of callers' connections between requests.
//!
//! Guards against one limit for two things: with a long idle time, half of a request head would hold a
//! connection for as long, and with a short limit for heads, callers would lose connections they keep.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use support::configuration;
use support::quick_target;
use thymeshift_lab::experiment::SingleEntry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_hours(1);
/// Time after which a connection whose short limit has passed must be closed.
const CLOSED_LIMIT: Duration = Duration::from_secs(2);
const REQUEST: &[u8] = b"GET /r?nonce=n&bytes=5 HTTP/1.1\r\nhost: h\r\n\r\n";

async fn start(
    head_timeout: Duration,
    idle_timeout: Duration,
) -> (support::TargetStandIn, SingleEntry) {
    let stand_in = quick_target().await;
    let mut configuration = configuration(&[stand_in.ports.address], "", "");
    configuration.limits.header_read_timeout_ms = head_timeout.as_millis() as u64;
    configuration.limits.idle_timeout_ms = idle_timeout.as_millis() as u64;
    let single = SingleEntry::start(&configuration).await.expect("a process");
    (stand_in, single)
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("a connection")
}

/// Sends a request in two parts with a pause between them and returns whether it was answered.
async fn is_served(stream: &mut TcpStream, pause: Duration) -> bool {
    let (first, second) = REQUEST.split_at(20);
    let mut sent = stream.write_all(first).await.is_ok();
    sleep(pause).await;
    sent &= stream.write_all(second).await.is_ok();
    let mut bytes = vec![0; 4_096];
    let read = timeout(CLOSED_LIMIT, stream.read(&mut bytes)).await;
    sent && matches!(read, Ok(Ok(length)) if bytes[..length].starts_with(b"HTTP/1.1 200"))
}

/// Returns how long the connection stays open, at most [`CLOSED_LIMIT`].
async fn open_time(stream: &mut TcpStream) -> Duration {
    let began_at = Instant::now();
    let mut bytes = vec![0; 4_096];
    let _ = timeout(CLOSED_LIMIT, stream.read(&mut bytes)).await;
    began_at.elapsed()
}

#[tokio::test]
async fn a_long_idle_time_keeps_connections_and_does_not_hold_half_a_head() {
    let (_stand_in, single) = start(SHORT, LONG).await;
    let address = single.entry.address("caller").expect("an address");
    let (mut fresh, mut kept) = (connect(address).await, connect(address).await);
    assert!(is_served(&mut kept, Duration::ZERO).await);
    sleep(SHORT * 4).await;
    assert!(is_served(&mut fresh, Duration::ZERO).await, "a connection without a request yet");
    assert!(is_served(&mut kept, Duration::ZERO).await, "a connection with a request before");
    for mut stream in [connect(address).await, kept] {
        stream.write_all(&REQUEST[..20]).await.expect("sent");
        let time = open_time(&mut stream).await;
        assert!((SHORT..CLOSED_LIMIT).contains(&time), "{time:?}");
    }
}

#[tokio::test]
async fn a_short_idle_time_closes_resting_connections_and_spares_slow_heads() {
    let (_stand_in, single) = start(LONG, SHORT).await;
    let address = single.entry.address("caller").expect("an address");
    let (mut fresh, mut kept) = (connect(address).await, connect(address).await);
    assert!(is_served(&mut kept, SHORT * 2).await, "a head that arrives slowly");
    for stream in [&mut kept, &mut fresh] {
        assert!(open_time(stream).await < CLOSED_LIMIT);
    }
}
