//! Forwards a request whose kind is known: obtains a target, sends attempts, retries and hedges.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use http::HeaderValue;
use http::Response;
use http::request::Parts;
use http_body::Body;
use rand::Rng;
use spdlog::debug;
use spdlog::info;
use thymeshift_config::Repeat;
use thymeshift_dispatch::CallerClass;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_fleet::Verdict;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Failure;
use thymeshift_types::Outcome;
use thymeshift_types::Peer;
use thymeshift_types::Reason;
use thymeshift_types::Step;
use thymeshift_types::Timestamp;
use thymeshift_wire::CallContext;
use thymeshift_wire::Dialect;
use thymeshift_wire::loggable_id;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::caller::quarantine::RequestQuarantine;
use crate::organisations::Identity;
use crate::organisations::request_priority;
use crate::routing::KindRuntime;
use crate::routing::LocalWaitResult;
use crate::service::GrantGuard;
use crate::service::ServiceRuntime;
use crate::shared::Shared;
use crate::target_client::Attempt;
use crate::target_client::AttemptFailure;
use crate::target_client::AttemptPlan;
use crate::target_client::Freshness;
use crate::target_client::RequestBody;
use crate::target_client::TargetBody;

/// Maximum number of grants per request that become unusable before anything is sent.
const UNSENT_GRANTS_MAX: u32 = 8;

/// Divisor of a kind's latency objective that gives the mean retry delay of a refused request.
/// After an eighth of the objective, another target can still answer within the objective.
const RETRY_AFTERS_PER_OBJECTIVE: u32 = 8;

/// Minimum time to obtain a target after which a request counts as having waited.
const WAITED_MIN: Duration = Duration::from_millis(5);

/// Request of a known kind that is forwarded to a target.
pub(crate) struct Forward<D> {
    pub(crate) dialect: PhantomData<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) kind: Arc<KindRuntime>,
    pub(crate) service: Arc<ServiceRuntime>,
    pub(crate) request_id: HeaderValue,
    pub(crate) quarantine: RequestQuarantine,
    /// Organisation and key of the caller; `None` if the kind needs no key.
    pub(crate) identity: Option<Identity>,
    /// Caller to the allocators; an unknown one unless callers are served fairly.
    pub(crate) caller: CallerClass,
    /// Maximum length of a response that is buffered completely before it is sent to the caller.
    pub(crate) answer_buffer_bytes: u64,
    pub(crate) head: Parts,
    /// Time at which the head of the request had been read.
    pub(crate) accepted_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Deadline of the latency objective; later responses have less value for the caller.
    pub(crate) objective: Timestamp,
    pub(crate) attempts_max: u64,
    pub(crate) depth: u64,
    pub(crate) body_stall: Duration,
}

/// Result of an attempt that may have run and that was retried.
struct PriorAttempt {
    failure: Failure,
    answer: Option<Response<TargetBody>>,
}

/// Response of the target, or the failure of the attempt.
pub(super) type AttemptResult = Result<Response<TargetBody>, Box<AttemptFailure>>;

impl<D: Dialect> Forward<D> {
    /// Sends attempts until a target responds or no further attempt is permitted.
    pub(crate) async fn run(&self, body: RequestBody) -> Result<Response<TargetBody>, Failure> {
        self.service.count_received();
        let mut tried = Tried::default();
        let mut attempts = 0;
        let mut unsent = 0;
        let mut body = body;
        let mut prior = None;
        let local_until = self.local_until();
        loop {
            let grant = match self.permitted_grant(&self.request(tried, local_until)).await {
                Ok(grant) => grant,
                Err(refused) => return self.conclude(refused, None, prior),
            };
            attempts += 1;
            let copy = body.try_copy();
            let failed = match self.attempt(grant, body, &mut attempts, tried).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            if let Some(target) = failed.target {
                tried.add(target);
            }
            if !failed.is_sent {
                // Nothing was sent: choose another target without counting an attempt or a retry.
                attempts -= 1;
                unsent += 1;
                let has_path = failed.failure.reason != Reason::LinksLost;
                let may_go_on = has_path && unsent < UNSENT_GRANTS_MAX && self.has_time();
                match failed.body {
                    Some(unused) if may_go_on => body = unused,
                    _ => return self.conclude(failed.failure, None, prior),
                }
                continue;
            }
            let AttemptFailure { failure, body: unused, answer, .. } = *failed;
            self.log_attempt(&failure, attempts);
            let Some(retry_body) = unused.or(copy).filter(|_| self.may_retry(&failure, attempts))
            else {
                return self.conclude(failure, answer, prior);
            };
            if failure.outcome != Outcome::NotRun {
                prior = Some(PriorAttempt { failure, answer });
            }
            self.kind.metrics.retries.add_one();
            body = retry_body;
        }
    }

    /// Returns the result for the caller after the last attempt.
    ///
    /// If the last attempt did not run but an earlier attempt may have, returns the earlier result.
    fn conclude(
        &self,
        last: Failure,
        answer: Option<Response<TargetBody>>,
        prior: Option<PriorAttempt>,
    ) -> Result<Response<TargetBody>, Failure> {
        match prior {
            Some(prior) if last.outcome == Outcome::NotRun => prior.answer.ok_or(prior.failure),
            // The target's own error response is more specific than a generated one.
            Some(_) | None => answer.ok_or_else(|| self.with_retry_after(last)),
        }
    }

    /// Logs a failed attempt, with the facts that decide whether it is retried.
    fn log_attempt(&self, failure: &Failure, attempt: u64) {
        if !self.shared.allows_request_log_line() {
            return;
        }
        let request_id = loggable_id(&self.request_id);
        let left_ms = BootClock.now().until(self.deadline).as_millis() as u64;
        info!("attempt_failed", kv: {
            request_id, fingerprint: = self.quarantine.fingerprint(),
            attempt, attempts_max = self.attempts_max, left_ms,
            outcome: = failure.outcome, reason: = failure.reason,
            step: = failure.step, peer: = failure.peer,
            has_retry = self.service.has_retry()
        });
    }

    /// Waits for a target unless the request is quarantined or its key was revoked.
    /// The quarantine is checked before and after the wait, the key only after the wait.
    async fn permitted_grant(&self, request: &Request) -> Result<GrantGuard, Failure> {
        self.check_quarantine()?;
        self.check_path()?;
        let grant = self.grant(request).await?;
        self.check_quarantine()?;
        self.check_identity()?;
        Ok(grant)
    }

    /// Fails if the caller's key no longer belongs to its organisation.
    fn check_identity(&self) -> Result<(), Failure> {
        let Some(identity) = &self.identity else {
            return Ok(());
        };
        let is_key_valid =
            self.shared.routing().is_some_and(|routing| identity.is_valid(&routing.keys));
        if is_key_valid {
            return Ok(());
        }
        let peer = Peer::Service(self.service.name().clone());
        Err(Failure::new(Outcome::NotRun, Reason::UnknownKey, Step::Choose, peer))
    }

    /// Fails while neither this process nor a peer reaches a target.
    fn check_path(&self) -> Result<(), Failure> {
        if self.shared.connector.has_no_path(BootClock.now()) {
            return Err(self.not_run(Reason::LinksLost, Step::Connect));
        }
        Ok(())
    }

    /// Fails while the request is quarantined because it crashed targets.
    fn check_quarantine(&self) -> Result<(), Failure> {
        match self.quarantine.verdict() {
            Verdict::Free | Verdict::Suspected => Ok(()),
            Verdict::Refused(left) => {
                Err(self.not_run(Reason::Quarantined, Step::Choose).with_retry_after(left))
            }
        }
    }

    /// Obtains a target; waits in the queue if no target has a free slot.
    async fn grant(&self, request: &Request) -> Result<GrantGuard, Failure> {
        let started_at = BootClock.now();
        let obtained = self.service.obtain(&self.shared, request).await;
        self.record_local_wait(request, started_at, obtained.as_ref().ok());
        if BootClock.now().since(started_at) > WAITED_MIN {
            self.kind.metrics.waited.add_one();
        }
        obtained.map_err(|refusal| match refusal {
            Some(refusal) => self.refused(refusal, Step::Choose),
            None => self.not_run(Reason::Deadline, Step::Queue),
        })
    }

    /// Counts a request with a local wait by its result, and logs it if the wait ended without a
    /// target in this data hall.
    fn record_local_wait(
        &self,
        request: &Request,
        started_at: Timestamp,
        grant: Option<&GrantGuard>,
    ) {
        if request.local_wait_left(started_at).is_zero() {
            return;
        }
        let result = match grant.map(GrantGuard::crossing) {
            Some(None) => LocalWaitResult::Home,
            Some(Some(_)) => LocalWaitResult::Crossed,
            None => LocalWaitResult::Refused,
        };
        self.kind.metrics.record_local_wait(result);
        let now = BootClock.now();
        if result != LocalWaitResult::Home && request.local_wait_left(now).is_zero() {
            let request_id = loggable_id(&self.request_id);
            debug!("local_wait_ended", kv: {
                request_id, kind = self.kind.kind.name.as_str(),
                service: = self.service.name(), result: = result,
                local_wait_us = request.local_wait_left(started_at).as_micros() as u64,
                waited_us = now.since(started_at).as_micros() as u64
            });
        }
    }

    /// Returns the end of the request's local wait, or the default if it has none.
    fn local_until(&self) -> Timestamp {
        let now = BootClock.now();
        let local_wait = self.kind.local_wait(now, self.objective, self.wait_until(now));
        if local_wait.is_zero() { Timestamp::default() } else { now + local_wait }
    }

    fn wait_until(&self, now: Timestamp) -> Timestamp {
        let wait_max = Duration::from_millis(self.kind.kind.wait_max_ms);
        (now + wait_max).min(self.deadline)
    }

    fn request(&self, tried: Tried, local_until: Timestamp) -> Request {
        let kind = &self.kind.kind;
        Request {
            priority: request_priority(self.identity.as_ref(), kind),
            caller: self.caller,
            deadline: self.deadline,
            wait_until: self.wait_until(BootClock.now()),
            objective: self.objective,
            queue_max: u32::try_from(kind.queue_max).unwrap_or(u32::MAX),
            tried,
            excluded: Excluded::default(),
            origin: HallIndex::default(),
            answer_kib: self.kind.metrics.answer_kib(),
            local_until,
        }
    }

    /// Runs one attempt, and a second, parallel one after the hedge delay of the kind, or if the links
    /// over which the first was sent are judged lost.
    async fn attempt(
        &self,
        grant: GrantGuard,
        body: RequestBody,
        attempts: &mut u64,
        tried: Tried,
    ) -> AttemptResult {
        let is_repeatable = self.kind.kind.repeat == Repeat::Safe;
        let copy = if is_repeatable { body.try_copy() } else { None };
        let first_target = grant.target();
        let other_path_due = Arc::new(Notify::new());
        let first = Box::pin(self.send(grant, body, *attempts, &other_path_due));
        let Some(copy) = copy else {
            return first.await;
        };
        let first = match select(first, Box::pin(self.second_attempt_due(&other_path_due))).await {
            Either::Left((answered, _)) => return answered,
            Either::Right(((), first)) => first,
        };
        let mut tried = tried;
        if let Some(target) = first_target {
            tried.add(target);
        }
        let Some(grant) = self.hedge_grant(*attempts, tried).await else {
            return first.await;
        };
        *attempts += 1;
        self.kind.metrics.retries.add_one();
        let second = Box::pin(self.send(grant, copy, *attempts, &other_path_due));
        // The first successful response wins; dropping the other attempt cancels it.
        let (failed, other_attempt) = match select(first, second).await {
            Either::Left((Err(failed), second)) => (failed, second),
            Either::Right((Err(failed), first)) => (failed, first),
            Either::Left((answered, _)) | Either::Right((answered, _)) => return answered,
        };
        other_attempt.await.map_err(|last| if may_have_run(&last) { last } else { failed })
    }

    /// Waits until the first attempt should be joined by a second one.
    async fn second_attempt_due(&self, other_path_due: &Notify) {
        let hedge_after = Duration::from_millis(self.kind.kind.hedge_after_ms);
        if hedge_after.is_zero() {
            return other_path_due.notified().await;
        }
        // Either event is reason enough.
        let _ = timeout(hedge_after, other_path_due.notified()).await;
    }

    /// Obtains a target for a hedged attempt, without waiting in the queue.
    async fn hedge_grant(&self, attempts: u64, tried: Tried) -> Option<GrantGuard> {
        let is_allowed = self.kind.kind.repeat == Repeat::Safe && attempts < self.attempts_max;
        if !is_allowed || self.quarantine.verdict() != Verdict::Free || !self.service.try_retry() {
            return None;
        }
        let without_queue = Request { queue_max: 0, ..self.request(tried, Timestamp::default()) };
        self.service.obtain(&self.shared, &without_queue).await.ok()
    }

    async fn send(
        &self,
        grant: GrantGuard,
        body: RequestBody,
        attempt: u64,
        other_path_due: &Arc<Notify>,
    ) -> AttemptResult {
        let freshness = match self.kind.kind.repeat {
            Repeat::Safe => Freshness::Any,
            Repeat::Unsafe => Freshness::New,
        };
        let context = CallContext {
            timeout: None,
            attempts_left: Some(self.attempts_max.saturating_sub(attempt) + 1),
            depth: self.depth + 1,
        };
        let plan = AttemptPlan {
            head: self.head.clone(),
            body,
            accepted_at: self.accepted_at,
            deadline: self.deadline,
            context,
            id: attempt_id(),
            other_path_due: other_path_due.clone(),
            freshness,
            body_stall: self.body_stall,
            request_id: self.request_id.clone(),
            organisation: self.identity.as_ref().map(|identity| identity.name().clone()),
            answer_buffer_bytes: self.answer_buffer_bytes,
        };
        let crossing = grant.crossing();
        let started_at = BootClock.now();
        let answered = Attempt::<D>::new(self.shared.clone(), grant).run(plan).await;
        self.quarantine.record_attempt(&answered);
        if let Ok(answer) = &answered {
            let metrics = &self.kind.metrics;
            metrics.record_attempt_time(BootClock.now().since(started_at));
            if let Some(cause) = crossing {
                metrics.record_hall_crossing(cause, answer.body().size_hint().lower());
            }
        }
        answered
    }

    /// Returns whether another attempt is permitted.
    ///
    /// The request must not have run, or its kind must be safe to repeat.
    /// Attempts, retry budget and time must remain.
    /// The request must not be quarantined, and its key must still be valid.
    fn may_retry(&self, failure: &Failure, attempts: u64) -> bool {
        let is_repeatable =
            failure.outcome == Outcome::NotRun || self.kind.kind.repeat == Repeat::Safe;
        let is_caller_failure = matches!(failure.reason, Reason::CallerLost | Reason::BodyTooLarge);
        is_repeatable
            && !is_caller_failure
            && attempts < self.attempts_max
            && self.has_time()
            && self.check_quarantine().is_ok()
            && self.check_identity().is_ok()
            && self.service.try_retry()
    }

    fn has_time(&self) -> bool {
        BootClock.now() < self.deadline
    }

    fn refused(&self, refusal: Refusal, step: Step) -> Failure {
        self.not_run(refusal.reason, step).with_retry_after(refusal.retry_after)
    }

    fn not_run(&self, reason: Reason, step: Step) -> Failure {
        let peer = Peer::Service(self.service.name().clone());
        let failure = Failure::new(Outcome::NotRun, reason, step, peer);
        self.with_retry_after(failure)
    }

    /// Adds a retry delay with a jitter of 50 % to a refusal that has no retry delay.
    /// A request with an unknown key gets no retry delay.
    fn with_retry_after(&self, failure: Failure) -> Failure {
        let is_retryable = failure.reason != Reason::UnknownKey;
        if failure.retry_after.is_some() || failure.outcome != Outcome::NotRun || !is_retryable {
            return failure;
        }
        let kind = &self.kind.kind;
        let base = match kind.objective_ms {
            0 => Duration::from_millis(kind.deadline_ms),
            objective => Duration::from_millis(objective) / RETRY_AFTERS_PER_OBJECTIVE,
        };
        failure.with_retry_after(base.mul_f64(rand::rng().random_range(0.5..1.5)))
    }
}

/// Returns whether a target may have started to process the request.
fn may_have_run(failed: &AttemptFailure) -> bool {
    failed.failure.outcome != Outcome::NotRun
}

fn attempt_id() -> HeaderValue {
    let id = rand::rng().random::<u64>();
    // Hexadecimal digits are always a valid header value.
    HeaderValue::try_from(format!("{id:016x}")).unwrap_or_else(|_| HeaderValue::from_static("0"))
}
