//! Smallest expected response time among a few random candidates.
//!
//! The expected response time of a target combines its last load report and the age of that
//! report, this VM's requests in flight there and how long they have been outstanding, the observed
//! latency, recent failures, the distance between data halls and the cold start of a new target. The
//! formula is in `target_state::Target::expected_us`.
//!
//! A VM that counts only its own requests compares a few random candidates. All VMs hold similar,
//! stale load reports, so choosing the best of all targets would send every VM to the same one.
//! A process that allocates for the whole fleet compares all candidates.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidate;
use crate::strategy::Candidates;
use crate::strategy::Strategy;
use crate::strategy::candidates::min_by_cost;

/// Number of random candidates compared for one request.
///
/// A larger sample chooses better for one VM, but VMs with similar stale load reports then choose
/// the same targets. `docs/DESIGN.md` compares this strategy with the alternatives.
const SAMPLE_SIZE: usize = 4;

/// Chooses the candidate with the smallest expected response time.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExpectedTime;

impl Strategy for ExpectedTime {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        let cost = |candidate: &Candidate<'_>| candidates.expected_us(candidate);
        if candidates.counts_whole_fleet() {
            return min_by_cost(candidates.iter(), cost, rng);
        }
        let sample = candidates.sample::<SAMPLE_SIZE, R>(rng);
        sample.min_by_cost(cost, rng)
    }
}
