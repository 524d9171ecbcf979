//! Decisions of one service at one VM.
//!
//! * [`reconfiguration`]: applies a configuration.
//! * [`observations`]: records the results of attempts and probes.
//! * [`probing`]: selects the targets to probe.
//! * [`local_waits`]: requests that wait for a target in their own data hall.
//! * [`target_limits`]: requests while targets ask for a backoff or state a rate limit.

mod local_waits;
mod observations;
mod probing;
mod reconfiguration;
mod target_limits;

use std::time::Duration;

use rand::Rng;
use thymeshift_config::Ejection;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::Reason;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::AnyStrategy;
use crate::CallerClass;
use crate::CallerShares;
use crate::Candidates;
use crate::Decision;
use crate::Grant;
use crate::HallIndex;
use crate::PauseDetector;
use crate::QueueDump;
use crate::RateLimitUpdate;
use crate::Refusal;
use crate::Request;
use crate::RetryBudget;
use crate::ServiceDump;
use crate::Strategy;
use crate::TargetIndex;
use crate::Ticket;
use crate::Tried;
use crate::View;
use crate::Wake;
use crate::admission::Admission;
use crate::queue::Queue;
use crate::strategy::Reach;
use crate::table::TargetTable;

/// Gap between two ticks above which the process counts as paused.
/// The entry process calls [`Dispatcher::tick`] ten times within this gap.
const PAUSE_GAP_MAX: Duration = Duration::from_millis(500);

/// Dispatcher of one service.
#[derive(Debug)]
pub struct Dispatcher<S> {
    service: ServiceName,
    strategy: S,
    table: TargetTable,
    queue: Queue,
    admission: Admission,
    retry: RetryBudget,
    ejection: Ejection,
    pause: PauseDetector,
    view: View,
    /// Whether other groups of the service have spare capacity for requests without a target here.
    can_overflow: bool,
    /// Recent requests by class of callers; `None` unless callers are served fairly.
    callers: Option<CallerShares>,
}

impl Dispatcher<AnyStrategy> {
    /// Returns the state of this dispatcher for operators and tools.
    pub fn dump(&self, now: Timestamp) -> ServiceDump {
        let queues = self.queue.waiting_by_priority();
        let queues = queues.map(|(priority, waiting, waiting_at_home)| QueueDump {
            priority,
            waiting,
            waiting_at_home,
        });
        let ahead = self.queue.count_ahead(u8::MAX, false, now, |_| false);
        ServiceDump {
            name: self.service.clone(),
            strategy: self.strategy.name(),
            retry_reserve: self.retry.reserve(),
            expected_wait_us: self.admission.expected_wait(ahead).as_micros() as u64,
            queues: queues.collect(),
            callers: self.callers.as_ref().map(CallerShares::dump),
            view: self.view,
            targets: self.table.dump(self.view, now),
        }
    }
}

impl<S: Strategy> Dispatcher<S> {
    /// Creates a dispatcher without targets.
    pub fn new(service: ServiceName, strategy: S, now: Timestamp) -> Self {
        Self {
            service,
            strategy,
            table: TargetTable::default(),
            queue: Queue::new(),
            admission: Admission::new(),
            retry: RetryBudget::new(0),
            ejection: Ejection::default(),
            pause: PauseDetector::new(now, PAUSE_GAP_MAX),
            view: View::Own,
            can_overflow: false,
            callers: None,
        }
    }

    /// Sets whether requests without a target here can go to other groups of the service.
    /// If so, any number of targets may be ejected.
    pub fn set_can_overflow(&mut self, can_overflow: bool) {
        self.can_overflow = can_overflow;
    }

    /// Sets whether callers who ask for less are served first within a priority.
    pub fn set_fair_callers(&mut self, is_fair: bool) {
        if is_fair != self.callers.is_some() {
            self.callers = is_fair.then(CallerShares::default);
        }
    }

    /// Whether callers are served fairly and the caller asks for much more than the others.
    pub fn is_over_share(&self, caller: CallerClass) -> bool {
        self.callers.as_ref().is_some_and(|callers| callers.is_over_share(caller))
    }

    /// Sets the processes whose requests the counts include from now on.
    pub fn set_view(&mut self, view: View) {
        self.view = view;
    }

    /// Returns the processes whose requests the counts include.
    pub fn view(&self) -> View {
        self.view
    }

    /// Grants the target called `name`, which an allocator chose and counted against its rate limit
    /// `limit`, if any. Returns `None` if the target is unknown here or may not get new work.
    pub fn grant_target(
        &mut self,
        name: &TargetName,
        limit: Option<RateLimitUpdate>,
        now: Timestamp,
    ) -> Option<Grant> {
        let index = self.table.find(name)?;
        let target = self.table.get_mut(index);
        if let Some(limit) = &limit {
            target.rate_limit.merge(limit, now);
        }
        if !target.may_receive(now) {
            return None;
        }
        let is_counted = limit.is_some_and(|limit| limit.is_limited());
        let grant = self.table.grant(index, HallIndex::default(), self.view, now);
        Some(Grant { is_counted, ..grant })
    }

    /// Whether a grant was counted against its target's rate limit, if the target states one.
    /// A grant that was not counted must not be used: the limit was unknown to the process
    /// that chose the target, or is newer than the choice.
    pub fn is_within_limit(&self, grant: &Grant) -> bool {
        grant.is_counted || !self.table.get(grant.target).is_rate_limited()
    }

    /// Returns the best number of concurrent requests at one target.
    pub fn concurrency(&self, now: Timestamp) -> u32 {
        self.table.concurrency(now)
    }

    /// Adopts the best number of concurrent requests from an allocator, so that this process need
    /// not measure it again when it takes over as the allocator.
    pub fn adopt_concurrency(&mut self, adopted: u32) {
        self.table.adopt_concurrency(adopted);
    }

    /// Returns the index of a data hall, for [`Request::origin`].
    pub fn hall_index(&mut self, name: &DataHallName) -> HallIndex {
        self.table.hall_index(name)
    }

    /// Returns the index of the target called `name`, or `None` if it is not configured.
    pub fn index_of(&self, name: &TargetName) -> Option<TargetIndex> {
        self.table.find(name)
    }

    /// Returns the name of the target at `index`.
    pub fn name_at(&self, index: TargetIndex) -> TargetName {
        self.table.get(index).name.clone()
    }

    /// Detects pauses of the process; a running process must call it several times in
    /// `PAUSE_GAP_MAX`. Returns the duration of the pause, if there was one.
    pub fn tick(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = self.pause.observe(now)?;
        for target in self.table.iter_mut() {
            target.discard_reports();
        }
        Some(gap)
    }

    /// Decides on a new request, or on a further attempt of a request.
    pub fn request<R: Rng>(&mut self, request: Request, now: Timestamp, rng: &mut R) -> Decision {
        self.tick(now);
        if let Some(callers) = &mut self.callers {
            callers.record(request.caller, now, rng);
        }
        if now >= request.deadline {
            return Decision::Refuse(self.refusal(Reason::Deadline, &request, now, rng));
        }
        if let Some(home) = self.home_to_wait_for(&request, now) {
            if self.is_open_for(home, &request, now)
                && let Some(grant) = self.choose(&request, Reach::Home, now, rng)
            {
                return Decision::Send(grant);
            }
            return Decision::Wait(self.queue.push_at_home(request, now));
        }
        if let Some(grant) = self.choose(&request, Reach::Anywhere, now, rng) {
            return Decision::Send(grant);
        }
        if !self.is_any_target_eligible(&request) {
            return Decision::Refuse(self.refusal(Reason::NoTarget, &request, now, rng));
        }
        if let Some(refusal) = self.backoff_refusal(&request, now, rng) {
            return Decision::Refuse(refusal);
        }
        if self.queue.waiting_at(request.priority) >= request.queue_max as usize
            && !self.evict_for(&request)
        {
            return Decision::Refuse(self.refusal(Reason::QueueFull, &request, now, rng));
        }
        let ahead = self.count_ahead(&request, now);
        if let Some(refusal) = self.rate_limit_refusal(&request, ahead, now, rng) {
            return Decision::Refuse(refusal);
        }
        let wait = self.admission.expected_wait(ahead);
        if now + wait > request.wait_until {
            return Decision::Refuse(self.refusal(Reason::DeadlineUnreachable, &request, now, rng));
        }
        Decision::Wait(self.queue.push(request, now))
    }

    /// Makes room for a request in the full queue of its priority, if callers are served fairly
    /// and a waiting request there has a caller who asks for much more than the others.
    /// The queue exceeds its limit until [`Self::next_wake`] has returned the refused request.
    fn evict_for(&mut self, request: &Request) -> bool {
        let Some(callers) = &mut self.callers else {
            return false;
        };
        let is_evicted = request.queue_max > 0
            && !callers.is_over_share(request.caller)
            && self.queue.evict_over_share(request.priority, callers);
        if is_evicted {
            callers.record_refused_first();
        }
        is_evicted
    }

    /// Whether any requests wait for a target.
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Earns a share of a retry for a request that this process received.
    pub fn record_request(&mut self) {
        self.retry.record_request();
    }

    /// Whether the retry budget allows a retry.
    pub fn has_retry(&self) -> bool {
        self.retry.reserve() >= 1.0
    }

    /// Spends one retry of the retry budget and returns true, if the budget holds one.
    pub fn try_spend_retry(&mut self) -> bool {
        self.retry.try_spend()
    }

    /// Whether a granted request may still be sent.
    /// Must be checked immediately before the first byte: since the choice, the target may have
    /// begun to leave, or the process may have been paused.
    pub fn may_send(&self, grant: &Grant, deadline: Timestamp, now: Timestamp) -> bool {
        let target = self.table.get(grant.target);
        let is_receiving = target.may_receive(now) && target.incarnation == grant.incarnation;
        is_receiving && self.is_within_limit(grant) && now < deadline
    }

    /// Returns the address of a granted request's target.
    pub fn address(&self, grant: &Grant) -> std::net::SocketAddr {
        self.table.get(grant.target).address
    }

    /// Returns the name of a granted request's target.
    pub fn target_name(&self, grant: &Grant) -> TargetName {
        self.table.get(grant.target).name.clone()
    }

    /// Whether a granted request's target is in the data hall of this dispatcher.
    pub fn is_in_own_hall(&self, grant: &Grant) -> bool {
        self.table.get(grant.target).hall == HallIndex::default()
    }

    /// Releases a grant, because the target has finished the request or never received it.
    #[expect(clippy::needless_pass_by_value, reason = "a grant is given back once")]
    pub fn release(&mut self, grant: Grant, now: Timestamp) {
        self.table.get_mut(grant.target).release(&grant);
        // Requests that wait at home do not show that the service is at its capacity.
        self.admission.record_release(now, self.queue.is_any_waiting_anywhere());
    }

    /// Returns the next waiting request that can be sent or must be refused.
    /// After each release, update and tick, it must be called until it returns `None`.
    pub fn next_wake<R: Rng>(&mut self, now: Timestamp, rng: &mut R) -> Option<Wake> {
        if let Some(waiter) = self.queue.pop_expired(now) {
            let reason =
                if waiter.is_evicted { Reason::QueueFull } else { Reason::DeadlineUnreachable };
            let refusal = self.refusal(reason, &waiter.request, now, rng);
            return Some(Wake::Refuse(waiter.ticket, refusal));
        }
        let waiter = self.next_waiter(now)?;
        if let Some(grant) = self.choose(&waiter.request, waiter.reach(), now, rng) {
            self.queue.dequeue(waiter.ticket);
            return Some(Wake::Send(waiter.ticket, grant));
        }
        let refusal = if self.is_any_target_eligible(&waiter.request) {
            self.backoff_refusal(&waiter.request, now, rng)?
        } else {
            self.refusal(Reason::NoTarget, &waiter.request, now, rng)
        };
        self.queue.remove(waiter.ticket);
        Some(Wake::Refuse(waiter.ticket, refusal))
    }

    /// Removes a waiting request because its caller has disconnected.
    /// Returns whether the request was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Marks an incarnation of a target, and all earlier ones, as leaving.
    /// Returns whether the mark is new here.
    pub fn mark_leaving(&mut self, name: &TargetName, incarnation: Incarnation) -> bool {
        self.table.mark_leaving(name, incarnation)
    }

    /// Applies operators' orders: targets for which `is_stopped` returns true get no new work.
    pub fn set_stopped(&mut self, mut is_stopped: impl FnMut(&TargetName) -> bool) {
        for target in self.table.iter_mut() {
            target.is_stopped = is_stopped(&target.name);
        }
    }

    fn choose<R: Rng>(
        &mut self,
        request: &Request,
        reach: Reach,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<Grant> {
        let tried = &request.tried;
        let candidates = Candidates::new(&self.table, self.view, now, tried, request, reach);
        let chosen = match self.strategy.choose(&candidates, rng) {
            Some(index) => index,
            // If all open targets were tried, one of them is tried again rather than none.
            None if !request.tried.is_empty() => {
                let untried = Tried::default();
                let candidates =
                    Candidates::new(&self.table, self.view, now, &untried, request, reach);
                self.strategy.choose(&candidates, rng)?
            }
            None => return None,
        };
        Some(self.table.grant(chosen, request.origin, self.view, now))
    }

    fn refusal<R: Rng>(
        &self,
        reason: Reason,
        request: &Request,
        now: Timestamp,
        rng: &mut R,
    ) -> Refusal {
        let ahead = self.count_ahead(request, now);
        Refusal { reason, retry_after: self.admission.retry_after(ahead, rng) }
    }

    /// Whether any target that is not excluded may get the request, now or later.
    fn is_any_target_eligible(&self, request: &Request) -> bool {
        let mut targets = self.table.targets().iter().enumerate();
        targets.any(|(index, target)| {
            target.is_serving() && !request.excluded.contains(TargetIndex::new(index))
        })
    }

    /// Returns the number of waiting requests that are served before `request`.
    fn count_ahead(&self, request: &Request, now: Timestamp) -> usize {
        let expected_answer_at = self.expected_answer_at(now);
        let is_in_time = expected_answer_at <= request.objective;
        let callers = self.callers.as_ref().map(|callers| (callers, callers.count(request.caller)));
        let yields = |waiting: &Request| {
            callers.is_some_and(|(callers, own)| callers.count(waiting.caller) > own)
        };
        self.queue.count_ahead(request.priority, is_in_time, expected_answer_at, yields)
    }

    /// Returns the expected time of the answer to a request that is sent now.
    fn expected_answer_at(&self, now: Timestamp) -> Timestamp {
        now + self.service_time()
    }

    /// Returns the number of further requests that targets would serve at nearly their usual pace.
    pub fn spare_capacity(&self, now: Timestamp) -> u32 {
        self.table.spare_capacity(self.view, now)
    }

    /// Returns the number of requests that all serving targets run at the same time.
    pub fn capacity(&self, now: Timestamp) -> u32 {
        let serving = self.table.targets().iter().filter(|target| target.is_serving()).count();
        self.table.concurrency(now).saturating_mul(serving as u32)
    }

    /// Returns the mean time of a request at an idle target.
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.table.model().service_us() as u64)
    }

    /// Returns the number of requests in flight at one target, for tests and dumps.
    pub fn in_flight(&self, index: TargetIndex) -> u32 {
        self.table.get(index).in_flight()
    }
}
