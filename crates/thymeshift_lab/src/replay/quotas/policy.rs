//! Policies of keeping a limit over many processes.

use derive_more::Display;

/// A policy of keeping the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum QuotaPolicy {
    /// What the product does: one process counts, the others hold tokens.
    #[display("counted")]
    Counted,
    /// The same, where each process that is asked in the counter's place hands out the whole limit.
    #[display("each counter whole")]
    EachFullLimit,
    /// Each process admits an equal part.
    #[display("equal parts")]
    EqualParts,
    /// Each process tells all others its demand four times a second, and admits its part of what
    /// it heard.
    #[display("parts by demand")]
    PartsByDemand,
}

impl QuotaPolicy {
    /// The policies that are compared.
    pub const ALL: [Self; 4] =
        [Self::Counted, Self::EachFullLimit, Self::EqualParts, Self::PartsByDemand];

    /// Numbers of processes that it is played with. Where all tell all, a day of 300 is four
    /// million messages, and one of 1,000 is not worth its time.
    pub(super) fn sizes(self) -> &'static [usize] {
        match self {
            Self::Counted | Self::EachFullLimit | Self::EqualParts => &[3, 30, 117, 300, 1_000],
            Self::PartsByDemand => &[3, 30, 117],
        }
    }
}
