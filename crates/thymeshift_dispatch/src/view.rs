//! Part of the load on the targets that a dispatcher counts itself.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Processes whose requests the counts of a dispatcher include.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum View {
    /// Requests of this process only; other processes decide for themselves at the same time.
    #[default]
    #[display("own")]
    Own,
    /// Requests of the whole fleet: all processes obtain their targets from this one.
    #[display("fleet")]
    Fleet,
    /// Requests of this process only, while the allocator for the fleet does not answer.
    #[display("fallback")]
    Fallback,
}
