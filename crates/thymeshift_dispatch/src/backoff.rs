//! Backoffs: a target that refuses may ask the process that it answers to send nothing for a while.
//!
//! What it does: [`Backoff`] keeps until when this process may not send to a target.
//! [`RefusalStreak`] counts the refusals in a row that asked for one, of all processes that
//! this one decides for; from a few on, the target gets one request at a time, spaced out.
//!
//! Why: a backoff binds the process that it was asked of. Whoever allocates to many processes would
//! send each of them there once, and a target that refuses at once looks idle. Nobody else is kept
//! away for as long as the target asked of one: it may refuse some processes and serve others.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Refusals in a row from which on a target gets single requests.
const STREAK_MIN: u32 = 2;
/// Time between two requests to a target during a streak.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Until when a target may get no request of this process. It ends by time alone.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backoff {
    until: Option<Timestamp>,
}

impl Backoff {
    /// The target asks for a backoff from `now` on. A shorter one does not end a longer one.
    pub(crate) fn extend(&mut self, wait: Duration, now: Timestamp) {
        self.until = self.until.max(Some(now + wait));
    }

    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        self.active_until(now).is_some()
    }

    /// Its end, while it lasts.
    pub(crate) fn active_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.until.filter(|until| now < *until)
    }
}

/// Refusals in a row that asked for a backoff.
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

    /// The most requests in flight that the streak allows a target that got its last one at
    /// `granted_at`; none if there is no streak.
    pub(crate) fn in_flight_max(self, granted_at: Timestamp, now: Timestamp) -> Option<u32> {
        let is_due = now.since(granted_at) >= TRIAL_INTERVAL;
        (self.refusals >= STREAK_MIN).then_some(u32::from(is_due))
    }
}
