//! Remote calls between entry processes: state exchange and document transfer.

use serde::Deserialize;
use serde::Serialize;
use thymeshift_dispatch::RateLimitUpdate;
use thymeshift_fleet::FleetDigest;
use thymeshift_fleet::GossipMember;
use thymeshift_fleet::Head;
use thymeshift_fleet::Order;
use thymeshift_fleet::SuspectReport;
use thymeshift_fleet::Transfer;
use thymeshift_fleet::Watcher;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;

/// Document that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// Configuration of the whole fleet.
    Configuration,
    /// List of live and leaving VMs.
    VmList,
    /// List of discovered targets, which is published separately from the configuration.
    Targets,
}

/// Bounded summary of the state that a process knows.
/// In an exchange, each process sends a summary and merges the summary that it receives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Whether the sender has received few answers since its start and asks for many members.
    pub is_new: bool,
    /// Known members; the first one is the sender.
    pub members: Vec<GossipMember>,
    /// Digest of the fleet as the sender knows it.
    pub digest: FleetDigest,
    /// Revision and digest of the configuration in force at the sender.
    pub configuration: Option<Head>,
    /// Revision and digest of the VM list known to the sender.
    pub vm_list: Option<Head>,
    /// Revision and digest of the list of discovered targets known to the sender.
    pub targets: Option<Head>,
    /// Processes that watch the platform, as far as the sender knows.
    pub watchers: Vec<Watcher>,
    /// Page of the target incarnations that are leaving.
    pub leaving: Vec<LeavingMark>,
    /// Orders of operators.
    pub orders: Vec<Order>,
    /// Page of the reports on requests under which targets crashed.
    pub suspects: Vec<SuspectReport>,
    /// Page of the limits that rate-limited targets have stated.
    pub rate_limits: Vec<TargetRateLimit>,
    /// Whether the sender knows the other processes as well as they know each other.
    pub is_settled: bool,
}

/// Stated rate limit of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRateLimit {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Target that stated the limit.
    pub target: TargetName,
    /// Incarnation of the target that stated the limit.
    pub incarnation: Incarnation,
    /// Rate limit that the target stated, with its age.
    #[serde(rename = "told")]
    pub update: RateLimitUpdate,
}

/// Remote calls between entry processes.
#[tarpc::service]
pub trait PeerLink {
    /// Exchanges state summaries; returns the summary of the called process.
    async fn exchange(summary: Exchange) -> Exchange;
    /// Fetches a document of which the called process has a newer revision than `have`.
    async fn fetch(document: Document, have: Option<Head>) -> Transfer;
}
