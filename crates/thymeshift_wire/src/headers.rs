//! Names of the HTTP headers that Thymeshift reads or writes, in lower case.

use http::HeaderName;

/// Prefix of every header name that Thymeshift defines itself.
pub const OWN_PREFIX: &str = "thymeshift-";
/// Time left until the deadline, in milliseconds. Read from callers and sent to targets.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("thymeshift-timeout-ms");
/// Number of attempts that the call may still use, including the next one.
pub const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("thymeshift-attempts-left");
/// Number of proxies that have already forwarded the call.
pub const DEPTH: HeaderName = HeaderName::from_static("thymeshift-depth");
/// Identifier of one attempt.
/// A target may echo the identifier; an answer with another value belongs to another attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("thymeshift-attempt");
/// Identifier of the request in logs; copied from the caller or generated if the caller sent none.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Organisation of the caller, sent to targets.
pub const ORGANISATION: HeaderName = HeaderName::from_static("thymeshift-organisation");
/// Outcome of a failed request: `not_run`, `unknown` or `failed`.
pub const OUTCOME: HeaderName = HeaderName::from_static("thymeshift-outcome");
/// Reason of a failed request.
pub const REASON: HeaderName = HeaderName::from_static("thymeshift-reason");
/// Processing step at which a request failed.
pub const STEP: HeaderName = HeaderName::from_static("thymeshift-step");
/// Peer of the processing step at which a request failed.
pub const PEER: HeaderName = HeaderName::from_static("thymeshift-peer");
/// Time after which a refused request may be retried, in milliseconds.
/// More precise than `Retry-After`, which counts whole seconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("thymeshift-retry-after-ms");
/// Load report of a target in the text format of the ORCA specification.
pub const LOAD: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// Rate limit that a target states: requests per second from all entry processes together.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("thymeshift-rate-limit");
/// Revision of the document in an answer of the platform.
pub const REVISION: HeaderName = HeaderName::from_static("thymeshift-revision");
