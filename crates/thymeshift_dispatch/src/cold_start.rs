//! Bringing a cold target to its full share step by step.
//!
//! What it does: for a while after a target appeared, after its data hall was taken back, or after
//! it told that it is cold, its expected time is made to look longer, by a factor that falls
//! to 1; and where a service says how many requests a cold target bears, it gets no more.
//!
//! Why: a target that has just started reports no load and answers slowly; all VMs
//! together would bury it. A hall that comes back as a whole is the worst case: a quarter of the
//! targets is idle and looks best to everybody.
//!
//! Who counts: the process that allocates a target grants one request after the other, at the rate
//! that the target bears. Two of them may do so for a moment. What the bound leaves beside those
//! two is divided among all processes that may run, for those that decide alone; such a process
//! first waits as long as between two requests, because all of them may begin at one time.

use std::time::Duration;

use thymeshift_config::Service;
use thymeshift_types::Timestamp;

/// Factor on the expected time at the first moment.
const FACTOR_START: f64 = 4.0;
/// Processes that may allocate one target at the same time.
const ALLOCATORS_MAX: u64 = 2;
/// Thousand requests in 1,000 seconds are one a second.
const MILLI: u64 = 1_000;
/// Part of a target's rate, as a divisor, that is left to processes that decide alone where the
/// bound leaves them nothing.
const ALONE_LEAST_PART: u64 = 10;

/// Least time between two requests to one cold target, by who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ColdIntervals {
    /// For the process that allocates the target.
    pub(crate) fleet: Duration,
    /// For each process of a fleet in which nobody allocates.
    pub(crate) own: Duration,
    /// For a process that decides alone while others may allocate.
    pub(crate) fallback: Duration,
}

impl ColdIntervals {
    /// The paces of a service among up to `entry_vms_max` processes; none if it does not say what
    /// a cold target bears.
    pub(crate) fn for_service(service: &Service, entry_vms_max: u64) -> Option<Self> {
        let rate = service.cold_requests_per_s?.in_1000_s();
        let bound = service.cold_bound_per_s.in_1000_s().max(rate);
        let allocators = ALLOCATORS_MAX * (rate + MILLI);
        let left = bound.saturating_sub(allocators).max(rate / ALONE_LEAST_PART);
        let vms = entry_vms_max.max(1);
        Some(Self {
            fleet: between(rate, 1),
            own: between(bound, vms),
            fallback: between(left, vms),
        })
    }
}

/// Time between two requests of one of `count` processes that share a rate.
fn between(per_1000_s: u64, count: u64) -> Duration {
    let seconds = MILLI as f64 * count as f64 / per_1000_s.max(1) as f64;
    Duration::from_secs_f64(seconds)
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdStart {
    since: Timestamp,
    until: Timestamp,
    /// Time over which the factor falls.
    ramp: Duration,
}

impl ColdStart {
    /// A target that is cold from `now` for `left`.
    pub(crate) fn new(now: Timestamp, left: Duration, ramp: Duration) -> Self {
        Self { since: now, until: now + left, ramp: ramp.max(left) }
    }

    /// A target that was there before this process.
    pub(crate) fn warm() -> Self {
        Self { since: Timestamp::default(), until: Timestamp::default(), ramp: Duration::ZERO }
    }

    /// Whether it is cold.
    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Since when, if it is.
    pub(crate) fn since(&self) -> Timestamp {
        self.since
    }

    /// The target is cold for `left` more, or warm if that is nothing.
    pub(crate) fn set_remaining(&mut self, left: Duration, ramp: Duration, now: Timestamp) {
        let since = if self.is_cold(now) { self.since } else { now };
        *self = Self { since, ..Self::new(now, left, ramp) };
    }

    /// Factor on the expected time at `now`.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let left = now.until(self.until).as_secs_f64() / self.ramp.as_secs_f64();
        1.0 + (FACTOR_START - 1.0) * left
    }
}
