//! Names, times, revisions and request outcomes shared by all thymeshift crates.
//!
//! The types are plain data without I/O or global state. Callers pass clocks in as [`Clock`], so
//! that tests can run every decision at a fixed time.

mod capacity;
mod clock;
mod failure;
mod fingerprint;
mod hash;
mod key_digest;
mod leaving;
mod name;
mod revision;

pub use capacity::Capacity;
pub use clock::BootClock;
pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::Timestamp;
pub use failure::Failure;
pub use failure::Outcome;
pub use failure::Peer;
pub use failure::Reason;
pub use failure::Step;
pub use fingerprint::Fingerprint;
pub use fingerprint::FingerprintError;
pub use key_digest::KeyDigest;
pub use key_digest::KeyDigestError;
pub use leaving::Incarnation;
pub use leaving::LeavingMark;
pub use name::DataHallName;
pub use name::KindName;
pub use name::NameError;
pub use name::OrganisationName;
pub use name::ServiceName;
pub use name::TargetName;
pub use name::VmName;
pub use revision::Digest;
pub use revision::DigestError;
pub use revision::Epoch;
pub use revision::Revision;
