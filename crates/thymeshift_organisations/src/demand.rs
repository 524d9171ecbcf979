//! Recent arrival rate of requests.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Exponentially decaying average of an arrival rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    time_constant: Duration,
    per_s: f64,
    updated_at: Timestamp,
}

impl Demand {
    /// Creates a rate of zero that decays with `time_constant`.
    pub(crate) fn new(time_constant: Duration, now: Timestamp) -> Self {
        Self { time_constant, per_s: 0.0, updated_at: now }
    }

    pub(crate) fn add(&mut self, count: u32, now: Timestamp) {
        self.per_s = self.per_s(now) + f64::from(count) / self.time_constant.as_secs_f64();
        self.updated_at = now;
    }

    pub(crate) fn per_s(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64() / self.time_constant.as_secs_f64();
        self.per_s * (-passed).exp()
    }

    /// Returns the time since the last recorded arrival.
    pub(crate) fn silent_for(&self, now: Timestamp) -> Duration {
        now.since(self.updated_at)
    }
}
