//! A limit of requests a second that a target names, and how far it was exceeded.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

/// Until all processes must know a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time over which a limit is judged, how far it may be exceeded, and by how many requests more.
const WINDOW: Duration = Duration::from_secs(4);
const OVERSHOOT_FACTOR: f64 = 1.5;
const SLACK_REQUESTS: f64 = 5.0;

/// A target's need.
#[derive(Default)]
pub(super) struct StatedLimit {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    limit_per_s: Option<f64>,
    /// From when on arrivals are judged.
    evaluated_from: Option<Instant>,
    /// Arrivals within the last window.
    arrivals: VecDeque<Instant>,
    /// Most arrivals in a window, in parts of what is allowed.
    worst_window: f64,
}

impl StatedLimit {
    /// From now on the target names this limit, or none.
    pub(super) fn set_limit(&self, limit_per_s: Option<f64>) {
        let mut state = self.state.lock();
        state.limit_per_s = limit_per_s;
        state.evaluated_from = limit_per_s.map(|_| Instant::now() + PROPAGATION_TIME);
        state.arrivals.clear();
    }

    pub(super) fn limit_per_s(&self) -> Option<f64> {
        self.state.lock().limit_per_s
    }

    /// A request arrives.
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

    /// Most arrivals in a window, in parts of what is allowed.
    pub(super) fn worst_window(&self) -> f64 {
        self.state.lock().worst_window
    }
}
