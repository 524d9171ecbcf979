//! Evaluation of how evenly the callers of one kind are served.

use std::fmt;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Part of the callers that counts as the worst-served ones: one in ten.
const WORST_DIVISOR: usize = 10;
/// Number of random assignments over which the worst tenth by chance is averaged.
const CHANCE_ROUNDS: u64 = 20;

/// Requests of one caller and one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerCount {
    /// Number of requests; retries are not counted.
    pub requests: usize,
    /// Number of requests that were answered within their objective.
    pub in_objective: usize,
    /// Number of requests that were refused, with all their retries.
    pub refused: usize,
}

impl CallerCount {
    fn share(&self) -> f64 {
        self.in_objective as f64 / self.requests.max(1) as f64
    }
}

/// Requests of one kind by caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerKindResult {
    /// Requests of each caller; the abusive callers come first.
    pub callers: Vec<CallerCount>,
    /// Number of abusive callers.
    pub abusive: usize,
}

impl CallerKindResult {
    pub(super) fn new(callers: usize, abusive: usize) -> Self {
        Self { callers: vec![CallerCount::default(); callers], abusive }
    }

    /// Returns the share of all requests that were answered within their objective.
    pub fn in_objective_share(&self) -> f64 {
        self.sum(|count| count.in_objective) as f64 / self.requests().max(1) as f64
    }

    /// Returns the share of all requests that were refused.
    pub fn refused_share(&self) -> f64 {
        self.sum(|count| count.refused) as f64 / self.requests().max(1) as f64
    }

    /// Returns the mean share in the objective of the patient callers, divided by the mean of all
    /// callers. It hardly depends on chance, but does not show a single caller's disadvantage.
    pub fn patient_mean(&self) -> f64 {
        mean_share(self.patient()) / self.mean_share()
    }

    /// Returns the share in the objective of the worst tenth of all callers, divided by the mean
    /// of all callers.
    pub fn worst_tenth(&self) -> f64 {
        worst_tenth(&self.callers) / self.mean_share()
    }

    /// Returns the share in the objective of the worst tenth of the patient callers, divided by
    /// the mean of all callers.
    pub fn worst_patient_tenth(&self) -> f64 {
        worst_tenth(self.patient()) / self.mean_share()
    }

    /// Returns the expected [`Self::worst_tenth`] if each request were answered within its
    /// objective with the same probability.
    pub fn worst_tenth_by_chance(&self) -> f64 {
        self.by_chance(&self.callers)
    }

    /// Returns the expected [`Self::worst_patient_tenth`] if each request were answered within its
    /// objective with the same probability.
    pub fn worst_patient_tenth_by_chance(&self) -> f64 {
        self.by_chance(self.patient())
    }

    /// Returns the number of abusive callers in the worst tenth of all callers.
    pub fn abusive_in_worst_tenth(&self) -> usize {
        let worst = worst_callers(&self.callers);
        worst.iter().filter(|index| **index < self.abusive).count()
    }

    fn patient(&self) -> &[CallerCount] {
        &self.callers[self.abusive..]
    }

    fn requests(&self) -> usize {
        self.sum(|count| count.requests)
    }

    fn sum(&self, part: impl Fn(&CallerCount) -> usize) -> usize {
        self.callers.iter().map(part).sum()
    }

    /// Returns the mean of the callers' shares in the objective; each caller counts the same.
    fn mean_share(&self) -> f64 {
        mean_share(&self.callers).max(f64::MIN_POSITIVE)
    }

    fn by_chance(&self, callers: &[CallerCount]) -> f64 {
        let mean = self.mean_share().min(1.0);
        let rounds = (0..CHANCE_ROUNDS).map(|seed| {
            let mut rng = SmallRng::seed_from_u64(seed);
            let drawn = callers.iter().map(|count| drawn_count(count.requests, mean, &mut rng));
            worst_tenth(&drawn.collect::<Vec<_>>())
        });
        rounds.sum::<f64>() / CHANCE_ROUNDS as f64 / mean
    }
}

impl fmt::Display for CallerKindResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (in_objective, refused) = (self.in_objective_share(), self.refused_share());
        let (tenth, chance) = (self.worst_tenth(), self.worst_tenth_by_chance());
        let patient = self.worst_patient_tenth();
        let patient_chance = self.worst_patient_tenth_by_chance();
        let patient_mean = self.patient_mean();
        let abusive = self.abusive_in_worst_tenth();
        write!(
            f,
            "{in_objective:>9.4} {refused:>8.4} {tenth:>11.3} {chance:>7.3} {patient:>13.3} \
             {patient_chance:>7.3} {patient_mean:>13.3} {abusive:>17}"
        )
    }
}

fn mean_share(callers: &[CallerCount]) -> f64 {
    callers.iter().map(CallerCount::share).sum::<f64>() / callers.len().max(1) as f64
}

/// Returns the indices of the worst-served tenth of the callers.
fn worst_callers(callers: &[CallerCount]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..callers.len()).collect();
    indices.sort_by(|a, b| callers[*a].share().total_cmp(&callers[*b].share()));
    indices.truncate((callers.len() / WORST_DIVISOR).max(1));
    indices
}

/// Returns the mean share in the objective of the worst-served tenth of the callers.
fn worst_tenth(callers: &[CallerCount]) -> f64 {
    let worst = worst_callers(callers);
    worst.iter().map(|index| callers[*index].share()).sum::<f64>() / worst.len().max(1) as f64
}

/// Returns the count of a caller whose requests are each in the objective with `probability`.
fn drawn_count(requests: usize, probability: f64, rng: &mut SmallRng) -> CallerCount {
    let in_objective = (0..requests).filter(|_| rng.random_bool(probability)).count();
    CallerCount { requests, in_objective, refused: requests - in_objective }
}
