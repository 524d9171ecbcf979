//! Reads the body of a caller's request.
//!
//! A short body is read completely before a target is chosen:
//!
//! * A slow caller does not hold a slot of a target.
//! * The choice of the target uses fresher target state.
//! * A request that provably did not run can be retried with the buffered body.
//!
//! A long body is streamed to the target, and so is one of unknown length that arrives slowly.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt;
use thymeshift_types::Failure;
use thymeshift_types::Outcome;
use thymeshift_types::Peer;
use thymeshift_types::Reason;
use thymeshift_types::Step;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::target_client::BodyLimits;
use crate::target_client::CallerBody;
use crate::target_client::RequestBody;

/// Time for which a body of unknown length may take to be read completely. A caller that waits for the
/// answer to the first part before it sends the next one loses no more than this time.
const UNKNOWN_LENGTH_WAIT: Duration = Duration::from_millis(100);
/// Maximum length in bytes of a body that is read completely before a target is chosen.
const BUFFERED_BYTES_MAX: u64 = 64 * 1_024;

/// Reads a short body completely, or prepares a long body for streaming.
///
/// # Errors
///
/// A failure reports a request that did not run, because no target has received any of it.
pub(crate) async fn read_body(
    incoming: Option<Box<CallerBody>>,
    limits: BodyLimits,
    caller: SocketAddr,
) -> Result<RequestBody, Failure> {
    let Some(incoming) = incoming.filter(|incoming| !incoming.is_end_stream()) else {
        return Ok(RequestBody::Whole(Bytes::new()));
    };
    let refuse =
        |reason| Failure::new(Outcome::NotRun, reason, Step::ReadBody, Peer::Caller(caller));
    let Some(length) = incoming.size_hint().exact() else {
        return read_start(incoming, limits).await.map_err(refuse);
    };
    if length > limits.bytes_max {
        return Err(refuse(Reason::BodyTooLarge));
    }
    if length > BUFFERED_BYTES_MAX {
        return Ok(RequestBody::streaming(Bytes::new(), incoming, limits));
    }
    match timeout(limits.stall, incoming.collect()).await {
        Ok(Ok(collected)) => Ok(RequestBody::Whole(collected.to_bytes())),
        Ok(Err(_)) | Err(_) => Err(refuse(Reason::CallerLost)),
    }
}

/// Reads a body of unknown length. A short one is read completely if it arrives in time; of any other, what
/// has been read is the start of a body that is streamed.
async fn read_start(
    mut incoming: Box<CallerBody>,
    limits: BodyLimits,
) -> Result<RequestBody, Reason> {
    let mut start = BytesMut::new();
    let mut until = pin!(sleep(UNKNOWN_LENGTH_WAIT));
    while start.len() as u64 <= BUFFERED_BYTES_MAX {
        let frame = tokio::select! {
            biased;
            frame = incoming.frame() => frame,
            () = &mut until => break,
        };
        match frame {
            None => return Ok(RequestBody::Whole(start.freeze())),
            Some(Err(_)) => return Err(Reason::CallerLost),
            // Trailers are dropped, as those of streamed bodies are.
            Some(Ok(frame)) => start.extend(frame.into_data().ok()),
        }
        if start.len() as u64 > limits.bytes_max {
            return Err(Reason::BodyTooLarge);
        }
    }
    Ok(RequestBody::streaming(start.freeze(), incoming, limits))
}
