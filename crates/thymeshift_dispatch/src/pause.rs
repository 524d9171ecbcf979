//! Detection of pauses of this process.
//!
//! A process that did not run for a while (a suspended VM, a stopped process, a long stall) resumes
//! with an old view of the targets. State from before the gap is not used for decisions after it.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Detects pauses by the gap between two consecutive observations of the clock.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    last: Timestamp,
    gap_max: Duration,
}

impl PauseDetector {
    /// Creates a detector that counts any gap above `gap_max` as a pause.
    /// A running process must call [`PauseDetector::observe`] several times within `gap_max`.
    pub fn new(now: Timestamp, gap_max: Duration) -> Self {
        Self { last: now, gap_max }
    }

    /// Records that the process runs at `now`, and returns the gap if the process was paused.
    pub fn observe(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        (gap > self.gap_max).then_some(gap)
    }
}
