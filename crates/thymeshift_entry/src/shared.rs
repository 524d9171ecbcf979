//! What all tasks of the process share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;

use metrics::counter;
use metrics::gauge;
use parking_lot::Mutex;
use parking_lot::RwLock;
use spdlog::error;
use spdlog::info;
use thymeshift_allocation::Group;
use thymeshift_config::Configuration;
use thymeshift_config::Settings;
use thymeshift_config::TargetState;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Member;
use thymeshift_fleet::Offer;
use thymeshift_fleet::OrderSubject;
use thymeshift_fleet::Phase;
use thymeshift_fleet::Published;
use thymeshift_fleet::ranked;
use thymeshift_supervisor::Statuses;
use thymeshift_telemetry::LineBudget;
use thymeshift_telemetry::MetricsText;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use thymeshift_wire::AllocatorAddress;
use thymeshift_wire::Message;
use tokio::net::UdpSocket;
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::allocation_client::AllocationClient;
use crate::control_plane::Links;
use crate::control_plane::tell_below;
use crate::fleet::Fleet;
use crate::routing::Routing;
use crate::service::FreshLook;
use crate::service::ServiceLinks;
use crate::service::ServiceRuntime;

/// Log lines about single requests in a second.
const REQUEST_LINES_PER_S: u64 = 50;

/// Figures of the process as a whole.
#[derive(Default)]
pub(crate) struct ProcessFigures {
    pub(crate) requests_in_flight: AtomicU64,
    pub(crate) caller_connections: AtomicU64,
    pub(crate) platform_calls: AtomicU64,
}

/// Shared state of an entry process.
pub(crate) struct Shared {
    settings: RwLock<Arc<Settings>>,
    /// The file that the settings came from.
    pub(crate) settings_path: Option<String>,
    pub(crate) boot: Boot,
    pub(crate) started_at: Timestamp,
    pub(crate) figures: ProcessFigures,
    pub(crate) fleet: Mutex<Fleet>,
    /// Whether there is a configuration in force.
    pub(crate) in_force: watch::Sender<bool>,
    pub(crate) phase: watch::Sender<Phase>,
    /// Rings when peers should hear something at once.
    pub(crate) news: Notify,
    pub(crate) platform_answered_at: Mutex<Option<Timestamp>>,
    pub(crate) statuses: Statuses,
    pub(crate) links: Links,
    pub(crate) allocation: Arc<AllocationClient>,
    /// Rings when a request begins to wait.
    pub(crate) waiting: Arc<Notify>,
    /// Rings when a group is asked for a target after a rest.
    pub(crate) allocating: Arc<Notify>,
    fresh_looks: mpsc::UnboundedSender<FreshLook>,
    /// Requests for a target that wait until the best targets have been probed.
    pub(crate) looks_wanted: AsyncMutex<mpsc::UnboundedReceiver<FreshLook>>,
    /// Bounds the log lines about single requests.
    pub(crate) request_lines: LineBudget,
    /// Whether this process waits for a document from the one above it in its data hall.
    pub(crate) is_awaiting_relay: AtomicBool,
    /// Whether targets are discovered apart from the configuration.
    discovers: bool,
    pub(crate) metrics_text: MetricsText,
    routing: RwLock<Option<Arc<Routing>>>,
    /// Data halls that are drained by orders, as far as the routing takes them into account.
    drained_by_order: Mutex<Vec<DataHallName>>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        settings_path: Option<String>,
        boot: Boot,
        socket: Option<Arc<UdpSocket>>,
        discovers: bool,
        metrics_text: MetricsText,
    ) -> Arc<Self> {
        let (fresh_looks, looks_wanted) = mpsc::unbounded_channel();
        Arc::new(Self {
            fresh_looks,
            looks_wanted: AsyncMutex::new(looks_wanted),
            fleet: Mutex::new(Fleet::new(&settings, boot, BootClock.now())),
            allocation: AllocationClient::new(
                socket,
                settings.vm.clone(),
                settings.data_hall.clone(),
                boot,
            ),
            waiting: Arc::default(),
            allocating: Arc::default(),
            request_lines: LineBudget::new(REQUEST_LINES_PER_S),
            is_awaiting_relay: AtomicBool::new(false),
            discovers,
            settings_path,
            settings: RwLock::new(Arc::new(settings)),
            boot,
            started_at: BootClock.now(),
            figures: ProcessFigures::default(),
            in_force: watch::Sender::new(false),
            phase: watch::Sender::new(Phase::Starting),
            news: Notify::new(),
            platform_answered_at: Mutex::new(None),
            statuses: Statuses::default(),
            links: Links::default(),
            metrics_text,
            routing: RwLock::new(None),
            drained_by_order: Mutex::default(),
        })
    }

    fn service_links(&self) -> ServiceLinks {
        ServiceLinks {
            allocation: self.allocation.clone(),
            waiting: self.waiting.clone(),
            allocating: self.allocating.clone(),
            fresh_looks: self.fresh_looks.clone(),
        }
    }

    /// Whether a log line about a single request may be written now.
    pub(crate) fn allows_request_line(&self) -> bool {
        self.request_lines.allows(BootClock.now().as_micros())
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.read().clone()
    }

    /// Takes in settings that were read again. Addresses listened on stay as they are.
    pub(crate) fn set_settings(&self, settings: Settings) {
        self.fleet.lock().members.set_hints(settings.peers.clone());
        *self.settings.write() = Arc::new(settings);
    }

    /// The processes in the order in which they allocate a group of `service`'s targets; None
    /// is this process. A data hall's group is allocated within the hall, if it has processes,
    /// another group by the contacts of all halls.
    pub(crate) fn allocator_order(
        &self,
        service: &ServiceName,
        group: &Group,
        now: Timestamp,
    ) -> Vec<Option<AllocatorAddress>> {
        let fleet = self.fleet.lock();
        let own = fleet.members.own();
        let mut eligible = match group {
            Group::All => Vec::new(),
            Group::Hall(hall) => fleet.members.serving_in(hall, now),
        };
        if eligible.is_empty() {
            eligible = fleet.members.contacts(now);
        }
        let task = format!("allocate {service}/{group}");
        let order = ranked(&task, eligible.into_iter().map(Member::contender));
        let place = |vm: &VmName| {
            let address = fleet.members.find(vm)?.datagram_address?;
            Some(AllocatorAddress { vm: vm.clone(), address })
        };
        order
            .into_iter()
            .filter_map(|vm| if *vm == own.vm { Some(None) } else { place(vm).map(Some) })
            .collect()
    }

    /// The configuration in force, joined with what runs.
    pub(crate) fn routing(&self) -> Option<Arc<Routing>> {
        self.routing.read().clone()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.phase() == Phase::Stopping
    }

    /// Tells the own data hall what this process says of itself now: until all
    /// of the hall know of a start or a stop, two processes may allocate the same targets.
    pub(crate) fn tell_phase(&self) {
        let (member, addresses) = {
            let mut fleet = self.fleet.lock();
            let revision = fleet.configuration.head().map(|head| head.revision);
            fleet.members.beat(self.phase(), revision);
            let near = fleet.members.neighbours(BootClock.now());
            let addresses: Vec<_> = near.filter_map(|member| member.datagram_address).collect();
            (fleet.members.own().clone(), addresses)
        };
        for address in addresses {
            self.allocation.send(address, Message::Phase(member.clone()));
        }
    }

    /// Offers a configuration from any source.
    pub(crate) fn offer_configuration(&self, published: &Published, source: &str) -> Offer {
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        let (offer, adopted) = fleet.configuration.offer(published, now, Configuration::parse);
        if let Some(configuration) = adopted {
            fleet.base = Some(configuration);
            self.put_in_force(&mut fleet, now);
        }
        let rejection = fleet.configuration.rejection().map(|rejection| rejection.mistakes.clone());
        drop(fleet);
        log_offer("configuration", offer, published, source, rejection);
        if offer == Offer::Adopted {
            gauge!(metric::REVISION).set(published.head().revision.as_u64() as f64);
            self.pass_on();
        }
        offer
    }

    /// Offers discovered targets from any source.
    pub(crate) fn offer_targets(&self, published: &Published, source: &str) -> Offer {
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        let (offer, adopted) = fleet.offer_targets(published, now);
        if let Some(discovery) = adopted {
            let kept = fleet.take_discovery(discovery, now);
            if kept > 0 {
                info!("targets_kept", kv: { kept, revision: = published.head().revision });
            }
            self.put_in_force(&mut fleet, now);
        }
        let rejection = fleet.targets.rejection().map(|rejection| rejection.mistakes.clone());
        drop(fleet);
        log_offer("targets", offer, published, source, rejection);
        if offer == Offer::Adopted {
            self.pass_on();
        }
        offer
    }

    /// Drops targets that were kept after an outage of the source and not listed again.
    pub(crate) fn drop_kept_targets(&self, now: Timestamp) {
        let mut fleet = self.fleet.lock();
        if fleet.drop_kept(now) {
            info!("kept_targets_dropped");
            self.put_in_force(&mut fleet, now);
        }
    }

    /// Tells other processes that there is a new document here: those below in the data hall
    /// where there are datagrams, else a few peers.
    fn pass_on(&self) {
        if self.allocation.socket().is_some() {
            tell_below(self);
        } else {
            self.news.notify_one();
        }
    }

    /// Under the fleet's lock, so that routings replace each other in the order of their
    /// revisions.
    fn put_in_force(&self, fleet: &mut Fleet, now: Timestamp) {
        let configuration = match (&fleet.base, &fleet.discovery) {
            (None, _) => return,
            (Some(_), None) if self.discovers => return,
            (Some(base), None) => base.clone(),
            (Some(base), Some(discovery)) => base.with_discovered(discovery),
        };
        let by_order = fleet.orders.drained_halls(now);
        self.drained_by_order.lock().clone_from(&by_order);
        let configuration = configuration.with_drained(&by_order).capped(&self.settings());
        for service in &configuration.services {
            for target in &service.targets {
                if target.state == TargetState::Leaving {
                    fleet.add_mark(&LeavingMark {
                        service: service.name.clone(),
                        target: target.name.clone(),
                        incarnation: target.incarnation,
                    });
                }
            }
        }
        fleet.leaving.retain(|mark| is_mark_needed(&configuration, mark));
        let before = self.routing();
        log_halls(before.as_deref().map(|before| &*before.configuration), &configuration);
        let own_data_hall = &self.settings().data_hall;
        let routing =
            Routing::new(configuration, before.as_deref(), own_data_hall, &self.service_links());
        let routing = Arc::new(routing);
        for service in &routing.services {
            apply_marks(service, fleet);
            apply_orders(service, fleet, now);
        }
        *self.routing.write() = Some(routing);
        self.in_force.send_replace(true);
    }

    /// A target said here that it is leaving.
    pub(crate) fn note_leaving(&self, mark: &LeavingMark, source: &str) {
        let is_news = self.fleet.lock().add_mark(mark);
        if is_news {
            self.apply_mark(mark, source);
        }
    }

    /// Stops new work for a target whose leaving is news, and passes that on.
    pub(crate) fn apply_mark(&self, mark: &LeavingMark, source: &str) {
        let routing = self.routing();
        let service = routing.as_ref().and_then(|routing| routing.service(mark.service.as_str()));
        if let Some(service) = service {
            service.mark_leaving(mark);
        }
        info!("target_leaving", kv: {
            service: = mark.service, target: = mark.target,
            incarnation: = mark.incarnation, source
        });
        self.news.notify_one();
    }

    /// Applies the orders that hold now.
    pub(crate) fn apply_orders(&self) {
        let Some(routing) = self.routing() else {
            return;
        };
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        if fleet.orders.drained_halls(now) != *self.drained_by_order.lock() {
            self.put_in_force(&mut fleet, now);
            return;
        }
        for service in &routing.services {
            apply_orders(service, &fleet, now);
        }
    }
}

fn is_mark_needed(configuration: &Configuration, mark: &LeavingMark) -> bool {
    let service = configuration.services.iter().find(|service| service.name == mark.service);
    let targets = service.map_or(&[][..], |service| &service.targets);
    targets
        .iter()
        .any(|target| target.name == mark.target && target.incarnation <= mark.incarnation)
}

fn apply_marks(service: &ServiceRuntime, fleet: &Fleet) {
    for mark in fleet.leaving.of_service(service.name()) {
        service.mark_leaving(&mark);
    }
}

fn apply_orders(service: &ServiceRuntime, fleet: &Fleet, now: Timestamp) {
    service.set_stopped(|target| {
        let subject = OrderSubject::Target(service.name().clone(), target.clone());
        fleet.orders.is_stopped(&subject, now)
    });
}

/// One line for each data hall that is drained or taken back, and the number of drained ones.
fn log_halls(before: Option<&Configuration>, now: &Configuration) {
    let before = before.map_or(&[][..], |before| &before.drained_halls);
    for hall in now.drained_halls.iter().filter(|hall| !before.contains(hall)) {
        info!("data_hall_drained", kv: { hall: = hall });
    }
    for hall in before.iter().filter(|hall| !now.drained_halls.contains(hall)) {
        info!("data_hall_taken_back", kv: { hall: = hall });
    }
    gauge!(metric::DRAINED_HALLS).set(now.drained_halls.len() as f64);
}

fn log_offer(
    document: &str,
    offer: Offer,
    published: &Published,
    source: &str,
    rejection: Option<String>,
) {
    let head = published.head();
    match offer {
        Offer::Adopted => {
            info!("document_in_force", kv: {
                document, revision: = head.revision, digest: = head.digest, source
            });
        }
        Offer::Conflicting => {
            counter!(metric::DOCUMENTS_REFUSED, "offer" => "conflicting").increment(1);
            error!("document_conflicting", kv: {
                document, revision: = head.revision, digest: = head.digest, source
            });
        }
        Offer::Rejected => {
            counter!(metric::DOCUMENTS_REFUSED, "offer" => "rejected").increment(1);
            let mistakes = rejection.unwrap_or_default();
            error!("document_rejected", kv: {
                document, revision: = head.revision, source, mistakes
            });
        }
        Offer::Confirmed | Offer::Older => {}
    }
}
