//! Whether a process reaches the targets over its own links, and which peers connect it to targets
//! that it does not reach, without I/O.
//!
//! * [`TargetLinks`]: judges from this process's own connections whether it reaches any target.
//! * [`Helpers`]: selects the peers that are asked to relay a connection to a target.

mod arrivals;
mod connect_evidence;
mod helpers;
mod target_links;
mod unanswered;

pub use connect_evidence::ConnectFailure;
pub use connect_evidence::FailedConnect;
pub use connect_evidence::PeerAnswer;
pub use helpers::Helpers;
pub use helpers::Unusable;
pub use target_links::AnswerTrial;
pub use target_links::LinkChange;
pub use target_links::LinkSnapshot;
pub use target_links::LossEvidence;
pub use target_links::TargetLinks;
pub use unanswered::SentRequest;
