//! Coordination of processes without I/O, shared state or a coordinator.
//!
//! * [`Adoption`]: the revision of a document that is in force; the revision never decreases.
//! * [`History`] and [`Delta`]: transfers to processes that run an older revision.
//! * [`WatcherSelection`]: the few processes that watch the platform, without an election.
//! * [`DepartedTargets`]: targets that a restored copy of the source lists although they have left.
//! * [`LeavingRegister`]: targets that receive no new work, marked per incarnation.
//! * [`Members`]: the known processes, from direct contact and gossiped heartbeats:
//!   all members of the own data hall, and a few of every other hall.
//! * [`Readers`]: the few processes that read the source of configuration and targets, by rank.
//! * [`SourcePosition`]: how far a reader has read the source's history of changes.
//! * [`relay_position`]: the relay tree that distributes documents within a data hall.
//! * [`Quarantine`]: requests that are refused because they crash the targets that run them.
//! * [`Orders`]: operators' temporary orders, which converge in any order of arrival.
//!
//! All functions take the time as an argument. After a pause of its own,
//! a process calls `paused` on the types that have this method,
//! so that its own absence does not count as silence of the others.
//!
//! Messages are plain data; `thymeshift_wire` sends and receives them.

mod adoption;
mod delta;
mod departed;
mod digest;
mod forwarding;
mod history;
mod lag;
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
mod source_position;
mod watch;

pub use adoption::Adoption;
pub use adoption::Conflict;
pub use adoption::OfferOutcome;
pub use adoption::Rejection;
pub use delta::Delta;
pub use delta::DeltaError;
pub use departed::DepartedTargets;
pub use departed::ListedTarget;
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
pub use members::FleetBounds;
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
pub use readers::Behind;
pub use readers::HallRank;
pub use readers::ReadAction;
pub use readers::Readers;
pub use readers::SourceReport;
pub use relay::FAN_OUT;
pub use relay::RelayPosition;
pub use relay::relay_position;
pub use source_position::AnswerAge;
pub use source_position::SourcePosition;
pub use watch::Watcher;
pub use watch::WatcherSelection;
