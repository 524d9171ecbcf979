//! Rate limit that a target states in its answers, and how far arriving requests exceeded it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

/// Time within which a new limit must reach all processes; earlier arrivals are not evaluated.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Length of the sliding window over which arrivals are compared with the limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that may arrive in a window.
const OVERSHOOT_FACTOR: f64 = 1.5;
/// Number of requests that may arrive in a window beyond `OVERSHOOT_FACTOR`.
const SLACK_REQUESTS: f64 = 5.0;

/// Stated limit of a target, with the arrivals since it was stated.
#[derive(Default)]
pub(super) struct StatedLimit {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    limit_per_s: Option<f64>,
    /// Time from which arrivals are evaluated; `None` if the target states no limit.
    evaluated_from: Option<Instant>,
    /// Times of the arrivals within the current window.
    arrivals: VecDeque<Instant>,
    /// Maximum number of arrivals in a window, divided by the allowed number.
    worst_window: f64,
}

impl StatedLimit {
    /// Sets the limit that the target states from now on; `None` states no limit.
    pub(super) fn set_limit(&self, limit_per_s: Option<f64>) {
        let mut state = self.state.lock();
        state.limit_per_s = limit_per_s;
        state.evaluated_from = limit_per_s.map(|_| Instant::now() + PROPAGATION_TIME);
        state.arrivals.clear();
    }

    pub(super) fn limit_per_s(&self) -> Option<f64> {
        self.state.lock().limit_per_s
    }

    /// Records the arrival of a request and evaluates the current window.
    pub(super) fn record_request(&self) {
        let now = Instant::now();
        let State { limit_per_s, evaluated_from, arrivals, worst_window } = &mut *self.state.lock();
        let (Some(limit_per_s), Some(from)) = (*limit_per_s, *evaluated_from) else {
            return;
        };
        if now < from {
            return;
        }
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|first| now.duration_since(*first) > WINDOW) {
            arrivals.pop_front();
        }
        let allowed = OVERSHOOT_FACTOR * limit_per_s * WINDOW.as_secs_f64() + SLACK_REQUESTS;
        *worst_window = worst_window.max(arrivals.len() as f64 / allowed);
    }

    /// Returns the maximum number of arrivals in a window, divided by the allowed number.
    pub(super) fn worst_window(&self) -> f64 {
        self.state.lock().worst_window
    }
}
