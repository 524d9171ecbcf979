//! Arrivals at random moments (a Poisson process), the same for the same seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp1;

use crate::load::LoadPlan;

/// One request that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// When, from the start.
    pub(crate) at: Duration,
    /// Index of its kind in the plan.
    pub(crate) kind: usize,
}

/// All arrivals of a plan in their order.
pub(crate) fn arrivals(plan: &LoadPlan) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let total: f64 = plan.kinds.iter().map(|kind| kind.rate_per_s).sum();
    let mut arrivals = Vec::new();
    if total <= 0.0 {
        return arrivals;
    }
    let mut at = Duration::ZERO;
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at += Duration::from_secs_f64(gap / total);
        if at > plan.duration {
            return arrivals;
        }
        let drawn = rng.random::<f64>() * total;
        arrivals.push(Arrival { at, kind: kind_at(plan, drawn) });
    }
}

/// The kind in whose share of the total rate `drawn` lies.
fn kind_at(plan: &LoadPlan, drawn: f64) -> usize {
    let mut below = 0.0;
    for (index, kind) in plan.kinds.iter().enumerate() {
        below += kind.rate_per_s;
        if drawn < below {
            return index;
        }
    }
    plan.kinds.len() - 1
}

/// When the plan's requests are due, from the start.
pub fn arrival_times(plan: &LoadPlan) -> impl Iterator<Item = Duration> {
    arrivals(plan).into_iter().map(|arrival| arrival.at)
}
