//! Power of two choices: the one of two random candidates with fewer requests in flight from this
//! VM. A baseline for comparison: load is spread nearly as evenly as by comparing all candidates,
//! and independent VMs do not converge on the same target.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses the one of two random candidates with fewer requests in flight from this VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Strategy for TwoChoices {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        let sample = candidates.sample::<2, R>(rng);
        sample.min_by_cost(|candidate| f64::from(candidate.in_flight()), rng)
    }
}
