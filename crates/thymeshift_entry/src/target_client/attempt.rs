//! One attempt of a request at one target.

use std::error::Error;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use metrics::counter;
use spdlog::debug;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::TargetIndex;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Failure;
use thymeshift_types::OrganisationName;
use thymeshift_types::Outcome;
use thymeshift_types::Peer;
use thymeshift_types::Reason;
use thymeshift_types::Step;
use thymeshift_types::Timestamp;
use thymeshift_wire::AttemptHead;
use thymeshift_wire::CallContext;
use thymeshift_wire::Dialect;
use thymeshift_wire::Meaning;

use crate::service::Destination;
use crate::service::GrantGuard;
use crate::shared::Shared;
use crate::target_client::Answer;
use crate::target_client::BodyError;
use crate::target_client::Lease;
use crate::target_client::RequestBody;
use crate::target_client::TargetBody;
use crate::target_client::TargetCrash;
use crate::target_client::crash::crash_of;
use crate::target_client::pool::ConnectError;
use crate::target_client::pool::Connection;
use crate::target_client::statements::Statements;

/// Whether a connection that served before may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// It may.
    Any,
    /// It may not. The target may be closing an idle connection in the very moment in
    /// which the request is sent, and then nobody knows whether it ran.
    New,
}

/// What an attempt is to do.
pub(crate) struct AttemptPlan {
    pub(crate) head: http::request::Parts,
    pub(crate) body: RequestBody,
    pub(crate) deadline: Timestamp,
    /// What the target is told, but for the time left.
    pub(crate) context: CallContext,
    /// Identity of this attempt.
    pub(crate) id: HeaderValue,
    pub(crate) freshness: Freshness,
    pub(crate) body_stall: Duration,
    /// Identity of the caller's request.
    pub(crate) request_id: HeaderValue,
    /// The organisation whose key the caller sent.
    pub(crate) organisation: Option<OrganisationName>,
    /// Answers up to this length are taken in whole before they count as answers.
    pub(crate) answer_buffer_bytes: u64,
}

/// An attempt that brought no answer.
pub(crate) struct AttemptFailure {
    pub(crate) failure: Failure,
    /// The target that was tried; none if it may not be used any more.
    pub(crate) target: Option<TargetIndex>,
    /// Whether anything was sent, so that it counts as an attempt.
    pub(crate) is_sent: bool,
    /// The body, if it was not used.
    pub(crate) body: Option<RequestBody>,
    /// The target's own failure, to be passed on if nothing more is tried.
    pub(crate) answer: Option<Response<TargetBody>>,
    /// The end of the target, if that is why there is no answer.
    pub(crate) crash: Option<TargetCrash>,
}

/// An attempt at the granted target.
pub(crate) struct Attempt<D> {
    dialect: PhantomData<D>,
    shared: Arc<Shared>,
    grant: GrantGuard,
}

impl<D: Dialect> Attempt<D> {
    pub(crate) fn new(shared: Arc<Shared>, grant: GrantGuard) -> Self {
        Self { dialect: PhantomData, shared, grant }
    }

    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }

    pub(super) fn grant(&self) -> &GrantGuard {
        &self.grant
    }

    /// Runs the attempt. Dropping the future cancels it at the target: its connection is
    /// closed.
    pub(crate) async fn run(
        self,
        plan: AttemptPlan,
    ) -> Result<Response<TargetBody>, Box<AttemptFailure>> {
        let Some(destination) = self.grant.destination() else {
            return Err(self.given_up(plan.body).into());
        };
        let connection = match self.connection(&plan, &destination).await {
            Ok(connection) => connection,
            Err(error) => return Err(self.unconnected(plan.body, &destination, &error).into()),
        };
        // The last look before the first byte: the target may have begun to leave, the
        // process may have slept.
        if !self.grant.may_send(plan.deadline) {
            connection.put_back();
            return Err(self.given_up(plan.body).into());
        }
        self.send(plan, connection, destination).await
    }

    async fn connection(
        &self,
        plan: &AttemptPlan,
        destination: &Destination,
    ) -> Result<Connection, ConnectError> {
        let service = self.grant.service();
        if plan.freshness == Freshness::Any
            && let Some(connection) = service.pool().idle(destination.address).await
        {
            return Ok(connection);
        }
        let left = BootClock.now().until(plan.deadline);
        let limit = Duration::from_millis(service.settings().connect_timeout_ms).min(left);
        let connected = service.pool().connect(destination.address, limit).await;
        let log = |error: &ConnectError| {
            debug!("connect_failed", kv: {
                service: = service.name(), target: = destination.name, error: = error
            });
        };
        connected.inspect_err(log)
    }

    async fn send(
        mut self,
        plan: AttemptPlan,
        mut connection: Connection,
        destination: Destination,
    ) -> Result<Response<TargetBody>, Box<AttemptFailure>> {
        let AttemptPlan { head, body, deadline, context, id, body_stall, .. } = plan;
        let began_at = BootClock.now();
        let left = began_at.until(deadline);
        let mut request = Request::from_parts(head, body);
        let attempt = AttemptHead {
            request_id: &plan.request_id,
            attempt_id: &id,
            target: &destination.name,
            context: CallContext { timeout: Some(left), ..context },
            organisation: plan.organisation.as_ref(),
        };
        D::write_attempt(request.headers_mut(), &attempt);
        let Some(sender) = connection.sender() else {
            return Err(self.given_up(request.into_body()).into());
        };
        let sending = sender.try_send_request(request);
        let sent = self.shared.gaps.until(&BootClock, deadline, sending).await;
        let response = match sent {
            None => return Err(self.timed_out(&destination).into()),
            Some(Err(mut error)) => {
                let unsent = error.take_message().map(Request::into_body);
                return Err(self
                    .broken(&destination, unsent, error.error(), began_at)
                    .await
                    .into());
            }
            Some(Ok(response)) => response,
        };
        let meaning = D::meaning(response.status(), response.headers(), &attempt);
        self.shared.unknown_headers.note::<D>(response.headers(), &destination);
        let statements = Statements::read::<D>(response.status(), response.headers());
        let shown = observation(meaning, &statements, D::report(response.headers()));
        self.learn_statements(meaning, statements, &destination);
        self.learn(shown);
        if let Some(failed) = self.failed_by(meaning, &destination) {
            // Whatever else comes on this connection belongs to nobody.
            return Err(failed.into());
        }
        connection.limit_idle(response.headers());
        let (parts, incoming) = response.into_parts();
        let incarnation = self.grant.incarnation();
        let pool = self.grant.service().pool().clone();
        let lease = Lease::new(connection, self.grant);
        let answer = Answer { parts, incoming, lease, body_stall };
        if plan.answer_buffer_bytes == 0 {
            return Ok(answer.streamed());
        }
        let taking = answer.taken_in(plan.answer_buffer_bytes);
        let taken = self.shared.gaps.until(&BootClock, deadline, taking).await;
        let peer = Peer::Target(destination.service.clone(), destination.name.clone());
        let mut crash = None;
        let failure = match taken {
            Some(Ok(response)) if meaning == Meaning::Failed => {
                let failure = Failure::new(Outcome::Failed, Reason::TargetFailed, Step::Wait, peer);
                return Err(Box::new(AttemptFailure {
                    failure,
                    target: destination.index,
                    is_sent: true,
                    body: None,
                    answer: Some(response),
                    crash: None,
                }));
            }
            Some(Ok(response)) => return Ok(response),
            Some(Err(_)) => {
                crash = crash_of(&pool, &destination, incarnation, began_at).await;
                Failure::new(Outcome::Unknown, Reason::ConnectionLost, Step::AnswerBody, peer)
            }
            None => Failure::new(Outcome::Unknown, Reason::Deadline, Step::AnswerBody, peer),
        };
        let target = destination.index;
        Err(Box::new(AttemptFailure {
            failure,
            target,
            is_sent: true,
            body: None,
            answer: None,
            crash,
        }))
    }

    /// The failure that an answer's meaning amounts to, if it is not to be passed on.
    fn failed_by(&self, meaning: Meaning, destination: &Destination) -> Option<AttemptFailure> {
        let is_proof = self.grant.service().settings().shed_means_not_run;
        let (outcome, reason) = match meaning {
            Meaning::Answered | Meaning::Failed | Meaning::ShedByDeeperLayer => return None,
            Meaning::Shed if !is_proof => return None,
            Meaning::Shed | Meaning::NotRun | Meaning::OtherTarget => {
                (Outcome::NotRun, Reason::Shed)
            }
            Meaning::Foreign | Meaning::Spoiled => (Outcome::Unknown, Reason::WrongAnswer),
        };
        let failure = Failure::new(outcome, reason, Step::Wait, self.peer(destination));
        Some(self.failure(failure, None))
    }

    fn learn(&mut self, observation: Observation) {
        if let Some(mark) = self.grant.record_observation(observation) {
            self.shared.record_leaving(&mark, "answer");
        }
    }

    fn peer(&self, destination: &Destination) -> Peer {
        Peer::Target(self.grant.service().name().clone(), destination.name.clone())
    }

    fn failure(&self, failure: Failure, body: Option<RequestBody>) -> AttemptFailure {
        let target = self.grant.target();
        AttemptFailure { failure, target, is_sent: true, body, answer: None, crash: None }
    }

    /// Nothing was sent because the target may not be used any more.
    fn given_up(self, body: RequestBody) -> AttemptFailure {
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

    /// There is no connection, so that nothing was sent. That all connections of this process
    /// to the target are in use tells nothing of the target.
    fn unconnected(
        mut self,
        body: RequestBody,
        destination: &Destination,
        error: &ConnectError,
    ) -> AttemptFailure {
        if !matches!(error, ConnectError::ShareInUse { .. }) {
            self.learn(Observation::Unreachable);
        }
        let peer = self.peer(destination);
        let failure = Failure::new(Outcome::NotRun, Reason::ConnectFailed, Step::Connect, peer);
        AttemptFailure { is_sent: false, ..self.failure(failure, Some(body)) }
    }

    fn timed_out(mut self, destination: &Destination) -> AttemptFailure {
        self.learn(Observation::TimedOut);
        let peer = self.peer(destination);
        self.failure(Failure::new(Outcome::Unknown, Reason::Deadline, Step::Wait, peer), None)
    }

    /// If hyper hands the request back, no byte of it was written: proof that it did not
    /// run. Any other error proves nothing.
    async fn broken(
        mut self,
        destination: &Destination,
        unsent: Option<RequestBody>,
        error: &hyper::Error,
        began_at: Timestamp,
    ) -> AttemptFailure {
        let peer = self.peer(destination);
        if unsent.is_some() {
            let failure = Failure::new(Outcome::NotRun, Reason::ConnectionLost, Step::Send, peer);
            return self.failure(failure, unsent);
        }
        if error.is_user() {
            let reason = reason_of_body(error);
            let failure = Failure::new(Outcome::Unknown, reason, Step::ReadBody, peer);
            return self.failure(failure, None);
        }
        let service = destination.service.as_str().to_owned();
        counter!(metric::TARGET_CONNECTIONS_LOST, "service" => service).increment(1);
        self.learn(Observation::Broken);
        let incarnation = self.grant.incarnation();
        let pool = self.grant.service().pool().clone();
        let crash = crash_of(&pool, destination, incarnation, began_at).await;
        if crash.is_some() {
            // Nobody else is sent there to find out the same.
            self.learn(Observation::Unreachable);
        }
        let failure = Failure::new(Outcome::Unknown, Reason::ConnectionLost, Step::Wait, peer);
        AttemptFailure { crash, ..self.failure(failure, None) }
    }
}

fn observation(
    meaning: Meaning,
    statements: &Statements,
    report: Option<LoadReport>,
) -> Observation {
    match meaning {
        Meaning::Shed | Meaning::NotRun if statements.asks_for_backoff() => {
            Observation::ShedWithBackoff(report)
        }
        Meaning::Answered => Observation::Answered(report),
        Meaning::Failed => Observation::Failed(report),
        Meaning::Shed | Meaning::ShedByDeeperLayer | Meaning::NotRun => Observation::Shed(report),
        Meaning::OtherTarget | Meaning::Foreign | Meaning::Spoiled => Observation::Broken,
    }
}

/// Why a caller's body could not be passed on to its end.
fn reason_of_body(error: &hyper::Error) -> Reason {
    let body_error = error.source().and_then(|source| source.downcast_ref::<BodyError>());
    match body_error {
        Some(BodyError::TooLong { .. }) => Reason::BodyTooLarge,
        Some(BodyError::Stalled { .. } | BodyError::Broken { .. }) | None => Reason::CallerLost,
    }
}
