//! How much slower than expected a target answers.
//!
//! What it does: keeps the ratio of time taken to time expected. A ratio clearly above 1
//! lengthens the target's expected time by as much. While the target is not tried the
//! ratio fades, so that it is tried again.
//!
//! Why: it finds slow machines and noisy neighbours, and reports that contradict what is
//! seen: who reports no load and yet answers late is expected to answer late.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Weight of one answer.
const WEIGHT: f64 = 0.1;
/// Largest ratio counted, so that one odd answer does not decide.
const RATIO_MAX: f64 = 8.0;
/// Ratio up to which a difference is taken as chance: service times vary.
const CHANCE: f64 = 1.3;
/// Time in which half of a ratio is forgotten while the target is not tried.
const HALF_LIFE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
pub(crate) struct Slowness {
    ratio: f64,
    at: Timestamp,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { ratio: 1.0, at: Timestamp::default() }
    }
}

impl Slowness {
    pub(crate) fn learn(&mut self, taken_us: f64, expected_us: f64, now: Timestamp) {
        let sample = (taken_us / expected_us.max(1.0)).min(RATIO_MAX);
        let ratio = self.ratio(now);
        self.ratio = ratio + WEIGHT * (sample - ratio);
        self.at = now;
    }

    /// Factor on the expected time, at least 1.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        1.0 + (self.ratio(now) - CHANCE).max(0.0)
    }

    fn ratio(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let half_life = HALF_LIFE.as_secs_f64();
        1.0 + (self.ratio - 1.0) * half_life / (half_life + age)
    }
}
