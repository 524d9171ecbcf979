//! Datagrams between entry processes: heartbeats of readers, and the lease of targets.
//!
//! A datagram may be lost, late or doubled. Each message stands for itself, and nothing that
//! must hold depends on its arrival.

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

/// Largest datagram, in bytes: it fits one packet of the usual links.
pub const DATAGRAM_BYTES_MAX: usize = 1_400;

/// A datagram that is no message.
#[derive(Debug, Display, Error, From)]
#[display("datagram: {_0}")]
pub struct DatagramError(postcard::Error);

/// Number of a lease, counted by the acquisition process from its start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct LeaseNumber(pub u64);

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sending process.
    pub sender: VmName,
    /// Its start.
    pub boot: Boot,
    /// What it says.
    pub message: Message,
}

/// What one process says to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A call to the source ended.
    SourceHeartbeat(SourceHeartbeat),
    /// Asks for a target.
    Acquire(Acquire),
    /// The request waits; another answer follows.
    Waiting(LeaseNumber),
    /// A target to send to.
    Granted(LeaseNumber, LeaseGrant),
    /// No target.
    Refused(LeaseNumber, Reason, Duration),
    /// The receiver does not allocate: it is stopping, or does not know the service.
    Declined(LeaseNumber),
    /// The group has no room; another one has, which is allocated there.
    Redirected(LeaseNumber, Group, AllocatorAddress),
    /// This member ranks before the receiver as the group's allocator.
    AskInstead(LeaseNumber, Member),
    /// A target is given back.
    Release(Release),
    /// How many more requests a group would take.
    Room(GroupRoom),
    /// The sender has taken in documents.
    News(Heads),
    /// The sender has started, begins to serve, or stops.
    Phase(Member),
    /// A target ended while it ran a request, or one answered a request that was suspected.
    Suspect(SuspectReport),
    /// Asks for tokens of an organisation.
    QuotaAsk(QuotaAsk),
    /// What the counter of an organisation answers.
    QuotaCounted(QuestionNumber, QuotaGrant),
    /// The receiver does not count the organisation's requests: another process ranks before it,
    /// or it is stopping.
    QuotaElsewhere(QuestionNumber),
}

/// Number of a question, counted by the asking process from its start.
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
pub struct QuestionNumber(pub u64);

/// A process that wants tokens of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The question.
    pub number: QuestionNumber,
    /// The organisation.
    pub organisation: OrganisationName,
    /// Tokens wanted.
    pub wanted: u32,
    /// Requests that arrived since the sender asked last.
    pub arrived: u32,
}

/// What a counter hands out.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Tokens.
    pub tokens: u32,
    /// When there are tokens again, if there was none, in milliseconds.
    pub retry_after_ms: u32,
    /// The part of the limit that the asking process may admit by itself, in requests a second.
    pub own_rate_per_s: Option<f64>,
}

/// News of a reader. It is told to its own data hall and to some processes of every other,
/// which pass it on in theirs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceHeartbeat {
    /// The process that called the source.
    pub reader: VmName,
    /// Whether the source answered.
    pub is_answered: bool,
    /// What is in force at the reader.
    pub heads: Heads,
    /// The data hall of the sender of this message.
    pub data_hall: DataHallName,
    /// Where the sender of this message answers peers.
    pub peer_address: SocketAddr,
}

/// Who allocates a group, and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocatorAddress {
    /// Its VM.
    pub vm: VmName,
    /// Where its datagrams arrive.
    pub address: SocketAddr,
}

/// What a process has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heads {
    /// The configuration.
    pub configuration: Option<Head>,
    /// The discovered targets.
    pub targets: Option<Head>,
}

/// The room of a group of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRoom {
    /// The service.
    pub service: ServiceName,
    /// The group.
    pub group: Group,
    /// Who allocates it.
    pub allocator: AllocatorAddress,
    /// Further requests that its targets would serve at nearly their usual pace.
    pub room: u32,
}

/// A request that wants a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// The lease asked for.
    pub number: LeaseNumber,
    /// The service.
    pub service: ServiceName,
    /// The group of its targets.
    pub group: Group,
    /// Whether the request may be sent to another group.
    pub may_redirect: bool,
    /// Whether nobody who ranks before the receiver was passed over: then the receiver may name
    /// one that it knows.
    pub is_first_choice: bool,
    /// The data hall of the sender.
    pub data_hall: DataHallName,
    /// Rank of the request by organisation and kind; the smallest goes first.
    pub priority: u8,
    /// Time left until the answer must have begun.
    pub deadline: Duration,
    /// Longest time to wait for a target.
    pub wait: Duration,
    /// Time left in which its answer is worth most; zero if it is over.
    pub objective: Duration,
    /// Most requests of its rank waiting at one time.
    pub queue_max: u32,
    /// Length of the answers to its kind in the mean, in KiB; 0 if that is not known.
    pub answer_kib: u32,
    /// Targets that the request was already sent to.
    pub tried: Vec<TargetName>,
    /// Targets that the sender may not use now.
    pub excluded: Vec<TargetName>,
    /// All leases of this group that the sender holds or asks for.
    pub held: Vec<LeaseNumber>,
}

/// The end of a lease, or of the request for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The lease.
    pub number: LeaseNumber,
    /// The service.
    pub service: ServiceName,
    /// The group of its targets.
    pub group: Group,
    /// What the sender knows of the target.
    pub report: LeaseReport,
    /// All leases of this group that the sender holds or asks for.
    pub held: Vec<LeaseNumber>,
}

impl Datagram {
    /// The bytes to send.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Reads what arrived.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
