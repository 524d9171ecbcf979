//! Power of two choices by mean latency times requests in flight from this VM. A baseline for
//! comparison: slow targets are detected from observed latency, without load reports.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses the one of two random candidates with the smaller cost. The cost is the mean latency times
/// the number of requests in flight plus one.
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
