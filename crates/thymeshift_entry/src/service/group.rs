//! Allocating the targets of one group to all processes, this one included.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::Allocator;
use thymeshift_allocation::Group;
use thymeshift_allocation::LeaseKey;
use thymeshift_config::Configuration;
use thymeshift_config::Service;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::ProbeBudget;
use thymeshift_dispatch::RateShare;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::ServiceDump;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_types::LeavingMark;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_wire::Acquire;
use thymeshift_wire::LeaseNumber;
use thymeshift_wire::Release;
use thymeshift_wire::TargetRateLimit;

use crate::allocation_client::AllocatorReply;
use crate::allocation_client::LeaseHolder;
use crate::service::ServiceContext;
use crate::service::SharedGroupReports;

/// Time without a question after which a group counts as rested.
const RESTED: Duration = Duration::from_millis(100);

/// Age from which on what was heard of a target is too old to grant it: work keeps the pace at which
/// it starts, and how long it takes changes several times a second.
const FRESH: Duration = Duration::from_millis(10);
/// Targets probed before one of them is granted. With three of them 218 of 14,119 answers of a played
/// day without faults were late in place of 460, at 5% more probes. Between five and sixteen, played
/// on two days of high load, there is no order to be seen.
const PROBED_BEFORE_GRANT: usize = 5;

/// A request for a target that waits until the best targets have been probed.
pub(crate) struct PendingAcquire {
    pub(crate) group: Arc<GroupRuntime>,
    pub(crate) targets: Vec<(TargetName, SocketAddr)>,
    pub(crate) acquire: Acquire,
    holder: LeaseHolder,
    asked_at: Timestamp,
}

impl PendingAcquire {
    /// Decides with what has been heard by now.
    pub(crate) fn decide(self) {
        self.group.answer(self.holder, &self.acquire, self.asked_at);
    }
}

/// The dispatcher over the whole fleet's requests to one group, with the state of its leases.
pub(crate) struct GroupRuntime {
    group: Group,
    state: Mutex<GroupState>,
    group_reports: SharedGroupReports,
    context: ServiceContext,
}

struct GroupState {
    dispatcher: Dispatcher<AnyStrategy>,
    allocator: Allocator<LeaseHolder>,
    /// When a target was last asked for.
    asked_at: Option<Timestamp>,
    /// Whether the targets may be probed.
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
        let part = part_of(service, &group);
        let mut dispatcher = Dispatcher::configured(configuration, &part, own_data_hall, now);
        dispatcher.set_view(View::Fleet);
        let state = GroupState {
            dispatcher,
            allocator: Allocator::default(),
            asked_at: None,
            is_probed: is_probed(service),
            probe_budget: ProbeBudget::default(),
        };
        Arc::new(Self { group, state: Mutex::new(state), group_reports, context })
    }

    pub(super) fn update(
        &self,
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
        now: Timestamp,
    ) {
        let part = part_of(service, &self.group);
        {
            let mut state = self.state.lock();
            state.dispatcher.reconfigure(configuration, &part, own_data_hall, now);
            state.is_probed = is_probed(service);
        }
        self.wake_waiting(now);
    }

    /// Requests come, or are about to: the targets' loads must be known.
    pub(crate) fn expect_requests(&self, now: Timestamp) {
        let before = {
            let mut state = self.state.lock();
            state.probe_budget.requested();
            state.asked_at.replace(now)
        };
        if before.is_none_or(|at| now.since(at) > RESTED) {
            self.context.group_activated.notify_one();
        }
    }

    /// A process asks for a target.
    pub(crate) fn acquire(self: &Arc<Self>, holder: LeaseHolder, acquire: Acquire) {
        let now = BootClock.now();
        let targets = self.worth_asking(&acquire, now);
        if targets.is_empty() {
            self.answer(holder, &acquire, now);
            return;
        }
        let pending =
            PendingAcquire { group: self.clone(), targets, acquire, holder, asked_at: now };
        // The probing task is gone only when the process ends.
        if let Err(unsent) = self.context.pending_acquires.send(pending) {
            unsent.0.decide();
        }
    }

    fn worth_asking(&self, acquire: &Acquire, now: Timestamp) -> Vec<(TargetName, SocketAddr)> {
        let state = &mut *self.state.lock();
        if !state.is_probed {
            return Vec::new();
        }
        let request = request_of(acquire, &mut state.dispatcher, now);
        state.dispatcher.worth_asking(&request, FRESH, PROBED_BEFORE_GRANT, now)
    }

    /// Answers a process that asked for a target at `asked_at`.
    fn answer(&self, holder: LeaseHolder, acquire: &Acquire, asked_at: Timestamp) {
        let now = BootClock.now();
        let key = LeaseKey { holder, number: acquire.number.0 };
        let reply = self.decide(&key, acquire, asked_at, now);
        if reply == AllocatorReply::Waiting {
            self.context.request_queued.notify_one();
        }
        self.context.allocation.reply(&key.holder, acquire.number, reply);
        self.wake_waiting(now);
    }

    fn decide(
        &self,
        key: &LeaseKey<LeaseHolder>,
        acquire: &Acquire,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> AllocatorReply {
        self.expect_requests(now);
        let GroupState { dispatcher, allocator, .. } = &mut *self.state.lock();
        dispatcher.set_backed(self.group_reports.lock().rooms.is_elsewhere(&self.group, now));
        allocator.keep_only(&key.holder, &numbers(&acquire.held), dispatcher, now);
        if acquire.may_redirect
            && !allocator.knows(key)
            && dispatcher.room(now) == 0
            && let Some((other, by)) = self.group_reports.lock().reserve_elsewhere(&self.group, now)
        {
            return AllocatorReply::Redirected(other, by);
        }
        let request = request_of(acquire, dispatcher, asked_at);
        let allocation = allocator.acquire(key.clone(), request, dispatcher, now, &mut rand::rng());
        reply_of(allocation)
    }

    /// A process releases a target, or no longer waits for one.
    pub(crate) fn release(&self, holder: LeaseHolder, release: &Release) {
        let now = BootClock.now();
        let key = LeaseKey { holder, number: release.number.0 };
        {
            let GroupState { dispatcher, allocator, .. } = &mut *self.state.lock();
            allocator.release(&key, &release.report, dispatcher, now);
            allocator.keep_only(&key.holder, &numbers(&release.held), dispatcher, now);
        }
        self.wake_waiting(now);
    }

    /// Tells waiting processes what became of their requests.
    pub(super) fn wake_waiting(&self, now: Timestamp) {
        let GroupState { dispatcher, allocator, .. } = &mut *self.state.lock();
        let rng = &mut rand::rng();
        while let Some(wake) = dispatcher.next_wake(now, rng) {
            let (ticket, woken) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            match allocator.woken(ticket, woken, dispatcher, now) {
                Ok((key, allocation)) => {
                    let number = LeaseNumber(key.number);
                    self.context.allocation.reply(&key.holder, number, reply_of(allocation));
                }
                // Its holder released it in this very moment.
                Err(Ok(grant)) => dispatcher.release(grant, now),
                Err(Err(_)) => {}
            }
        }
    }

    /// Further requests that the targets would serve at nearly their usual pace.
    pub(crate) fn spare_capacity(&self, now: Timestamp) -> u32 {
        self.state.lock().dispatcher.room(now)
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.state.lock().dispatcher.has_waiting()
    }

    /// As [`crate::service::ServiceRuntime::tick`].
    pub(super) fn tick(&self, now: Timestamp) -> Option<Duration> {
        let gap = {
            let GroupState { dispatcher, allocator, .. } = &mut *self.state.lock();
            allocator.expire(dispatcher, now);
            dispatcher.tick(now)
        };
        self.wake_waiting(now);
        gap
    }

    /// Learns what a peer knows of a target's limit.
    pub(super) fn merge_rate_limit(&self, limit: &TargetRateLimit, now: Timestamp) {
        let TargetRateLimit { target, incarnation, told, .. } = limit;
        self.state.lock().dispatcher.merge_rate_limit_of(target, *incarnation, told, now);
    }

    /// Says which part of targets' limits may be granted here.
    pub(super) fn set_rate_share(&self, share: RateShare) {
        self.state.lock().dispatcher.set_rate_share(share);
    }

    pub(super) fn adopt_concurrency(&self, number: u32) {
        self.state.lock().dispatcher.adopt_concurrency(number);
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
        let mark = self.state.lock().dispatcher.learn_probe(name, report, now);
        // A target whose slow spell is over takes requests that wait.
        self.wake_waiting(now);
        mark
    }

    /// Whether a target was asked for within `time`.
    pub(crate) fn was_acquired_within(&self, time: Duration, now: Timestamp) -> bool {
        self.state.lock().asked_at.is_some_and(|at| now.since(at) < time)
    }

    /// How many targets it has.
    pub(crate) fn target_count(&self) -> usize {
        self.state.lock().dispatcher.probe_targets(BootClock.now()).count()
    }

    /// Names and addresses of the targets of which nothing was heard for `age`, as many as may be
    /// probed.
    pub(crate) fn stale_targets(
        &self,
        age: Duration,
        now: Timestamp,
    ) -> Vec<(TargetName, SocketAddr)> {
        let state = self.state.lock();
        state.dispatcher.stale_targets(age, state.probe_budget.left(), now)
    }

    /// Probes of targets of the group have begun.
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

/// The service with the targets of the group alone.
fn part_of(service: &Service, group: &Group) -> Service {
    let targets = service.targets.iter().filter(|target| group.has(target)).cloned().collect();
    Service { targets, ..service.clone() }
}

fn request_of(
    acquire: &Acquire,
    dispatcher: &mut Dispatcher<AnyStrategy>,
    now: Timestamp,
) -> Request {
    let index_of = |name| dispatcher.index_of(name);
    let tried: Tried = acquire.tried.iter().filter_map(index_of).collect();
    let excluded: Excluded = acquire.excluded.iter().filter_map(index_of).collect();
    let deadline = now + acquire.deadline;
    Request {
        priority: acquire.priority,
        deadline,
        wait_until: (now + acquire.wait).min(deadline),
        objective: (now + acquire.objective).min(deadline),
        queue_max: acquire.queue_max,
        tried,
        excluded,
        origin: dispatcher.hall_index(&acquire.data_hall),
        answer_kib: acquire.answer_kib,
    }
}

fn reply_of(allocation: Allocation) -> AllocatorReply {
    match allocation {
        Allocation::Granted(granted) => AllocatorReply::Granted(granted),
        Allocation::Waiting => AllocatorReply::Waiting,
        Allocation::Refused(refusal) => AllocatorReply::Refused(refusal),
    }
}

fn numbers(held: &[LeaseNumber]) -> Vec<u64> {
    held.iter().map(|number| number.0).collect()
}
