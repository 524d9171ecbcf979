//! Evaluation of the requests that reached targets during requested backoffs and after recovery.

use std::collections::HashMap;

use crate::replay::backoffs::BackoffPattern;
use crate::replay::backoffs::BackoffResult;
use crate::replay::fleet::Arrival;
use crate::replay::fleet::TARGETS;

/// Time of the simulated day at which targets start to refuse requests, in milliseconds.
pub(super) const REFUSING_FROM_MS: u64 = 4_000;
/// Time after a refusal in which requests already in flight may still arrive, in milliseconds.
const IN_FLIGHT_GRACE_MS: u64 = 500;
const SECOND_MS: u64 = 1_000;

/// Index of a process and index of a target that it sends requests to.
type Pair = (usize, usize);

/// Log of the requests that arrived at refusing targets.
pub(super) struct ArrivalLog {
    backoff_ms: u64,
    recovered_at_ms: u64,
    refusing_targets: usize,
    even_share_per_s: f64,
    backoff_starts_ms: HashMap<Pair, Vec<u64>>,
    requests_in_backoff_max: usize,
    arrivals_ms: HashMap<Pair, Vec<u64>>,
    /// Arrival times after the targets stopped refusing and all backoffs ended, by target.
    arrivals_after_recovery_ms: Vec<Vec<u64>>,
}

impl ArrivalLog {
    pub(super) fn new(pattern: &BackoffPattern) -> Self {
        Self {
            backoff_ms: pattern.backoff_ms,
            recovered_at_ms: REFUSING_FROM_MS + pattern.refusing_ms.max(pattern.backoff_ms),
            refusing_targets: pattern.refusing_targets,
            even_share_per_s: pattern.calls_per_s / TARGETS as f64,
            backoff_starts_ms: HashMap::new(),
            requests_in_backoff_max: 0,
            arrivals_ms: HashMap::new(),
            arrivals_after_recovery_ms: vec![Vec::new(); pattern.refusing_targets],
        }
    }

    pub(super) fn record_arrival(&mut self, arrival: Arrival, is_refused: bool) {
        let Arrival { process, target, at_ms } = arrival;
        if target >= self.refusing_targets {
            return;
        }
        let pair = (process, target);
        self.arrivals_ms.entry(pair).or_default().push(at_ms);
        if is_refused {
            self.backoff_starts_ms.entry(pair).or_default().push(at_ms);
        }
        if at_ms >= self.recovered_at_ms {
            self.arrivals_after_recovery_ms[target].push(at_ms);
        }
    }

    /// Drops the backoffs of a process that restarted: a new process does not know them.
    pub(super) fn forget_process(&mut self, process: usize) {
        self.evaluate_backoffs();
        self.backoff_starts_ms.retain(|(holder, _), _| *holder != process);
    }

    fn evaluate_backoffs(&mut self) {
        for (pair, backoff_starts_ms) in &self.backoff_starts_ms {
            let arrivals = self.arrivals_ms.get(pair).map_or(&[][..], Vec::as_slice);
            for start in backoff_starts_ms {
                let window = start + IN_FLIGHT_GRACE_MS..start + self.backoff_ms;
                let count = arrivals.iter().filter(|at| window.contains(at)).count();
                self.requests_in_backoff_max = self.requests_in_backoff_max.max(count);
            }
        }
    }

    pub(super) fn evaluate(mut self, result: &mut BackoffResult) {
        self.evaluate_backoffs();
        result.requests_in_backoff_max = self.requests_in_backoff_max;
        for arrivals in &self.arrivals_after_recovery_ms {
            let count_from = |first: &u64| {
                let window = *first..first + SECOND_MS;
                arrivals.iter().filter(|at| window.contains(at)).count()
            };
            let first = self.recovered_at_ms..self.recovered_at_ms + SECOND_MS;
            let starts = arrivals.iter().filter(|at| first.contains(at));
            let most = starts.map(count_from).max().unwrap_or(0) as f64;
            result.recovery_peak = result.recovery_peak.max(most / self.even_share_per_s);
            let second = count_from(&(self.recovered_at_ms + SECOND_MS)) as f64;
            result.recovery_load += second / self.even_share_per_s / self.refusing_targets as f64;
        }
    }
}
