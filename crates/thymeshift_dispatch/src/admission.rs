//! Admission control: whether a request that must wait can still meet its deadline.
//!
//! Estimates when a new request would be answered, from the rate at which this VM releases requests
//! of the service and the number of requests ahead in the queue.
//! A request whose estimate is past its deadline is refused immediately,
//! with the time after which the queue should have drained.
//!
//! A request that waits and then misses its deadline delays its caller, occupies a place in the
//! queue and makes the target do work whose result is discarded.

use std::time::Duration;

use rand::Rng;
use thymeshift_types::Timestamp;

/// Weight of one release in the moving mean of the gap between releases.
const GAP_WEIGHT: f64 = 0.05;
/// Upper bound of one gap in the mean, in microseconds: an idle service must not count as slow.
const GAP_US_MAX: f64 = 200_000.0;
/// Assumed gap between releases before two releases have been seen, in microseconds.
const INITIAL_GAP_US: f64 = 1_000.0;
/// Shortest retry-after time that a refused caller receives.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Longest retry-after time that a refused caller receives, without jitter.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Largest jitter of the retry-after time, as a share of that time:
/// without jitter, refused callers would all retry at the same time.
const RETRY_AFTER_JITTER: f64 = 1.0;
/// Largest jitter of the retry-after time for callers that wait for the end of the same backoff.
const RETURN_JITTER_MAX: Duration = Duration::from_millis(500);

/// Drain rate of one service at this VM, and the waits that follow from it.
#[derive(Debug, Clone)]
pub(crate) struct Admission {
    /// Mean gap between two releases while requests wait, in microseconds.
    gap_us: f64,
    last_release: Option<Timestamp>,
}

impl Admission {
    pub(crate) fn new() -> Self {
        Self { gap_us: INITIAL_GAP_US, last_release: None }
    }

    /// Records a release. Only gaps while requests wait measure how fast the service drains.
    pub(crate) fn record_release(&mut self, now: Timestamp, has_waiting: bool) {
        if let Some(last) = self.last_release
            && has_waiting
        {
            let gap_us = (now.since(last).as_micros() as f64).min(GAP_US_MAX);
            self.gap_us += GAP_WEIGHT * (gap_us - self.gap_us);
        }
        self.last_release = Some(now);
    }

    /// Returns the expected wait of a request that is queued behind `ahead` others.
    pub(crate) fn expected_wait(&self, ahead: usize) -> Duration {
        Duration::from_micros((self.gap_us * (ahead as f64 + 1.0)) as u64)
    }

    /// Returns the retry-after time of a refused caller:
    /// the drain time of `ahead` requests, with jitter.
    pub(crate) fn retry_after(&self, ahead: usize, rng: &mut impl Rng) -> Duration {
        jittered_retry_after(self.expected_wait(ahead), rng)
    }
}

/// Returns the retry-after time for a target that may be used again after `wait`: never less than
/// `wait`, with jitter so that callers do not all retry at once.
pub(crate) fn jittered_return_delay(wait: Duration, rng: &mut impl Rng) -> Duration {
    wait + RETURN_JITTER_MAX.min(wait).mul_f64(rng.random::<f64>())
}

/// Returns the retry-after time of a refused caller that would be served after `wait`, with jitter.
pub(crate) fn jittered_retry_after(wait: Duration, rng: &mut impl Rng) -> Duration {
    let base = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    base.mul_f64(1.0 + RETRY_AFTER_JITTER * rng.random::<f64>())
}
