//! Answer of a target whose head has arrived; its body is streamed or buffered before forwarding.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::target_client::AnswerResources;
use crate::target_client::BodyError;
use crate::target_client::TargetBody;
use crate::target_client::answer_expiry::AnswerOrigin;
use crate::target_client::arrival::Arrival;

/// Answer of a target whose body is still arriving.
pub(crate) struct Answer<'a> {
    pub(crate) parts: Parts,
    pub(crate) incoming: Incoming,
    pub(crate) resources: AnswerResources,
    pub(crate) body_stall: Duration,
    pub(crate) origin: AnswerOrigin<'a>,
}

impl Answer<'_> {
    /// Returns the answer with a body that is forwarded as it arrives.
    pub(crate) fn streamed(self) -> Response<TargetBody> {
        let body = TargetBody::new(self.incoming, self.resources, self.body_stall);
        Response::from_parts(self.parts, body.until_deadline(&self.origin))
    }

    /// Returns the answer once its body is complete, or once `bytes_max` of the body have arrived.
    ///
    /// Returns an error if the body breaks or stalls while it is buffered, and `None` if it had not
    /// arrived when the deadline passed.
    pub(crate) async fn buffered(
        self,
        bytes_max: u64,
        arrival: &Arrival<'_>,
    ) -> Option<Result<Response<TargetBody>, BodyError>> {
        let mut body = TargetBody::new(self.incoming, self.resources, self.body_stall);
        let mut buffer = BytesMut::new();
        while (buffer.len() as u64) < bytes_max {
            let frame = match arrival.of(body.frame()).await? {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Some(Err(error)),
                None => {
                    let body = TargetBody::from_buffered(buffer.freeze());
                    return Some(Ok(Response::from_parts(self.parts, body)));
                }
            };
            // Trailers of buffered answers are dropped.
            if let Ok(data) = frame.into_data() {
                buffer.extend_from_slice(&data);
            }
        }
        let body = body.with_prefix(Bytes::from(buffer));
        let body = body.until_deadline(&self.origin);
        Some(Ok(Response::from_parts(self.parts, body)))
    }
}
