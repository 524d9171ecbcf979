//! Policies that enforce an organisation's limit over many processes.

use derive_more::Display;

/// Policy that enforces an organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum QuotaPolicy {
    /// Policy of the load balancer: one process counts requests and grants tokens to the others.
    #[display("counted")]
    Counted,
    /// One process counts the requests; a process that replaces it also grants the full limit.
    #[display("each counter whole")]
    EachFullLimit,
    /// Each process enforces an equal share of the limit.
    #[display("equal parts")]
    EqualParts,
    /// Each process reports its demand to all others four times per second, and enforces a share of
    /// the limit in proportion to its part of the reported demand.
    #[display("parts by demand")]
    PartsByDemand,
}

impl QuotaPolicy {
    /// Policies of the result table.
    pub const ALL: [Self; 4] =
        [Self::Counted, Self::EachFullLimit, Self::EqualParts, Self::PartsByDemand];

    /// Returns the fleet sizes to simulate.
    ///
    /// `PartsByDemand` stops at 117 processes, because each process sends messages to all others.
    /// One day with 300 processes takes four million messages; a day with 1,000 takes too long.
    pub(super) fn sizes(self) -> &'static [usize] {
        match self {
            Self::Counted | Self::EachFullLimit | Self::EqualParts => &[3, 30, 117, 300, 1_000],
            Self::PartsByDemand => &[3, 30, 117],
        }
    }
}
