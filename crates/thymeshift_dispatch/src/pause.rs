//! Noticing that this process was paused.
//!
//! A process that slept (a suspended VM, a stopped process, a long stall) wakes with an
//! old view. What it knew from before the gap is not used for decisions after it.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Compares each moment with the one before.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    last: Timestamp,
    gap_max: Duration,
}

impl PauseDetector {
    /// A detector that takes any gap above `gap_max` as a pause. Something must call
    /// [`PauseDetector::observe`] well within that time.
    pub fn new(now: Timestamp, gap_max: Duration) -> Self {
        Self { last: now, gap_max }
    }

    /// Notes that the process runs at `now`; returns the gap if it was paused.
    pub fn observe(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        (gap > self.gap_max).then_some(gap)
    }
}
