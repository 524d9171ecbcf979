//! Failures of an attempt, and what they say about the target.

use std::error::Error;

use http::Response;
use metrics::counter;
use spdlog::info;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::TargetIndex;
use thymeshift_telemetry::metric;
use thymeshift_types::Failure;
use thymeshift_types::Outcome;
use thymeshift_types::Peer;
use thymeshift_types::Reason;
use thymeshift_types::Step;
use thymeshift_types::Timestamp;
use thymeshift_wire::Dialect;

use crate::service::Destination;
use crate::target_client::Attempt;
use crate::target_client::BodyError;
use crate::target_client::RequestBody;
use crate::target_client::TargetBody;
use crate::target_client::TargetCrash;
use crate::target_client::connector::ConnectError;
use crate::target_client::connector::Path;
use crate::target_client::crash::detect_crash;

/// Failure of an attempt, with the target's failure answer if there is one.
pub(crate) struct AttemptFailure {
    pub(crate) failure: Failure,
    /// Target that was tried; `None` if the target may not be used any more.
    pub(crate) target: Option<TargetIndex>,
    /// Whether the failure counts as an attempt, because part of the request may have been sent.
    pub(crate) is_sent: bool,
    /// Request body, if no part of it was sent.
    pub(crate) body: Option<RequestBody>,
    /// Failure answer of the target itself, forwarded to the caller if no other attempt follows.
    pub(crate) answer: Option<Response<TargetBody>>,
    /// Crash of the target, if the crash caused the failure.
    pub(crate) crash: Option<TargetCrash>,
}

/// Break of the connection while the target had the request.
pub(super) struct Broken<'a> {
    pub(super) path: Path,
    /// Request body, if no part of it was sent.
    pub(super) unsent: Option<RequestBody>,
    pub(super) error: &'a hyper::Error,
    pub(super) began_at: Timestamp,
}

impl<D: Dialect> Attempt<D> {
    pub(super) fn failure(&self, failure: Failure, body: Option<RequestBody>) -> AttemptFailure {
        let target = self.grant.target();
        AttemptFailure { failure, target, is_sent: true, body, answer: None, crash: None }
    }

    /// Returns the failure of an attempt that sent nothing because its target may not be used now.
    pub(super) fn not_sent(self, body: RequestBody) -> AttemptFailure {
        let peer = Peer::Service(self.grant.service().name().clone());
        let failure = Failure::new(Outcome::NotRun, Reason::Deadline, Step::Send, peer);
        AttemptFailure {
            failure,
            target: None,
            is_sent: false,
            body: Some(body),
            answer: None,
            crash: None,
        }
    }

    /// Returns the failure of an attempt that sent nothing because no connection could be opened.
    ///
    /// The target counts as unreachable, unless the error says nothing about the target: this
    /// process's own share of connections is in use, or it has lost its links.
    pub(super) fn connect_failed(
        mut self,
        body: RequestBody,
        destination: &Destination,
        error: &ConnectError,
    ) -> AttemptFailure {
        if error.blames_target() {
            self.apply_observation(Observation::Unreachable);
        }
        let reason = match error {
            ConnectError::NoPath => Reason::LinksLost,
            _ => Reason::ConnectFailed,
        };
        let peer = self.peer(destination);
        let failure = Failure::new(Outcome::NotRun, reason, Step::Connect, peer);
        AttemptFailure { is_sent: false, ..self.failure(failure, Some(body)) }
    }

    /// Returns the failure of an attempt that got no answer before its deadline.
    pub(super) fn timed_out(mut self, destination: &Destination, path: Path) -> AttemptFailure {
        if !self.is_own_loss(path) {
            self.apply_observation(Observation::TimedOut);
        }
        let peer = self.peer(destination);
        self.failure(Failure::new(Outcome::Unknown, Reason::Deadline, Step::Wait, peer), None)
    }

    /// Returns the failure of an attempt that is given up because nothing arrives on any of this
    /// process's connections. It says nothing about the target.
    pub(super) fn abandoned(self, destination: &Destination) -> AttemptFailure {
        let peer = self.peer(destination);
        let failure = Failure::new(Outcome::Unknown, Reason::LinksLost, Step::Wait, peer);
        self.failure(failure, None)
    }

    /// Returns whether this process's lost links explain a failure over this path.
    pub(super) fn is_own_loss(&self, path: Path) -> bool {
        path == Path::Direct && self.shared.connector.links().is_lost()
    }

    /// Returns the failure of a broken attempt, and checks whether the target has crashed.
    ///
    /// If hyper returns the body in `unsent`, no byte was written, so the request did not run.
    /// After any other error it is unknown whether the request ran.
    pub(super) async fn connection_broken(
        mut self,
        destination: &Destination,
        broken: Broken<'_>,
        request_id: &str,
    ) -> AttemptFailure {
        let Broken { path, unsent, error, began_at } = broken;
        let peer = self.peer(destination);
        if unsent.is_some() {
            let failure = Failure::new(Outcome::NotRun, Reason::ConnectionLost, Step::Send, peer);
            return self.failure(failure, unsent);
        }
        if error.is_user() {
            let reason = body_error_reason(error);
            let failure = Failure::new(Outcome::Unknown, reason, Step::ReadBody, peer);
            return self.failure(failure, None);
        }
        self.log_broken(destination, error, request_id);
        let service = destination.service.as_str().to_owned();
        counter!(metric::TARGET_CONNECTIONS_LOST, "service" => service).increment(1);
        let incarnation = self.grant.incarnation();
        let pool = self.grant.service().pool().clone();
        let crash = detect_crash(&pool, destination, incarnation, began_at, request_id).await;
        // The connection that the check opens shows whether the own links are at fault. A relayed
        // connection may also have broken at the peer.
        if path == Path::Direct && !self.is_own_loss(path) {
            self.apply_observation(Observation::Broken);
        }
        if crash.is_some() {
            // Marks the crashed target unreachable, so that no other request is sent to it.
            self.apply_observation(Observation::Unreachable);
        }
        let failure = Failure::new(Outcome::Unknown, Reason::ConnectionLost, Step::Wait, peer);
        AttemptFailure { crash, ..self.failure(failure, None) }
    }

    fn log_broken(&self, destination: &Destination, error: &hyper::Error, request_id: &str) {
        if self.shared.allows_request_log_line() {
            info!("connection_broken", kv: {
                request_id, target: = destination.name, error: = error, cause: = cause_of(error)
            });
        }
    }
}

/// Returns the innermost cause of an error; the outer ones only say which step failed.
fn cause_of(error: &dyn Error) -> &dyn Error {
    error.source().map_or(error, cause_of)
}

/// Returns the failure reason for a caller's body that could not be forwarded completely.
fn body_error_reason(error: &hyper::Error) -> Reason {
    let body_error = error.source().and_then(|source| source.downcast_ref::<BodyError>());
    match body_error {
        Some(BodyError::TooLong { .. }) => Reason::BodyTooLarge,
        Some(BodyError::Stalled { .. } | BodyError::Expired | BodyError::Broken { .. }) | None => {
            Reason::CallerLost
        }
    }
}
