//! Budget for attempts after the first.
//!
//! What it does: each request earns a share of a retry; each retry or hedge spends a
//! whole one. Earned retries are kept up to a small bound.
//!
//! Why: when everything fails, retries would multiply the load just when it must fall; this
//! bounds them to a share of it. Requests earn and not successes, because a service whose
//! targets turn away every other request needs its retries most.
//!
//! Settings: `retry_budget_percent`, `retry_reserve`.

/// Most retries kept, unless set.
const RESERVE_MAX: f64 = 10.0;
/// Retries a fresh process starts with.
const RESERVE_START: f64 = 2.0;

/// The retry budget of one service at one VM.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    reserve: f64,
    reserve_max: f64,
    share: f64,
}

impl RetryBudget {
    /// A budget of `percent` retries for each hundred requests.
    pub fn new(percent: u64) -> Self {
        let share = percent as f64 / 100.0;
        let reserve = if percent == 0 { 0.0 } else { RESERVE_START };
        Self { reserve, reserve_max: RESERVE_MAX, share }
    }

    /// Changes the share, keeping what was earned; a budget that was 0 starts anew.
    pub fn set_percent(&mut self, percent: u64) {
        let share = percent as f64 / 100.0;
        if self.share <= 0.0 || percent == 0 {
            self.reserve = Self::new(percent).reserve;
        }
        self.share = share;
    }

    /// Changes how many retries are kept at most.
    pub fn set_reserve_max(&mut self, most: u64) {
        self.reserve_max = most as f64;
        self.reserve = self.reserve.min(self.reserve_max);
    }

    /// Earns a share of a retry.
    pub fn record_request(&mut self) {
        self.reserve = (self.reserve + self.share).min(self.reserve_max);
    }

    /// Spends one retry, if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.reserve < 1.0 {
            return false;
        }
        self.reserve -= 1.0;
        true
    }

    /// Retries left.
    pub fn reserve(&self) -> f64 {
        self.reserve
    }
}
