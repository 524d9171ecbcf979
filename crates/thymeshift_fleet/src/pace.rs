//! Limits how often a process applies a new list of targets.
//!
//! After each list the process waits for a multiple of the time that applying the list took,
//! up to a maximum. Lists that arrive during the wait are applied together.
//!
//! In a large fleet ten targets may be replaced per second during a rollout, while a VM has a
//! tenth of a processor. Applying every list at once would leave the process no time for requests.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Ratio of the wait to the time that applying a list took;
/// 9 limits lists to a tenth of the processor.
const DELAY_FACTOR: u32 = 9;
/// Longest wait between two lists. A list passes through up to four processes,
/// and a leaving target must be known everywhere within two seconds.
const DELAY_MAX: Duration = Duration::from_millis(400);

/// Tracks when the next target list may be applied.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListPace {
    not_before: Timestamp,
}

impl ListPace {
    /// Records that a list was applied until `now`, and that applying the list took `cost`.
    pub fn record_applied(&mut self, cost: Duration, now: Timestamp) {
        self.not_before = now + (cost * DELAY_FACTOR).min(DELAY_MAX);
    }

    /// Returns the time until the next list may be applied, or zero.
    pub fn remaining_delay(&self, now: Timestamp) -> Duration {
        now.until(self.not_before)
    }
}
