//! How much slower a target answers than comparable targets.
//!
//! Keeps two values over the ratio of the actual to the expected answer time: the mean ratio, and
//! the share of answers that were later than expected.
//! The smaller slowdown that follows from the two is used.
//! Both decay while the target gets no requests, so that the target is tried again.
//!
//! This detects slow machines, and load reports that contradict the answer times: a target that
//! reports no load and answers late is expected to answer late.
//! The mean alone would also avoid every target that just had a short stall (a noisy neighbour),
//! at all VMs at once and for longer than the stall.
//! The share alone would rate a target that is always slightly late as very slow.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Weight of one answer in the mean ratio and in the share of late answers.
const ANSWER_WEIGHT: f64 = 0.05;
/// Upper bound of the ratio of one answer, so that a single outlier does not dominate the mean.
const ANSWER_RATIO_MAX: f64 = 8.0;
/// Upper bound of the slowdown that is taken into account.
const SLOWNESS_FACTOR_MAX: f64 = 4.0;
/// Ratio up to which a difference counts as noise, because service times vary.
const NOISE_RATIO_MAX: f64 = 1.2;
/// Share of answers later than the mean if answer times are distributed exponentially.
const EXPECTED_LATE_SHARE: f64 = 0.37;
/// Time in which both values decay by half while the target gets no requests.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(1);

/// Mean ratio and share of late answers of one target.
#[derive(Debug, Clone)]
pub(crate) struct Slowness {
    /// Moving mean of the actual over the expected answer time.
    mean_ratio: f64,
    /// Moving share of the answers that took longer than expected.
    late_share: f64,
    recorded_at: Timestamp,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { mean_ratio: 1.0, late_share: EXPECTED_LATE_SHARE, recorded_at: Timestamp::default() }
    }
}

impl Slowness {
    /// Records the actual and the expected time of an answer, in microseconds.
    pub(crate) fn record(&mut self, taken_us: f64, expected_us: f64, now: Timestamp) {
        let sample = (taken_us / expected_us.max(1.0)).min(ANSWER_RATIO_MAX);
        let is_late = if sample > 1.0 { 1.0 } else { 0.0 };
        let mean_ratio = self.decayed(self.mean_ratio, 1.0, now);
        let late_share = self.decayed(self.late_share, EXPECTED_LATE_SHARE, now);
        self.mean_ratio = mean_ratio + ANSWER_WEIGHT * (sample - mean_ratio);
        self.late_share = late_share + ANSWER_WEIGHT * (is_late - late_share);
        self.recorded_at = now;
    }

    /// Returns the factor on the target's expected time, at least 1.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        let mean_ratio = self.decayed(self.mean_ratio, 1.0, now);
        let late_share = self.decayed(self.late_share, EXPECTED_LATE_SHARE, now);
        // Ratio of means at which exponentially distributed answer times give this late share.
        let ratio_from_late_share = -1.0 / late_share.clamp(f64::EPSILON, 1.0 - f64::EPSILON).ln();
        let slowdown = mean_ratio.min(ratio_from_late_share).min(SLOWNESS_FACTOR_MAX);
        1.0 + (slowdown - NOISE_RATIO_MAX).max(0.0)
    }

    fn decayed(&self, value: f64, neutral: f64, now: Timestamp) -> f64 {
        let age = now.since(self.recorded_at).as_secs_f64();
        let half_life = DECAY_HALF_LIFE.as_secs_f64();
        neutral + (value - neutral) * half_life / (half_life + age)
    }
}
