//! How much of the load on the targets a dispatcher counts itself.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whose requests the counts of a dispatcher hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum View {
    /// Those of this process; others decide by themselves at the same time.
    #[default]
    #[display("own")]
    Own,
    /// Those of the whole fleet: everybody asks here.
    #[display("fleet")]
    Fleet,
    /// Those of this process, while the one that counts for the fleet does not answer.
    #[display("fallback")]
    Fallback,
}
