//! Arrival times of requests, drawn as a Poisson process from the seed of the load plan.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp1;

use crate::load::LoadPlan;

/// Scheduled request of a load plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Due time, relative to the start of the load.
    pub(crate) at: Duration,
    /// Index of the request kind in [`LoadPlan::kinds`].
    pub(crate) kind: usize,
}

/// Returns all arrivals of a load plan in order of their due times.
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

/// Returns the index of the kind whose interval of the cumulative rate contains `drawn`.
fn kind_at(plan: &LoadPlan, drawn: f64) -> usize {
    let mut cumulative_rate = 0.0;
    for (index, kind) in plan.kinds.iter().enumerate() {
        cumulative_rate += kind.rate_per_s;
        if drawn < cumulative_rate {
            return index;
        }
    }
    plan.kinds.len() - 1
}

/// Returns the due times of the plan's requests, relative to the start of the load.
pub fn arrival_times(plan: &LoadPlan) -> impl Iterator<Item = Duration> {
    arrivals(plan).into_iter().map(|arrival| arrival.at)
}
