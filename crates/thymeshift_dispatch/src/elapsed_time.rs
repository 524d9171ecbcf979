//! How long a caller has been trying already, told by the time that it still waits.
//!
//! What it does: keeps the times that callers of a kind usually say they wait. A caller that
//! says less than the next usual time has spent the difference on earlier attempts. Usual are
//! the longest time seen, and each time that many requests in a row of others share.
//!
//! Why: the objective of a kind counts from a caller's first attempt, which may have been
//! refused here or at another process, or lost with it. A request that cannot be answered
//! within the objective any more is worth much less than one that can.

use std::time::Duration;

/// Times told apart: parts of the longest one.
const STEPS: usize = 32;
/// Share of the longest time by which a caller may be late without having tried before: the
/// way to here takes time, too.
const SLACK: f64 = 0.01;
/// Weight of one request in the share of requests that say a time.
const SHARE_WEIGHT: f64 = 1.0 / 256.0;
/// Share from which on a time is a usual one.
const USUAL_SHARE: f64 = 0.15;
/// Share by which the longest times fade with each request, so that one odd caller does not
/// make all others look late for ever.
const FADE: f64 = 0.0002;

/// The usual times of one kind at one VM.
#[derive(Debug, Clone, Default)]
pub struct ElapsedTimeEstimator {
    longest_s: f64,
    shares: [f64; STEPS],
    /// The longest time seen at each place.
    largest_s: [f64; STEPS],
}

impl ElapsedTimeEstimator {
    /// Takes in the time that a caller says it waits, and returns how long it has been trying.
    pub fn estimate(&mut self, told: Duration) -> Duration {
        let told_s = told.as_secs_f64();
        self.longest_s *= 1.0 - FADE;
        self.largest_s.iter_mut().for_each(|largest_s| *largest_s *= 1.0 - FADE);
        if told_s > self.longest_s * (1.0 + SLACK) {
            // Places of other times would be wrong from now on.
            *self = Self { longest_s: told_s, ..Self::default() };
        }
        self.longest_s = self.longest_s.max(told_s);
        let place = self.place(told_s);
        self.largest_s[place] = self.largest_s[place].max(told_s);
        for (index, share) in self.shares.iter_mut().enumerate() {
            let sample = if index == place { 1.0 } else { 0.0 };
            *share += SHARE_WEIGHT * (sample - *share);
        }
        let usual_s = self.usual_from(place).unwrap_or(self.longest_s);
        let tried_s = usual_s - told_s;
        if tried_s <= self.longest_s * SLACK {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(tried_s)
    }

    /// The next usual time at or above a place, if there is one below the longest.
    fn usual_from(&self, place: usize) -> Option<f64> {
        let next = (place..STEPS).find(|index| self.shares[*index] >= USUAL_SHARE)?;
        Some(self.largest_s[next])
    }

    fn place(&self, told_s: f64) -> usize {
        let part = told_s / self.longest_s.max(f64::MIN_POSITIVE);
        ((part * STEPS as f64) as usize).min(STEPS - 1)
    }
}
