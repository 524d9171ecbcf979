//! One attempt to have a request answered by one target.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::TRANSFER_ENCODING;
use spdlog::info;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Observation;
use thymeshift_links::AnswerTrial;
use thymeshift_links::SentRequest;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Failure;
use thymeshift_types::OrganisationName;
use thymeshift_types::Outcome;
use thymeshift_types::Peer;
use thymeshift_types::Reason;
use thymeshift_types::Step;
use thymeshift_types::Timestamp;
use thymeshift_wire::AnswerClass;
use thymeshift_wire::AttemptHead;
use thymeshift_wire::CallContext;
use thymeshift_wire::Dialect;
use thymeshift_wire::loggable_id;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::service::Destination;
use crate::service::GrantGuard;
use crate::shared::Shared;
use crate::target_client::Answer;
use crate::target_client::AnswerResources;
use crate::target_client::AttemptFailure;
use crate::target_client::RequestBody;
use crate::target_client::TargetBody;
use crate::target_client::TargetCrash;
use crate::target_client::answer_check::is_readable;
use crate::target_client::answer_expiry::AnswerOrigin;
use crate::target_client::arrival::Arrival;
use crate::target_client::attempt_failure::Broken;
use crate::target_client::connector::ConnectError;
use crate::target_client::connector::Path;
use crate::target_client::crash::detect_crash;
use crate::target_client::link_monitor::LinkState;
use crate::target_client::link_monitor::SentGuard;
use crate::target_client::pool::Connection;
use crate::target_client::statements::TargetStatements;

/// Time for which links must be silent until a request that may be repeated is given up. Two trials of
/// the links, either of which ends a false alarm.
const GIVE_UP_AFTER: Duration = Duration::from_secs(1);

/// Whether an attempt may reuse an idle connection of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// An idle connection may be reused.
    Any,
    /// The connection must be new.
    /// If a target closes an idle connection just as a request is sent, the request may have run.
    New,
}

/// Request and limits of one attempt.
pub(crate) struct AttemptPlan {
    pub(crate) head: http::request::Parts,
    pub(crate) body: RequestBody,
    /// Time at which the head of the caller's request had been read.
    pub(crate) accepted_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Call context sent to the target, except for the remaining time.
    pub(crate) context: CallContext,
    /// Identifier of this attempt, sent to the target.
    pub(crate) id: HeaderValue,
    /// Notified when the attempt should be repeated over another path, while it goes on.
    pub(crate) other_path_due: Arc<Notify>,
    pub(crate) freshness: Freshness,
    pub(crate) body_stall: Duration,
    /// Identifier of the caller's request, the same for all its attempts.
    pub(crate) request_id: HeaderValue,
    /// Organisation whose key the caller sent.
    pub(crate) organisation: Option<OrganisationName>,
    /// Bytes of an answer to buffer before the attempt succeeds; 0 streams every answer at once.
    pub(crate) answer_buffer_bytes: u64,
}

/// Attempt at the target of a grant.
pub(crate) struct Attempt<D> {
    dialect: PhantomData<D>,
    pub(super) shared: Arc<Shared>,
    pub(super) grant: GrantGuard,
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

    /// Runs the attempt and returns the target's answer, or the failure of the attempt.
    ///
    /// Dropping the future closes the connection, which cancels the attempt at the target.
    pub(crate) async fn run(
        self,
        plan: AttemptPlan,
    ) -> Result<Response<TargetBody>, Box<AttemptFailure>> {
        let Some(destination) = self.grant.destination() else {
            return Err(self.not_sent(plan.body).into());
        };
        let connection = match self.connection(&plan, &destination).await {
            Ok(connection) => connection,
            Err(error) => return Err(self.connect_failed(plan.body, &destination, &error).into()),
        };
        // Last check before the first byte is sent. Since the grant, the target may have started
        // to leave, or this process may have been paused.
        if !self.grant.may_send(plan.deadline) {
            connection.put_back();
            return Err(self.not_sent(plan.body).into());
        }
        self.send(plan, connection, destination).await
    }

    /// Returns an idle connection if the plan allows one, or else opens a connection.
    async fn connection(
        &self,
        plan: &AttemptPlan,
        destination: &Destination,
    ) -> Result<Connection, ConnectError> {
        let service = self.grant.service();
        let left = BootClock.now().until(plan.deadline);
        let limit = Duration::from_millis(service.settings().connect_timeout_ms).min(left);
        if self.takes_trial(plan)
            && let Ok(connection) = service.pool().connect_direct(destination.address, limit).await
        {
            return Ok(connection);
        }
        if plan.freshness == Freshness::Any
            && let Some(connection) = service.pool().idle(destination.address).await
        {
            return Ok(connection);
        }
        let request_id = loggable_id(&plan.request_id);
        let connected = service.pool().connect(destination.address, limit, request_id).await;
        if let Err(error) = &connected
            && self.shared.allows_request_log_line()
        {
            info!("connect_failed", kv: {
                request_id, service: = service.name(), target: = destination.name,
                address: = destination.address, error: = error
            });
        }
        if connected.as_ref().is_ok_and(|connection| connection.path() == Path::Relayed)
            && self.shared.allows_request_log_line()
        {
            info!("attempt_relayed", kv: {
                request_id, service: = service.name(), target: = destination.name,
                address: = destination.address
            });
        }
        connected
    }

    /// Returns whether the request tries links that were lost for missing answers. Only requests that
    /// may be repeated do, and only if no probe of their service does.
    fn takes_trial(&self, plan: &AttemptPlan) -> bool {
        let has_probe = self.grant.service().settings().probe.is_some();
        let by = if has_probe { AnswerTrial::InsteadOfProbe } else { AnswerTrial::Preferred };
        plan.freshness == Freshness::Any && self.shared.connector.links().take_answer_trial(by)
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
        if request.body().is_of_unknown_length() {
            // Without a stated framing, hyper sends GET and HEAD requests without their body.
            request.headers_mut().insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        D::write_attempt(request.headers_mut(), &attempt);
        let task = connection.task();
        let Some(sender) = connection.sender() else {
            return Err(self.not_sent(request.into_body()).into());
        };
        let is_whole = matches!(request.body(), RequestBody::Whole(_));
        let sending = sender.try_send_request(request);
        let shared = self.shared.clone();
        let arrival = Arrival { notifier: &shared.pause_notifier, task, deadline };
        let path = connection.path();
        let gives_up = plan.freshness == Freshness::Any && path == Path::Direct;
        let waiting = (path == Path::Direct && is_whole)
            .then(|| record_sent(&shared, &destination, began_at, self.grant.expected()));
        let sent = tokio::select! {
            biased;
            sent = arrival.of(sending) => sent,
            () = given_up(&shared, &plan.other_path_due), if gives_up => {
                return Err(self.abandoned(&destination).into());
            }
        };
        drop(waiting);
        let response = match sent {
            None => {
                let waited = began_at.since(plan.accepted_at);
                self.log_time_out(&plan.request_id, &destination, waited, left, began_at);
                return Err(self.timed_out(&destination, path).into());
            }
            Some(Err(mut error)) => {
                let unsent = error.take_message().map(Request::into_body);
                let broken = Broken { path, unsent, error: error.error(), began_at };
                let request_id = loggable_id(&plan.request_id);
                return Err(self.connection_broken(&destination, broken, request_id).await.into());
            }
            Some(Ok(response)) => response,
        };
        let took = BootClock.now().since(began_at);
        self.grant.service().pool().record_answer(&connection, Some(took));
        let answer_class = if is_readable(response.status(), response.headers()) {
            D::classify_answer(response.status(), response.headers(), &attempt)
        } else {
            AnswerClass::Invalid
        };
        self.shared.unknown_headers.record::<D>(response.headers(), &destination);
        let statements = TargetStatements::read::<D>(response.status(), response.headers());
        let observed = observation(answer_class, &statements, D::report(response.headers()));
        self.apply_statements(answer_class, statements, &destination);
        self.apply_observation(observed);
        if let Some(failed) = self.failure_of(answer_class, &destination) {
            // Returning drops the connection: its remaining bytes belong to no request.
            return Err(failed.into());
        }
        connection.record_keep_alive(response.headers());
        let (parts, incoming) = response.into_parts();
        let incarnation = self.grant.incarnation();
        let pool = self.grant.service().pool().clone();
        let resources = AnswerResources::new(connection, self.grant);
        let (request_id, target) = (&plan.request_id, &destination.name);
        let origin = AnswerOrigin { shared: &shared, request_id, target, deadline };
        let answer = Answer { parts, incoming, resources, body_stall, origin };
        if plan.answer_buffer_bytes == 0 {
            return Ok(answer.streamed());
        }
        let buffered = answer.buffered(plan.answer_buffer_bytes, &arrival).await;
        let peer = Peer::Target(destination.service.clone(), destination.name.clone());
        let mut crash = None;
        let failure = match buffered {
            Some(Ok(response)) if answer_class == AnswerClass::Failed => {
                let failure = Failure::new(Outcome::Failed, Reason::TargetFailed, Step::Wait, peer);
                return Err(answer_failed(failure, &destination, Some(response), None));
            }
            Some(Ok(response)) => return Ok(response),
            Some(Err(_)) => {
                let request_id = loggable_id(&plan.request_id);
                crash = detect_crash(&pool, &destination, incarnation, began_at, request_id).await;
                Failure::new(Outcome::Unknown, Reason::ConnectionLost, Step::AnswerBody, peer)
            }
            None => Failure::new(Outcome::Unknown, Reason::Deadline, Step::AnswerBody, peer),
        };
        Err(answer_failed(failure, &destination, None, crash))
    }

    /// Returns the failure that an answer means, or `None` if the answer may be forwarded.
    fn failure_of(
        &self,
        answer_class: AnswerClass,
        destination: &Destination,
    ) -> Option<AttemptFailure> {
        let proves_not_run = self.grant.service().settings().shed_means_not_run;
        let (outcome, reason) = match answer_class {
            AnswerClass::Answered | AnswerClass::Failed | AnswerClass::ShedByDeeperLayer => {
                return None;
            }
            AnswerClass::Shed if !proves_not_run => return None,
            AnswerClass::Shed | AnswerClass::NotRun | AnswerClass::WrongTarget => {
                (Outcome::NotRun, Reason::Shed)
            }
            AnswerClass::WrongAttempt | AnswerClass::Invalid => {
                (Outcome::Unknown, Reason::WrongAnswer)
            }
        };
        let failure = Failure::new(outcome, reason, Step::Wait, self.peer(destination));
        Some(self.failure(failure, None))
    }

    /// Records the result of the attempt in the target's state, and forwards a new leaving mark.
    pub(super) fn apply_observation(&mut self, observation: Observation) {
        if let Some(mark) = self.grant.record_observation(observation) {
            self.shared.record_leaving(&mark, "answer");
        }
    }

    pub(super) fn peer(&self, destination: &Destination) -> Peer {
        Peer::Target(self.grant.service().name().clone(), destination.name.clone())
    }

    /// Logs when the request of a timed-out attempt was sent, and how much time it had left then.
    fn log_time_out(
        &self,
        request_id: &HeaderValue,
        destination: &Destination,
        waited: Duration,
        left: Duration,
        began_at: Timestamp,
    ) {
        if !self.shared.allows_request_log_line() {
            return;
        }
        let request_id = loggable_id(request_id);
        let late = BootClock.now().since(began_at + left);
        info!("attempt_timed_out", kv: {
            request_id, target: = destination.name, obtained_by = self.grant.obtained_by(),
            waited_us = waited.as_micros() as u64, left_at_send_us = left.as_micros() as u64,
            expected_us = self.grant.expected().as_micros() as u64,
            late_us = late.as_micros() as u64
        });
    }
}

/// Returns the failure of an attempt whose answer began to arrive.
fn answer_failed(
    failure: Failure,
    destination: &Destination,
    answer: Option<Response<TargetBody>>,
    crash: Option<TargetCrash>,
) -> Box<AttemptFailure> {
    let target = destination.index;
    Box::new(AttemptFailure { failure, target, is_sent: true, body: None, answer, crash })
}

/// Records that a complete request is sent over one of this process's own connections. A target may
/// wait for the rest of an incomplete one.
fn record_sent<'a>(
    shared: &'a Shared,
    destination: &Destination,
    sent_at: Timestamp,
    expected: Duration,
) -> SentGuard<'a> {
    let request = SentRequest { target: destination.address, sent_at, expected };
    shared.connector.links().record_sent(request)
}

/// Waits until a request that may be repeated is given up: targets leave requests and checks unanswered,
/// for [`GIVE_UP_AFTER`]. Before, and if there is only silence, asks for an attempt over another path and
/// waits on: the links may have been misjudged, and then the target still works on the request.
async fn given_up(shared: &Shared, other_path_due: &Notify) {
    let links = shared.connector.links();
    let mut state = links.state();
    loop {
        // The sender lives as long as `shared`, so the waits cannot fail.
        let _ = state.wait_for(|state| *state == LinkState::Silent).await;
        other_path_due.notify_one();
        let restored = state.wait_for(|state| *state != LinkState::Silent);
        if !links.is_silence_checked() {
            let _ = restored.await;
        } else if timeout(GIVE_UP_AFTER, restored).await.is_err() {
            return;
        }
    }
}

fn observation(
    answer_class: AnswerClass,
    statements: &TargetStatements,
    report: Option<LoadReport>,
) -> Observation {
    match answer_class {
        AnswerClass::Shed | AnswerClass::NotRun if statements.asks_for_backoff() => {
            Observation::ShedWithBackoff(report)
        }
        AnswerClass::Answered => Observation::Answered(report),
        AnswerClass::Failed => Observation::Failed(report),
        AnswerClass::Shed | AnswerClass::ShedByDeeperLayer | AnswerClass::NotRun => {
            Observation::Shed(report)
        }
        AnswerClass::WrongTarget | AnswerClass::WrongAttempt | AnswerClass::Invalid => {
            Observation::Broken
        }
    }
}
