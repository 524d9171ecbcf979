//! Coordination without I/O and without shared state: how processes that cannot write
//! anywhere agree.
//!
//! * [`Adoption`]: which published revision is in force; it never goes down.
//! * [`History`] and [`Delta`]: what is sent to a process that runs an older revision.
//! * [`WatcherSelection`]: who reads the platform, a few at a time, without an election.
//! * [`LeavingRegister`]: targets that get no new work, sticky for each incarnation.
//! * [`Members`]: who else is there, from direct evidence and passed-on heartbeats; all of the
//!   own data hall, a few of every other.
//! * [`Readers`]: who reads the source, a few at a time, by rank.
//! * [`relay_position`]: how a document reaches all processes of a data hall.
//! * [`Quarantine`]: requests that crash the targets which run them.
//! * [`Orders`]: operators' temporary orders, the same everywhere in any order of arrival.
//!
//! Times are arguments; after a pause of its own a process calls `paused` on what has such
//! a method, so that it does not blame the others for its own absence.
//!
//! Messages go in and come out as plain data; `thymeshift_wire` carries them.

mod adoption;
mod delta;
mod digest;
mod forwarding;
mod history;
mod leaving;
mod member;
mod members;
mod orders;
mod pace;
mod published;
mod quarantine;
mod rank;
mod readers;
mod relay;
mod watch;

pub use adoption::Adoption;
pub use adoption::Conflict;
pub use adoption::OfferOutcome;
pub use adoption::Rejection;
pub use delta::Delta;
pub use delta::DeltaError;
pub use digest::FleetDigest;
pub use digest::MembersDigest;
pub use forwarding::ForwardingFilter;
pub use history::History;
pub use history::Transfer;
pub use leaving::LeavingRegister;
pub use member::Boot;
pub use member::Liveness;
pub use member::Member;
pub use member::MemberDump;
pub use member::Phase;
pub use members::GossipMember;
pub use members::GossipScope;
pub use members::Members;
pub use members::ReceivedSummary;
pub use members::VisibleMembers;
pub use orders::Order;
pub use orders::OrderChange;
pub use orders::OrderDraft;
pub use orders::OrderStamp;
pub use orders::OrderSubject;
pub use orders::Orders;
pub use pace::ListPace;
pub use published::Head;
pub use published::Published;
pub use quarantine::Crash;
pub use quarantine::CrashId;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineRules;
pub use quarantine::SuspectDump;
pub use quarantine::SuspectReport;
pub use quarantine::Verdict;
pub use rank::Candidate;
pub use rank::ranked;
pub use readers::HallRank;
pub use readers::ReadAction;
pub use readers::Readers;
pub use relay::FAN_OUT;
pub use relay::RELAY_WAIT_LIMIT;
pub use relay::RelayPosition;
pub use relay::relay_position;
pub use watch::Watcher;
pub use watch::WatcherSelection;
