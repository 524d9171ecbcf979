//! Datagrams between entry processes: source heartbeats, target leases, quota requests and reports.
//!
//! A datagram may be lost, delayed or duplicated.
//! Each message is self-contained, and no invariant depends on the delivery of a datagram.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_allocation::Group;
use thymeshift_allocation::LeaseGrant;
use thymeshift_allocation::LeaseReport;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Head;
use thymeshift_fleet::Member;
use thymeshift_fleet::SuspectReport;
use thymeshift_types::DataHallName;
use thymeshift_types::OrganisationName;
use thymeshift_types::Reason;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::VmName;

/// Maximum size of a datagram, in bytes.
/// A datagram of this size fits into one packet of common links without fragmentation.
pub const DATAGRAM_BYTES_MAX: usize = 1_400;

/// Error of encoding a message or decoding a received datagram.
#[derive(Debug, Display, Error, From)]
#[display("datagram: {_0}")]
pub struct DatagramError(postcard::Error);

/// Identifier of a lease.
/// A process numbers the leases that it requests consecutively from its start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct LeaseNumber(pub u64);

/// A message and the process that sent it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// VM of the sending process.
    pub sender: VmName,
    /// Start of the sending process, which distinguishes it from earlier processes on the same VM.
    pub boot: Boot,
    /// Payload of the datagram.
    pub message: Message,
}

/// Messages that entry processes send to each other as datagrams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Reports that a call to the configuration source has ended.
    SourceHeartbeat(SourceHeartbeat),
    /// Requests a lease of a target.
    Acquire(Acquire),
    /// Reports that the request for a lease is queued; another reply follows.
    Waiting(LeaseNumber),
    /// Grants the lease of a target.
    Granted(LeaseNumber, LeaseGrant),
    /// Refuses a lease, with the reason and the time after which to retry.
    Refused(LeaseNumber, Reason, Duration),
    /// Reports that the sender does not allocate the group: it is not serving or lacks the service.
    Declined(LeaseNumber),
    /// Redirects a lease request to the allocator of another group, which has spare capacity.
    /// The requested group has no spare capacity.
    Redirected(LeaseNumber, Group, AllocatorAddress),
    /// Names a member that ranks before the sender as the allocator of the group.
    AskInstead(LeaseNumber, Member),
    /// Returns the lease of a target, or cancels the request for a lease.
    Release(Release),
    /// Reports the spare capacity of a group of targets.
    Room(GroupHeadroomReport),
    /// Announces the revisions of documents that the sender has adopted.
    News(Heads),
    /// Announces that the sender has started, begins to serve or is stopping.
    Phase(Member),
    /// Reports that a target crashed while running a request, or answered a suspected request.
    Suspect(SuspectReport),
    /// Requests tokens of an organisation from the organisation's counter.
    QuotaAsk(QuotaAsk),
    /// Returns the tokens that the counter of an organisation grants.
    QuotaCounted(QuotaRequestNumber, QuotaGrant),
    /// Reports that the sender is not the organisation's counter.
    /// Possible reasons: the sender is not serving, knows no limit, or does not rank first.
    QuotaElsewhere(QuotaRequestNumber),
}

/// Identifier of a quota request.
/// A process numbers its quota requests consecutively from its start.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
pub struct QuotaRequestNumber(pub u64);

/// Request for tokens of an organisation's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Identifier of this quota request.
    pub number: QuotaRequestNumber,
    /// Organisation whose tokens are requested.
    pub organisation: OrganisationName,
    /// Number of tokens requested.
    pub wanted: u32,
    /// Requests of the organisation that arrived at the sender since its last quota request.
    pub arrived: u32,
    /// Requests of the organisation that the sender admitted on its own since a counter last
    /// answered.
    pub own_admitted: u32,
}

/// Tokens that the counter of an organisation grants to one process.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of tokens granted.
    pub tokens: u32,
    /// Time until tokens are available again if none was granted, in milliseconds.
    pub retry_after_ms: u32,
    /// Rate that the requesting process may admit without the counter, in requests per second.
    /// The rate is a share of the organisation's rate limit.
    pub own_rate_per_s: Option<f64>,
}

/// Result of a reader's last call to the configuration source.
///
/// The reader sends the result to its own data hall and to some processes of every other data hall.
/// Those processes relay the result within their data hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceHeartbeat {
    /// VM of the process that called the source.
    pub reader: VmName,
    /// Whether the source answered the call.
    pub is_answered: bool,
    /// Revisions in force at the reader.
    pub heads: Heads,
    /// Data hall of the process that sent or relayed this message.
    pub data_hall: DataHallName,
    /// Address at which the process that sent or relayed this message accepts peer connections.
    pub peer_address: SocketAddr,
}

/// Allocator of a group and its datagram address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocatorAddress {
    /// VM that the allocator runs on.
    pub vm: VmName,
    /// Address at which the allocator receives datagrams.
    pub address: SocketAddr,
}

/// Revisions and digests of the documents that are in force at a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heads {
    /// Revision and digest of the configuration; `None` before the first adoption.
    pub configuration: Option<Head>,
    /// Revision and digest of the list of discovered targets; `None` before the first adoption.
    pub targets: Option<Head>,
}

/// Spare capacity of a group of targets, as its allocator reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupHeadroomReport {
    /// Service that the group belongs to.
    pub service: ServiceName,
    /// Group whose spare capacity is reported.
    pub group: Group,
    /// Allocator that sends the report.
    pub allocator: AllocatorAddress,
    /// Number of further requests that the group's targets would serve at nearly their usual speed.
    pub room: u32,
}

/// Request for a lease of one target of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Identifier of the requested lease.
    pub number: LeaseNumber,
    /// Service of the request.
    pub service: ServiceName,
    /// Group of targets to choose from.
    pub group: Group,
    /// Whether the allocator may redirect the request to another group.
    pub may_redirect: bool,
    /// Whether the sender ranks the receiver first and skipped no other allocator.
    /// The receiver names an allocator that ranks before itself only if this field is set.
    pub is_first_choice: bool,
    /// Data hall of the process that requests the lease.
    pub data_hall: DataHallName,
    /// Priority of the request, from its organisation and kind; lower values are served first.
    pub priority: u8,
    /// Class of the caller; 0 if unknown, or if the sender does not tell callers apart.
    pub caller: u16,
    /// Time left until the answer of the target must have begun.
    pub deadline: Duration,
    /// Maximum time to wait for a target.
    pub wait: Duration,
    /// Time left until the request misses its latency objective; zero if it has already missed it.
    pub objective: Duration,
    /// Maximum number of queued requests of the same priority.
    pub queue_max: u32,
    /// Mean length of the answers to requests of the same kind, in KiB; 0 if unknown.
    pub answer_kib: u32,
    /// Targets that the request was sent to in earlier attempts.
    pub tried: Vec<TargetName>,
    /// Targets that the sender must not use at present.
    pub excluded: Vec<TargetName>,
    /// Leases of the group that the sender holds or waits for.
    /// The allocator ends the sender's unlisted leases after a grace period.
    pub held: Vec<LeaseNumber>,
    /// Time left in which the request takes only targets in the sender's data hall and waits for
    /// one of them; zero if it takes targets of all halls.
    pub local_wait: Duration,
}

/// Return of a lease, or cancellation of a request for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Identifier of the returned lease.
    pub number: LeaseNumber,
    /// Service that the lease belongs to.
    pub service: ServiceName,
    /// Group that the lease belongs to.
    pub group: Group,
    /// Observations of the lease holder about the target.
    pub report: LeaseReport,
    /// Leases of the group that the sender still holds or waits for.
    /// The allocator ends the sender's other leases after a grace period.
    pub held: Vec<LeaseNumber>,
}

impl Datagram {
    /// Encodes the datagram with `postcard`.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a received datagram; fails if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
