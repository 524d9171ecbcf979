//! Retry budget: bounds the attempts after the first one.
//!
//! Each request earns a share of a retry, and each retry or hedge spends a whole one.
//! Earned retries are kept up to a small bound.
//!
//! When everything fails, unbounded retries would multiply the load just when it must fall;
//! the budget bounds them to a share of the requests.
//! Retries are earned by requests and not by successes,
//! because a service whose targets shed every other request needs its retries most.
//!
//! Settings: `retry_budget_percent`, `retry_reserve`.

/// Largest number of earned retries that are kept, unless the configuration sets another.
const DEFAULT_RESERVE_MAX: f64 = 10.0;
/// Retries in the budget of a process that has just started.
const INITIAL_RESERVE: f64 = 2.0;

/// Retry budget of one service at one VM.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    reserve: f64,
    reserve_max: f64,
    share: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred requests.
    pub fn new(percent: u64) -> Self {
        let share = percent as f64 / 100.0;
        let reserve = if percent == 0 { 0.0 } else { INITIAL_RESERVE };
        Self { reserve, reserve_max: DEFAULT_RESERVE_MAX, share }
    }

    /// Changes the share of retries and keeps the earned ones; a budget of 0 percent starts anew.
    pub fn set_percent(&mut self, percent: u64) {
        let share = percent as f64 / 100.0;
        if self.share <= 0.0 || percent == 0 {
            self.reserve = Self::new(percent).reserve;
        }
        self.share = share;
    }

    /// Changes the largest number of earned retries that are kept.
    pub fn set_reserve_max(&mut self, reserve_max: u64) {
        self.reserve_max = reserve_max as f64;
        self.reserve = self.reserve.min(self.reserve_max);
    }

    /// Earns a share of a retry for a request.
    pub fn record_request(&mut self) {
        self.reserve = (self.reserve + self.share).min(self.reserve_max);
    }

    /// Spends one retry and returns true, if the budget holds one.
    pub fn try_spend(&mut self) -> bool {
        if self.reserve < 1.0 {
            return false;
        }
        self.reserve -= 1.0;
        true
    }

    /// Returns the number of retries in the budget.
    pub fn reserve(&self) -> f64 {
        self.reserve
    }
}
