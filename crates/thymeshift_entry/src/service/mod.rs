//! One service while the process runs: who allocates its targets, and its connections.
//!
//! * [`guards`]: what a request holds while it has, or waits for, a target.
//! * [`group`]: allocating the targets of one group to all processes.
//! * [`obtain`]: obtaining a target, from an allocator or from the own dispatcher.

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
use thymeshift_allocation::Grouping;
use thymeshift_allocation::Rooms;
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
use thymeshift_wire::GroupRoom;
use thymeshift_wire::TargetRateLimit;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::allocation_client::AllocationClient;
use crate::service::obtain::Allocators;
use crate::target_client::Pool;

pub(crate) use group::GroupRuntime;
pub(crate) use group::PendingAcquire;
pub(crate) use guards::GrantGuard;
pub(crate) use guards::WaitGuard;

/// Time after the last request for a target within which a group's state tells more than
/// what the process knows by itself.
const RECENT_ACQUIRE_WINDOW: Duration = Duration::from_secs(1);

/// What a waiting request hears.
pub(super) type WaitResult = Result<Grant, Refusal>;
/// What the groups of a service told of themselves, shared by those that are allocated here.
type SharedGroupReports = Arc<Mutex<GroupReports>>;

/// What the groups of a service told of themselves.
#[derive(Default)]
struct GroupReports {
    rooms: Rooms,
    allocators: BTreeMap<Group, AllocatorAddress>,
}

impl GroupReports {
    /// Takes a place in another group than `own`; also returns who allocates it.
    fn take(&mut self, own: &Group, now: Timestamp) -> Option<(Group, AllocatorAddress)> {
        let other = self.rooms.take(own, now, &mut rand::rng())?;
        let allocator = self.allocators.get(&other)?.clone();
        Some((other, allocator))
    }
}

/// The dispatcher over this process's own requests, with those who wait for its decisions;
/// under one lock, so that a decision cannot come before its request waits for it.
struct LocalDispatch {
    dispatcher: Dispatcher<AnyStrategy>,
    waiting: HashMap<Ticket, oneshot::Sender<WaitResult>>,
}

/// What all services share.
#[derive(Clone)]
pub(crate) struct ServiceContext {
    pub(crate) allocation: Arc<AllocationClient>,
    /// Rings when a request begins to wait, so that its time limit is watched.
    pub(crate) request_queued: Arc<Notify>,
    /// Rings when a group is asked for a target after a rest, so that its targets are probed.
    pub(crate) group_activated: Arc<Notify>,
    /// Takes requests for a target that wait until the best targets have been probed.
    pub(crate) pending_acquires: mpsc::UnboundedSender<PendingAcquire>,
}

/// What is configured, as far as a service depends on it.
struct Configured {
    configuration: Arc<Configuration>,
    service: Arc<Service>,
    grouping: Grouping,
}

/// A configured service.
pub(crate) struct ServiceRuntime {
    name: ServiceName,
    own_data_hall: DataHallName,
    configured: RwLock<Arc<Configured>>,
    local: Mutex<LocalDispatch>,
    /// Groups that are, or were, allocated here.
    groups: Mutex<BTreeMap<Group, Arc<GroupRuntime>>>,
    group_reports: SharedGroupReports,
    pool: Arc<Pool>,
    context: ServiceContext,
    allocators: Mutex<Allocators>,
}

/// Where a granted request goes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Destination {
    pub(crate) service: ServiceName,
    pub(crate) index: Option<TargetIndex>,
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
}

/// What the own dispatcher decides on a request.
#[expect(clippy::large_enum_variant, reason = "taken apart where it is made")]
pub(crate) enum LocalDecision {
    Send(GrantGuard),
    Wait(WaitGuard),
    Refused(Refusal),
}

impl Configured {
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
        let dispatcher = Dispatcher::configured(configuration, service, own_data_hall, now);
        let configured = Configured::new(configuration, service);
        Arc::new(Self {
            name: service.name.clone(),
            own_data_hall: own_data_hall.clone(),
            pool: Pool::new(&service.name, configured.connection_share()),
            configured: RwLock::new(configured),
            local: Mutex::new(LocalDispatch { dispatcher, waiting: HashMap::new() }),
            groups: Mutex::default(),
            group_reports: SharedGroupReports::default(),
            context: context.clone(),
            allocators: Mutex::default(),
        })
    }

    /// Takes in a new configuration.
    pub(crate) fn update(
        self: &Arc<Self>,
        configuration: &Arc<Configuration>,
        service: &Service,
        own_data_hall: &DataHallName,
    ) {
        let now = BootClock.now();
        let configured = Configured::new(configuration, service);
        self.pool.set_share(configured.connection_share());
        *self.configured.write() = configured;
        self.local.lock().dispatcher.reconfigure(configuration, service, own_data_hall, now);
        for group in self.groups() {
            group.update(configuration, service, own_data_hall, now);
        }
        self.wake_waiting(now);
    }

    pub(crate) fn name(&self) -> &ServiceName {
        &self.name
    }

    fn configured(&self) -> Arc<Configured> {
        self.configured.read().clone()
    }

    pub(crate) fn settings(&self) -> Arc<Service> {
        self.configured.read().service.clone()
    }

    pub(crate) fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// The groups that are, or were, allocated here.
    pub(crate) fn groups(&self) -> Vec<Arc<GroupRuntime>> {
        self.groups.lock().values().cloned().collect()
    }

    /// A group to allocate here. It begins with what its earlier allocator told.
    pub(crate) fn group(&self, group: &Group) -> Arc<GroupRuntime> {
        // Not under the lock below: whoever works out the order of allocators takes others.
        let told = self.allocators.lock().known_concurrency(group);
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
        if let Some(number) = told {
            runtime.adopt_concurrency(number);
        }
        groups.insert(group.clone(), runtime.clone());
        runtime
    }

    /// The groups that the targets are divided into.
    pub(crate) fn target_groups(&self) -> Vec<Group> {
        self.configured().grouping.iter().cloned().collect()
    }

    /// A group told its room.
    pub(crate) fn record_group_room(&self, told: &GroupRoom) {
        let mut groups = self.group_reports.lock();
        groups.rooms.learn(told.group.clone(), told.room, BootClock.now());
        groups.allocators.insert(told.group.clone(), told.allocator.clone());
    }

    /// Asks this process's own dispatcher for a target.
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

    /// Counts a request of a caller.
    pub(crate) fn count_received(&self) {
        self.local.lock().dispatcher.received();
    }

    pub(crate) fn has_retry(&self) -> bool {
        self.local.lock().dispatcher.has_retry()
    }

    pub(crate) fn try_retry(&self) -> bool {
        self.local.lock().dispatcher.try_retry()
    }

    /// Whether requests wait here, of this process or of others.
    pub(crate) fn has_waiting(&self) -> bool {
        self.local.lock().dispatcher.has_waiting()
            || self.groups().iter().any(|group| group.has_waiting())
    }

    /// Must run every few tens of milliseconds while requests wait. Returns a pause of this process.
    pub(crate) fn tick(&self, now: Timestamp) -> Option<Duration> {
        let gap = self.local.lock().dispatcher.tick(now);
        self.wake_waiting(now);
        let gaps = self.groups().into_iter().filter_map(|group| group.tick(now));
        gaps.chain(gap).max()
    }

    pub(crate) fn mark_leaving(&self, mark: &LeavingMark) -> bool {
        let mut is_news = self.local.lock().dispatcher.mark_leaving(&mark.target, mark.incarnation);
        let groups = self.groups();
        for group in &groups {
            is_news |= group.mark_leaving(mark);
        }
        if is_news {
            self.wake_all(&groups);
        }
        is_news
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
        self.local.lock().dispatcher.learn_probe(name, report, BootClock.now())
    }

    /// What this process knows of its targets' limits.
    pub(crate) fn rate_limits(&self, now: Timestamp) -> Vec<TargetRateLimit> {
        let known = self.local.lock().dispatcher.rate_limits(now);
        let service = &self.name;
        let limit = |(target, incarnation, told)| TargetRateLimit {
            service: service.clone(),
            target,
            incarnation,
            told,
        };
        known.into_iter().map(limit).collect()
    }

    /// Learns what a peer knows of a target's limit.
    pub(crate) fn merge_rate_limit(&self, limit: &TargetRateLimit, now: Timestamp) {
        let TargetRateLimit { target, incarnation, told, .. } = limit;
        self.local.lock().dispatcher.merge_rate_limit_of(target, *incarnation, told, now);
        for group in self.groups() {
            group.merge_rate_limit(limit, now);
        }
    }

    /// Whether a target has asked this process for a backoff.
    pub(crate) fn is_backing_off(&self, name: &TargetName) -> bool {
        self.local.lock().dispatcher.is_backing_off(name, BootClock.now())
    }

    /// A target asked this process for a backoff when it was probed.
    pub(crate) fn back_off_probed(&self, name: &TargetName, wait: Duration) {
        let wait = wait.min(self.settings().backoff_max());
        self.local.lock().dispatcher.back_off_probed(name, wait, BootClock.now());
    }

    pub(crate) fn probe_targets(&self) -> Vec<Destination> {
        let local = self.local.lock();
        let targets = local.dispatcher.probe_targets(BootClock.now());
        targets.map(|(name, address)| self.destination(name, address)).collect()
    }

    pub(crate) fn destination(&self, name: TargetName, address: SocketAddr) -> Destination {
        Destination { service: self.name.clone(), index: None, name, address }
    }

    /// What this process believes: of targets that it allocates, what it knows as their
    /// allocator.
    pub(crate) fn dump(&self, now: Timestamp) -> ServiceDump {
        let mut dump = self.local.lock().dispatcher.dump(now);
        for group in self.groups() {
            if !group.was_acquired_within(RECENT_ACQUIRE_WINDOW, now) {
                continue;
            }
            let known = group.dump(now);
            dump.view = known.view;
            dump.queues.extend(known.queues);
            dump.expected_wait_us = dump.expected_wait_us.max(known.expected_wait_us);
            for target in known.targets {
                let place = dump.targets.iter_mut().find(|own| own.name == target.name);
                if let Some(place) = place {
                    *place = target;
                }
            }
        }
        dump
    }

    /// Tells waiting requests what became of them.
    fn wake_waiting(&self, now: Timestamp) {
        let LocalDispatch { dispatcher, waiting } = &mut *self.local.lock();
        let rng = &mut rand::rng();
        while let Some(wake) = dispatcher.next_wake(now, rng) {
            let (ticket, woken) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let unheard = match waiting.remove(&ticket) {
                Some(sender) => sender.send(woken).err(),
                None => Some(woken),
            };
            // Its caller went away in this very moment.
            if let Some(Ok(grant)) = unheard {
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
