//! Wire format of calls, attempts, answers and failures.
//!
//! [`Native`] implements [`Dialect`] for the headers that Thymeshift defines.
//! Clients and targets with other headers need another implementation of [`Dialect`].
//! An implementation only maps names and formats; the proxy decides how a call is handled.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use thymeshift_config::RequestRate;
use thymeshift_dispatch::LoadReport;
use thymeshift_types::Failure;
use thymeshift_types::KeyDigest;
use thymeshift_types::OrganisationName;
use thymeshift_types::TargetName;

use crate::CallContext;
use crate::HeaderAudience;
use crate::HeaderError;
use crate::RateLimitError;
use crate::RetryAfterError;

/// Data of one attempt that is written into the request to the target.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// Identifier of the client's request.
    pub request_id: &'a HeaderValue,
    /// Identifier of this attempt.
    pub attempt_id: &'a HeaderValue,
    /// Target that the attempt is sent to.
    pub target: &'a TargetName,
    /// Deadline, remaining attempts and depth.
    pub context: CallContext,
    /// Organisation that the caller's key belongs to; `None` if the caller sent no known key.
    pub organisation: Option<&'a OrganisationName>,
}

/// Classification of an answer by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// Answer of the target, to be forwarded to the client.
    Answered,
    /// The target ran the request and reports that it failed; the answer may be forwarded.
    Failed,
    /// The target rejected the request for lack of capacity.
    /// The service's `shed_means_not_run` defines whether this proves that the request did not run.
    Shed,
    /// A deeper layer rejected the request after attempts of its own; the answer is forwarded.
    ShedByDeeperLayer,
    /// The target states that it did not run the request.
    NotRun,
    /// Another target now listens at the address, so the intended target did not run the request.
    WrongTarget,
    /// The answer belongs to another request or attempt.
    WrongAttempt,
    /// The answer must not be forwarded.
    /// A required part is missing, or the status claims something that the target did not state.
    Invalid,
}

/// Headers and statuses of one environment.
pub trait Dialect: Send + Sync + 'static {
    /// Reads deadline, attempts and depth from a client's request.
    fn read_call(map: &HeaderMap) -> Result<CallContext, HeaderError>;

    /// Removes the API key and any claimed organisation from a client's request.
    ///
    /// Targets must receive neither of them from the client.
    /// Returns the digest of the key, or `None` if the request carries no well-formed key.
    fn take_key(map: &mut HeaderMap) -> Option<KeyDigest>;

    /// Writes the headers of an attempt and replaces those that the client sent.
    fn write_attempt(map: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Classifies an answer by its status and headers.
    fn classify_answer(
        status: StatusCode,
        map: &HeaderMap,
        attempt: &AttemptHead<'_>,
    ) -> AnswerClass;

    /// Reads the load report of an answer; `None` if it is missing or malformed.
    fn report(map: &HeaderMap) -> Option<LoadReport>;

    /// Reads the rate limit that a target states for all entry processes together.
    /// `None` if the answer states no limit.
    fn rate_limit(map: &HeaderMap) -> Result<Option<RequestRate>, RateLimitError>;

    /// Reads the load report of a probe's answer, which does not count the probe itself.
    /// In contrast, the report in the answer to a request counts that request.
    fn probe_report(status: StatusCode, map: &HeaderMap) -> Option<LoadReport>;

    /// Returns whether a target announces that it is leaving by other means than its load report.
    fn is_leaving(map: &HeaderMap) -> bool;

    /// Reads the duration for which a target asks this process to send no requests.
    /// `None` if the answer asks for no backoff.
    fn backoff(status: StatusCode, map: &HeaderMap) -> Result<Option<Duration>, RetryAfterError>;

    /// Returns the intended recipient of a header of an answer.
    fn header_audience(name: &HeaderName) -> HeaderAudience;

    /// Removes the headers that clients must not receive from an answer.
    fn strip_internal_headers(map: &mut HeaderMap);

    /// Builds the response that reports a failure to the client.
    fn failure(failure: &Failure, request_id: &HeaderValue) -> Response<Vec<u8>>;
}
