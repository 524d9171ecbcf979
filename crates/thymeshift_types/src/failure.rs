//! Failures reported to a caller whose request did not get a complete response.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ServiceName;
use crate::TargetName;

/// Whether a failed request was executed by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target started the request, so that even non-idempotent requests can be retried.
    #[display("not_run")]
    NotRun,
    /// A target may have executed the request.
    #[display("unknown")]
    Unknown,
    /// A target executed the request and failed.
    #[display("failed")]
    Failed,
}

/// Processing step at which a request failed, in the order of the request path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Accepting a connection from a caller.
    #[display("accept")]
    Accept,
    /// Reading the request head from the caller.
    #[display("read_head")]
    ReadHead,
    /// Matching the request to a configured kind.
    #[display("match")]
    Match,
    /// Waiting in the queue for a target with a free slot.
    #[display("queue")]
    Queue,
    /// Selecting a target.
    #[display("choose")]
    Choose,
    /// Opening a connection to the target.
    #[display("connect")]
    Connect,
    /// Sending the request head and body to the target.
    #[display("send")]
    Send,
    /// Reading the request body from the caller.
    #[display("read_body")]
    ReadBody,
    /// Waiting for the response head of the target.
    #[display("wait")]
    Wait,
    /// Forwarding the response body to the caller.
    #[display("answer_body")]
    AnswerBody,
}

/// Peer involved in the step at which a request failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Peer {
    /// The caller, by its socket address.
    #[display("caller {_0}")]
    Caller(SocketAddr),
    /// A whole service, if no target had been selected.
    #[display("service {_0}")]
    Service(ServiceName),
    /// One target of a service.
    #[display("target {_0}/{_1}")]
    Target(ServiceName, TargetName),
    /// The entry process itself.
    #[display("entry")]
    Entry,
}

/// Reason why a request was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No configured kind matches the request.
    #[display("unknown_kind")]
    UnknownKind,
    /// A request header addressed to the load balancer is malformed.
    #[display("bad_header")]
    BadHeader,
    /// The request body exceeds the configured limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The request was forwarded through more hops than the configuration allows.
    #[display("too_deep")]
    TooDeep,
    /// The process has not loaded a configuration yet.
    #[display("not_ready")]
    NotReady,
    /// The process is shutting down and its shutdown deadline has passed.
    #[display("stopping")]
    Stopping,
    /// The queue of the request kind is full.
    #[display("queue_full")]
    QueueFull,
    /// The expected queueing time exceeds the deadline of the request.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// All targets have asked this process to back off.
    #[display("backing_off")]
    BackingOff,
    /// All targets have stated a rate limit that leaves no capacity for this request.
    #[display("rate_limited")]
    RateLimited,
    /// The deadline of the request has passed.
    #[display("deadline")]
    Deadline,
    /// The service has no target that accepts requests.
    #[display("no_target")]
    NoTarget,
    /// The target refused the connection, or connecting timed out.
    #[display("connect_failed")]
    ConnectFailed,
    /// This process has lost its links to all targets, and no peer relays a connection.
    #[display("links_lost")]
    LinksLost,
    /// The target shed the request, and its contract guarantees that shed requests do not run.
    #[display("shed")]
    Shed,
    /// The connection to the target broke after the target may have read part of the request.
    #[display("connection_lost")]
    ConnectionLost,
    /// The response of the target belongs to another attempt.
    #[display("wrong_answer")]
    WrongAnswer,
    /// The target executed the request and reported a failure.
    #[display("target_failed")]
    TargetFailed,
    /// The caller disconnected before the end of the request body.
    #[display("caller_lost")]
    CallerLost,
    /// The request has no API key, or a key that belongs to no organisation.
    #[display("unknown_key")]
    UnknownKey,
    /// The organisation has exhausted its request quota.
    #[display("over_quota")]
    OverQuota,
    /// Earlier executions of the same request crashed targets.
    #[display("quarantined")]
    Quarantined,
}

/// Failure of a request: its outcome, reason, step and peer, and when the caller may retry.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{outcome}: {reason} at {step} with {peer}")]
pub struct Failure {
    /// Whether a target executed the request.
    pub outcome: Outcome,
    /// Reason of the failure.
    pub reason: Reason,
    /// Processing step that failed.
    pub step: Step,
    /// Peer of the failed step.
    pub peer: Peer,
    /// Time after which the caller may retry; `None` if no retry time is known.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure without a retry time.
    pub fn new(outcome: Outcome, reason: Reason, step: Step, peer: Peer) -> Self {
        Self { outcome, reason, step, peer, retry_after: None }
    }

    /// Returns the failure with `retry_after` as its retry time.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
