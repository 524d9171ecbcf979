//! Answers to callers: a target's, or the process's own.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;
use thymeshift_types::Failure;
use thymeshift_wire::Dialect;

use crate::target_client::BodyError;
use crate::target_client::TargetBody;

/// Body of an answer.
pub(crate) enum ResponseBody {
    /// The process's own.
    Own(Full<Bytes>),
    /// A target's, passed on as it arrives.
    Target(Box<TargetBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Own(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Target(body) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Target(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Target(body) => body.size_hint(),
        }
    }
}

/// The answer that tells a caller of a failure.
pub(crate) fn failure_response<D: Dialect>(
    failure: &Failure,
    request_id: &HeaderValue,
) -> Response<ResponseBody> {
    let answer = D::failure(failure, request_id);
    answer.map(|body| ResponseBody::Own(Full::new(Bytes::from(body))))
}
