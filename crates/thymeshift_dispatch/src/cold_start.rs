//! Slow start of cold targets: their share of the requests rises step by step.
//!
//! A target is cold for a while after it appeared, after its data hall was undrained, or after it
//! reported that it is cold. Its expected time is then multiplied by a factor that falls to 1.
//! A service may state the request rate of a cold target, and cold targets then get no more.
//!
//! A target that has just started reports no load and answers slowly, so that all VMs together
//! would overload it. A whole data hall that returns to service is the worst case:
//! a quarter of the targets is idle and looks best to every VM.
//!
//! The process that allocates a target spaces its grants at the stated rate of a cold target.
//! Two processes may allocate the same target for a short time.
//! The part of the bound that these two leave is divided among all processes that may run, for
//! processes in fallback. A process in fallback first waits one full interval,
//! because all processes may enter fallback at once.

use std::time::Duration;

use thymeshift_config::Service;
use thymeshift_types::Timestamp;

/// Factor on the expected time when a target becomes cold.
const INITIAL_FACTOR: f64 = 4.0;
/// Largest number of processes that may allocate one target at the same time.
const ALLOCATORS_MAX: u64 = 2;
/// Seconds in the unit of request rates: 1,000 requests per 1,000 s are one request per second.
const RATE_UNIT_S: u64 = 1_000;
/// Divisor of a cold target's rate that gives the least rate of all processes in fallback together.
/// This least rate applies where the allocators use up the whole bound.
const FALLBACK_RATE_DIVISOR: u64 = 10;

/// Least intervals between two requests to one cold target, by the [`crate::View`] of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ColdIntervals {
    /// Interval for the process that allocates the target.
    pub(crate) fleet: Duration,
    /// Interval for each process of a fleet without an allocator.
    pub(crate) own: Duration,
    /// Interval for a process in fallback, while other processes may allocate the target.
    pub(crate) fallback: Duration,
}

impl ColdIntervals {
    /// Returns the intervals of a service among up to `entry_vms_max` processes, or `None` if the
    /// service does not state the request rate of a cold target.
    pub(crate) fn for_service(service: &Service, entry_vms_max: u64) -> Option<Self> {
        let rate = service.cold_requests_per_s?.in_1000_s();
        let bound = service.cold_bound_per_s.in_1000_s().max(rate);
        let allocators = ALLOCATORS_MAX * (rate + RATE_UNIT_S);
        let fallback_rate = bound.saturating_sub(allocators).max(rate / FALLBACK_RATE_DIVISOR);
        let vms_max = entry_vms_max.max(1);
        Some(Self {
            fleet: interval_per_process(rate, 1),
            own: interval_per_process(bound, vms_max),
            fallback: interval_per_process(fallback_rate, vms_max),
        })
    }
}

/// Interval between two requests of each of `count` processes that share a rate equally.
fn interval_per_process(per_1000_s: u64, count: u64) -> Duration {
    let seconds = RATE_UNIT_S as f64 * count as f64 / per_1000_s.max(1) as f64;
    Duration::from_secs_f64(seconds)
}

/// Cold period of one target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdStart {
    since: Timestamp,
    until: Timestamp,
    /// Time over which the factor on the expected time falls to 1.
    ramp: Duration,
}

impl ColdStart {
    /// Creates the state of a target that is cold from `now` for `remaining`.
    pub(crate) fn new(now: Timestamp, remaining: Duration, ramp: Duration) -> Self {
        Self { since: now, until: now + remaining, ramp: ramp.max(remaining) }
    }

    /// Creates the state of a target that ran before this process started, and counts as warm.
    pub(crate) fn warm() -> Self {
        Self { since: Timestamp::default(), until: Timestamp::default(), ramp: Duration::ZERO }
    }

    /// Whether the target is cold at `now`.
    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Start of the cold period; meaningful only while the target is cold.
    pub(crate) fn since(&self) -> Timestamp {
        self.since
    }

    /// Sets the remaining cold time; zero makes the target warm.
    pub(crate) fn set_remaining(&mut self, remaining: Duration, ramp: Duration, now: Timestamp) {
        let since = if self.is_cold(now) { self.since } else { now };
        *self = Self { since, ..Self::new(now, remaining, ramp) };
    }

    /// Returns the factor on the target's expected time at `now`.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let remaining_share = now.until(self.until).as_secs_f64() / self.ramp.as_secs_f64();
        1.0 + (INITIAL_FACTOR - 1.0) * remaining_share
    }
}
