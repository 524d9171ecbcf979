//! An answer whose head has arrived: passed on as it comes, or taken in whole first.

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

pub(crate) struct Answer {
    pub(crate) parts: Parts,
    pub(crate) incoming: Incoming,
    pub(crate) lease: AnswerResources,
    pub(crate) body_stall: Duration,
}

impl Answer {
    /// The answer, passed on as it arrives.
    pub(crate) fn streamed(self) -> Response<TargetBody> {
        let body = TargetBody::new(self.incoming, self.lease, self.body_stall);
        Response::from_parts(self.parts, body)
    }

    /// The answer once it is complete, or once `bytes_max` of it are here. An answer that
    /// breaks off before is an error.
    pub(crate) async fn buffered(self, bytes_max: u64) -> Result<Response<TargetBody>, BodyError> {
        let mut body = TargetBody::new(self.incoming, self.lease, self.body_stall);
        let mut taken = BytesMut::new();
        while (taken.len() as u64) < bytes_max {
            let Some(frame) = body.frame().await else {
                return Ok(Response::from_parts(self.parts, TargetBody::whole(taken.freeze())));
            };
            // Trailers are not passed on in answers that were held.
            if let Ok(data) = frame?.into_data() {
                taken.extend_from_slice(&data);
            }
        }
        let body = body.after(Bytes::from(taken));
        Ok(Response::from_parts(self.parts, body))
    }
}
