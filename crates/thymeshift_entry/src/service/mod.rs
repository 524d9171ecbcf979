//! One service while the process runs: its dispatcher, who waits, and its connections.
//!
//! * [`guards`]: what a request holds while it has, or waits for, a target.
//! * [`allocate`]: allocation targets to other processes.
//! * [`obtain`]: obtaining a target, from a allocator or from the own dispatcher.

mod allocate;
mod guards;
mod obtain;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::RwLock;
use thymeshift_allocation::Allocator;
use thymeshift_config::Configuration;
use thymeshift_config::Service;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::ServiceDump;
use thymeshift_dispatch::TargetIndex;
use thymeshift_dispatch::Ticket;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_dispatch::connection_share;
use thymeshift_fleet::Boot;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::allocation_client::AllocationClient;
use crate::service::obtain::AllocatorOrder;
use crate::target::Pool;

pub(crate) use guards::GrantGuard;
pub(crate) use guards::WaitGuard;

/// What a waiting request hears.
pub(super) type Woken = Result<Grant, Refusal>;

/// The dispatcher with those who wait for its decisions; under one lock, so that a
/// decision cannot come before its request waits for it.
struct Desk {
    dispatcher: Dispatcher<AnyStrategy>,
    waiting: HashMap<Ticket, oneshot::Sender<Woken>>,
    /// What other processes were granted here.
    allocator: Allocator<LeaseHolder>,
    /// When a target was last wanted while this process counted for the fleet.
    allocated_at: Option<Timestamp>,
}

impl Desk {
    /// Says whose requests the counts hold from now on.
    fn set_view(&mut self, view: View, now: Timestamp) {
        self.dispatcher.set_view(view);
        if view == View::Fleet {
            self.allocated_at = Some(now);
        }
    }
}

/// A process that acquires here. A new start of it is another holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaseHolder {
    pub(crate) vm: VmName,
    pub(crate) boot: Boot,
    pub(crate) address: SocketAddr,
}

/// What all services share.
#[derive(Clone)]
pub(crate) struct ServiceLinks {
    pub(crate) allocation: Arc<AllocationClient>,
    /// Rings when a request begins to wait, so that its time limit is watched.
    pub(crate) waiting: Arc<Notify>,
}

/// A configured service.
pub(crate) struct ServiceRuntime {
    name: ServiceName,
    desk: Mutex<Desk>,
    settings: RwLock<Arc<Service>>,
    pool: Arc<Pool>,
    links: ServiceLinks,
    allocators: Mutex<AllocatorOrder>,
}

/// Where a granted request goes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Destination {
    pub(crate) service: ServiceName,
    pub(crate) index: Option<TargetIndex>,
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
}

/// What becomes of a request at the desk.
pub(crate) enum Admitted {
    Send(GrantGuard),
    Wait(WaitGuard),
    Refused(Refusal),
}

impl ServiceRuntime {
    pub(crate) fn new(
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
        links: &ServiceLinks,
    ) -> Arc<Self> {
        let now = BootClock.now();
        let dispatcher = Dispatcher::configured(configuration, service, own_data_hall, now);
        let share = connection_share(service.connections_per_target, configuration.entry_vms_max);
        Arc::new(Self {
            name: service.name.clone(),
            desk: Mutex::new(Desk {
                dispatcher,
                waiting: HashMap::new(),
                allocator: Allocator::default(),
                allocated_at: None,
            }),
            settings: RwLock::new(Arc::new(service.clone())),
            pool: Pool::new(&service.name, share),
            links: links.clone(),
            allocators: Mutex::default(),
        })
    }

    /// Takes in a new configuration.
    pub(crate) fn update(
        self: &Arc<Self>,
        configuration: &Configuration,
        service: &Service,
        own_data_hall: &DataHallName,
    ) {
        let now = BootClock.now();
        let share = connection_share(service.connections_per_target, configuration.entry_vms_max);
        *self.settings.write() = Arc::new(service.clone());
        self.pool.set_share(share);
        self.desk.lock().dispatcher.reconfigure(configuration, service, own_data_hall, now);
        self.wake_waiting(now);
    }

    pub(crate) fn name(&self) -> &ServiceName {
        &self.name
    }

    pub(crate) fn settings(&self) -> Arc<Service> {
        self.settings.read().clone()
    }

    pub(crate) fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Asks this process's own dispatcher for a target.
    pub(crate) fn admit(
        self: &Arc<Self>,
        request: Request,
        view: View,
        now: Timestamp,
    ) -> Admitted {
        let mut desk = self.desk.lock();
        desk.set_view(view, now);
        match desk.dispatcher.request(request, now, &mut rand::rng()) {
            Decision::Send(grant) => Admitted::Send(GrantGuard::new(self, grant)),
            Decision::Refuse(refusal) => Admitted::Refused(refusal),
            Decision::Wait(ticket) => {
                self.links.waiting.notify_one();
                let (sender, receiver) = oneshot::channel();
                desk.waiting.insert(ticket, sender);
                Admitted::Wait(WaitGuard { service: self.clone(), ticket, receiver })
            }
        }
    }

    pub(crate) fn has_retry(&self) -> bool {
        self.desk.lock().dispatcher.has_retry()
    }

    pub(crate) fn try_retry(&self) -> bool {
        self.desk.lock().dispatcher.try_retry()
    }

    /// Whether requests wait here, of this process or of others.
    pub(crate) fn has_waiting(&self) -> bool {
        self.desk.lock().dispatcher.has_waiting()
    }

    /// Must run every few tens of milliseconds while requests wait. Returns a pause of this process.
    pub(crate) fn tick(&self, now: Timestamp) -> Option<Duration> {
        let gap = {
            let Desk { dispatcher, allocator, .. } = &mut *self.desk.lock();
            allocator.expire(dispatcher, now);
            dispatcher.tick(now)
        };
        self.wake_waiting(now);
        gap
    }

    pub(crate) fn mark_leaving(&self, mark: &LeavingMark) -> bool {
        let is_news = self.desk.lock().dispatcher.mark_leaving(&mark.target, mark.incarnation);
        if is_news {
            self.wake_waiting(BootClock.now());
        }
        is_news
    }

    pub(crate) fn set_stopped(&self, is_stopped: impl FnMut(&TargetName) -> bool) {
        self.desk.lock().dispatcher.set_stopped(is_stopped);
        self.wake_waiting(BootClock.now());
    }

    pub(crate) fn learn_probe(
        &self,
        name: &TargetName,
        report: thymeshift_dispatch::LoadReport,
    ) -> Option<LeavingMark> {
        self.desk.lock().dispatcher.learn_probe(name, report, BootClock.now())
    }

    pub(crate) fn probe_targets(&self) -> Vec<Destination> {
        let desk = self.desk.lock();
        let targets = desk.dispatcher.probe_targets();
        targets.map(|(name, address)| self.destination(name, address)).collect()
    }

    /// Whether targets were granted here within `time`.
    pub(crate) fn is_allocating_within(&self, time: Duration, now: Timestamp) -> bool {
        let desk = self.desk.lock();
        let is_recent = desk.allocated_at.is_some_and(|at| now.since(at) < time);
        is_recent && desk.dispatcher.view() == View::Fleet
    }

    /// Targets of which nothing was heard for `age`.
    pub(crate) fn unheard_targets(&self, age: Duration, now: Timestamp) -> Vec<Destination> {
        let unheard = self.desk.lock().dispatcher.unheard_targets(age, now);
        unheard.into_iter().map(|(name, address)| self.destination(name, address)).collect()
    }

    fn destination(&self, name: TargetName, address: SocketAddr) -> Destination {
        Destination { service: self.name.clone(), index: None, name, address }
    }

    pub(crate) fn dump(&self, now: Timestamp) -> ServiceDump {
        self.desk.lock().dispatcher.dump(now)
    }

    /// Tells waiting requests what became of them.
    fn wake_waiting(&self, now: Timestamp) {
        let mut desk = self.desk.lock();
        let desk = &mut *desk;
        let rng = &mut rand::rng();
        while let Some(wake) = desk.dispatcher.next_wake(now, rng) {
            let (ticket, woken) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let woken = match desk.allocator.woken(ticket, woken, &desk.dispatcher, now) {
                Ok((key, allocation)) => {
                    self.tell(&key, allocation);
                    continue;
                }
                Err(woken) => woken,
            };
            let unheard = match desk.waiting.remove(&ticket) {
                Some(sender) => sender.send(woken).err(),
                None => Some(woken),
            };
            // Its caller went away in this very moment.
            if let Some(Ok(grant)) = unheard {
                desk.dispatcher.release(grant, now);
            }
        }
    }

    pub(super) fn release(&self, grant: Grant) {
        let now = BootClock.now();
        self.desk.lock().dispatcher.release(grant, now);
        self.wake_waiting(now);
    }
}
