//! The targets open to a request, as strategies see them.

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

/// One open target.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    pub(crate) index: TargetIndex,
    pub(crate) target: &'a Target,
}

impl Candidate<'_> {
    /// Its index, to be returned as the choice.
    pub fn index(&self) -> TargetIndex {
        self.index
    }

    /// This VM's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.target.in_flight()
    }

    /// Mean latency seen from this VM, in microseconds.
    pub fn latency_us(&self) -> f64 {
        self.target.latency_us()
    }
}

/// The open targets at one moment. Nothing is copied; each pass filters anew.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    targets: &'a [Target],
    model: &'a ServiceModel,
    halls: &'a Halls,
    origin: HallIndex,
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
    ) -> Self {
        Self {
            targets: table.targets(),
            model: table.model(),
            halls: table.halls(),
            origin: request.origin,
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

    /// Whether the counts hold the requests of all processes, so that the best target may
    /// be taken without all others taking it too.
    pub fn counts_whole_fleet(&self) -> bool {
        self.counts_whole_fleet
    }

    /// Time in which an answer of a candidate is expected, in microseconds, the cost of the
    /// way to its data hall included.
    pub fn expected_us(&self, candidate: &Candidate<'_>) -> f64 {
        let way_us = self.halls.cost_us(self.origin, candidate.target.hall, self.answer_kib);
        let place = (candidate.in_flight() as usize).min(self.costs.len() - 1);
        candidate.target.expected_us(self.now, self.model) * self.costs[place] + way_us
    }

    /// The moment of the decision.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// The open targets in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = Candidate<'a>> + use<'a> {
        let Self { targets, model, now, tried, excluded, bound, share, .. } = *self;
        targets.iter().enumerate().filter_map(move |(index, target)| {
            let index = TargetIndex::new(index);
            let is_allowed = !tried.contains(index) && !excluded.contains(index);
            let is_open = is_allowed && target.is_open(now, bound, share, model);
            is_open.then_some(Candidate { index, target })
        })
    }

    /// Up to `N` different candidates drawn evenly; the count says how many.
    pub(crate) fn sample<const N: usize, R: Rng>(&self, rng: &mut R) -> Sample<'a, N> {
        let count = self.iter().count();
        let mut sample = Sample { drawn: [None; N] };
        if count <= N {
            for (slot, candidate) in sample.drawn.iter_mut().zip(self.iter()) {
                *slot = Some(candidate);
            }
            return sample;
        }
        // Selection sampling: each candidate is taken with the chance that is left.
        let mut wanted = N;
        for (seen, candidate) in self.iter().enumerate() {
            if wanted == 0 {
                break;
            }
            if rng.random_range(0..count - seen) < wanted {
                sample.drawn[N - wanted] = Some(candidate);
                wanted -= 1;
            }
        }
        sample
    }
}

/// Candidates drawn at random.
pub(crate) struct Sample<'a, const N: usize> {
    drawn: [Option<Candidate<'a>>; N],
}

impl<'a, const N: usize> Sample<'a, N> {
    /// The drawn candidate with the smallest cost; equal ones are decided at random.
    pub(crate) fn min_by_cost<R: Rng>(
        &self,
        cost: impl Fn(&Candidate<'a>) -> f64,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        min_by_cost(self.drawn.iter().flatten().copied(), cost, rng)
    }
}

/// The candidate with the smallest cost; equal ones are decided at random.
pub(crate) fn min_by_cost<'a, R: Rng>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    cost: impl Fn(&Candidate<'a>) -> f64,
    rng: &mut R,
) -> Option<TargetIndex> {
    let mut best: Option<(f64, TargetIndex)> = None;
    let mut equals = 1_u32;
    for candidate in candidates {
        let cost = cost(&candidate);
        let is_better = match best {
            None => true,
            Some((least, _)) if cost < least => true,
            Some((least, _)) if cost > least => false,
            Some(_) => {
                equals += 1;
                rng.random_range(0..equals) == 0
            }
        };
        if best.is_none_or(|(least, _)| cost < least) {
            equals = 1;
        }
        if is_better {
            best = Some((cost, candidate.index));
        }
    }
    best.map(|(_, index)| index)
}
