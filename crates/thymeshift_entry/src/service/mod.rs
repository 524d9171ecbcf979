//! Runtime state of one service: local dispatcher, allocated target groups, connection pool.
//!
//! * [`guards`]: RAII guards for a granted target and for a queued request.
//! * [`group`]: allocator of one target group, which grants its targets to all entry processes.
//! * [`obtain`]: obtains a target for a request from an allocator or from the local dispatcher.

mod group;
mod guards;
mod obtain;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::RwLock;
use thymeshift_allocation::Group;
use thymeshift_allocation::GroupHeadroom;
use thymeshift_allocation::Grouping;
use thymeshift_config::Configuration;
use thymeshift_config::Service;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::ServiceDump;
use thymeshift_dispatch::TargetIndex;
use thymeshift_dispatch::Ticket;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_dispatch::connection_share;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_wire::AllocatorAddress;
use thymeshift_wire::GroupHeadroomReport;
use thymeshift_wire::SpilloverDump;
use thymeshift_wire::TargetRateLimit;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::allocation_client::AllocationClient;
use crate::service::obtain::Allocators;
use crate::target_client::Connector;
use crate::target_client::Pool;

pub(crate) use group::GroupRuntime;
pub(crate) use group::PendingAcquire;
pub(crate) use guards::GrantGuard;
pub(crate) use guards::WaitGuard;

/// Time after an acquire request during which state dumps show the allocator's view of the group.
/// Later dumps show the local dispatcher's view.
const RECENT_ACQUIRE_WINDOW: Duration = Duration::from_secs(1);

/// Result that ends the wait of a queued request.
pub(super) type WaitResult = Result<Grant, Refusal>;
/// Latest reports of a service's groups, shared by all groups that this process allocates.
type SharedGroupReports = Arc<Mutex<GroupReports>>;

/// Spare capacity and allocator address of each group of a service, as last reported.
#[derive(Default)]
struct GroupReports {
    headroom: GroupHeadroom,
    allocators: BTreeMap<Group, AllocatorAddress>,
}

impl GroupReports {
    /// Reserves capacity for one request in a group other than `own`.
    /// Returns the other group with the address of its allocator.
    fn reserve_in_other_group(
        &mut self,
        own: &Group,
        now: Timestamp,
    ) -> Option<(Group, AllocatorAddress)> {
        let other = self.headroom.reserve(own, now, &mut rand::rng())?;
        let allocator = self.allocators.get(&other)?.clone();
        Some((other, allocator))
    }
}

/// Dispatcher for the requests of this process alone, with the channels of its queued requests.
///
/// One lock guards dispatcher and channels.
/// The dispatcher therefore cannot decide on a queued request before its channel is registered.
struct LocalDispatch {
    dispatcher: Dispatcher<AnyStrategy>,
    waiting: HashMap<Ticket, oneshot::Sender<WaitResult>>,
}

/// Handles of the entry process that every service runtime uses.
#[derive(Clone)]
pub(crate) struct ServiceContext {
    pub(crate) allocation: Arc<AllocationClient>,
    /// Whether dispatchers serve the callers who ask for less first.
    pub(crate) has_fair_callers: bool,
    pub(crate) connector: Arc<Connector>,
    /// Wakes the ticker when a request is queued, so that its wait limit is enforced.
    pub(crate) request_queued: Arc<Notify>,
    /// Wakes the pace prober when a group receives an acquire request after an idle period.
    pub(crate) group_activated: Arc<Notify>,
    /// Queue of acquire requests that are decided after the best targets have been probed.
    pub(crate) pending_acquires: mpsc::UnboundedSender<PendingAcquire>,
}

/// Parts of the configuration that a service runtime uses.
struct ServiceConfiguration {
    configuration: Arc<Configuration>,
    service: Arc<Service>,
    grouping: Grouping,
}

/// Runtime of one configured service.
pub(crate) struct ServiceRuntime {
    name: ServiceName,
    own_data_hall: DataHallName,
    configured: RwLock<Arc<ServiceConfiguration>>,
    local: Mutex<LocalDispatch>,
    /// Groups that this process allocates now or allocated before.
    groups: Mutex<BTreeMap<Group, Arc<GroupRuntime>>>,
    group_reports: SharedGroupReports,
    pool: Arc<Pool>,
    context: ServiceContext,
    allocators: Mutex<Allocators>,
}

/// Target that a request or a probe is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Destination {
    pub(crate) service: ServiceName,
    pub(crate) index: Option<TargetIndex>,
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
}

/// Cost of an answer that crosses between data halls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HallCrossing {
    /// Time that a request may wait to avoid the crossing, for each KiB of its answer.
    pub(crate) us_per_kib: u64,
    /// Network round trip between two data halls.
    pub(crate) round_trip: Duration,
}

/// Decision of the local dispatcher on a request.
#[expect(clippy::large_enum_variant, reason = "matched right where it is returned")]
pub(crate) enum LocalDecision {
    Send(GrantGuard),
    Wait(WaitGuard),
    Refused(Refusal),
}

impl ServiceConfiguration {
    fn new(configuration: &Arc<Configuration>, service: &Service) -> Arc<Self> {
        Arc::new(Self {
            configuration: configuration.clone(),
            service: Arc::new(service.clone()),
            grouping: Grouping::of(&service.targets, |hall| configuration.is_drained(hall)),
        })
    }

    fn connection_share(&self) -> u32 {
        let entry_vms_max = self.configuration.entry_vms_max;
        connection_share(self.service.connections_per_target, entry_vms_max)
    }
}

impl ServiceRuntime {
    pub(crate) fn new(
        configuration: &Arc<Configuration>,
        service: &Service,
        own_data_hall: &DataHallName,
        context: &ServiceContext,
    ) -> Arc<Self> {
        let now = BootClock.now();
        let mut dispatcher = Dispatcher::configured(configuration, service, own_data_hall, now);
        dispatcher.set_fair_callers(context.has_fair_callers);
        let configured = ServiceConfiguration::new(configuration, service);
        Arc::new(Self {
            name: service.name.clone(),
            own_data_hall: own_data_hall.clone(),
            pool: Pool::new(&service.name, configured.connection_share(), &context.connector),
            configured: RwLock::new(configured),
            local: Mutex::new(LocalDispatch { dispatcher, waiting: HashMap::new() }),
            groups: Mutex::default(),
            group_reports: SharedGroupReports::default(),
            context: context.clone(),
            allocators: Mutex::default(),
        })
    }

    /// Applies a new configuration to the pool, the local dispatcher and all groups.
    pub(crate) fn update(
        self: &Arc<Self>,
        configuration: &Arc<Configuration>,
        service: &Service,
        own_data_hall: &DataHallName,
    ) {
        let now = BootClock.now();
        let configured = ServiceConfiguration::new(configuration, service);
        self.pool.set_share(configured.connection_share());
        *self.configured.write() = configured;
        self.local.lock().dispatcher.reconfigure(configuration, service, own_data_hall, now);
        for group in self.groups() {
            group.update(configuration, service, own_data_hall, now);
        }
        self.wake_waiting(now);
    }

    /// Returns what the configuration states about answers that cross between data halls.
    pub(crate) fn hall_crossing(&self) -> HallCrossing {
        let configuration = &self.configured.read().configuration;
        HallCrossing {
            us_per_kib: configuration.hall_crossing_us_per_kib,
            round_trip: Duration::from_micros(configuration.data_hall_one_way_us) * 2,
        }
    }

    pub(crate) fn name(&self) -> &ServiceName {
        &self.name
    }

    fn configured(&self) -> Arc<ServiceConfiguration> {
        self.configured.read().clone()
    }

    pub(crate) fn settings(&self) -> Arc<Service> {
        self.configured.read().service.clone()
    }

    pub(crate) fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Returns the groups that this process allocates now or allocated before.
    pub(crate) fn groups(&self) -> Vec<Arc<GroupRuntime>> {
        self.groups.lock().values().cloned().collect()
    }

    /// Returns the allocator of `group` in this process, which is created if needed.
    ///
    /// A new allocator starts with the target concurrency that the previous allocator reported.
    pub(crate) fn group(&self, group: &Group) -> Arc<GroupRuntime> {
        // Read before `groups` is locked: ranking the allocators takes further locks.
        let concurrency = self.allocators.lock().known_concurrency(group);
        let mut groups = self.groups.lock();
        if let Some(known) = groups.get(group) {
            return known.clone();
        }
        let configured = self.configured();
        let runtime = GroupRuntime::new(
            group.clone(),
            &configured.configuration,
            &configured.service,
            &self.own_data_hall,
            self.group_reports.clone(),
            self.context.clone(),
        );
        if let Some(concurrency) = concurrency {
            runtime.adopt_concurrency(concurrency);
        }
        groups.insert(group.clone(), runtime.clone());
        runtime
    }

    /// Returns all groups that the service's targets are divided into.
    pub(crate) fn target_groups(&self) -> Vec<Group> {
        self.configured().grouping.iter().cloned().collect()
    }

    /// Records the spare capacity that a group reported, with the address of its allocator.
    pub(crate) fn record_group_headroom(&self, report: &GroupHeadroomReport) {
        let mut groups = self.group_reports.lock();
        groups.headroom.record(report.group.clone(), report.room, BootClock.now());
        groups.allocators.insert(report.group.clone(), report.allocator.clone());
    }

    /// Requests a target from the local dispatcher and queues the request if none is free.
    pub(crate) fn admit(
        self: &Arc<Self>,
        request: Request,
        view: View,
        now: Timestamp,
    ) -> LocalDecision {
        let mut local = self.local.lock();
        local.dispatcher.set_view(view);
        match local.dispatcher.request(request, now, &mut rand::rng()) {
            Decision::Send(grant) => LocalDecision::Send(GrantGuard::new(self, grant)),
            Decision::Refuse(refusal) => LocalDecision::Refused(refusal),
            Decision::Wait(ticket) => {
                self.context.request_queued.notify_one();
                let (sender, receiver) = oneshot::channel();
                local.waiting.insert(ticket, sender);
                LocalDecision::Wait(WaitGuard { service: self.clone(), ticket, receiver })
            }
        }
    }

    /// Counts a caller's request towards the retry budget.
    pub(crate) fn count_received(&self) {
        self.local.lock().dispatcher.record_request();
    }

    pub(crate) fn has_retry(&self) -> bool {
        self.local.lock().dispatcher.has_retry()
    }

    pub(crate) fn try_retry(&self) -> bool {
        self.local.lock().dispatcher.try_spend_retry()
    }

    /// Returns whether any request of this or another process is queued in this process.
    pub(crate) fn has_waiting(&self) -> bool {
        self.local.lock().dispatcher.has_waiting()
            || self.groups().iter().any(|group| group.has_waiting())
    }

    /// Ends expired waits and leases; runs every few tens of milliseconds while requests wait.
    ///
    /// Returns the longest pause of this process that the dispatchers detected.
    pub(crate) fn tick(&self, now: Timestamp) -> Option<Duration> {
        let gap = self.local.lock().dispatcher.tick(now);
        self.wake_waiting(now);
        let gaps = self.groups().into_iter().filter_map(|group| group.tick(now));
        gaps.chain(gap).max()
    }

    pub(crate) fn mark_leaving(&self, mark: &LeavingMark) -> bool {
        let mut is_new = self.local.lock().dispatcher.mark_leaving(&mark.target, mark.incarnation);
        let groups = self.groups();
        for group in &groups {
            is_new |= group.mark_leaving(mark);
        }
        if is_new {
            self.wake_all(&groups);
        }
        is_new
    }

    pub(crate) fn set_stopped(&self, is_stopped: impl Fn(&TargetName) -> bool) {
        self.local.lock().dispatcher.set_stopped(&is_stopped);
        let groups = self.groups();
        for group in &groups {
            group.set_stopped(&is_stopped);
        }
        self.wake_all(&groups);
    }

    fn wake_all(&self, groups: &[Arc<GroupRuntime>]) {
        let now = BootClock.now();
        self.wake_waiting(now);
        for group in groups {
            group.wake_waiting(now);
        }
    }

    pub(crate) fn record_probe(
        &self,
        name: &TargetName,
        report: LoadReport,
    ) -> Option<LeavingMark> {
        self.local.lock().dispatcher.record_probe(name, report, BootClock.now())
    }

    /// Returns the rate limits of targets that this process knows, to be sent to peers.
    pub(crate) fn rate_limits(&self, now: Timestamp) -> Vec<TargetRateLimit> {
        let known = self.local.lock().dispatcher.rate_limits(now);
        let service = &self.name;
        let limit = |(target, incarnation, update)| TargetRateLimit {
            service: service.clone(),
            target,
            incarnation,
            update,
        };
        known.into_iter().map(limit).collect()
    }

    /// Merges a target's rate limit that a peer sent.
    pub(crate) fn merge_rate_limit(&self, limit: &TargetRateLimit, now: Timestamp) {
        let TargetRateLimit { target, incarnation, update, .. } = limit;
        self.local.lock().dispatcher.merge_target_rate_limit(target, *incarnation, update, now);
        for group in self.groups() {
            group.merge_rate_limit(limit, now);
        }
    }

    /// Returns whether the target is in a backoff that it requested from this process.
    pub(crate) fn is_backing_off(&self, name: &TargetName) -> bool {
        self.local.lock().dispatcher.is_backing_off(name, BootClock.now())
    }

    /// Starts the backoff that a target requested in its answer to a probe.
    pub(crate) fn back_off_probed(&self, name: &TargetName, wait: Duration) {
        let wait = wait.min(self.settings().backoff_max());
        self.local.lock().dispatcher.record_probe_backoff(name, wait, BootClock.now());
    }

    pub(crate) fn probe_targets(&self) -> Vec<Destination> {
        let local = self.local.lock();
        let targets = local.dispatcher.probe_targets(BootClock.now());
        targets.map(|(name, address)| self.destination(name, address)).collect()
    }

    pub(crate) fn destination(&self, name: TargetName, address: SocketAddr) -> Destination {
        Destination { service: self.name.clone(), index: None, name, address }
    }

    /// Returns the state dump of the service.
    ///
    /// The allocator's view is dumped for groups acquired from within [`RECENT_ACQUIRE_WINDOW`].
    /// All other targets are dumped as the local dispatcher sees them.
    pub(crate) fn dump(&self, now: Timestamp) -> ServiceDump {
        let mut dump = self.local.lock().dispatcher.dump(now);
        for group in self.groups() {
            if !group.was_acquired_within(RECENT_ACQUIRE_WINDOW, now) {
                continue;
            }
            let known = group.dump(now);
            dump.view = known.view;
            dump.queues.extend(known.queues);
            dump.callers = dump.callers.zip(known.callers).map(|(own, other)| own.merged(other));
            dump.expected_wait_us = dump.expected_wait_us.max(known.expected_wait_us);
            for target in known.targets {
                let local_view = dump.targets.iter_mut().find(|own| own.name == target.name);
                if let Some(local_view) = local_view {
                    *local_view = target;
                }
            }
        }
        dump
    }

    /// Returns the reserves of the groups that were acquired from within
    /// [`RECENT_ACQUIRE_WINDOW`].
    pub(crate) fn dump_reserves(&self, now: Timestamp) -> Vec<SpilloverDump> {
        let groups = self.groups().into_iter();
        let recent = groups.filter(|group| group.was_acquired_within(RECENT_ACQUIRE_WINDOW, now));
        recent.filter_map(|group| group.dump_reserve(now)).collect()
    }

    /// Returns the spare capacity up to which the group of this process's data hall redirects a
    /// request with this expected answer length. Returns `None` unless this process allocates the
    /// group and the group keeps a reserve.
    pub(crate) fn reserve_above(&self, answer_kib: u32, now: Timestamp) -> Option<u32> {
        let groups = self.groups().into_iter();
        let mut recent =
            groups.filter(|group| group.was_acquired_within(RECENT_ACQUIRE_WINDOW, now));
        let own = recent.find(|group| group.is_of_hall(&self.own_data_hall))?;
        own.reserve_above(answer_kib, now)
    }

    /// Delivers the local dispatcher's decisions to queued requests.
    fn wake_waiting(&self, now: Timestamp) {
        let LocalDispatch { dispatcher, waiting } = &mut *self.local.lock();
        let rng = &mut rand::rng();
        while let Some(wake) = dispatcher.next_wake(now, rng) {
            let (ticket, woken) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let undelivered = match waiting.remove(&ticket) {
                Some(sender) => sender.send(woken).err(),
                None => Some(woken),
            };
            // The request was dropped between the decision and its delivery; the grant is returned.
            if let Some(Ok(grant)) = undelivered {
                dispatcher.release(grant, now);
            }
        }
    }

    pub(super) fn release(&self, grant: Grant) {
        let now = BootClock.now();
        self.local.lock().dispatcher.release(grant, now);
        self.wake_waiting(now);
    }
}
