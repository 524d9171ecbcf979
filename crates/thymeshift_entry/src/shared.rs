//! State that all tasks of the entry process share.
//!
//! * [`in_force`]: applies configuration, discovered targets, leaving marks and orders.
//! * [`rate_limits`]: exchange of rate-limited targets' stated limits between processes.

mod in_force;
mod rate_limits;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::RwLock;
use thymeshift_allocation::AllocatorRank;
use thymeshift_allocation::Group;
use thymeshift_config::Settings;
use thymeshift_fleet::Boot;
use thymeshift_fleet::FleetBounds;
use thymeshift_fleet::ListPace;
use thymeshift_fleet::Member;
use thymeshift_fleet::Phase;
use thymeshift_fleet::VisibleMembers;
use thymeshift_fleet::ranked;
use thymeshift_supervisor::Statuses;
use thymeshift_telemetry::LogRateLimiter;
use thymeshift_telemetry::MetricsText;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
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
use crate::control_plane::PeerLinks;
use crate::control_plane::PortStop;
use crate::fleet::Fleet;
use crate::organisations::Quotas;
use crate::pauses::PauseNotifier;
use crate::routing::Routing;
use crate::service::PendingAcquire;
use crate::service::ServiceContext;
use crate::target_client::Connector;
use crate::target_client::UnknownHeaders;

/// Maximum number of log lines about single requests per second.
const REQUEST_LOG_LINES_PER_S: u64 = 50;

/// Processes ranked for a task, preferred one first; `None` stands for this process.
pub(crate) type RankedProcesses = Arc<[Option<AllocatorAddress>]>;

/// Counters and gauges of the whole process.
#[derive(Default)]
pub(crate) struct ProcessMetrics {
    pub(crate) requests_in_flight: AtomicU64,
    /// Pipelined requests in progress, started while an earlier request of the connection runs.
    pub(crate) pipelined_requests: AtomicU64,
    pub(crate) caller_connections: AtomicU64,
    pub(crate) platform_calls: AtomicU64,
    /// Connections to targets that this process relays for peers now.
    pub(crate) relays_in_progress: AtomicU64,
    /// Connections that a planned stop took from the accept queue when it ended accepting.
    pub(crate) accepted_late: AtomicU64,
    /// Requests that a planned stop served after it had ended accepting.
    pub(crate) served_late: AtomicU64,
}

/// Shared state of an entry process.
pub(crate) struct Shared {
    settings: RwLock<Arc<Settings>>,
    /// Whether callers who ask for less are served first; as set when the process started.
    pub(crate) has_fair_callers: bool,
    /// Path of the settings file, if the settings were read from one.
    pub(crate) settings_path: Option<String>,
    pub(crate) boot: Boot,
    pub(crate) started_at: Timestamp,
    pub(crate) metrics: ProcessMetrics,
    /// Ends waits whose deadline passed while the VM was suspended.
    pub(crate) pause_notifier: PauseNotifier,
    pub(crate) fleet: Arc<Mutex<Fleet>>,
    /// Whether a configuration is in force.
    pub(crate) has_configuration: watch::Sender<bool>,
    pub(crate) phase: watch::Sender<Phase>,
    /// Whether connections of callers are still accepted.
    pub(crate) is_accepting: watch::Sender<bool>,
    /// Wakes the peer task to exchange state with a few peers at once.
    pub(crate) peer_exchange_due: Notify,
    /// Wakes the reader of the source when others have a newer document than this process.
    pub(crate) is_behind: Notify,
    pub(crate) platform_answered_at: Mutex<Option<Timestamp>>,
    pub(crate) statuses: Statuses,
    pub(crate) links: PeerLinks,
    /// Planned stop of the ports of peers, operators and collectors.
    pub(crate) port_stop: Arc<PortStop>,
    pub(crate) allocation: Arc<AllocationClient>,
    /// Opens connections to the targets.
    pub(crate) connector: Arc<Connector>,
    pub(crate) quotas: Quotas,
    /// Wakes the ticker when a request is queued.
    pub(crate) request_queued: Arc<Notify>,
    /// Wakes the pace prober when a group receives an acquire request after an idle period.
    pub(crate) group_activated: Arc<Notify>,
    pending_acquires: mpsc::UnboundedSender<PendingAcquire>,
    /// Acquire requests that are decided after the best targets have been probed.
    pub(crate) pending_acquires_receiver: AsyncMutex<mpsc::UnboundedReceiver<PendingAcquire>>,
    pub(crate) unknown_headers: UnknownHeaders,
    /// Rate limit of log lines about single requests.
    pub(crate) request_log_limiter: LogRateLimiter,
    /// Whether this process waits for a document from its parent in the data hall's relay tree.
    pub(crate) is_awaiting_relay: AtomicBool,
    /// Whether a fetch of target lists is pending until [`Shared::list_fetch_delay`] ends.
    pub(crate) is_list_fetch_delayed: AtomicBool,
    pub(crate) list_pace: Mutex<ListPace>,
    crashes_reported: AtomicU64,
    /// Number of rate limits sent to peers so far; selects which limits the next message holds.
    rate_limits_cursor: AtomicUsize,
    /// Whether targets are discovered separately from the configuration.
    has_discovery: bool,
    /// Whether each configuration of the source must take effect.
    is_source_validated: bool,
    pub(crate) metrics_text: MetricsText,
    routing: RwLock<Option<Arc<Routing>>>,
    /// Data halls drained by orders when the current routing was built.
    drained_by_order: Mutex<Vec<DataHallName>>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        settings_path: Option<String>,
        boot: Boot,
        socket: Option<Arc<UdpSocket>>,
        has_discovery: bool,
        is_source_validated: bool,
        metrics_text: MetricsText,
    ) -> Arc<Self> {
        let (pending_acquires, pending_acquires_receiver) = mpsc::unbounded_channel();
        let fleet = Arc::new(Mutex::new(Fleet::new(&settings, boot, BootClock.now())));
        Arc::new(Self {
            pending_acquires,
            pending_acquires_receiver: AsyncMutex::new(pending_acquires_receiver),
            connector: Arc::new(Connector::new(settings.target_source_address, &fleet)),
            fleet,
            allocation: AllocationClient::new(
                socket,
                settings.vm.clone(),
                settings.data_hall.clone(),
                boot,
            ),
            quotas: Quotas::default(),
            unknown_headers: UnknownHeaders::default(),
            request_queued: Arc::default(),
            group_activated: Arc::default(),
            request_log_limiter: LogRateLimiter::new(REQUEST_LOG_LINES_PER_S),
            is_awaiting_relay: AtomicBool::new(false),
            is_list_fetch_delayed: AtomicBool::new(false),
            list_pace: Mutex::default(),
            crashes_reported: AtomicU64::new(0),
            rate_limits_cursor: AtomicUsize::new(0),
            has_discovery,
            is_source_validated,
            has_fair_callers: settings.fair_callers,
            settings_path,
            settings: RwLock::new(Arc::new(settings)),
            boot,
            started_at: BootClock.now(),
            metrics: ProcessMetrics::default(),
            pause_notifier: PauseNotifier::default(),
            has_configuration: watch::Sender::new(false),
            phase: watch::Sender::new(Phase::Starting),
            is_accepting: watch::Sender::new(true),
            peer_exchange_due: Notify::new(),
            is_behind: Notify::new(),
            platform_answered_at: Mutex::new(None),
            statuses: Statuses::default(),
            links: PeerLinks::default(),
            port_stop: Arc::default(),
            metrics_text,
            routing: RwLock::new(None),
            drained_by_order: Mutex::default(),
        })
    }

    fn service_context(&self) -> ServiceContext {
        ServiceContext {
            allocation: self.allocation.clone(),
            has_fair_callers: self.has_fair_callers,
            connector: self.connector.clone(),
            request_queued: self.request_queued.clone(),
            group_activated: self.group_activated.clone(),
            pending_acquires: self.pending_acquires.clone(),
        }
    }

    /// Returns whether a log line about a single request may be written now, and counts it.
    pub(crate) fn allows_request_log_line(&self) -> bool {
        self.request_log_limiter.allows(BootClock.now().as_micros())
    }

    /// Returns how long this process waits before it applies another list of targets.
    pub(crate) fn list_fetch_delay(&self) -> Duration {
        self.list_pace.lock().remaining_delay(BootClock.now())
    }

    /// Returns the sequence number of this process's next report of a crashed target.
    pub(crate) fn next_crash_number(&self) -> u64 {
        self.crashes_reported.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the current settings.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.read().clone()
    }

    /// Applies reloaded settings. Listeners stay bound to their current addresses.
    pub(crate) fn set_settings(&self, settings: Settings) {
        self.fleet.lock().members.set_hints(settings.peers.clone());
        *self.settings.write() = Arc::new(settings);
    }

    /// Returns the ranked allocators of a target group; `None` stands for this process.
    ///
    /// A data hall's group is allocated by the serving processes of that hall.
    /// If a hall has no serving process, the contacts of all data halls are ranked.
    /// The contacts also allocate the group of all targets.
    pub(crate) fn allocator_order(
        &self,
        service: &ServiceName,
        group: &Group,
        now: Timestamp,
    ) -> Vec<Option<AllocatorAddress>> {
        let fleet = self.fleet.lock();
        let mut eligible = match group {
            Group::All => Vec::new(),
            Group::Hall(hall) => fleet.members.serving_in(hall, now),
        };
        if eligible.is_empty() {
            eligible = fleet.members.contacts(now);
        }
        ranked_addresses(&fleet, &allocator_task(service, group), eligible)
    }

    /// Returns the rank of this process among the possible allocators of a target group.
    pub(crate) fn allocator_rank(
        &self,
        service: &ServiceName,
        group: &Group,
        now: Timestamp,
    ) -> AllocatorRank {
        let bounds = self.fleet_bounds();
        let fleet = self.fleet.lock();
        let hall_candidates = match group {
            Group::All => None,
            Group::Hall(hall) => Some(fleet.members.visible_in(hall, bounds, now)),
        };
        // Unreachable processes of a hall may still allocate the hall's group.
        // They count as one process that ranks before this process.
        let is_hall_unreachable = hall_candidates
            .as_ref()
            .is_some_and(|candidates| candidates.visible.is_empty() && candidates.known_count > 0);
        let candidates = hall_candidates.filter(|candidates| !candidates.visible.is_empty());
        let candidates = candidates.unwrap_or_else(|| fleet.members.visible_contacts(bounds, now));
        let rank = rank_in(&fleet, &allocator_task(service, group), &candidates);
        AllocatorRank {
            better_ranked: rank.better_ranked + usize::from(is_hall_unreachable),
            ..rank
        }
    }

    /// Returns the rank of this process among all processes for a fleet-wide task.
    pub(crate) fn rank_for(&self, task: &str, now: Timestamp) -> AllocatorRank {
        let bounds = self.fleet_bounds();
        let fleet = self.fleet.lock();
        let candidates = fleet.members.visible_contacts(bounds, now);
        rank_in(&fleet, task, &candidates)
    }

    /// Returns the upper bounds of the number of processes.
    fn fleet_bounds(&self) -> FleetBounds {
        let vms_max = self.routing().map_or(1, |routing| routing.configuration.entry_vms_max);
        let halls = self.settings().data_halls.len();
        FleetBounds {
            vms_max: usize::try_from(vms_max).unwrap_or(usize::MAX),
            halls: (halls > 0).then_some(halls),
        }
    }

    /// Returns the contacts of all data halls ranked for a fleet-wide task.
    /// `None` stands for this process.
    pub(crate) fn ranked_contacts(
        &self,
        task: &str,
        now: Timestamp,
    ) -> Vec<Option<AllocatorAddress>> {
        let fleet = self.fleet.lock();
        ranked_addresses(&fleet, task, fleet.members.contacts(now))
    }

    /// Returns the routing of the configuration in force, if there is one.
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

    /// Announces the current phase to all processes of this process's data hall.
    ///
    /// Until all processes know of a start or a stop, two processes may allocate the same targets.
    pub(crate) fn announce_phase(&self) {
        let (member, addresses) = {
            let mut fleet = self.fleet.lock();
            let revision = fleet.configuration.head().map(|head| head.revision);
            fleet.members.advance_heartbeat(self.phase(), revision);
            let hall_peers = fleet.members.hall_peers(BootClock.now());
            let addresses: Vec<_> =
                hall_peers.filter_map(|member| member.datagram_address).collect();
            (fleet.members.own().clone(), addresses)
        };
        for address in addresses {
            self.allocation.send(address, Message::Phase(member.clone()));
        }
    }
}

fn rank_in(fleet: &Fleet, task: &str, candidates: &VisibleMembers<'_>) -> AllocatorRank {
    let own = &fleet.members.own().vm;
    let order = ranked(task, candidates.visible.iter().map(|member| member.candidate()));
    let better_ranked_count = order.iter().take_while(|vm| **vm != own).count();
    AllocatorRank {
        better_ranked: better_ranked_count,
        reachable: candidates.visible.len(),
        known: candidates.known_count,
    }
}

/// Returns the task string that the processes are ranked by as allocators of a group.
fn allocator_task(service: &ServiceName, group: &Group) -> String {
    format!("allocate {service}/{group}")
}

/// Returns the datagram addresses of `eligible` members ranked for a task.
/// `None` stands for this process.
fn ranked_addresses(
    fleet: &Fleet,
    task: &str,
    eligible: Vec<&Member>,
) -> Vec<Option<AllocatorAddress>> {
    let own = fleet.members.own();
    let address_of = |vm: &VmName| {
        let address = fleet.members.find(vm)?.datagram_address?;
        Some(AllocatorAddress { vm: vm.clone(), address })
    };
    ranked(task, eligible.into_iter().map(Member::candidate))
        .into_iter()
        .filter_map(|vm| if *vm == own.vm { Some(None) } else { address_of(vm).map(Some) })
        .collect()
}
