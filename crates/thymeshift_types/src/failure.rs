//! What a caller is told when its request did not get a complete answer.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ServiceName;
use crate::TargetName;

/// What is known about a request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target started it: safe to send again, also for kinds unsafe to repeat.
    #[display("not_run")]
    NotRun,
    /// A target may have run it.
    #[display("unknown")]
    Unknown,
    /// A target ran it and failed.
    #[display("failed")]
    Failed,
}

/// The step of a request at which a failure arose, in the order of the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Taking a connection from a caller.
    #[display("accept")]
    Accept,
    /// Reading the caller's request head.
    #[display("read_head")]
    ReadHead,
    /// Finding the request's kind.
    #[display("match")]
    Match,
    /// Waiting for a target.
    #[display("queue")]
    Queue,
    /// Choosing a target.
    #[display("choose")]
    Choose,
    /// Opening a connection to the target.
    #[display("connect")]
    Connect,
    /// Sending the request, head and body.
    #[display("send")]
    Send,
    /// Reading the caller's request body.
    #[display("read_body")]
    ReadBody,
    /// Waiting for the head of the target's answer.
    #[display("wait")]
    Wait,
    /// Passing the body of the answer on.
    #[display("answer_body")]
    AnswerBody,
}

/// The other side at the step of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Peer {
    /// The caller.
    #[display("caller {_0}")]
    Caller(SocketAddr),
    /// A service as a whole: no single target was chosen.
    #[display("service {_0}")]
    Service(ServiceName),
    /// One target.
    #[display("target {_0}/{_1}")]
    Target(ServiceName, TargetName),
    /// The entry process itself.
    #[display("entry")]
    Entry,
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No configured kind matches the request.
    #[display("unknown_kind")]
    UnknownKind,
    /// A header the caller sent for the balancer is malformed.
    #[display("bad_header")]
    BadHeader,
    /// The request's body is larger than allowed.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The call was passed on more often than the configuration allows.
    #[display("too_deep")]
    TooDeep,
    /// The process has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// The process is stopping and its bound has passed.
    #[display("stopping")]
    Stopping,
    /// The kind's queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline could not be met by waiting.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// All targets have asked this process to send nothing for a while.
    #[display("backing_off")]
    BackingOff,
    /// All targets are in need and take only so many requests a second.
    #[display("rate_limited")]
    RateLimited,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The service has no target that may receive work.
    #[display("no_target")]
    NoTarget,
    /// The target refused the connection, or it could not be opened in time.
    #[display("connect_failed")]
    ConnectFailed,
    /// The target shed the request and its contract says that it did not run.
    #[display("shed")]
    Shed,
    /// The connection to the target broke after a byte may have been read.
    #[display("connection_lost")]
    ConnectionLost,
    /// The target's answer belongs to another attempt.
    #[display("wrong_answer")]
    WrongAnswer,
    /// The target ran the request and says that it failed.
    #[display("target_failed")]
    TargetFailed,
    /// The caller's body broke off.
    #[display("caller_lost")]
    CallerLost,
    /// The request carries no key, or one that belongs to no organisation.
    #[display("unknown_key")]
    UnknownKey,
    /// The organisation has used up its limit of requests.
    #[display("over_quota")]
    OverQuota,
    /// Targets crashed while they ran the same request before.
    #[display("quarantined")]
    Quarantined,
}

/// A request that got no complete answer: what is known, where it arose, and when the
/// caller may come back.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{outcome}: {reason} at {step} with {peer}")]
pub struct Failure {
    /// What is known about the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// Where on the path.
    pub step: Step,
    /// With whom.
    pub peer: Peer,
    /// When to come back, if coming back makes sense.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure without a time to come back.
    pub fn new(outcome: Outcome, reason: Reason, step: Step, peer: Peer) -> Self {
        Self { outcome, reason, step, peer, retry_after: None }
    }

    /// The same failure, telling the caller to come back after `retry_after`.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
