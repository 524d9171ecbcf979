//! The product's own strategy: the smallest expected time among a few random targets.
//!
//! The expected time joins the last report and its age, this VM's own requests in
//! flight and how long they have been out, the latency seen, recent failures, the
//! distance between data halls and the cold start of a new target (see
//! `target_state::Target::expected_us`).
//!
//! Only a few targets drawn at random are compared. All VMs hold similar, stale reports;
//! if each took the best of all targets, they would all take the same one.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidate;
use crate::strategy::Candidates;
use crate::strategy::Strategy;
use crate::strategy::candidates::min_by_cost;

/// Targets compared for one request. `docs/DESIGN.md` gives the figures behind it.
const COMPARED: usize = 4;

/// Chooses the smallest expected time among a few.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExpectedTime;

impl Strategy for ExpectedTime {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        let cost = |candidate: &Candidate<'_>| candidates.expected_us(candidate);
        if candidates.counts_whole_fleet() {
            return min_by_cost(candidates.iter(), cost, rng);
        }
        let sample = candidates.sample::<COMPARED, R>(rng);
        sample.min_by_cost(cost, rng)
    }
}
