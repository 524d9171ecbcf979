//! Taking in a caller's body.
//!
//! A short body is read to its end before a target is chosen: a slow caller then holds
//! no target's slot, the choice is made on fresher knowledge, and the request can be
//! sent again if it provably did not run. A long one is passed on as it arrives.

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

/// Longest body that is read before a target is chosen.
const WHOLE_BYTES_MAX: u64 = 64 * 1_024;

/// Takes in the body of a request. Nothing has been sent to a target yet.
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
    if length > WHOLE_BYTES_MAX {
        return Ok(RequestBody::streaming(incoming, limits));
    }
    match timeout(limits.stall, incoming.collect()).await {
        Ok(Ok(collected)) => Ok(RequestBody::Whole(collected.to_bytes())),
        Ok(Err(_)) | Err(_) => Err(refuse(Reason::CallerLost)),
    }
}
