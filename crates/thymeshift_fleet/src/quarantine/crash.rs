//! Messages about requests that crash targets, exchanged between processes.

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Fingerprint;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::VmName;

use crate::Boot;

/// Identifies a crash report, so that copies that arrive over different paths count once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// VM of the process that had sent the request to the target.
    pub vm: VmName,
    /// Boot of the process that had sent the request to the target.
    pub boot: Boot,
    /// Sequence number of the crash report at the process that created it.
    pub number: u64,
}

/// Report of a target that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Identifier that is the same in all copies of this report.
    pub id: CrashId,
    /// Service that the crashed target belongs to.
    pub service: ServiceName,
    /// Name of the crashed target.
    pub target: TargetName,
    /// Incarnation of the target that crashed.
    pub incarnation: Incarnation,
    /// Time since the request was sent to the target, in milliseconds.
    pub began_ago_ms: u64,
    /// Time since the target ended, in milliseconds.
    pub ended_ago_ms: u64,
}

/// Crashes and answers that a process knows of a suspect request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the suspect request.
    pub fingerprint: Fingerprint,
    /// Crashes of targets that were running the request.
    pub crashes: Vec<Crash>,
    /// Time since a target last answered the request, in milliseconds;
    /// `None` if no target has answered the request since its first crash.
    pub answered_ago_ms: Option<u64>,
}
