//! What processes tell each other of requests that crash targets.

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Fingerprint;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::VmName;

use crate::Boot;

/// Which report of a crash it is: the same in whatever way it arrives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The VM whose request it was.
    pub vm: VmName,
    /// The start of its process.
    pub boot: Boot,
    /// Counted by that process.
    pub number: u64,
}

/// A target ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Which report it is.
    pub id: CrashId,
    /// The target's service.
    pub service: ServiceName,
    /// The target.
    pub target: TargetName,
    /// The target's start.
    pub incarnation: Incarnation,
    /// How long ago the request was sent there, in milliseconds.
    pub began_ago_ms: u64,
    /// How long ago the target ended, in milliseconds.
    pub ended_ago_ms: u64,
}

/// What is held against a request, and what speaks for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that ended while they ran it.
    pub crashes: Vec<Crash>,
    /// How long ago a target answered it, in milliseconds, if one did since the first crash.
    pub answered_ago_ms: Option<u64>,
}
