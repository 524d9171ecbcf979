//! Incarnations of targets, and the marks that declare an incarnation as leaving.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ServiceName;
use crate::TargetName;

/// Number that a target increases each time it restarts at the same address.
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
    /// Creates the incarnation with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the incarnation number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// Mark that one incarnation of a target is leaving.
///
/// The mark is permanent: the target receives requests again only with a larger incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingMark {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Name of the leaving target.
    pub target: TargetName,
    /// Incarnation that is leaving. Smaller incarnations count as gone.
    pub incarnation: Incarnation,
}
