//! Evaluation of the requests that arrived at rate-limited targets against the stated limits.

use crate::replay::fleet::DAY_MS;
use crate::replay::limits::LimitPattern;
use crate::replay::limits::LimitResult;

/// Time of the simulated day from which targets state limits, in milliseconds.
pub(super) const STATED_AT_MS: u64 = 4_000;
/// Time of the simulated day at which the stated limits change, in milliseconds.
pub(super) const CHANGED_AT_MS: u64 = 12_000;
/// Time within which a new or changed limit must reach all processes, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;
/// Length of the windows over which arrivals are compared with the limit, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Multiple of the limit that a target may receive in a window.
const OVERSHOOT_FACTOR: f64 = 1.5;
/// Number of requests that a target may receive in a window beyond `OVERSHOOT_FACTOR`.
const SLACK_REQUESTS: f64 = 5.0;

/// Returns the limit in requests per second that a rate-limited target states at `now_ms`, if any.
pub(super) fn limit_at(pattern: &LimitPattern, now_ms: u64) -> Option<f64> {
    if now_ms < STATED_AT_MS {
        return None;
    }
    let factor = if now_ms < CHANGED_AT_MS { 1.0 } else { pattern.limit_factor };
    (factor > 0.0).then_some(pattern.limit_per_s * factor)
}

/// Adds the arrivals at the rate-limited targets, ordered by time, to the result.
pub(super) fn evaluate(pattern: &LimitPattern, arrivals_ms: &[Vec<u64>], result: &mut LimitResult) {
    let from = STATED_AT_MS + PROPAGATION_MS;
    for arrivals_at_ms in arrivals_ms {
        let evaluated: Vec<u64> = arrivals_at_ms.iter().copied().filter(|at| *at >= from).collect();
        result.requests_received += evaluated.len() as f64;
        result.requests_allowed += allowed_between(pattern, from, DAY_MS);
        for first in &evaluated {
            let arrivals =
                evaluated.iter().filter(|at| (*first..first + WINDOW_MS).contains(at)).count();
            result.worst_window =
                result.worst_window.max(arrivals as f64 / allowed_in(pattern, *first));
        }
    }
}

/// Returns the number of requests allowed in the window that starts at `first_ms`, computed from
/// the largest limit that a process may still apply in the window.
fn allowed_in(pattern: &LimitPattern, first_ms: u64) -> f64 {
    let before = limit_at(pattern, first_ms.saturating_sub(PROPAGATION_MS));
    let after = limit_at(pattern, first_ms + WINDOW_MS);
    let per_s = before.into_iter().chain(after).fold(0.0, f64::max);
    OVERSHOOT_FACTOR * per_s * WINDOW_MS as f64 / 1_000.0 + SLACK_REQUESTS
}

fn allowed_between(pattern: &LimitPattern, from_ms: u64, to_ms: u64) -> f64 {
    let seconds = |from: u64, to: u64| (to - from) as f64 / 1_000.0;
    let first = limit_at(pattern, from_ms).unwrap_or(0.0);
    let last = limit_at(pattern, to_ms).unwrap_or(0.0);
    first * seconds(from_ms, CHANGED_AT_MS) + last * seconds(CHANGED_AT_MS, to_ms)
}
