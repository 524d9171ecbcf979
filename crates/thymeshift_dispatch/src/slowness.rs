//! How much slower than its like a target answers.
//!
//! What it does: keeps two figures of the time taken over the time expected: its mean, and
//! the share of answers that came later than expected. The smaller of what the two say
//! counts. While the target is not tried both fade, so that it is tried again.
//!
//! Why: it finds slow machines, and reports that contradict what is seen: who reports no
//! load and yet answers late is expected to answer late. The mean alone would also set
//! aside every target that just had a short stall (a noisy neighbour), for all VMs at
//! once and for longer than the stall; the share alone would take a steady small
//! difference for a large one.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Weight of one answer.
const WEIGHT: f64 = 0.05;
/// Largest ratio counted, so that one odd answer does not decide.
const RATIO_MAX: f64 = 8.0;
/// Largest factor.
const FACTOR_MAX: f64 = 4.0;
/// Ratio up to which a difference is taken as chance: service times vary.
const CHANCE: f64 = 1.2;
/// Share of answers later than their mean where times vary exponentially.
const LATE_SHARE: f64 = 0.37;
/// Time in which half of the figures is forgotten while the target is not tried.
const HALF_LIFE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
pub(crate) struct Slowness {
    ratio: f64,
    late_share: f64,
    at: Timestamp,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { ratio: 1.0, late_share: LATE_SHARE, at: Timestamp::default() }
    }
}

impl Slowness {
    pub(crate) fn record(&mut self, taken_us: f64, expected_us: f64, now: Timestamp) {
        let sample = (taken_us / expected_us.max(1.0)).min(RATIO_MAX);
        let is_late = if sample > 1.0 { 1.0 } else { 0.0 };
        let ratio = self.faded(self.ratio, 1.0, now);
        let late_share = self.faded(self.late_share, LATE_SHARE, now);
        self.ratio = ratio + WEIGHT * (sample - ratio);
        self.late_share = late_share + WEIGHT * (is_late - late_share);
        self.at = now;
    }

    /// Factor on the expected time, at least 1.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        let ratio = self.faded(self.ratio, 1.0, now);
        let late_share = self.faded(self.late_share, LATE_SHARE, now);
        // The mean that gives this share of late answers, in units of the expected one.
        let by_share = -1.0 / late_share.clamp(f64::EPSILON, 1.0 - f64::EPSILON).ln();
        let slower = ratio.min(by_share).min(FACTOR_MAX);
        1.0 + (slower - CHANCE).max(0.0)
    }

    fn faded(&self, figure: f64, neutral: f64, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let half_life = HALF_LIFE.as_secs_f64();
        neutral + (figure - neutral) * half_life / (half_life + age)
    }
}
