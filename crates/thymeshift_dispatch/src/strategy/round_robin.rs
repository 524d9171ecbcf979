//! One target after the other. A baseline: even in the long run, blind to load.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses the next open target behind the last one chosen.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    last: Option<TargetIndex>,
}

impl Strategy for RoundRobin {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        let chosen = match self.last {
            // Each VM starts elsewhere, so that a fleet that starts together spreads.
            None => candidates.sample::<1, R>(rng).min_by_cost(|_| 0.0, rng),
            Some(last) => {
                let behind = candidates.iter().find(|candidate| candidate.index() > last);
                let next = behind.or_else(|| candidates.iter().next());
                next.map(|candidate| candidate.index())
            }
        }?;
        self.last = Some(chosen);
        Some(chosen)
    }
}
