//! Policies that enforce a target's stated limit over many processes.

use derive_more::Display;

/// Policy that enforces a target's stated limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LimitPolicy {
    /// Policy of the load balancer: the target's allocator counts all grants. An allocator that is
    /// not the best-ranked one, or that misses heartbeats of others, grants a share of the limit. A
    /// process that decides without an allocator sends nothing to a rate-limited target.
    #[display("allocated")]
    Allocated,
    /// The allocator, and each process that replaces it, grants up to the full limit.
    #[display("each allocator whole")]
    EachFullLimit,
    /// Each process enforces an equal share of the limit without an allocator.
    #[display("equal parts")]
    EqualParts,
    /// All processes ignore the limit.
    #[display("unread")]
    Ignored,
}

impl LimitPolicy {
    /// Policies of the result table.
    pub const ALL: [Self; 4] =
        [Self::Allocated, Self::EachFullLimit, Self::EqualParts, Self::Ignored];
}
