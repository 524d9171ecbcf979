//! Round robin over the candidates. A baseline for comparison: the long-run distribution is even,
//! but the load of the targets is ignored.

use rand::Rng;

use crate::TargetIndex;
use crate::strategy::Candidates;
use crate::strategy::Strategy;

/// Chooses the candidate that follows the previously chosen target in index order.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    last: Option<TargetIndex>,
}

impl Strategy for RoundRobin {
    fn choose<R: Rng>(&mut self, candidates: &Candidates<'_>, rng: &mut R) -> Option<TargetIndex> {
        let chosen = match self.last {
            // Each VM starts at a random candidate, so that VMs started together do not all send
            // their first requests to the same target.
            None => candidates.sample::<1, R>(rng).min_by_cost(|_| 0.0, rng),
            Some(last) => {
                let following = candidates.iter().find(|candidate| candidate.index() > last);
                let next = following.or_else(|| candidates.iter().next());
                next.map(|candidate| candidate.index())
            }
        }?;
        self.last = Some(chosen);
        Some(chosen)
    }
}
