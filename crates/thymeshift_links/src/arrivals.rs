//! Arrivals of answers over this process's own connections, and how often they usually come.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Upper bound of a silence that is waited for, and of each measured interval, so that one idle
/// minute does not delay the judgement for long.
const SILENCE_MAX: Duration = Duration::from_secs(1);
/// Number of usual intervals without an arrival that count as silence. With random arrivals, one
/// interval in 50 is longer.
const INTERVALS_MIN: u32 = 4;
/// Reciprocal weight of the newest interval in the mean: at ten answers a second, the mean follows
/// a change of the rate within a second.
const MEAN_WEIGHT: u32 = 8;

/// Times of the last arrivals and the usual interval between answers.
#[derive(Debug, Clone)]
pub(crate) struct Arrivals {
    /// Time at which the head of an answer last arrived.
    pub(crate) answered_at: Option<Timestamp>,
    /// Time at which any byte of an answer last arrived.
    pub(crate) arrived_at: Option<Timestamp>,
    /// Start of the current interval between heads; none after a loss of the links, while requests go
    /// through peers and the own answers are few.
    interval_from: Option<Timestamp>,
    /// Exponential mean of the intervals between heads. Body frames of one answer follow each other
    /// closely and would make a process with few requests look busy.
    pub(crate) usual_interval: Duration,
}

impl Default for Arrivals {
    fn default() -> Self {
        // Until answers have arrived, the longest silence is required.
        let usual_interval = SILENCE_MAX / INTERVALS_MIN;
        Self { answered_at: None, arrived_at: None, interval_from: None, usual_interval }
    }
}

impl Arrivals {
    pub(crate) fn record_head(&mut self, now: Timestamp) {
        if let Some(from) = self.interval_from.replace(now) {
            let interval = now.since(from).min(SILENCE_MAX);
            let mean = self.usual_interval * (MEAN_WEIGHT - 1) + interval;
            self.usual_interval = mean / MEAN_WEIGHT;
        }
        self.answered_at = Some(now);
        self.record_bytes(now);
    }

    /// Records that the links are lost, so that the current interval is not usual.
    pub(crate) fn record_loss(&mut self) {
        self.interval_from = None;
    }

    pub(crate) fn record_bytes(&mut self, now: Timestamp) {
        self.arrived_at = Some(now);
    }

    /// Returns the time without an arrival that is unusual for this process, at least `min`.
    pub(crate) fn unusual_silence(&self, min: Duration) -> Duration {
        (self.usual_interval * INTERVALS_MIN).max(min).min(SILENCE_MAX)
    }

    /// Returns whether no byte has arrived for `time` since `since`.
    pub(crate) fn is_silent_since(&self, since: Timestamp, time: Duration, now: Timestamp) -> bool {
        let last_sign = self.arrived_at.map_or(since, |at| at.max(since));
        now.since(last_sign) >= time
    }
}
