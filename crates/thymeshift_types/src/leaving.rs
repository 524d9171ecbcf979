//! Incarnations of targets and the marks that say one of them is leaving.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ServiceName;
use crate::TargetName;

/// A number that a target raises each time it starts anew on the same address.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Incarnation(u64);

impl Incarnation {
    /// The incarnation with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The incarnation's number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// A statement that one incarnation of a target is leaving. It is never taken back;
/// only a larger incarnation serves again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The target's service.
    pub service: ServiceName,
    /// The target.
    pub target: TargetName,
    /// The incarnation that is leaving. Smaller ones are gone as well.
    pub incarnation: Incarnation,
}
