//! Snapshot of the state of an entry process, for operators.
//!
//! The size of a dump is bounded by the configuration and by the limits of the lists in it.
//! Building a dump takes one pass over the state and performs no I/O.

use serde::Deserialize;
use serde::Serialize;
use thymeshift_allocation::Group;
use thymeshift_allocation::SpilloverClassDump;
use thymeshift_dispatch::ServiceDump;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Conflict;
use thymeshift_fleet::Head;
use thymeshift_fleet::MemberDump;
use thymeshift_fleet::Order;
use thymeshift_fleet::Phase;
use thymeshift_fleet::Rejection;
use thymeshift_fleet::SuspectDump;
use thymeshift_fleet::Watcher;
use thymeshift_types::DataHallName;
use thymeshift_types::KeyDigest;
use thymeshift_types::KindName;
use thymeshift_types::LeavingMark;
use thymeshift_types::OrganisationName;
use thymeshift_types::ServiceName;
use thymeshift_types::VmName;

/// Configuration in force and configurations that were refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDump {
    /// Revision and digest of the configuration in force.
    pub in_force: Option<Head>,
    /// Time since the configuration in force was adopted, in milliseconds.
    pub in_force_for_ms: u64,
    /// Two different configurations received under the same revision, if any.
    pub conflict: Option<Conflict>,
    /// Last revision that failed validation.
    pub rejection: Option<Rejection>,
    /// Revision and digest of the list of discovered targets in force.
    pub targets: Option<Head>,
    /// Newest configuration that others have in force, if it is newer; missing in dumps of earlier builds.
    #[serde(default)]
    pub missing: Option<Head>,
    /// Time for which a newer configuration has been known, in milliseconds.
    #[serde(default)]
    pub behind_for_ms: Option<u64>,
    /// Time for which a newer list of targets has been known, in milliseconds.
    #[serde(default)]
    pub targets_behind_for_ms: Option<u64>,
}

/// State of the connection to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformDump {
    /// Whether this process is an elected watcher of the platform.
    pub is_watching: bool,
    /// Number of calls to the platform since the process started.
    pub calls: u64,
    /// Time since the last answer of the platform, in milliseconds.
    pub last_answer_ms: Option<u64>,
    /// Processes known to watch the platform.
    pub watchers: Vec<Watcher>,
}

/// Links of the process to the targets, over connections of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinksDump {
    /// Time since which no target accepts a connection, in milliseconds; `None` while one does.
    pub lost_for_ms: Option<u64>,
    /// Time since a target last accepted a connection, in milliseconds.
    pub connected_ago_ms: Option<u64>,
    /// Time since a target last answered, in milliseconds.
    pub answered_ago_ms: Option<u64>,
    /// Number of connections that failed since a target last accepted one.
    pub failed_connects: u64,
    /// What decided that the links are lost, if they are; missing in dumps of earlier builds.
    #[serde(default)]
    pub evidence: Option<String>,
    /// Usual time between two answers in milliseconds; missing in dumps of earlier builds.
    #[serde(default)]
    pub usual_interval_ms: Option<u64>,
    /// Whether this process or a peer has reached a target lately.
    pub has_path: bool,
    /// Number of connections to targets that this process relays for peers.
    pub relays_in_progress: u64,
}

/// Reserve for requests with long answers of one group of targets that this process allocates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SpilloverDump {
    /// Service that the group belongs to.
    pub service: ServiceName,
    /// Group that keeps the reserve.
    pub group: Group,
    /// Headroom that the group reports to other groups, in requests.
    pub headroom: u32,
    /// Whether the group has redirected a request a moment ago, so that its headroom is zero.
    pub is_redirecting: bool,
    /// Offered load and reserve of each class of answer lengths that has any load.
    pub classes: Vec<SpilloverClassDump>,
}

/// Request counters of one kind since the process started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindDump {
    /// Name of the request kind.
    pub name: KindName,
    /// Service that serves requests of this kind.
    pub service: ServiceName,
    /// Priority of the kind; lower values are served first.
    pub priority: u64,
    /// Number of accepted requests.
    pub accepted: u64,
    /// Number of requests that a target answered.
    pub answered: u64,
    /// Number of requests that were refused or failed and provably did not run.
    pub not_run: u64,
    /// Number of failed requests that may have run.
    pub unknown: u64,
    /// Number of requests that a target ran and reported as failed.
    pub failed: u64,
    /// Number of attempts after the first attempt of each request.
    pub retries: u64,
    /// Number of requests that waited for a target.
    pub waited: u64,
    /// Time that a request may now wait for a target in the data hall of the process, in
    /// milliseconds; 0 if there is no such wait.
    pub local_wait_ms: u64,
}

/// Quota state of one organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationDump {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Rank among organisations; lower ranks are served first.
    pub rank: u64,
    /// Rate limit of the organisation in requests per second; `None` if unlimited.
    pub rate_per_s: Option<f64>,
    /// Number of requests that may exceed the rate limit after an idle period.
    pub burst: u64,
    /// Digests of the organisation's keys.
    pub key_digests: Vec<KeyDigest>,
    /// Number of requests that this process may admit without asking the organisation's counter.
    pub tokens: u32,
    /// Requests of the organisation per second that arrive at this process.
    pub demand_per_s: f64,
    /// Requests of the organisation per second at all processes; `None` unless counted here.
    pub counted_per_s: Option<f64>,
}

/// Invalid entry in the list of discovered targets, which is skipped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOutDump {
    /// Name in the skipped entry.
    pub name: String,
    /// First mistake found in the skipped entry.
    pub mistake: String,
}

/// State of one data hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallDump {
    /// Name of the data hall.
    pub name: DataHallName,
    /// Whether the data hall is drained, so that its targets receive no new requests.
    pub is_drained: bool,
    /// Number of targets of all services that are listed in the data hall.
    pub targets: u64,
    /// Number of known entry processes in the data hall.
    pub members: u64,
}

/// State of one task of the supervisor tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskDump {
    /// Name of the task.
    pub name: String,
    /// Number of times the supervisor restarted the task.
    pub restarts: u64,
    /// Whether the task is running.
    pub is_running: bool,
}

/// State of an entry process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateDump {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Start of the process, which distinguishes it from earlier processes on the same VM.
    pub boot: Boot,
    /// Data hall that the VM is located in.
    pub data_hall: DataHallName,
    /// Version of the program.
    pub version: String,
    /// Phase that the process announces to its peers.
    pub phase: Phase,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Number of requests in flight.
    pub requests_in_flight: u64,
    /// Number of open connections from callers.
    pub caller_connections: u64,
    /// Number of bytes received from peers since the process started.
    pub peer_bytes_received: u64,
    /// Number of bytes sent to peers since the process started.
    pub peer_bytes_sent: u64,
    /// Configuration in force and refused configurations.
    pub configuration: ConfigurationDump,
    /// State of the connection to the platform.
    pub platform: PlatformDump,
    /// Links of the process to the targets.
    pub target_links: LinksDump,
    /// Data halls, with their drain state.
    pub halls: Vec<HallDump>,
    /// Services, with the state of their targets.
    pub services: Vec<ServiceDump>,
    /// Reserves for requests with long answers, of the groups that this process allocates.
    pub reserves: Vec<SpilloverDump>,
    /// Request counters of each kind.
    pub kinds: Vec<KindDump>,
    /// Quota state of each organisation.
    pub organisations: Vec<OrganisationDump>,
    /// Other entry processes known to this process.
    pub members: Vec<MemberDump>,
    /// Invalid entries in the list of discovered targets, which are skipped.
    pub left_out: Vec<LeftOutDump>,
    /// Target incarnations that are leaving.
    pub leaving: Vec<LeavingMark>,
    /// Orders of operators in force.
    pub orders: Vec<Order>,
    /// Requests under which targets crashed.
    pub suspects: Vec<SuspectDump>,
    /// Tasks of the supervisor tree.
    pub tasks: Vec<TaskDump>,
}
