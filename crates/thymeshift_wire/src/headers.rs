//! Names of the product's own HTTP headers, in lower case.

use http::HeaderName;

/// How the names of all others begin.
pub const OWN_PREFIX: &str = "thymeshift-";
/// Time left to the deadline, in milliseconds. From callers, and to targets.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("thymeshift-timeout-ms");
/// Attempts that this call may still cost, the next one included.
pub const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("thymeshift-attempts-left");
/// How often the call was passed on before.
pub const DEPTH: HeaderName = HeaderName::from_static("thymeshift-depth");
/// Identity of one attempt. A target may send it back; another value on its answer is
/// proof that the answer belongs to another attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("thymeshift-attempt");
/// Identity of the request in logs; taken from the caller or made here.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The organisation of the caller, told to targets.
pub const ORGANISATION: HeaderName = HeaderName::from_static("thymeshift-organisation");
/// On a failure: `not_run`, `unknown` or `failed`.
pub const OUTCOME: HeaderName = HeaderName::from_static("thymeshift-outcome");
/// On a failure: why.
pub const REASON: HeaderName = HeaderName::from_static("thymeshift-reason");
/// On a failure: the step at which it arose.
pub const STEP: HeaderName = HeaderName::from_static("thymeshift-step");
/// On a failure: the other side at that step.
pub const PEER: HeaderName = HeaderName::from_static("thymeshift-peer");
/// On a refusal: when to come back, in milliseconds (finer than `Retry-After`).
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("thymeshift-retry-after-ms");
/// Load report on an answer, in the text form of the ORCA specification.
pub const LOAD: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// On an answer: requests a second that the target takes from all processes together.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("thymeshift-rate-limit");
/// On answers of the platform: the revision of the document.
pub const REVISION: HeaderName = HeaderName::from_static("thymeshift-revision");
