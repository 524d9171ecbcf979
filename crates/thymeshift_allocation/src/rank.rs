//! Which part of targets' limits an allocator may grant.
//!
//! A target's limit of requests a second is meant for all processes together, and several of them
//! may take themselves for its allocator: whoever lost an answer of the first asks the second, and
//! where data halls cannot reach each other, each side has a first. So the first one grants the
//! limit, but for the part of processes that it has lost; each further one grants half as much as
//! the one before it. Together they stay below one and a half times the limit, however the requests
//! are spread over them.

use thymeshift_dispatch::RateShare;

/// What the second allocator may grant; each further one grants half as much.
const SECOND_SHARE: f64 = 0.25;

/// Where a process stands among those that may allocate a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllocatorRank {
    /// Processes that rank before it and whose heartbeats still arrive, by whatever way.
    pub better_ranked: usize,
    /// Processes whose heartbeats arrive, this one included.
    pub reachable: usize,
    /// Those, and the ones that fell silent without having said that they stop.
    pub known: usize,
}

impl AllocatorRank {
    /// The part of targets' limits that it may grant.
    pub fn rate_share(self) -> RateShare {
        let rank_part = match self.better_ranked {
            0 => 1.0,
            before => 2.0 * SECOND_SHARE * (-(before as f64)).exp2(),
        };
        RateShare::new(rank_part * self.reachable as f64 / self.known.max(1) as f64)
    }
}
