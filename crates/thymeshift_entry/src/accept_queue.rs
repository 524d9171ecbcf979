//! End of listening at a planned stop, without losing the connections in the accept queue.

use std::net::SocketAddr;

use rustix::io::Errno;
use rustix::net::Shutdown;
use rustix::net::SocketFlags;
use rustix::net::accept_with;
use rustix::net::shutdown;
use spdlog::debug;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Stops listening, and returns the connections in the accept queue with their peers' addresses. Their
/// handshakes are complete, so requests may have been sent on them. Later connections are refused.
///
/// A failed accept is logged as `failed_event`.
pub(crate) fn close_listener(
    listener: &TcpListener,
    failed_event: &'static str,
) -> Vec<(TcpStream, SocketAddr)> {
    let mut waiting = Vec::new();
    // The kernel is asked, as the runtime may not have noticed the latest connections.
    loop {
        match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => waiting.extend(with_peer_address(socket.into())),
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            Err(Errno::AGAIN) => break,
            Err(error) => {
                warn!("{}", failed_event, kv: { error: = error });
                break;
            }
        }
    }
    // Other owners keep the socket open; after this, the kernel refuses connections to it.
    if let Err(error) = shutdown(listener, Shutdown::Both) {
        debug!("port_not_closed", kv: { error: = error });
    }
    waiting
}

/// Returns `None` if the peer has already reset the connection.
fn with_peer_address(stream: std::net::TcpStream) -> Option<(TcpStream, SocketAddr)> {
    let address = stream.peer_addr().ok()?;
    Some((TcpStream::from_std(stream).ok()?, address))
}
