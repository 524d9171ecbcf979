//! Policies that order the callers of one kind.

use derive_more::Display;

/// Policy that orders the callers of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CallerPolicy {
    /// Without an order among callers.
    #[display("as before")]
    AsBefore,
    /// Callers who ask for less are served first.
    #[display("caller shares")]
    CallerShares,
}

impl CallerPolicy {
    /// Policies of the result table.
    pub const ALL: [Self; 2] = [Self::AsBefore, Self::CallerShares];
}
