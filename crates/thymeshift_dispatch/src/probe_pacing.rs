//! When an allocator may probe a target again.
//!
//! What it does: leaves at least the allowed time between the beginnings of two probes of a
//! target, and lets that time double with each probe in a row that brought no answer.
//!
//! A probe just before a grant may come earlier: up to [`SAVED_MAX`] of them at a time, paid for
//! by the probes that come after, so that the rate holds over any longer time.
//!
//! Why: a target that does not answer tells nothing by being asked again, and each attempt
//! costs a connection. Without the doubling a target that resets connections would be asked
//! at every look, beyond its measuring budget.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Longest time between two probes of a target that does not answer.
const INTERVAL_MAX: Duration = Duration::from_secs(2);
/// Doublings at most.
const DOUBLINGS_MAX: u32 = 6;
/// Probes that may be made ahead of their time.
const SAVED_MAX: u32 = 6;

/// The probes of one target.
#[derive(Debug, Clone, Default)]
pub struct ProbePacing {
    is_running: bool,
    failures: u32,
    not_before: Timestamp,
}

impl ProbePacing {
    /// Takes the right to probe now; `interval` is the shortest time between two probes.
    pub fn try_begin(&mut self, interval: Duration, now: Timestamp) -> bool {
        if self.is_running || now < self.not_before {
            return false;
        }
        self.is_running = true;
        let doubled = interval * 2_u32.pow(self.failures.min(DOUBLINGS_MAX));
        self.not_before = now + doubled.min(INTERVAL_MAX).max(interval);
        true
    }

    /// Takes the right to probe now, just before a request may be sent there.
    pub fn try_begin_early(&mut self, interval: Duration, now: Timestamp) -> bool {
        if self.is_running || self.failures > 0 || now + interval * SAVED_MAX < self.not_before {
            return false;
        }
        self.is_running = true;
        self.not_before = self.not_before.max(now) + interval;
        true
    }

    /// The probe has ended.
    pub fn finish(&mut self, is_answered: bool) {
        self.is_running = false;
        self.failures = if is_answered { 0 } else { self.failures + 1 };
    }

    /// Whether nothing would be lost by forgetting this.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        !self.is_running && now.since(self.not_before) > INTERVAL_MAX * 2
    }
}
