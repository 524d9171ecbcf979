//! Whether a request that must wait has a chance to meet its deadline.
//!
//! What it does: keeps the rate at which requests leave the service at this VM and the
//! time an attempt takes; from both, and the requests ahead, it estimates when a new
//! request would be answered. If that is past the deadline, the request is refused at
//! once, with the time after which the queue should have cleared.
//!
//! Why: a request that waits and then misses its deadline costs the caller time, the
//! queue a place and the target work that nobody wants any more.

use std::time::Duration;

use rand::Rng;
use thymeshift_types::Timestamp;

/// Weight of one release in the mean gap between releases.
const GAP_WEIGHT: f64 = 0.05;
/// Longest gap counted, in microseconds: a quiet service is not a slow one.
const GAP_US_MAX: f64 = 200_000.0;
/// Assumed gap before the first two releases, in microseconds.
const GAP_US_START: f64 = 1_000.0;
/// Shortest and longest time to come back that callers are told.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Spread of the time to come back: up to this share is added at random, so that callers
/// do not return together.
const RETRY_AFTER_SPREAD: f64 = 1.0;
/// Time over which callers return that wait for the same moment.
const RETURN_SPREAD_MAX: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
pub(crate) struct Admission {
    gap_us: f64,
    last_release: Option<Timestamp>,
}

impl Admission {
    pub(crate) fn new() -> Self {
        Self { gap_us: GAP_US_START, last_release: None }
    }

    /// Notes a release. Only gaps while requests wait say how fast the service drains.
    pub(crate) fn record_release(&mut self, now: Timestamp, is_busy: bool) {
        if let Some(last) = self.last_release
            && is_busy
        {
            let gap_us = (now.since(last).as_micros() as f64).min(GAP_US_MAX);
            self.gap_us += GAP_WEIGHT * (gap_us - self.gap_us);
        }
        self.last_release = Some(now);
    }

    /// Expected wait behind `ahead` requests.
    pub(crate) fn expected_wait(&self, ahead: usize) -> Duration {
        Duration::from_micros((self.gap_us * (ahead as f64 + 1.0)) as u64)
    }

    /// When a refused caller should come back: once what is ahead has drained, spread.
    pub(crate) fn retry_after(&self, ahead: usize, rng: &mut impl Rng) -> Duration {
        jittered_retry_after(self.expected_wait(ahead), rng)
    }
}

/// When a refused caller should come back, if it would be served after `wait`; spread.
/// When a caller should come back for a target that may be used again after `wait`: not sooner, and
/// not all at once.
pub(crate) fn jittered_return_delay(wait: Duration, rng: &mut impl Rng) -> Duration {
    wait + RETURN_SPREAD_MAX.min(wait).mul_f64(rng.random::<f64>())
}

pub(crate) fn jittered_retry_after(wait: Duration, rng: &mut impl Rng) -> Duration {
    let base = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    base.mul_f64(1.0 + RETRY_AFTER_SPREAD * rng.random::<f64>())
}
