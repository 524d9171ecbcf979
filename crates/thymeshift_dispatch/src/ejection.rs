//! Outlier ejection: a failing target gets no requests for a while.
//!
//! A target is ejected after a number of consecutive failures, or after one failed attempt to open
//! a connection. The ejection time doubles with each consecutive ejection.
//! A success resets both counts.
//!
//! A target that fails fast looks idle and would attract requests.
//! A failed connection is sufficient evidence: while a data hall is without power, each of its
//! targets is tried once instead of five times. With a quarter of the targets refusing connections
//! for 3 s, 1 of 1,392 requests is refused within 4 s instead of 175.
//!
//! Settings: `ejection.failures`, `ejection.base_ms`, `ejection.share_max_percent`.
//! The last one is the panic threshold: beyond this share no further target is ejected, because a
//! fault that hits most targets is not caused by the targets, and the rest could not carry the
//! load. The threshold does not apply while other groups of the service have spare capacity: the
//! failing targets then belong to one data hall, and the other halls carry its load.

use std::time::Duration;

use thymeshift_config::Ejection as Settings;
use thymeshift_types::Timestamp;

/// Largest number of doublings of the base ejection time.
const DOUBLINGS_MAX: u32 = 6;
/// Weight of one attempt in the moving failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Time in which the failure rate of a target falls to half while the target gets no requests.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Failure counts and ejection of one target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ejection {
    consecutive_failures: u64,
    consecutive_ejections: u32,
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

    /// Returns the share of recent attempts that failed;
    /// the share decays while the target gets no requests.
    pub(crate) fn failure_rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.rate_at).as_secs_f64();
        let half_life = FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * half_life / (half_life + age)
    }

    pub(crate) fn record_success(&mut self, now: Timestamp) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.until = None;
        self.update_failure_rate(0.0, now);
    }

    /// Records a failure, and ejects the target if it has enough consecutive failures and the panic
    /// threshold allows another ejection (`may_eject`). Returns whether the target was ejected now.
    pub(crate) fn record_failure(
        &mut self,
        settings: &Settings,
        may_eject: bool,
        now: Timestamp,
    ) -> bool {
        self.consecutive_failures += 1;
        self.update_failure_rate(1.0, now);
        let is_due = self.consecutive_failures >= settings.failures;
        is_due && self.eject(settings, may_eject, now)
    }

    /// Records that no connection could be opened: as [`Self::record_failure`], but one is enough.
    pub(crate) fn record_unreachable(
        &mut self,
        settings: &Settings,
        may_eject: bool,
        now: Timestamp,
    ) -> bool {
        self.update_failure_rate(1.0, now);
        self.eject(settings, may_eject, now)
    }

    fn eject(&mut self, settings: &Settings, may_eject: bool, now: Timestamp) -> bool {
        if !may_eject || self.is_ejected(now) {
            return false;
        }
        let factor = 1 << self.consecutive_ejections.min(DOUBLINGS_MAX);
        self.until = Some(now + Duration::from_millis(settings.base_ms) * factor);
        self.consecutive_ejections += 1;
        // One failure after the end of the ejection ejects the target again.
        self.consecutive_failures = settings.failures.saturating_sub(1);
        true
    }

    fn update_failure_rate(&mut self, sample: f64, now: Timestamp) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_RATE_WEIGHT * (sample - rate);
        self.rate_at = now;
    }
}
