//! Earliest time at which an allocator may probe a target again.
//!
//! Keeps at least the allowed interval between the starts of two probes of a target, and doubles
//! the interval with each consecutive probe without an answer.
//!
//! A probe just before a grant may be sent earlier. Up to [`EARLY_PROBES_MAX`] may be ahead of
//! schedule; later probes are delayed for them, so that the rate holds over any longer time.
//!
//! Probing an unresponsive target again yields no information, and each attempt costs a connection.
//! Without the doubling, every scan would probe a target
//! that resets connections, and exceed the target's measuring budget.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Longest interval between two probes of a target that does not answer.
const INTERVAL_MAX: Duration = Duration::from_secs(2);
/// Largest number of doublings of the probe interval.
const DOUBLINGS_MAX: u32 = 6;
/// Largest number of probes that may be ahead of the schedule.
const EARLY_PROBES_MAX: u32 = 6;

/// Probe schedule of one target.
#[derive(Debug, Clone, Default)]
pub struct ProbePacing {
    is_running: bool,
    failures: u32,
    not_before: Timestamp,
}

impl ProbePacing {
    /// Takes the right to probe now, if one is due;
    /// `interval` is the shortest time between two probes.
    pub fn try_begin(&mut self, interval: Duration, now: Timestamp) -> bool {
        if self.is_running || now < self.not_before {
            return false;
        }
        self.is_running = true;
        let doubled = interval * 2_u32.pow(self.failures.min(DOUBLINGS_MAX));
        self.not_before = now + doubled.min(INTERVAL_MAX).max(interval);
        true
    }

    /// Takes the right to probe now, possibly ahead of schedule, just before a grant.
    pub fn try_begin_early(&mut self, interval: Duration, now: Timestamp) -> bool {
        if self.is_running
            || self.failures > 0
            || now + interval * EARLY_PROBES_MAX < self.not_before
        {
            return false;
        }
        self.is_running = true;
        self.not_before = self.not_before.max(now) + interval;
        true
    }

    /// Records the end of a probe, and whether the target answered.
    pub fn finish(&mut self, is_answered: bool) {
        self.is_running = false;
        self.failures = if is_answered { 0 } else { self.failures + 1 };
    }

    /// Whether the target has had no probe for long enough that its schedule can be dropped.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        !self.is_running && now.since(self.not_before) > INTERVAL_MAX * 2
    }
}
