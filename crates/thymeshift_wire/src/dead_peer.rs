//! Connections whose other side has fallen silent.
//!
//! A VM without power, or behind a cut, resets nothing: what is sent to it is neither confirmed nor
//! refused, and an open connection looks well for minutes. Nothing in HTTP tells that from a target
//! that works on a request for long. The kernel does: it asks an idle connection whether it is
//! still there, and ends one on which bytes stay unconfirmed.

use std::io;
use std::time::Duration;

use rustix::net::sockopt::set_socket_keepalive;
use rustix::net::sockopt::set_tcp_keepcnt;
use rustix::net::sockopt::set_tcp_keepidle;
use rustix::net::sockopt::set_tcp_keepintvl;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;

/// Time without a byte after which the other side is asked; the kernel takes whole seconds.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection ends, one each [`KEEPALIVE_INTERVAL`].
pub const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Time after which bytes that were not confirmed end the connection: three repeats of a lost
/// packet fit in, which the kernel sends 0.2, 0.6 and 1.4 s after the first.
pub const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Has the kernel end the connection when the other side falls silent: it then fails like one that
/// was reset.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    set_socket_keepalive(stream, true)?;
    set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepcnt(stream, KEEPALIVE_PROBES_MAX)?;
    set_tcp_user_timeout(stream, UNACKNOWLEDGED_DATA_TIMEOUT.as_millis() as u32)?;
    Ok(())
}
