//! One request from its kind to its answer: choosing, waiting, attempts.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use http::HeaderValue;
use http::Response;
use http::request::Parts;
use rand::Rng;
use spdlog::info;
use thymeshift_config::Repeat;
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
use tokio::time::sleep;

use crate::caller::suspicion::Suspicion;
use crate::organisations::Identity;
use crate::organisations::rank;
use crate::routing::KindRuntime;
use crate::service::GrantGuard;
use crate::service::ServiceRuntime;
use crate::shared::Shared;
use crate::target_client::Attempt;
use crate::target_client::AttemptFailure;
use crate::target_client::AttemptPlan;
use crate::target_client::Freshness;
use crate::target_client::RequestBody;
use crate::target_client::TargetBody;

/// Choices that may turn out unusable before the first byte, for one request.
const GIVEN_UP_MAX: u32 = 8;

/// A caller whose request a target turned away may come back after this part of its objective,
/// in the mean: the next target may take it, and then it still meets the objective.
const RETRY_AFTERS_PER_OBJECTIVE: u32 = 8;

/// Time to obtain a target above which a request counts as having waited.
const WAITED_MIN: Duration = Duration::from_millis(5);

/// A request whose kind is known.
pub(crate) struct Forward<D> {
    pub(crate) dialect: PhantomData<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) kind: Arc<KindRuntime>,
    pub(crate) service: Arc<ServiceRuntime>,
    pub(crate) request_id: HeaderValue,
    pub(crate) suspicion: Suspicion,
    /// Who sent the request; none if its kind needs no key.
    pub(crate) identity: Option<Identity>,
    /// Answers up to this length are complete before any of it goes to the caller.
    pub(crate) answer_buffer_bytes: u64,
    pub(crate) head: Parts,
    pub(crate) deadline: Timestamp,
    /// Until when an answer is worth most to the caller.
    pub(crate) objective: Timestamp,
    pub(crate) attempts_max: u64,
    pub(crate) depth: u64,
    pub(crate) body_stall: Duration,
}

/// How an attempt ended that may have run, although another one followed.
struct Begun {
    failure: Failure,
    answer: Option<Response<TargetBody>>,
}

/// What came of an attempt.
pub(super) type Answered = Result<Response<TargetBody>, Box<AttemptFailure>>;

impl<D: Dialect> Forward<D> {
    /// Forwards the request until there is an answer or nothing more may be tried.
    pub(crate) async fn run(&self, body: RequestBody) -> Result<Response<TargetBody>, Failure> {
        self.service.count_received();
        let mut tried = Tried::default();
        let mut attempts = 0;
        let mut given_up = 0;
        let mut body = body;
        let mut begun = None;
        loop {
            let grant = match self.grant_if_allowed(tried).await {
                Ok(grant) => grant,
                Err(refused) => return self.ended(refused, None, begun),
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
                // Choose again without counting an attempt, or spending a retry.
                attempts -= 1;
                given_up += 1;
                match failed.body {
                    Some(unused) if given_up < GIVEN_UP_MAX && self.has_time() => body = unused,
                    _ => return self.ended(failed.failure, None, begun),
                }
                continue;
            }
            let AttemptFailure { failure, body: unused, answer, .. } = *failed;
            self.log_attempt(&failure, attempts);
            let Some(again) = unused.or(copy).filter(|_| self.may_retry(&failure, attempts)) else {
                return self.ended(failure, answer, begun);
            };
            if failure.outcome != Outcome::NotRun {
                begun = Some(Begun { failure, answer });
            }
            self.kind.metrics.retries.add_one();
            body = again;
        }
    }

    /// What the caller is told after the last attempt. If that one did not run, but an earlier
    /// one may have, it is told of the earlier one.
    fn ended(
        &self,
        last: Failure,
        answer: Option<Response<TargetBody>>,
        begun: Option<Begun>,
    ) -> Result<Response<TargetBody>, Failure> {
        match begun {
            Some(begun) if last.outcome == Outcome::NotRun => begun.answer.ok_or(begun.failure),
            // The target's own words say more than ours.
            Some(_) | None => answer.ok_or_else(|| self.with_retry_after(last)),
        }
    }

    /// One line for each attempt that brought no answer: whether there is another depends
    /// on it.
    fn log_attempt(&self, failure: &Failure, attempt: u64) {
        if !self.shared.allows_request_log_line() {
            return;
        }
        let request_id = self.request_id.to_str().unwrap_or_default();
        let left_ms = BootClock.now().until(self.deadline).as_millis() as u64;
        info!("attempt_failed", kv: {
            request_id, fingerprint: = self.suspicion.fingerprint(),
            attempt, attempts_max = self.attempts_max, left_ms,
            outcome: = failure.outcome, reason: = failure.reason,
            step: = failure.step, peer: = failure.peer,
            has_retry = self.service.has_retry()
        });
    }

    /// Waits for a target, unless the request is known to crash them or its key has been taken
    /// away: it looks before the wait and again after it.
    async fn grant_if_allowed(&self, tried: Tried) -> Result<GrantGuard, Failure> {
        self.pass_quarantine()?;
        let grant = self.grant(tried).await?;
        self.pass_quarantine()?;
        self.pass_identity()?;
        Ok(grant)
    }

    /// Whether the caller's key still counts.
    fn pass_identity(&self) -> Result<(), Failure> {
        let Some(identity) = &self.identity else {
            return Ok(());
        };
        let is_held = self.shared.routing().is_some_and(|routing| identity.holds(&routing.keys));
        if is_held {
            return Ok(());
        }
        let peer = Peer::Service(self.service.name().clone());
        Err(Failure::new(Outcome::NotRun, Reason::UnknownKey, Step::Choose, peer))
    }

    fn pass_quarantine(&self) -> Result<(), Failure> {
        match self.suspicion.verdict() {
            Verdict::Free | Verdict::Suspected => Ok(()),
            Verdict::Refused(left) => {
                Err(self.not_run(Reason::Quarantined, Step::Choose).with_retry_after(left))
            }
        }
    }

    /// Waits for a target.
    async fn grant(&self, tried: Tried) -> Result<GrantGuard, Failure> {
        let begun = BootClock.now();
        let obtained = self.service.obtain(&self.shared, self.request(tried)).await;
        if BootClock.now().since(begun) > WAITED_MIN {
            self.kind.metrics.waited.add_one();
        }
        obtained.map_err(|refusal| match refusal {
            Some(refusal) => self.refused(refusal, Step::Choose),
            None => self.not_run(Reason::Deadline, Step::Queue),
        })
    }

    fn request(&self, tried: Tried) -> Request {
        let kind = &self.kind.kind;
        let wait_until = BootClock.now() + Duration::from_millis(kind.wait_max_ms);
        Request {
            priority: rank(self.identity.as_ref(), kind),
            deadline: self.deadline,
            wait_until: wait_until.min(self.deadline),
            objective: self.objective,
            queue_max: u32::try_from(kind.queue_max).unwrap_or(u32::MAX),
            tried,
            excluded: Excluded::default(),
            origin: HallIndex::default(),
            answer_kib: self.kind.metrics.answer_kib(),
        }
    }

    /// One attempt, and for kinds that hedge a second one beside it if it takes long.
    async fn attempt(
        &self,
        grant: GrantGuard,
        body: RequestBody,
        attempts: &mut u64,
        tried: Tried,
    ) -> Answered {
        let hedge_after = Duration::from_millis(self.kind.kind.hedge_after_ms);
        let copy = if hedge_after.is_zero() { None } else { body.try_copy() };
        let first_target = grant.target();
        let first = Box::pin(self.send(grant, body, *attempts));
        let Some(copy) = copy else {
            return first.await;
        };
        let first = match select(first, Box::pin(sleep(hedge_after))).await {
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
        let second = Box::pin(self.send(grant, copy, *attempts));
        // The first good answer counts; dropping the other attempt cancels it.
        let (failed, left) = match select(first, second).await {
            Either::Left((Err(failed), second)) => (failed, second),
            Either::Right((Err(failed), first)) => (failed, first),
            Either::Left((answered, _)) | Either::Right((answered, _)) => return answered,
        };
        left.await.map_err(|last| if may_have_run(&last) { last } else { failed })
    }

    /// A target for a second attempt beside the first: at once or not at all.
    async fn hedge_grant(&self, attempts: u64, tried: Tried) -> Option<GrantGuard> {
        let is_allowed = self.kind.kind.repeat == Repeat::Safe && attempts < self.attempts_max;
        if !is_allowed || self.suspicion.verdict() != Verdict::Free || !self.service.try_retry() {
            return None;
        }
        let at_once = Request { queue_max: 0, ..self.request(tried) };
        self.service.obtain(&self.shared, at_once).await.ok()
    }

    async fn send(&self, grant: GrantGuard, body: RequestBody, attempt: u64) -> Answered {
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
            deadline: self.deadline,
            context,
            id: attempt_id(),
            freshness,
            body_stall: self.body_stall,
            request_id: self.request_id.clone(),
            organisation: self.identity.as_ref().map(|identity| identity.name().clone()),
            answer_buffer_bytes: self.answer_buffer_bytes,
        };
        let answered = Attempt::<D>::new(self.shared.clone(), grant).run(plan).await;
        self.suspicion.note(&answered);
        answered
    }

    /// Another attempt needs: proof that none ran, or a kind that may run twice; a
    /// number and a budget that allow it; and time.
    fn may_retry(&self, failure: &Failure, attempts: u64) -> bool {
        let is_harmless =
            failure.outcome == Outcome::NotRun || self.kind.kind.repeat == Repeat::Safe;
        let is_callers_fault = matches!(failure.reason, Reason::CallerLost | Reason::BodyTooLarge);
        is_harmless
            && !is_callers_fault
            && attempts < self.attempts_max
            && self.has_time()
            && self.pass_quarantine().is_ok()
            && self.pass_identity().is_ok()
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

    /// Every refusal says when to come back.
    fn with_retry_after(&self, failure: Failure) -> Failure {
        let is_answerable = failure.reason != Reason::UnknownKey;
        if failure.retry_after.is_some() || failure.outcome != Outcome::NotRun || !is_answerable {
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

/// Whether a target may have begun with the request.
fn may_have_run(failed: &AttemptFailure) -> bool {
    failed.failure.outcome != Outcome::NotRun
}

fn attempt_id() -> HeaderValue {
    let id = rand::rng().random::<u64>();
    // Hexadecimal digits always make a valid value.
    HeaderValue::try_from(format!("{id:016x}")).unwrap_or_else(|_| HeaderValue::from_static("0"))
}
