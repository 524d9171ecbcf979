//! Estimate of how long a caller has been trying already, from the timeout on its request.
//!
//! Keeps the timeouts that callers of a request kind commonly state.
//! A caller that states less than the next common timeout has spent the difference on earlier
//! attempts. Common timeouts are the longest one seen,
//! and each one that a large share of requests states.
//!
//! The objective of a request kind counts from a caller's first attempt, which may have been
//! refused here or at another process, or lost with it.
//! An answer after the objective has much less value to the caller than one within it.

use std::time::Duration;

/// Number of buckets between zero and the longest timeout.
const BUCKET_COUNT: usize = 32;
/// Share of the longest timeout that a caller's timeout may be short by without an earlier attempt,
/// because the request has spent time on the network.
const SLACK_SHARE: f64 = 0.01;
/// Weight of one request in the moving share of requests per bucket.
const REQUEST_WEIGHT: f64 = 1.0 / 256.0;
/// Share of requests from which on the timeout of a bucket counts as common.
const COMMON_SHARE_MIN: f64 = 0.15;
/// Share by which the longest timeouts decay with each request, so that one caller with an
/// unusually long timeout does not make all others look late forever.
const DECAY_SHARE: f64 = 0.0002;

/// Common timeouts of one request kind at one VM.
#[derive(Debug, Clone, Default)]
pub struct ElapsedTimeEstimator {
    longest_timeout_s: f64,
    /// Moving share of the requests whose timeout is in each bucket.
    bucket_shares: [f64; BUCKET_COUNT],
    /// Longest timeout seen in each bucket, in seconds; decays with each request.
    bucket_max_s: [f64; BUCKET_COUNT],
}

impl ElapsedTimeEstimator {
    /// Records the timeout that a caller states, and returns how long the caller has been trying.
    pub fn estimate(&mut self, timeout: Duration) -> Duration {
        let timeout_s = timeout.as_secs_f64();
        self.longest_timeout_s *= 1.0 - DECAY_SHARE;
        self.bucket_max_s.iter_mut().for_each(|bucket_max_s| *bucket_max_s *= 1.0 - DECAY_SHARE);
        if timeout_s > self.longest_timeout_s * (1.0 + SLACK_SHARE) {
            // The buckets of other timeouts depend on the longest one, so they are dropped.
            *self = Self { longest_timeout_s: timeout_s, ..Self::default() };
        }
        self.longest_timeout_s = self.longest_timeout_s.max(timeout_s);
        let bucket = self.bucket(timeout_s);
        self.bucket_max_s[bucket] = self.bucket_max_s[bucket].max(timeout_s);
        for (index, share) in self.bucket_shares.iter_mut().enumerate() {
            let sample = if index == bucket { 1.0 } else { 0.0 };
            *share += REQUEST_WEIGHT * (sample - *share);
        }
        let initial_timeout_s = self.common_timeout_from(bucket).unwrap_or(self.longest_timeout_s);
        let elapsed_s = initial_timeout_s - timeout_s;
        if elapsed_s <= self.longest_timeout_s * SLACK_SHARE {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(elapsed_s)
    }

    /// Returns the next common timeout at or above a bucket, or `None` if only the longest is left.
    fn common_timeout_from(&self, bucket: usize) -> Option<f64> {
        let next_common =
            (bucket..BUCKET_COUNT).find(|index| self.bucket_shares[*index] >= COMMON_SHARE_MIN)?;
        Some(self.bucket_max_s[next_common])
    }

    fn bucket(&self, timeout_s: f64) -> usize {
        let part = timeout_s / self.longest_timeout_s.max(f64::MIN_POSITIVE);
        ((part * BUCKET_COUNT as f64) as usize).min(BUCKET_COUNT - 1)
    }
}
