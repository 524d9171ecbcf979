//! All decisions of one service at one VM.
//!
//! * [`reconfiguration`]: taking in a configuration.
//! * [`observations`]: what attempts and probes teach.
//! * [`probing`]: which targets are worth a probe.

mod observations;
mod probing;
mod reconfiguration;

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
use crate::admission::jittered_retry_after;
use crate::admission::jittered_return_delay;
use crate::queue::Queue;
use crate::request::EXCLUDED_MAX;
use crate::table::TargetTable;

/// A gap in the process's own time above this is a pause. The entry process calls
/// [`Dispatcher::tick`] ten times as often.
const PAUSE_GAP_MAX: Duration = Duration::from_millis(500);

/// The dispatcher of one service.
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
    /// Whether others have room for what finds no target here.
    can_overflow: bool,
}

impl Dispatcher<AnyStrategy> {
    /// What this dispatcher believes.
    pub fn dump(&self, now: Timestamp) -> ServiceDump {
        let queues = self.queue.waiting_by_priority();
        let queues = queues.map(|(priority, waiting)| QueueDump { priority, waiting }).collect();
        let ahead = self.queue.count_ahead(u8::MAX, false, now);
        ServiceDump {
            name: self.service.clone(),
            strategy: self.strategy.name(),
            retry_reserve: self.retry.reserve(),
            expected_wait_us: self.admission.expected_wait(ahead).as_micros() as u64,
            queues,
            view: self.view,
            targets: self.table.dump(self.view, now),
        }
    }
}

impl<S: Strategy> Dispatcher<S> {
    /// A dispatcher without targets.
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
        }
    }

    /// Says whether requests that find no target here may go elsewhere: then any number of
    /// targets may be set aside.
    pub fn set_can_overflow(&mut self, is_backed: bool) {
        self.can_overflow = is_backed;
    }

    /// Says whose requests the counts hold from now on.
    pub fn set_view(&mut self, view: View) {
        self.view = view;
    }

    /// Whose requests the counts hold.
    pub fn view(&self) -> View {
        self.view
    }

    /// The right to send to the target called `name`, which another process chose knowing
    /// `limit` of it. None if it is not known here, or may not receive new work.
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

    /// Whether a grant was counted against the limit that its target has named, if there is one.
    /// One that was not must not be used: whoever chose did not know of the limit, or it is newer
    /// than the choice.
    pub fn is_within_limit(&self, grant: &Grant) -> bool {
        grant.is_counted || !self.table.get(grant.target).is_rate_limited()
    }

    /// Most requests that one target serves well at a time.
    pub fn concurrency(&self, now: Timestamp) -> u32 {
        self.table.concurrency(now)
    }

    /// Takes over that number from a process that counts for the fleet, so that it need not
    /// be found out anew when this one takes its place.
    pub fn adopt_concurrency(&mut self, number: u32) {
        self.table.adopt_concurrency(number);
    }

    /// The number of a data hall, for [`Request::origin`].
    pub fn hall_index(&mut self, name: &DataHallName) -> HallIndex {
        self.table.hall_index(name)
    }

    /// The place of the target called `name`.
    pub fn index_of(&self, name: &TargetName) -> Option<TargetIndex> {
        self.table.find(name)
    }

    /// The name of the target at `index`.
    pub fn name_at(&self, index: TargetIndex) -> TargetName {
        self.table.get(index).name.clone()
    }

    /// Must be called several times in [`PAUSE_GAP_MAX`]: it notices pauses of the process.
    /// Returns the pause, if there was one.
    pub fn tick(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = self.pause.observe(now)?;
        for target in self.table.iter_mut() {
            target.discard_reports();
        }
        Some(gap)
    }

    /// Decides on a new request, or on another attempt of one.
    pub fn request<R: Rng>(&mut self, request: Request, now: Timestamp, rng: &mut R) -> Decision {
        self.tick(now);
        if now >= request.deadline {
            return Decision::Refuse(self.refusal(Reason::Deadline, &request, now, rng));
        }
        if let Some(grant) = self.choose(&request, now, rng) {
            return Decision::Send(grant);
        }
        if !self.is_served(&request) {
            return Decision::Refuse(self.refusal(Reason::NoTarget, &request, now, rng));
        }
        if let Some(refusal) = self.backoff_refusal(&request, now, rng) {
            return Decision::Refuse(refusal);
        }
        if self.queue.waiting_at(request.priority) >= request.queue_max as usize {
            return Decision::Refuse(self.refusal(Reason::QueueFull, &request, now, rng));
        }
        let ahead = self.ahead_of(&request, now);
        if let Some(refusal) = self.rate_limit_refusal(&request, ahead, now, rng) {
            return Decision::Refuse(refusal);
        }
        let wait = self.admission.expected_wait(ahead);
        if now + wait > request.wait_until {
            return Decision::Refuse(self.refusal(Reason::DeadlineUnreachable, &request, now, rng));
        }
        Decision::Wait(self.queue.push(request, now))
    }

    /// Whether requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Counts a request that this process received, for the retry budget.
    pub fn record_request(&mut self) {
        self.retry.record_request();
    }

    /// Whether the budget allows a retry.
    pub fn has_retry(&self) -> bool {
        self.retry.reserve() >= 1.0
    }

    /// Spends one retry of the budget.
    pub fn try_spend_retry(&mut self) -> bool {
        self.retry.try_spend()
    }

    /// Whether the request may still be sent: ask immediately before the first byte. The
    /// target may have begun to leave, or the process may have slept, since the choice.
    pub fn may_send(&self, grant: &Grant, deadline: Timestamp, now: Timestamp) -> bool {
        let target = self.table.get(grant.target);
        let is_meant = target.may_receive(now) && target.incarnation == grant.incarnation;
        is_meant && self.is_within_limit(grant) && now < deadline
    }

    /// Where a granted request goes.
    pub fn address(&self, grant: &Grant) -> std::net::SocketAddr {
        self.table.get(grant.target).address
    }

    /// Name of a granted request's target.
    pub fn target_name(&self, grant: &Grant) -> TargetName {
        self.table.get(grant.target).name.clone()
    }

    /// Gives a grant back: the target is done with the request, or never saw it.
    #[expect(clippy::needless_pass_by_value, reason = "a grant is given back once")]
    pub fn release(&mut self, grant: Grant, now: Timestamp) {
        self.table.get_mut(grant.target).release(&grant);
        self.admission.record_release(now, !self.queue.is_empty());
    }

    /// The next waiting request that may go or whose time is over. Ask until there is
    /// none, after each release, update and tick.
    pub fn next_wake<R: Rng>(&mut self, now: Timestamp, rng: &mut R) -> Option<Wake> {
        if let Some(waiter) = self.queue.pop_expired(now) {
            let refusal = self.refusal(Reason::DeadlineUnreachable, &waiter.request, now, rng);
            return Some(Wake::Refuse(waiter.ticket, refusal));
        }
        let waiter = self.queue.peek(now, self.answered_at(now))?;
        if let Some(grant) = self.choose(&waiter.request, now, rng) {
            self.queue.dequeue(waiter.ticket);
            return Some(Wake::Send(waiter.ticket, grant));
        }
        let refusal = if self.is_served(&waiter.request) {
            self.backoff_refusal(&waiter.request, now, rng)?
        } else {
            self.refusal(Reason::NoTarget, &waiter.request, now, rng)
        };
        self.queue.remove(waiter.ticket);
        Some(Wake::Refuse(waiter.ticket, refusal))
    }

    /// Takes a waiting request out because its caller went away. Returns whether it
    /// still waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Marks an incarnation of a target, and all earlier ones, as leaving. Returns
    /// whether that is news.
    pub fn mark_leaving(&mut self, name: &TargetName, incarnation: Incarnation) -> bool {
        self.table.mark_leaving(name, incarnation)
    }

    /// Applies operators' orders: targets for which `is_stopped` holds get no new work.
    pub fn set_stopped(&mut self, mut is_stopped: impl FnMut(&TargetName) -> bool) {
        for target in self.table.iter_mut() {
            target.is_stopped = is_stopped(&target.name);
        }
    }

    fn choose<R: Rng>(&mut self, request: &Request, now: Timestamp, rng: &mut R) -> Option<Grant> {
        let candidates = Candidates::new(&self.table, self.view, now, &request.tried, request);
        let chosen = match self.strategy.choose(&candidates, rng) {
            Some(index) => index,
            // A second attempt at the same target is better than none.
            None if !request.tried.is_empty() => {
                let untried = Tried::default();
                let candidates = Candidates::new(&self.table, self.view, now, &untried, request);
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
        let ahead = self.ahead_of(request, now);
        Refusal { reason, retry_after: self.admission.retry_after(ahead, rng) }
    }

    /// Whether any target may get the request now or later.
    fn is_served(&self, request: &Request) -> bool {
        let mut places = self.table.targets().iter().enumerate();
        places.any(|(place, target)| {
            target.is_serving() && !request.excluded.contains(TargetIndex::new(place))
        })
    }

    /// When the first target may be used again, if all of them have asked this process for a backoff.
    pub fn all_backing_off_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.table.all_backing_off_until(now)
    }

    /// Refuses a request that cannot be sent before its wait ends, because all targets have asked this
    /// process for a backoff.
    pub fn backoff_refusal<R: Rng>(
        &self,
        request: &Request,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<Refusal> {
        let until = self.table.all_backing_off_until(now)?;
        let is_in_time = until <= request.wait_until;
        let retry_after = jittered_return_delay(now.until(until), rng);
        (!is_in_time).then_some(Refusal { reason: Reason::BackingOff, retry_after })
    }

    /// Names of targets of a data hall, or of all, that have asked this process for a backoff: as
    /// many as a request can exclude.
    pub fn backing_off_targets(
        &mut self,
        hall: Option<&DataHallName>,
        now: Timestamp,
    ) -> Vec<TargetName> {
        let hall = hall.map(|hall| self.table.hall_index(hall));
        let targets = self.table.targets().iter();
        let meant = targets.filter(|target| {
            hall.is_none_or(|hall| target.hall == hall) && target.backoff.is_active(now)
        });
        meant.take(EXCLUDED_MAX).map(|target| target.name.clone()).collect()
    }

    /// Whether a target has asked this process for a backoff.
    pub fn is_backing_off(&self, name: &TargetName, now: Timestamp) -> bool {
        let index = self.table.find(name);
        index.is_some_and(|index| self.table.get(index).backoff.is_active(now))
    }

    /// Refuses a request that cannot be sent before its wait ends, because all targets are in need
    /// and take only so many requests a second.
    fn rate_limit_refusal<R: Rng>(
        &self,
        request: &Request,
        ahead: usize,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<Refusal> {
        let limited = self.table.limited_rate(self.view, now)?;
        let wait = limited.next_in.map(|next_in| {
            let behind_s = ahead as f64 / limited.per_s;
            Duration::try_from_secs_f64(behind_s).map_or(Duration::MAX, |behind| next_in + behind)
        });
        if wait.is_some_and(|wait| now + wait <= request.wait_until) {
            return None;
        }
        let wait = wait.unwrap_or(Duration::ZERO);
        Some(Refusal { reason: Reason::RateLimited, retry_after: jittered_retry_after(wait, rng) })
    }

    /// Waiting requests that go before this one.
    fn ahead_of(&self, request: &Request, now: Timestamp) -> usize {
        let answered_at = self.answered_at(now);
        let is_in_time = answered_at <= request.objective;
        self.queue.count_ahead(request.priority, is_in_time, answered_at)
    }

    /// When the answer to a request that is sent now usually comes.
    fn answered_at(&self, now: Timestamp) -> Timestamp {
        now + Duration::from_micros(self.table.model().service_us() as u64)
    }

    /// Further requests that targets would serve at nearly their usual pace.
    pub fn spare_capacity(&self, now: Timestamp) -> u32 {
        self.table.spare_capacity(self.view, now)
    }

    /// Requests in flight to one target, for tests and dumps.
    pub fn in_flight(&self, index: TargetIndex) -> u32 {
        self.table.get(index).in_flight()
    }
}
