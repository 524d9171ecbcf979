//! Any open target, evenly. A baseline: it needs no knowledge and never herds.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses evenly at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Strategy for Random {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        candidates.sample::<1, R>(rng).min_by_cost(|_| 0.0, rng)
    }
}
