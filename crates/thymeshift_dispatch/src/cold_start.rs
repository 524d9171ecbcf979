//! Bringing a new target to its full share step by step.
//!
//! What it does: for `cold_start_ramp_ms` after a target appeared, its expected time is
//! made to look longer, by a factor that falls to 1.
//!
//! Why: a target that has just started reports no load and answers slowly; all VMs
//! together would bury it.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Factor on the expected time at the first moment.
const FACTOR_START: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdStart {
    since: Timestamp,
    ramp: Duration,
}

impl ColdStart {
    /// A target first seen at `since`.
    pub(crate) fn new(since: Timestamp, ramp: Duration) -> Self {
        Self { since, ramp }
    }

    /// A target that was there before this process.
    pub(crate) fn warm() -> Self {
        Self { since: Timestamp::default(), ramp: Duration::ZERO }
    }

    /// Factor on the expected time at `now`.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        let age = now.since(self.since);
        if age >= self.ramp {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.ramp.as_secs_f64();
        1.0 + (FACTOR_START - 1.0) * left
    }
}
