//! Whether a target has ended while it ran a request.
//!
//! A lost connection alone does not tell: networks reset connections, and targets close them.
//! After the end of a target its address refuses connections, until it is back after seconds.

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
use crate::target_client::pool::ConnectError;
use crate::target_client::pool::Pool;

/// Longest wait for a connection that shows whether the target is there. A refusal takes one way
/// there and back, 3 ms between data halls; a target that is silent is not known to have ended.
const LOOK_LIMIT: Duration = Duration::from_millis(50);

/// A target ended while it ran a request.
#[derive(Debug, Clone)]
pub(crate) struct TargetCrash {
    pub(crate) service: ServiceName,
    pub(crate) target: TargetName,
    pub(crate) incarnation: Incarnation,
    /// When the request was sent there.
    pub(crate) began_at: Timestamp,
    /// When its connection was lost.
    pub(crate) ended_at: Timestamp,
}

/// The end of the target to which a connection was lost now, if that is why.
pub(crate) async fn detect_crash(
    pool: &Arc<Pool>,
    destination: &Destination,
    incarnation: Option<Incarnation>,
    began_at: Timestamp,
) -> Option<TargetCrash> {
    let ended_at = BootClock.now();
    let incarnation = incarnation?;
    let has_ended = refuses_connections(pool, destination.address).await;
    has_ended.then(|| TargetCrash {
        service: destination.service.clone(),
        target: destination.name.clone(),
        incarnation,
        began_at,
        ended_at,
    })
}

/// Whether nobody listens at `address` any more. A connection that is opened for that is kept for
/// the next request.
async fn refuses_connections(pool: &Arc<Pool>, address: SocketAddr) -> bool {
    match pool.connect(address, LOOK_LIMIT).await {
        Ok(connection) => {
            connection.put_back();
            false
        }
        Err(ConnectError::Refused { source }) => source.kind() == io::ErrorKind::ConnectionRefused,
        Err(
            ConnectError::TimedOut { .. }
            | ConnectError::Handshake { .. }
            | ConnectError::ShareInUse { .. },
        ) => false,
    }
}
