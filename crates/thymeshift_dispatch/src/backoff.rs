//! Backoffs that a target requests from a process when it refuses a request.
//!
//! [`Backoff`] holds the time until which this process may not send to a target.
//! [`RefusalStreak`] counts consecutive refusals with a backoff, from all processes that this one
//! decides for; once the streak reaches [`STREAK_MIN`],
//! the target gets one request at a time, at an interval.
//!
//! A backoff binds only the process that received it, because a target may refuse some processes
//! and serve others. Without the streak, an allocator would send every other process to the target
//! once, since a target that refuses immediately looks idle.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Consecutive refusals from which on a target gets only one request at a time.
const STREAK_MIN: u32 = 2;
/// Interval between two requests to a target during a streak of refusals.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Time until which this process may not send to a target. Only the passing of time ends a backoff.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backoff {
    until: Option<Timestamp>,
}

impl Backoff {
    /// Extends the backoff to `wait` after `now`. A shorter backoff does not end a longer one.
    pub(crate) fn extend(&mut self, wait: Duration, now: Timestamp) {
        self.until = self.until.max(Some(now + wait));
    }

    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        self.active_until(now).is_some()
    }

    /// Returns the end of the backoff while the backoff is active.
    pub(crate) fn active_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.until.filter(|until| now < *until)
    }
}

/// Number of consecutive refusals with a backoff.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RefusalStreak {
    refusals: u32,
}

impl RefusalStreak {
    pub(crate) fn record_refusal(&mut self) {
        self.refusals = self.refusals.saturating_add(1);
    }

    pub(crate) fn reset(&mut self) {
        self.refusals = 0;
    }

    /// Returns the requests in flight that the streak allows a target whose last grant was
    /// at `granted_at`, or `None` without a streak.
    pub(crate) fn in_flight_max(self, granted_at: Timestamp, now: Timestamp) -> Option<u32> {
        let is_trial_due = now.since(granted_at) >= TRIAL_INTERVAL;
        (self.refusals >= STREAK_MIN).then_some(u32::from(is_trial_due))
    }
}
