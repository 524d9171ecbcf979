//! Candidate targets of a request, as seen by the load-balancing strategies.

use rand::Rng;
use thymeshift_types::Timestamp;

use crate::Excluded;
use crate::HallIndex;
use crate::RateShare;
use crate::Request;
use crate::TargetIndex;
use crate::Tried;
use crate::View;
use crate::halls::Halls;
use crate::model::ServiceModel;
use crate::table::MarginalCosts;
use crate::table::TargetTable;
use crate::target_state::Bound;
use crate::target_state::Target;

/// Target that may receive the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    pub(crate) index: TargetIndex,
    pub(crate) target: &'a Target,
}

impl Candidate<'_> {
    /// Returns the target index that a strategy returns as its choice.
    pub fn index(&self) -> TargetIndex {
        self.index
    }

    /// Returns the number of requests in flight at the target that this process counts.
    pub fn in_flight(&self) -> u32 {
        self.target.in_flight()
    }

    /// Returns the mean latency of the target observed by this VM, in microseconds.
    pub fn latency_us(&self) -> f64 {
        self.target.latency_us()
    }
}

/// Data halls whose targets a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Targets in the request's own data hall, while it waits for one of them.
    Home,
    /// Targets in all data halls.
    Anywhere,
}

/// Candidate targets of one request at the time of the decision. Borrows the target table; every
/// iteration filters the targets again instead of copying them.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    targets: &'a [Target],
    model: &'a ServiceModel,
    halls: &'a Halls,
    origin: HallIndex,
    reach: Reach,
    answer_kib: u32,
    now: Timestamp,
    tried: &'a Tried,
    excluded: Excluded,
    bound: Bound,
    share: RateShare,
    costs: MarginalCosts,
    counts_whole_fleet: bool,
}

impl<'a> Candidates<'a> {
    pub(crate) fn new(
        table: &'a TargetTable,
        view: View,
        now: Timestamp,
        tried: &'a Tried,
        request: &Request,
        reach: Reach,
    ) -> Self {
        Self {
            targets: table.targets(),
            model: table.model(),
            halls: table.halls(),
            origin: request.origin,
            reach,
            answer_kib: request.answer_kib,
            now,
            tried,
            excluded: request.excluded,
            bound: table.bound(view, now),
            share: table.rate_share(view),
            costs: table.marginal_costs(view, now),
            counts_whole_fleet: view == View::Fleet,
        }
    }

    /// Returns whether the in-flight counts include the requests of all processes. Only then can a
    /// strategy choose the best of all targets without every process choosing the same one.
    pub fn counts_whole_fleet(&self) -> bool {
        self.counts_whole_fleet
    }

    /// Returns the expected response time of a candidate in microseconds. The time includes the cost
    /// of routing the request to the data hall of the candidate.
    pub fn expected_us(&self, candidate: &Candidate<'_>) -> f64 {
        let hall_cost_us = self.halls.cost_us(self.origin, candidate.target.hall, self.answer_kib);
        let cost_index = (candidate.in_flight() as usize).min(self.costs.len() - 1);
        candidate.target.expected_us(self.now, self.model) * self.costs[cost_index] + hall_cost_us
    }

    /// Returns the time of the decision.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Iterates over the candidates in index order.
    pub fn iter(&self) -> impl Iterator<Item = Candidate<'a>> + use<'a> {
        let Self { targets, model, now, tried, excluded, bound, share, origin, reach, .. } = *self;
        targets.iter().enumerate().filter_map(move |(index, target)| {
            let index = TargetIndex::new(index);
            let is_in_reach = reach == Reach::Anywhere || target.hall == origin;
            let is_allowed = is_in_reach && !tried.contains(index) && !excluded.contains(index);
            let is_open = is_allowed && target.is_open(now, bound, share, model);
            is_open.then_some(Candidate { index, target })
        })
    }

    /// Draws up to `N` distinct candidates uniformly at random; fewer if there are fewer than `N`.
    pub(crate) fn sample<const N: usize, R: Rng>(&self, rng: &mut R) -> Sample<'a, N> {
        let count = self.iter().count();
        let mut sample = Sample { drawn: [None; N] };
        if count <= N {
            for (slot, candidate) in sample.drawn.iter_mut().zip(self.iter()) {
                *slot = Some(candidate);
            }
            return sample;
        }
        // Selection sampling draws each candidate with the probability `draws_left` divided by the
        // number of candidates left, which makes every sample of size `N` equally likely.
        let mut draws_left = N;
        for (seen, candidate) in self.iter().enumerate() {
            if draws_left == 0 {
                break;
            }
            if rng.random_range(0..count - seen) < draws_left {
                sample.drawn[N - draws_left] = Some(candidate);
                draws_left -= 1;
            }
        }
        sample
    }
}

/// Up to `N` distinct candidates drawn at random.
pub(crate) struct Sample<'a, const N: usize> {
    drawn: [Option<Candidate<'a>>; N],
}

impl<'a, const N: usize> Sample<'a, N> {
    /// Returns the drawn candidate with the smallest cost; ties are broken at random.
    pub(crate) fn min_by_cost<R: Rng>(
        &self,
        cost: impl Fn(&Candidate<'a>) -> f64,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        min_by_cost(self.drawn.iter().flatten().copied(), cost, rng)
    }
}

/// Returns the candidate with the smallest cost; ties are broken uniformly at random.
pub(crate) fn min_by_cost<'a, R: Rng>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    cost: impl Fn(&Candidate<'a>) -> f64,
    rng: &mut R,
) -> Option<TargetIndex> {
    let mut best: Option<(f64, TargetIndex)> = None;
    let mut tie_count = 1_u32;
    for candidate in candidates {
        let cost = cost(&candidate);
        let is_better = match best {
            None => true,
            Some((best_cost, _)) if cost < best_cost => true,
            Some((best_cost, _)) if cost > best_cost => false,
            Some(_) => {
                tie_count += 1;
                rng.random_range(0..tie_count) == 0
            }
        };
        if best.is_none_or(|(best_cost, _)| cost < best_cost) {
            tie_count = 1;
        }
        if is_better {
            best = Some((cost, candidate.index));
        }
    }
    best.map(|(_, index)| index)
}
