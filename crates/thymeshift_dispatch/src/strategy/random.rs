//! Uniformly random choice among the candidates. A baseline for comparison: the strategy needs no
//! load information, and independent VMs do not converge on the same target.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses a candidate uniformly at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Strategy for Random {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        candidates.sample::<1, R>(rng).min_by_cost(|_| 0.0, rng)
    }
}
