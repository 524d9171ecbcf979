//! Noticing that a caller has closed its connection while a request of it is under way.
//!
//! hyper looks for the end of a connection only as long as it has no unread bytes of it. A
//! caller that sent further requests behind the first one, and leaves, would go unnoticed, and
//! targets would work on for nobody.

use std::time::Duration;

use futures::FutureExt;
use tokio::io::Interest;
use tokio::io::Ready;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Age of a request from which its caller is looked for: most are answered before, and a look
/// costs a wake-up.
const FIRST_LOOK: Duration = Duration::from_millis(200);
/// Time between two further looks.
const LOOK: Duration = Duration::from_millis(100);

/// Returns once the caller has closed the connection.
pub(crate) async fn caller_disconnected(stream: &TcpStream) {
    sleep(FIRST_LOOK).await;
    while !has_departed(stream) {
        sleep(LOOK).await;
    }
}

fn has_departed(stream: &TcpStream) -> bool {
    let is_at_end = match stream.peek(&mut [0]).now_or_never() {
        // Nothing arrived.
        None => false,
        Some(Ok(length)) => length == 0,
        Some(Err(_)) => true,
    };
    // The end may be behind bytes that nobody has read yet.
    let ready = stream.ready(Interest::READABLE).now_or_never();
    let is_closed = ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed));
    is_at_end || is_closed
}
