//! Reads the body of a caller's request.
//!
//! A short body is read completely before a target is chosen:
//!
//! * A slow caller does not hold a slot of a target.
//! * The choice of the target uses fresher target state.
//! * A request that provably did not run can be retried with the buffered body.
//!
//! A long body is streamed to the target.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thymeshift_types::Failure;
use thymeshift_types::Outcome;
use thymeshift_types::Peer;
use thymeshift_types::Reason;
use thymeshift_types::Step;
use tokio::time::timeout;

use crate::target_client::BodyLimits;
use crate::target_client::RequestBody;

/// Maximum length in bytes of a body that is read completely before a target is chosen.
const BUFFERED_BYTES_MAX: u64 = 64 * 1_024;

/// Reads a short body completely, or prepares a long body for streaming.
///
/// # Errors
///
/// A failure reports a request that did not run, because no target has received any of it.
pub(crate) async fn read_body(
    incoming: Option<Incoming>,
    limits: BodyLimits,
    caller: SocketAddr,
) -> Result<RequestBody, Failure> {
    let Some(incoming) = incoming.filter(|incoming| !incoming.is_end_stream()) else {
        return Ok(RequestBody::Whole(Bytes::new()));
    };
    let refuse =
        |reason| Failure::new(Outcome::NotRun, reason, Step::ReadBody, Peer::Caller(caller));
    let Some(length) = incoming.size_hint().exact() else {
        return Ok(RequestBody::streaming(incoming, limits));
    };
    if length > limits.bytes_max {
        return Err(refuse(Reason::BodyTooLarge));
    }
    if length > BUFFERED_BYTES_MAX {
        return Ok(RequestBody::streaming(incoming, limits));
    }
    match timeout(limits.stall, incoming.collect()).await {
        Ok(Ok(collected)) => Ok(RequestBody::Whole(collected.to_bytes())),
        Ok(Err(_)) | Err(_) => Err(refuse(Reason::CallerLost)),
    }
}
