//! TCP options that detect an unreachable peer.
//!
//! A VM that has lost power or network connectivity does not reset its connections.
//! Data sent to such a VM is neither acknowledged nor refused.
//! An open connection therefore looks healthy for minutes.
//! HTTP cannot distinguish an unreachable target from a target that runs a long request.
//! The kernel can distinguish them: it sends keepalive probes on idle connections.
//! The kernel also closes connections whose data stays unacknowledged.

use std::io;
use std::time::Duration;

use rustix::net::sockopt::set_socket_keepalive;
use rustix::net::sockopt::set_tcp_keepcnt;
use rustix::net::sockopt::set_tcp_keepidle;
use rustix::net::sockopt::set_tcp_keepintvl;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and interval between two probes.
/// The kernel accepts whole seconds only.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes a connection without
/// [`UNACKNOWLEDGED_DATA_TIMEOUT`].
///
/// With that timeout, Linux does not count probes: it closes an idle connection at the first check
/// that finds a probe unanswered and the connection silent for longer than the timeout, here two
/// seconds after the last byte.
pub const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Time after which unacknowledged data closes the connection.
/// The time allows for three retransmissions of a lost packet, 0.2, 0.6 and 1.4 s after the first.
pub const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes the kernel close the connection when the peer becomes unreachable.
/// Reads and writes then fail as they do after a connection reset.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    set_socket_keepalive(stream, true)?;
    set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    set_tcp_keepcnt(stream, KEEPALIVE_PROBES_MAX)?;
    set_tcp_user_timeout(stream, UNACKNOWLEDGED_DATA_TIMEOUT.as_millis() as u32)?;
    Ok(())
}
