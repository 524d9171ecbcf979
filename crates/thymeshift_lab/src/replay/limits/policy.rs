//! Policies of keeping a target's limit over many processes.

use derive_more::Display;

/// A policy of keeping the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LimitPolicy {
    /// What the product does: the target's allocator counts; one that is not the first, or has lost
    /// others, grants a part; whoever decides alone grants nothing.
    #[display("allocated")]
    Allocated,
    /// The allocator counts, and grants the whole limit; so does each process that is asked in its
    /// place.
    #[display("each allocator whole")]
    EachFullLimit,
    /// Each process keeps an equal part by itself.
    #[display("equal parts")]
    EqualParts,
    /// Nobody reads the limit.
    #[display("unread")]
    Ignored,
}

impl LimitPolicy {
    /// The policies that are compared.
    pub const ALL: [Self; 4] =
        [Self::Allocated, Self::EachFullLimit, Self::EqualParts, Self::Ignored];
}
