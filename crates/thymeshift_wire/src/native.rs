//! Implementation of [`Dialect`] for the headers that Thymeshift defines.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;
use serde::Serialize;
use thymeshift_config::RequestRate;
use thymeshift_dispatch::LoadReport;
use thymeshift_types::Failure;
use thymeshift_types::KeyDigest;
use thymeshift_types::Outcome;
use thymeshift_types::Reason;

use crate::AnswerClass;
use crate::AttemptHead;
use crate::CallContext;
use crate::Dialect;
use crate::HeaderAudience;
use crate::HeaderError;
use crate::RateLimitError;
use crate::RetryAfterError;
use crate::answer_headers::standard_audience;
use crate::headers;
use crate::key_header::take_bearer_key;
use crate::load_header;
use crate::rate_header::read_rate_limit;
use crate::request_id::loggable_id;
use crate::retry_after::read_retry_after;

/// Dialect of callers and targets that use the `thymeshift-*` headers.
#[derive(Debug, Clone, Copy)]
pub struct Native;

/// JSON body of a failure response.
#[derive(Serialize)]
struct FailureBody<'a> {
    request_id: &'a str,
    outcome: Outcome,
    reason: Reason,
    step: String,
    peer: String,
    retry_after_ms: Option<u64>,
}

impl Dialect for Native {
    fn read_call(map: &HeaderMap) -> Result<CallContext, HeaderError> {
        CallContext::read(map)
    }

    fn take_key(map: &mut HeaderMap) -> Option<KeyDigest> {
        take_bearer_key(map, &headers::ORGANISATION)
    }

    fn write_attempt(map: &mut HeaderMap, attempt: &AttemptHead<'_>) {
        attempt.context.write(map);
        if let Some(name) = attempt.organisation {
            map.insert(headers::ORGANISATION, text_value(name.as_str()));
        }
        map.insert(headers::ATTEMPT, attempt.attempt_id.clone());
    }

    fn classify_answer(
        status: StatusCode,
        map: &HeaderMap,
        attempt: &AttemptHead<'_>,
    ) -> AnswerClass {
        let is_other_attempt =
            map.get(&headers::ATTEMPT).is_some_and(|echo| echo != attempt.attempt_id);
        if is_other_attempt {
            return AnswerClass::WrongAttempt;
        }
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                let is_deeper = map.contains_key(&headers::OUTCOME);
                if is_deeper { AnswerClass::ShedByDeeperLayer } else { AnswerClass::Shed }
            }
            status if status.is_server_error() => AnswerClass::Failed,
            _ => AnswerClass::Answered,
        }
    }

    fn report(map: &HeaderMap) -> Option<LoadReport> {
        load_header::read(map)
    }

    fn rate_limit(map: &HeaderMap) -> Result<Option<RequestRate>, RateLimitError> {
        read_rate_limit(map, &headers::RATE_LIMIT)
    }

    fn probe_report(_status: StatusCode, map: &HeaderMap) -> Option<LoadReport> {
        load_header::read(map)
    }

    fn is_leaving(_map: &HeaderMap) -> bool {
        // Native targets announce that they are leaving in the load report.
        false
    }

    fn backoff(status: StatusCode, map: &HeaderMap) -> Result<Option<Duration>, RetryAfterError> {
        // A `Retry-After` of a deeper layer concerns the targets of that layer, not this target.
        if status != StatusCode::SERVICE_UNAVAILABLE || map.contains_key(&headers::OUTCOME) {
            return Ok(None);
        }
        read_retry_after(map)
    }

    fn header_audience(name: &HeaderName) -> HeaderAudience {
        let is_own = name.as_str().starts_with(headers::OWN_PREFIX)
            || *name == headers::LOAD
            || *name == headers::REQUEST_ID;
        // `Retry-After` counts as known: the proxy reads the header from 503 answers.
        // In other answers, `Retry-After` is meant for the caller.
        if is_own || *name == RETRY_AFTER { HeaderAudience::Proxy } else { standard_audience(name) }
    }

    fn strip_internal_headers(map: &mut HeaderMap) {
        map.remove(headers::ATTEMPT);
        map.remove(headers::LOAD);
    }

    fn failure(failure: &Failure, request_id: &HeaderValue) -> Response<Vec<u8>> {
        let retry_after_ms = failure.retry_after.map(|after| after.as_millis() as u64);
        let text = FailureBody {
            request_id: loggable_id(request_id),
            outcome: failure.outcome,
            reason: failure.reason,
            step: failure.step.to_string(),
            peer: failure.peer.to_string(),
            retry_after_ms,
        };
        let mut response = Response::new(serde_json::to_vec(&text).unwrap_or_default());
        *response.status_mut() = failure_status(failure);
        let map = response.headers_mut();
        if let Some(challenge) = challenge(failure) {
            map.insert(WWW_AUTHENTICATE, challenge);
        }
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
}

/// Converts a name or address to a header value.
/// Names and addresses are plain ASCII; any other text is a bug and becomes an empty value.
fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Rounds up to whole seconds for `Retry-After`, so that no caller retries too early.
fn whole_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

/// Returns the `WWW-Authenticate` value if the request failed because it carries no known key.
pub fn challenge(failure: &Failure) -> Option<HeaderValue> {
    (failure.reason == Reason::UnknownKey).then(|| HeaderValue::from_static("Bearer"))
}

/// Returns the HTTP status for a failure. 503 is used only if the request did not run.
pub fn failure_status(failure: &Failure) -> StatusCode {
    match failure.reason {
        Reason::UnknownKind => StatusCode::NOT_FOUND,
        Reason::BadHeader | Reason::CallerLost => StatusCode::BAD_REQUEST,
        Reason::UnknownKey => StatusCode::UNAUTHORIZED,
        Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::TooDeep => StatusCode::LOOP_DETECTED,
        Reason::Deadline if failure.outcome == Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Reason::NotReady
        | Reason::Stopping
        | Reason::QueueFull
        | Reason::DeadlineUnreachable
        | Reason::Deadline
        | Reason::NoTarget
        | Reason::Quarantined
        | Reason::BackingOff
        | Reason::RateLimited
        | Reason::Shed => StatusCode::SERVICE_UNAVAILABLE,
        Reason::ConnectFailed | Reason::ConnectionLost | Reason::LinksLost
            if failure.outcome == Outcome::NotRun =>
        {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Reason::ConnectFailed
        | Reason::ConnectionLost
        | Reason::LinksLost
        | Reason::WrongAnswer
        | Reason::TargetFailed => StatusCode::BAD_GATEWAY,
    }
}
