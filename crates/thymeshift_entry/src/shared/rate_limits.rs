//! Exchange of the rate limits that targets state, between processes.
//!
//! A process learns a rate limit from answers of the target, or from peers through this exchange.
//! Without the limit, a process would send any number of requests while no allocator replies.
//! As the target's new allocator, it would grant the target any number of times.

use std::sync::atomic::Ordering;

use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_wire::TargetRateLimit;

use crate::shared::Shared;

/// Maximum number of rate limits in one message, about 50 bytes each.
/// Successive messages rotate through all known rate limits.
const RATE_LIMITS_PER_MESSAGE: usize = 8;

impl Shared {
    /// Returns the next few known rate limits of targets in rotation, to be sent to a peer.
    pub(crate) fn rate_limit_updates(&self) -> Vec<TargetRateLimit> {
        let Some(routing) = self.routing() else {
            return Vec::new();
        };
        let now = BootClock.now();
        let services = routing.services.iter();
        let known: Vec<_> = services.flat_map(|service| service.rate_limits(now)).collect();
        if known.is_empty() {
            return known;
        }
        let count = known.len().min(RATE_LIMITS_PER_MESSAGE);
        let first = self.rate_limits_cursor.fetch_add(count, Ordering::Relaxed) % known.len();
        known.into_iter().cycle().skip(first).take(count).collect()
    }

    /// Merges targets' rate limits that a peer sent.
    pub(crate) fn merge_rate_limits(&self, received: &[TargetRateLimit]) {
        let Some(routing) = self.routing().filter(|_| !received.is_empty()) else {
            return;
        };
        let now = BootClock.now();
        for limit in received {
            if let Some(service) = routing.service(limit.service.as_str()) {
                service.merge_rate_limit(limit, now);
            }
        }
    }
}
