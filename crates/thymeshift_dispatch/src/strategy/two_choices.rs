//! The better of two random targets by own requests in flight. A baseline: nearly as
//! even as looking at all of them, and does not herd.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses the better of two by requests in flight.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Strategy for TwoChoices {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        let sample = candidates.sample::<2, R>(rng);
        sample.min_by_cost(|candidate| f64::from(candidate.in_flight()), rng)
    }
}
