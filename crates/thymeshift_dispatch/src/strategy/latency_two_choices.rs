//! The better of two random targets by latency seen times requests in flight. A
//! baseline: learns which targets are slow, without reports.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses the better of two by mean latency and requests in flight.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyTwoChoices;

impl Strategy for LatencyTwoChoices {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        let sample = candidates.sample::<2, R>(rng);
        sample.min_by_cost(
            |candidate| candidate.latency_us() * (f64::from(candidate.in_flight()) + 1.0),
            rng,
        )
    }
}
