//! Answers to callers: a target's, or the process's own.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;
use serde::Serialize;
use thymeshift_types::Failure;
use thymeshift_types::Outcome;
use thymeshift_types::Reason;
use thymeshift_wire::headers;

use crate::target::BodyError;
use crate::target::TargetBody;

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// The process's own.
    Own(Full<Bytes>),
    /// A target's, passed on as it arrives.
    Target(Box<TargetBody>),
}

impl Body for AnswerBody {
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

/// The failure as the caller reads it in the body.
#[derive(Serialize)]
struct FailureText<'a> {
    request_id: &'a str,
    outcome: Outcome,
    reason: Reason,
    step: String,
    peer: String,
    retry_after_ms: Option<u64>,
}

/// The answer that tells a caller of a failure.
pub(crate) fn failure_answer(failure: &Failure, request_id: &HeaderValue) -> Response<AnswerBody> {
    let retry_after_ms = failure.retry_after.map(|after| after.as_millis() as u64);
    let text = FailureText {
        request_id: request_id.to_str().unwrap_or_default(),
        outcome: failure.outcome,
        reason: failure.reason,
        step: failure.step.to_string(),
        peer: failure.peer.to_string(),
        retry_after_ms,
    };
    let body = serde_json::to_vec(&text).unwrap_or_default();
    let mut response = Response::new(AnswerBody::Own(Full::new(Bytes::from(body))));
    *response.status_mut() = status_of(failure);
    let map = response.headers_mut();
    map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    map.insert(headers::OUTCOME, text_value(&failure.outcome.to_string()));
    map.insert(headers::REASON, text_value(&failure.reason.to_string()));
    map.insert(headers::STEP, text_value(&failure.step.to_string()));
    map.insert(headers::PEER, text_value(&failure.peer.to_string()));
    if let Some(after) = failure.retry_after {
        map.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        map.insert(headers::RETRY_AFTER_MS, HeaderValue::from(after.as_millis() as u64));
    }
    response
}

/// Names and addresses are plain text; anything else would be a mistake of ours and is
/// left out rather than sent.
fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// `Retry-After` has whole seconds; rounded up, so that nobody comes back too early.
fn whole_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

fn status_of(failure: &Failure) -> StatusCode {
    match failure.reason {
        Reason::UnknownKind => StatusCode::NOT_FOUND,
        Reason::BadHeader | Reason::CallerLost => StatusCode::BAD_REQUEST,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::TooDeep => StatusCode::LOOP_DETECTED,
        Reason::Deadline if failure.outcome == Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Reason::NotReady
        | Reason::Stopping
        | Reason::QueueFull
        | Reason::DeadlineUnreachable
        | Reason::Deadline
        | Reason::NoTarget
        | Reason::Shed => StatusCode::SERVICE_UNAVAILABLE,
        Reason::ConnectFailed | Reason::ConnectionLost if failure.outcome == Outcome::NotRun => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Reason::ConnectFailed | Reason::ConnectionLost | Reason::WrongAnswer => {
            StatusCode::BAD_GATEWAY
        }
    }
}
