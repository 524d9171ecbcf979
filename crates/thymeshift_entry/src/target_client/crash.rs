//! Detection of targets that crash while they run a request.
//!
//! A lost connection alone proves no crash: networks reset connections, and targets close them.
//! After a crash, the address of the target refuses connections for the seconds of its restart. A
//! refusal counts only if the target does not accept a connection of a peer either: a process that
//! has lost its own links meets refusals at every target.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::service::Destination;
use crate::target_client::connector::ConnectError;
use crate::target_client::pool::Pool;

/// Maximum time to open the connection that checks whether the target still listens.
///
/// A refusal takes one network round trip, 3 ms between data halls.
/// A target that does not answer within the limit does not count as crashed.
const LISTEN_CHECK_LIMIT: Duration = Duration::from_millis(50);

/// Crash of a target while it ran a request of this process.
#[derive(Debug, Clone)]
pub(crate) struct TargetCrash {
    pub(crate) service: ServiceName,
    pub(crate) target: TargetName,
    pub(crate) incarnation: Incarnation,
    /// Time at which the request was sent to the target.
    pub(crate) began_at: Timestamp,
    /// Time at which the connection to the target was lost.
    pub(crate) ended_at: Timestamp,
}

/// Returns the crash of the target if a crash explains the connection that was just lost.
///
/// Returns `None` if the target still listens or does not answer, or if its incarnation is unknown.
pub(crate) async fn detect_crash(
    pool: &Arc<Pool>,
    destination: &Destination,
    incarnation: Option<Incarnation>,
    began_at: Timestamp,
    request_id: &str,
) -> Option<TargetCrash> {
    let ended_at = BootClock.now();
    let incarnation = incarnation?;
    let has_crashed = refuses_connections(pool, destination.address, request_id).await;
    has_crashed.then(|| TargetCrash {
        service: destination.service.clone(),
        target: destination.name.clone(),
        incarnation,
        began_at,
        ended_at,
    })
}

/// Returns whether no process listens at `address` any more.
async fn refuses_connections(pool: &Arc<Pool>, address: SocketAddr, request_id: &str) -> bool {
    let checked = pool.check(address, LISTEN_CHECK_LIMIT, request_id).await;
    let refused = checked.err().and_then(|error| match error {
        ConnectError::Refused { source } => Some(source.kind()),
        _ => None,
    });
    refused == Some(io::ErrorKind::ConnectionRefused)
}
