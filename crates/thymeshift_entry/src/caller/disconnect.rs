//! Detects that a caller has closed its connection while one of its requests is in progress.
//!
//! hyper checks for the end of a connection only while it holds no unread bytes of the connection.
//! Without this check, the disconnect of a caller with pipelined requests would stay undetected.
//! Targets would then continue work whose result nobody receives.

use std::time::Duration;

use futures::FutureExt;
use tokio::io::Interest;
use tokio::io::Ready;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Age of a request at which the first check for a disconnected caller runs.
/// Most requests are answered earlier and need no check, each of which costs a timer wake-up.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(200);
/// Interval between later checks for a disconnected caller.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns once the caller has closed the connection.
pub(crate) async fn caller_disconnected(stream: &TcpStream) {
    sleep(FIRST_CHECK_DELAY).await;
    while !has_disconnected(stream) {
        sleep(CHECK_INTERVAL).await;
    }
}

fn has_disconnected(stream: &TcpStream) -> bool {
    let is_at_end = match stream.peek(&mut [0]).now_or_never() {
        // The socket is open and holds no bytes.
        None => false,
        Some(Ok(length)) => length == 0,
        Some(Err(_)) => true,
    };
    // With unread bytes in the socket, `peek` does not show the end of the stream behind them.
    let ready = stream.ready(Interest::READABLE).now_or_never();
    let is_closed = ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed));
    is_at_end || is_closed
}
