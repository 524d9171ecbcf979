//! Least requests in flight from this VM. A baseline for comparison: the count is exact for this
//! VM's requests, but excludes those of the other VMs.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;
use crate::strategy::candidates::min_by_cost;

/// Chooses the candidate with the fewest requests in flight from this VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastInFlight;

impl Strategy for LeastInFlight {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        min_by_cost(candidates.iter(), |candidate| f64::from(candidate.in_flight()), rng)
    }
}
