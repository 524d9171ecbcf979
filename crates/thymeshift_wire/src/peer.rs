//! What entry processes say to each other.

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

/// A document that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// The configuration.
    Configuration,
    /// The list of live and leaving VMs.
    VmList,
    /// The targets that are discovered apart from the configuration.
    Targets,
}

/// One side of an exchange: a bounded summary of what a process knows. Both sides send
/// one, and each takes in the other's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Whether the sender has hardly heard of others since its start, and wants to be told of
    /// many.
    pub is_new: bool,
    /// Members, the sender first.
    pub members: Vec<GossipMember>,
    /// The fleet as the sender knows it.
    pub digest: FleetDigest,
    /// The configuration in force.
    pub configuration: Option<Head>,
    /// The VM list known.
    pub vm_list: Option<Head>,
    /// The discovered targets known.
    pub targets: Option<Head>,
    /// Who watches the platform.
    pub watchers: Vec<Watcher>,
    /// A page of the targets that are leaving.
    pub leaving: Vec<LeavingMark>,
    /// Operators' orders.
    pub orders: Vec<Order>,
    /// A page of the requests that targets crashed under.
    pub suspects: Vec<SuspectReport>,
    /// A page of the limits that targets in need have named.
    pub rate_limits: Vec<TargetRateLimit>,
}

/// What a process knows of the limit of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRateLimit {
    /// The service.
    pub service: ServiceName,
    /// The target.
    pub target: TargetName,
    /// Its start.
    pub incarnation: Incarnation,
    /// The limit, and how old this is.
    pub told: RateLimitUpdate,
}

/// Calls between entry processes.
#[tarpc::service]
pub trait PeerLink {
    /// Swaps summaries.
    async fn exchange(summary: Exchange) -> Exchange;
    /// Asks for a document that the other side has newer.
    async fn fetch(document: Document, have: Option<Head>) -> Transfer;
}
