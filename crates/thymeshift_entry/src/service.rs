//! One service while the process runs: its dispatcher, who waits, and its connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use parking_lot::RwLock;
use thymeshift_config::Configuration;
use thymeshift_config::Service;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::ServiceDump;
use thymeshift_dispatch::Ticket;
use thymeshift_dispatch::Wake;
use thymeshift_dispatch::connection_share;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use tokio::sync::oneshot;

use crate::target::Pool;

/// What a waiting request hears.
type Woken = Result<Grant, Refusal>;

/// The dispatcher with those who wait for its decisions; under one lock, so that a
/// decision cannot come before its request waits for it.
struct Desk {
    dispatcher: Dispatcher<AnyStrategy>,
    waiting: HashMap<Ticket, oneshot::Sender<Woken>>,
}

/// A configured service.
pub(crate) struct ServiceRuntime {
    name: ServiceName,
    desk: Mutex<Desk>,
    settings: RwLock<Arc<Service>>,
    pool: Arc<Pool>,
}

/// Where a granted request goes.
pub(crate) struct Destination {
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
    ) -> Arc<Self> {
        let now = BootClock.now();
        let dispatcher = Dispatcher::configured(configuration, service, own_data_hall, now);
        let share = connection_share(service.connections_per_target, configuration.entry_vms_max);
        Arc::new(Self {
            name: service.name.clone(),
            desk: Mutex::new(Desk { dispatcher, waiting: HashMap::new() }),
            settings: RwLock::new(Arc::new(service.clone())),
            pool: Pool::new(&service.name, share),
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

    /// Asks for a target.
    pub(crate) fn admit(self: &Arc<Self>, request: Request, now: Timestamp) -> Admitted {
        let mut desk = self.desk.lock();
        match desk.dispatcher.request(request, now, &mut rand::rng()) {
            Decision::Send(grant) => Admitted::Send(GrantGuard::new(self, grant)),
            Decision::Refuse(refusal) => Admitted::Refused(refusal),
            Decision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                desk.waiting.insert(ticket, sender);
                Admitted::Wait(WaitGuard { service: self.clone(), ticket, receiver })
            }
        }
    }

    /// Asks for a target for a second attempt beside the first: sent at once or not at all.
    pub(crate) fn admit_hedge(self: &Arc<Self>, request: Request) -> Option<GrantGuard> {
        let at_once = Request { queue_max: 0, ..request };
        match self.admit(at_once, BootClock.now()) {
            Admitted::Send(grant) => Some(grant),
            Admitted::Wait(_) | Admitted::Refused(_) => None,
        }
    }

    pub(crate) fn try_retry(&self) -> bool {
        self.desk.lock().dispatcher.try_retry()
    }

    /// Must run every few tens of milliseconds. Returns a pause of this process.
    pub(crate) fn tick(&self, now: Timestamp) -> Option<std::time::Duration> {
        let gap = self.desk.lock().dispatcher.tick(now);
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
        targets.map(|(name, address)| Destination { name, address }).collect()
    }

    pub(crate) fn dump(&self, now: Timestamp) -> ServiceDump {
        self.desk.lock().dispatcher.dump(now)
    }

    /// Tells waiting requests what became of them.
    fn wake_waiting(&self, now: Timestamp) {
        let mut desk = self.desk.lock();
        let rng = &mut rand::rng();
        while let Some(wake) = desk.dispatcher.next_wake(now, rng) {
            let (ticket, woken) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
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

    fn release(&self, grant: Grant) {
        let now = BootClock.now();
        self.desk.lock().dispatcher.release(grant, now);
        self.wake_waiting(now);
    }
}

/// A grant that is given back when it is dropped.
pub(crate) struct GrantGuard {
    service: Arc<ServiceRuntime>,
    grant: Option<Grant>,
}

impl GrantGuard {
    fn new(service: &Arc<ServiceRuntime>, grant: Grant) -> Self {
        Self { service: service.clone(), grant: Some(grant) }
    }

    pub(crate) fn service(&self) -> &Arc<ServiceRuntime> {
        &self.service
    }

    pub(crate) fn destination(&self) -> Option<Destination> {
        let grant = self.grant.as_ref()?;
        let desk = self.service.desk.lock();
        let name = desk.dispatcher.target_name(grant);
        Some(Destination { name, address: desk.dispatcher.address(grant) })
    }

    pub(crate) fn target(&self) -> Option<thymeshift_dispatch::TargetIndex> {
        self.grant.as_ref().map(Grant::target)
    }

    /// To be asked immediately before the first byte.
    pub(crate) fn may_send(&self, deadline: Timestamp) -> bool {
        let Some(grant) = &self.grant else {
            return false;
        };
        self.service.desk.lock().dispatcher.may_send(grant, deadline, BootClock.now())
    }

    pub(crate) fn learn(&self, observation: Observation) -> Option<LeavingMark> {
        let grant = self.grant.as_ref()?;
        let now = BootClock.now();
        self.service.desk.lock().dispatcher.learn(grant, observation, now)
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.service.release(grant);
        }
    }
}

/// A place in the queue that is given up when it is dropped.
pub(crate) struct WaitGuard {
    service: Arc<ServiceRuntime>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Woken>,
}

impl WaitGuard {
    /// Waits for the decision. None if the service was removed meanwhile.
    pub(crate) async fn decided(mut self) -> Option<Result<GrantGuard, Refusal>> {
        let woken = (&mut self.receiver).await.ok()?;
        Some(woken.map(|grant| GrantGuard::new(&self.service, grant)))
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let granted = {
            let mut desk = self.service.desk.lock();
            desk.waiting.remove(&self.ticket);
            desk.dispatcher.cancel(self.ticket);
            self.receiver.try_recv()
        };
        if let Ok(Ok(grant)) = granted {
            self.service.release(grant);
        }
    }
}
