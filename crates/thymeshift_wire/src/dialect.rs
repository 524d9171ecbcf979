//! How calls, attempts, answers and failures look on the wire.
//!
//! The product speaks its own headers ([`Native`]). Where clients and targets speak others,
//! another implementation of [`Dialect`] translates. An implementation holds names and
//! formats only: what is done about a call is decided elsewhere.

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

/// One attempt as the target hears of it.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// Identity of the client's request.
    pub request_id: &'a HeaderValue,
    /// Identity of this attempt.
    pub attempt_id: &'a HeaderValue,
    /// The target that is meant.
    pub target: &'a TargetName,
    /// Deadline, attempts and depth.
    pub context: CallContext,
    /// The organisation whose key the caller sent.
    pub organisation: Option<&'a OrganisationName>,
}

/// What an answer's head says about the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// The target's answer, to be passed on.
    Answered,
    /// The target ran the request and says that it failed; may be passed on.
    Failed,
    /// The target had no room. Whether that proves that the request did not run is a
    /// matter of the service's contract.
    Shed,
    /// A deeper layer refused and used attempts of its own; to be passed on.
    ShedByDeeperLayer,
    /// The target states that it did not run the request.
    NotRun,
    /// Another target has the address; the one that was meant did not run the request.
    WrongTarget,
    /// It belongs to another request or attempt.
    WrongAttempt,
    /// It cannot be passed on as it is: a part that makes it valid is missing, or its status
    /// promises what the target did not state.
    Invalid,
}

/// The headers and statuses of one environment.
pub trait Dialect: Send + Sync + 'static {
    /// Reads what a client says of its call.
    fn read_call(map: &HeaderMap) -> Result<CallContext, HeaderError>;

    /// Takes the key out of a call, with what the caller says of its organisation: targets are
    /// shown neither. None if there is no key that could be known.
    fn take_key(map: &mut HeaderMap) -> Option<KeyDigest>;

    /// Writes what a target is told, replacing what the client said.
    fn write_attempt(map: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Reads what an answer's head means.
    fn classify_answer(
        status: StatusCode,
        map: &HeaderMap,
        attempt: &AttemptHead<'_>,
    ) -> AnswerClass;

    /// Reads the load report of an answer, if it carries a readable one.
    fn report(map: &HeaderMap) -> Option<LoadReport>;

    /// Reads the requests a second that a target says it takes from all processes together; none if
    /// it says nothing of that.
    fn rate_limit(map: &HeaderMap) -> Result<Option<RequestRate>, RateLimitError>;

    /// Reads the load report of a probe's answer: unlike that of a request, it does not count
    /// what it answers.
    fn probe_report(status: StatusCode, map: &HeaderMap) -> Option<LoadReport>;

    /// Whether a target says, apart from its load report, that it leaves.
    fn is_leaving(map: &HeaderMap) -> bool;

    /// Reads for how long a target asks to get no requests from the process that it answers; none
    /// if it does not ask for that.
    fn backoff(status: StatusCode, map: &HeaderMap) -> Result<Option<Duration>, RetryAfterError>;

    /// Whom an answer's header addresses.
    fn header_audience(name: &HeaderName) -> HeaderAudience;

    /// Removes from an answer what is not meant for clients.
    fn strip_internal_headers(map: &mut HeaderMap);

    /// The answer that tells a client of a failure.
    fn failure(failure: &Failure, request_id: &HeaderValue) -> Response<Vec<u8>>;
}
