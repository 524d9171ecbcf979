//! Token bucket with a refill rate and a capacity.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Upper bound of the reported time until the next tokens.
const WAIT_MAX: Duration = Duration::from_mins(1);

/// Time in which a bucket refills from its lowest level to zero. Longer debts would refuse requests
/// long after the ones that caused the debt.
const DEBT_MAX: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket with `level` tokens and a capacity of `capacity` tokens.
    pub(crate) fn new(rate_per_s: f64, capacity: f64, level: f64, now: Timestamp) -> Self {
        Self { rate_per_s, capacity, level: level.min(capacity), refilled_at: now }
    }

    /// Changes the refill rate and the capacity from `now` on.
    pub(crate) fn set_limit(&mut self, rate_per_s: f64, capacity: f64, now: Timestamp) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Takes up to `wanted` whole tokens and returns the number taken.
    pub(crate) fn take(&mut self, wanted: u32, now: Timestamp) -> u32 {
        self.refill(now);
        let taken = wanted.min(self.level.max(0.0) as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Removes the tokens of requests that were admitted elsewhere. The level may become negative,
    /// by the tokens of [`DEBT_MAX`] at most.
    pub(crate) fn charge(&mut self, count: f64, now: Timestamp) {
        self.refill(now);
        let level_min = -self.rate_per_s * DEBT_MAX.as_secs_f64();
        self.level = (self.level - count).max(level_min.min(self.level));
    }

    /// Returns the refill rate in tokens per second.
    pub(crate) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the time until the bucket holds `count` tokens, at most one minute.
    pub(crate) fn time_to(&self, count: f64) -> Duration {
        let missing = (count - self.level).max(0.0);
        let wait_s = missing / self.rate_per_s;
        Duration::try_from_secs_f64(wait_s).unwrap_or(WAIT_MAX).min(WAIT_MAX)
    }

    /// Returns the number of tokens in the bucket.
    pub(crate) fn level(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: Timestamp) {
        let passed_s = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + passed_s * self.rate_per_s).min(self.capacity);
        self.refilled_at = now;
    }
}
