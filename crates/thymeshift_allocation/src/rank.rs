//! Share of the rate limits of targets that an allocator may grant, depending on its rank.
//!
//! The rate limit of a target applies to all processes together, but several processes may act as
//! its allocator at the same time: a process that loses an answer of the first allocator asks the
//! second, and after a network partition between data halls each side has a first allocator.
//! Therefore the first allocator grants the whole limit, reduced by the fraction of processes that
//! it cannot reach. The second allocator grants a quarter, and each further allocator half the
//! share of its predecessor. The sum of all shares stays below 1.5 times the limit for any
//! distribution of requests over the allocators.

use thymeshift_dispatch::RateShare;

/// Share of a rate limit that the second allocator may grant. The share halves with each rank.
const SECOND_ALLOCATOR_SHARE: f64 = 0.25;

/// Rank of a process among the candidate allocators of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllocatorRank {
    /// Number of better-ranked processes whose heartbeats still arrive, directly or relayed.
    pub better_ranked: usize,
    /// Number of processes whose heartbeats still arrive, including this process.
    pub reachable: usize,
    /// Number of reachable processes, plus those that became silent without announcing a shutdown.
    pub known: usize,
}

impl AllocatorRank {
    /// Returns the share of each target's rate limit that the process may grant.
    pub fn rate_share(self) -> RateShare {
        let rank_share = match self.better_ranked {
            0 => 1.0,
            better_ranked => 2.0 * SECOND_ALLOCATOR_SHARE * (-(better_ranked as f64)).exp2(),
        };
        RateShare::new(rank_share * self.reachable as f64 / self.known.max(1) as f64)
    }
}
