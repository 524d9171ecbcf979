//! How often a process takes in a new list of targets.
//!
//! What it does: after each list it rests for a few times as long as that took, up to a bound.
//!
//! Load pattern: targets of a large fleet are replaced one after the other, ten a second, and a VM
//! has a tenth of a processor. Each list read at once, the process has no time left for requests.
//! Changes that come during the rest are taken in together.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Rest after a list, over the time that it took: the lists take at most a tenth of the processor.
const REST_FACTOR: u32 = 9;
/// Longest rest. News passes through up to four processes on its way, and targets that leave must
/// be known everywhere within two seconds.
const REST_MAX: Duration = Duration::from_millis(400);

/// When the next list may be taken in.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListPace {
    not_before: Timestamp,
}

impl ListPace {
    /// A list was taken in; it took `spent`.
    pub fn record_applied(&mut self, spent: Duration, now: Timestamp) {
        self.not_before = now + (spent * REST_FACTOR).min(REST_MAX);
    }

    /// Time until the next one may be.
    pub fn remaining_delay(&self, now: Timestamp) -> Duration {
        now.until(self.not_before)
    }
}
