//! Allocator of one target group, which grants the group's targets to all entry processes.
//!
//! * [`redirects`]: redirects of requests to the other groups of the service.

mod redirects;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use spdlog::debug;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::Allocator;
use thymeshift_allocation::Group;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::RedirectCause;
use thymeshift_allocation::SpilloverReserve;
use thymeshift_config::Configuration;
use thymeshift_config::Service;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::CallerClass;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::ProbeBudget;
use thymeshift_dispatch::RateShare;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::ServiceDump;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_wire::Acquire;
use thymeshift_wire::LeaseNumber;
use thymeshift_wire::Release;
use thymeshift_wire::TargetRateLimit;

use crate::allocation_client::AcquireReply;
use crate::allocation_client::LeaseHolder;
use crate::service::ServiceContext;
use crate::service::SharedGroupReports;
use crate::service::group::redirects::keeps_reserve;

/// Time without an acquire request after which a group counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(100);

/// Age from which a target's last load report is too old to grant the target without a probe.
///
/// The service time of a target changes several times per second.
/// A request keeps the pace at which it starts for its whole duration.
const LOAD_REPORT_AGE_MAX: Duration = Duration::from_millis(10);
/// Maximum number of targets that are probed before one of them is granted.
///
/// In a replayed day without faults, three probes reduced late answers from 460 to 218 of 14,119.
/// They cost 5% more probes in total.
/// Values from five to sixteen showed no consistent difference on two replayed days with high load.
const PROBES_BEFORE_GRANT: usize = 5;

/// Acquire request whose decision waits until the best targets have been probed.
pub(crate) struct PendingAcquire {
    pub(crate) group: Arc<GroupRuntime>,
    pub(crate) targets: Vec<(TargetName, SocketAddr)>,
    pub(crate) acquire: Acquire,
    holder: LeaseHolder,
    received_at: Timestamp,
}

impl PendingAcquire {
    /// Decides the request on the load reports that have arrived so far.
    pub(crate) fn decide(self) {
        self.group.answer(self.holder, &self.acquire, self.received_at);
    }
}

/// Allocator of one target group: lease table, and dispatcher for the requests of the whole fleet.
pub(crate) struct GroupRuntime {
    service: ServiceName,
    group: Group,
    state: Mutex<GroupState>,
    group_reports: SharedGroupReports,
    context: ServiceContext,
}

struct GroupState {
    dispatcher: Dispatcher<AnyStrategy>,
    allocator: Allocator<LeaseHolder>,
    /// Reserve for requests with long answers; `None` if the group keeps none.
    reserve: Option<SpilloverReserve>,
    /// Time of the last acquire request, if there was any.
    last_acquire_at: Option<Timestamp>,
    /// Whether the service configures a probe and a measuring budget for it.
    is_probed: bool,
    probe_budget: ProbeBudget,
}

impl GroupRuntime {
    pub(super) fn new(
        group: Group,
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
        group_reports: SharedGroupReports,
        context: ServiceContext,
    ) -> Arc<Self> {
        let now = BootClock.now();
        let group_service = service_of_group(service, &group);
        let mut dispatcher =
            Dispatcher::configured(configuration, &group_service, own_data_hall, now);
        dispatcher.set_view(View::Fleet);
        dispatcher.set_fair_callers(context.has_fair_callers);
        let state = GroupState {
            dispatcher,
            allocator: Allocator::default(),
            reserve: keeps_reserve(&group, configuration).then(SpilloverReserve::default),
            last_acquire_at: None,
            is_probed: is_probed(service),
            probe_budget: ProbeBudget::default(),
        };
        let service = service.name.clone();
        Arc::new(Self { service, group, state: Mutex::new(state), group_reports, context })
    }

    pub(super) fn update(
        &self,
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
        now: Timestamp,
    ) {
        let group_service = service_of_group(service, &self.group);
        {
            let mut state = self.state.lock();
            state.dispatcher.reconfigure(configuration, &group_service, own_data_hall, now);
            state.is_probed = is_probed(service);
            let keeps_reserve = keeps_reserve(&self.group, configuration);
            state.reserve = keeps_reserve.then(|| state.reserve.take().unwrap_or_default());
        }
        self.wake_waiting(now);
    }

    /// Records an acquire request that arrived or is imminent.
    /// Starts probing if the group was idle, so that the loads of its targets are known.
    pub(crate) fn expect_requests(&self, now: Timestamp) {
        let previous_acquire_at = {
            let mut state = self.state.lock();
            state.probe_budget.record_request();
            state.last_acquire_at.replace(now)
        };
        if previous_acquire_at.is_none_or(|at| now.since(at) > IDLE_AFTER) {
            self.context.group_activated.notify_one();
        }
    }

    /// Handles an acquire request of an entry process.
    /// If the load reports of the best targets are too old, these targets are probed first.
    pub(crate) fn acquire(self: &Arc<Self>, holder: LeaseHolder, acquire: Acquire) {
        let now = BootClock.now();
        let targets = self.targets_to_probe(&acquire, now);
        if targets.is_empty() {
            self.answer(holder, &acquire, now);
            return;
        }
        let pending =
            PendingAcquire { group: self.clone(), targets, acquire, holder, received_at: now };
        // The channel is closed only when the process exits, after its receiving task has ended.
        if let Err(unsent) = self.context.pending_acquires.send(pending) {
            unsent.0.decide();
        }
    }

    fn targets_to_probe(&self, acquire: &Acquire, now: Timestamp) -> Vec<(TargetName, SocketAddr)> {
        let state = &mut *self.state.lock();
        if !state.is_probed {
            return Vec::new();
        }
        let request = request_of(acquire, &self.group, &mut state.dispatcher, now);
        state.dispatcher.likely_stale_targets(
            &request,
            LOAD_REPORT_AGE_MAX,
            PROBES_BEFORE_GRANT,
            now,
        )
    }

    /// Decides an acquire request that arrived at `received_at` and sends the reply to its holder.
    fn answer(&self, holder: LeaseHolder, acquire: &Acquire, received_at: Timestamp) {
        let now = BootClock.now();
        let key = LeaseKey { holder, number: acquire.number.0 };
        let reply = self.decide(&key, acquire, received_at, now);
        if reply == AcquireReply::Waiting {
            self.context.request_queued.notify_one();
        }
        self.context.allocation.reply(&key.holder, acquire.number, reply);
        self.wake_waiting(now);
    }

    fn decide(
        &self,
        key: &LeaseKey<LeaseHolder>,
        acquire: &Acquire,
        received_at: Timestamp,
        now: Timestamp,
    ) -> AcquireReply {
        self.expect_requests(now);
        let state = &mut *self.state.lock();
        state.dispatcher.set_can_overflow(
            self.group_reports.lock().headroom.is_available_outside(&self.group, now),
        );
        let held = lease_numbers(&acquire.held);
        state.allocator.release_unlisted(&key.holder, &held, &mut state.dispatcher, now);
        let request = request_of(acquire, &self.group, &mut state.dispatcher, received_at);
        if let Some(cause) = self.redirect_cause(key, acquire, &request, state, now)
            && let Some((other, by)) =
                self.group_reports.lock().reserve_in_other_group(&self.group, now)
        {
            self.record_redirect(&mut state.reserve, &other, cause, now);
            return AcquireReply::Redirected(other, by);
        }
        let GroupState { dispatcher, allocator, .. } = state;
        let allocation = allocator.acquire(key.clone(), request, dispatcher, now, &mut rand::rng());
        if let Allocation::Refused(refusal) = &allocation {
            self.record_refusal(&request, refusal, dispatcher);
        }
        reply_of(allocation)
    }

    /// Counts and logs a refusal by whether its caller asks for much more than the others.
    fn record_refusal(
        &self,
        request: &Request,
        refusal: &Refusal,
        dispatcher: &Dispatcher<AnyStrategy>,
    ) {
        if !self.context.has_fair_callers {
            return;
        }
        let is_over_share = dispatcher.is_over_share(request.caller);
        let share = if is_over_share { "over" } else { "within" };
        counter!(metric::CALLERS_REFUSED, "share" => share).increment(1);
        if is_over_share {
            let (caller, priority) = (request.caller.number(), request.priority);
            debug!("caller_over_share_refused", kv: {
                group: = self.group, caller, priority, reason: = refusal.reason
            });
        }
    }

    /// Ends a lease, or the wait for one, and applies the holder's report on the target.
    pub(crate) fn release(&self, holder: LeaseHolder, release: &Release) {
        let now = BootClock.now();
        let key = LeaseKey { holder, number: release.number.0 };
        {
            let GroupState { dispatcher, allocator, .. } = &mut *self.state.lock();
            allocator.release(&key, &release.report, dispatcher, now);
            allocator.release_unlisted(&key.holder, &lease_numbers(&release.held), dispatcher, now);
        }
        self.wake_waiting(now);
    }

    /// Sends the dispatcher's decisions to the holders of queued acquire requests.
    pub(super) fn wake_waiting(&self, now: Timestamp) {
        let GroupState { dispatcher, allocator, reserve: own_reserve, .. } =
            &mut *self.state.lock();
        let rng = &mut rand::rng();
        while let Some(wake) = dispatcher.next_wake(now, rng) {
            let (ticket, woken) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            match allocator.resolve_ticket(ticket, woken, dispatcher, now) {
                Ok((key, allocation)) => {
                    let number = LeaseNumber(key.number);
                    self.context.allocation.reply(&key.holder, number, reply_of(allocation));
                }
                // The holder released the lease before the decision; the grant is returned.
                Err(Ok(grant)) => dispatcher.release(grant, now),
                Err(Err(_)) => {}
            }
        }
        let reserve = || match self.group {
            Group::All => None,
            Group::Hall(_) => self.group_reports.lock().reserve_in_other_group(&self.group, now),
        };
        while let Some((key, (other, by))) = allocator.next_redirected(dispatcher, now, reserve) {
            let number = LeaseNumber(key.number);
            self.record_redirect(own_reserve, &other, RedirectCause::NoRoom, now);
            let reply = AcquireReply::Redirected(other, by);
            self.context.allocation.reply(&key.holder, number, reply);
        }
    }

    pub(super) fn is_of_hall(&self, hall: &DataHallName) -> bool {
        self.group.is_of_hall(hall)
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.state.lock().dispatcher.has_waiting()
    }

    /// Ends expired leases and waits; see [`crate::service::ServiceRuntime::tick`].
    pub(super) fn tick(&self, now: Timestamp) -> Option<Duration> {
        let gap = {
            let GroupState { dispatcher, allocator, .. } = &mut *self.state.lock();
            allocator.expire(dispatcher, now);
            dispatcher.tick(now)
        };
        self.wake_waiting(now);
        gap
    }

    /// Merges a target's rate limit that a peer sent.
    pub(super) fn merge_rate_limit(&self, limit: &TargetRateLimit, now: Timestamp) {
        let TargetRateLimit { target, incarnation, update, .. } = limit;
        self.state.lock().dispatcher.merge_target_rate_limit(target, *incarnation, update, now);
    }

    /// Sets the share of the targets' rate limits that this process may grant.
    pub(super) fn set_rate_share(&self, share: RateShare) {
        self.state.lock().dispatcher.set_rate_share(share);
    }

    pub(super) fn adopt_concurrency(&self, concurrency: u32) {
        self.state.lock().dispatcher.adopt_concurrency(concurrency);
    }

    pub(super) fn mark_leaving(&self, mark: &LeavingMark) -> bool {
        self.state.lock().dispatcher.mark_leaving(&mark.target, mark.incarnation)
    }

    pub(super) fn set_stopped(&self, is_stopped: &impl Fn(&TargetName) -> bool) {
        self.state.lock().dispatcher.set_stopped(is_stopped);
    }

    pub(crate) fn record_probe(
        &self,
        name: &TargetName,
        report: LoadReport,
    ) -> Option<LeavingMark> {
        let now = BootClock.now();
        let mark = self.state.lock().dispatcher.record_probe(name, report, now);
        // The report may end a slow spell, after which the target serves queued requests again.
        self.wake_waiting(now);
        mark
    }

    /// Returns whether the last acquire request arrived less than `window` ago.
    pub(crate) fn was_acquired_within(&self, window: Duration, now: Timestamp) -> bool {
        self.state.lock().last_acquire_at.is_some_and(|at| now.since(at) < window)
    }

    /// Returns how many targets of the group may be probed.
    pub(crate) fn target_count(&self) -> usize {
        self.state.lock().dispatcher.probe_targets(BootClock.now()).count()
    }

    /// Returns names and addresses of targets whose last load report is at least `age` old.
    /// The probe budget limits the number of targets.
    pub(crate) fn stale_targets(
        &self,
        age: Duration,
        now: Timestamp,
    ) -> Vec<(TargetName, SocketAddr)> {
        let state = self.state.lock();
        state.dispatcher.stale_targets(age, state.probe_budget.available(), now)
    }

    /// Charges `probes` started probes to the probe budget.
    pub(crate) fn spend_probe_budget(&self, probes: usize) {
        self.state.lock().probe_budget.spend(probes);
    }

    pub(super) fn dump(&self, now: Timestamp) -> ServiceDump {
        self.state.lock().dispatcher.dump(now)
    }
}

fn is_probed(service: &Service) -> bool {
    service.probe.is_some() && service.measuring_budget_us_per_s > 0
}

/// Returns a copy of the service that holds only the targets of the group.
fn service_of_group(service: &Service, group: &Group) -> Service {
    let targets = service.targets.iter().filter(|target| group.contains(target)).cloned().collect();
    Service { targets, ..service.clone() }
}

/// Returns the request that the dispatcher decides on.
/// In a group of one hall, only a request that may be redirected waits for a home target: without
/// a local wait, it would be redirected or take any target of the group.
fn request_of(
    acquire: &Acquire,
    group: &Group,
    dispatcher: &mut Dispatcher<AnyStrategy>,
    now: Timestamp,
) -> Request {
    let index_of = |name| dispatcher.index_of(name);
    let tried: Tried = acquire.tried.iter().filter_map(index_of).collect();
    let excluded: Excluded = acquire.excluded.iter().filter_map(index_of).collect();
    let deadline = now + acquire.deadline;
    let wait_until = (now + acquire.wait).min(deadline);
    let may_leave_hall = *group == Group::All || acquire.may_redirect;
    let has_local_wait = may_leave_hall && !acquire.local_wait.is_zero();
    let local_until = (now + acquire.local_wait).min(wait_until);
    Request {
        priority: acquire.priority,
        caller: CallerClass::from_number(acquire.caller),
        deadline,
        wait_until,
        objective: (now + acquire.objective).min(deadline),
        queue_max: acquire.queue_max,
        tried,
        excluded,
        origin: dispatcher.hall_index(&acquire.data_hall),
        answer_kib: acquire.answer_kib,
        local_until: if has_local_wait { local_until } else { Timestamp::default() },
    }
}

fn reply_of(allocation: Allocation) -> AcquireReply {
    match allocation {
        Allocation::Granted(granted) => AcquireReply::Granted(granted),
        Allocation::Waiting => AcquireReply::Waiting,
        Allocation::Refused(refusal) => AcquireReply::Refused(refusal),
    }
}

fn lease_numbers(held: &[LeaseNumber]) -> Vec<u64> {
    held.iter().map(|number| number.0).collect()
}
