//! The limits of targets in need, as processes tell each other.
//!
//! A process that has never had an answer of such a target would send to it freely while it reaches
//! no allocator, and one that begins to allocate would grant it freely.

use std::sync::atomic::Ordering;

use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_wire::TargetRateLimit;

use crate::shared::Shared;

/// Limits in one message, in turn: about 50 bytes each.
const TOLD_AT_ONCE: usize = 8;

impl Shared {
    /// Some of the limits that this process knows.
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
        let count = known.len().min(TOLD_AT_ONCE);
        let first = self.rate_limits_cursor.fetch_add(count, Ordering::Relaxed) % known.len();
        known.into_iter().cycle().skip(first).take(count).collect()
    }

    /// Takes in what a peer knows.
    pub(crate) fn merge_rate_limits(&self, told: &[TargetRateLimit]) {
        let Some(routing) = self.routing().filter(|_| !told.is_empty()) else {
            return;
        };
        let now = BootClock.now();
        for limit in told {
            if let Some(service) = routing.service(limit.service.as_str()) {
                service.merge_rate_limit(limit, now);
            }
        }
    }
}
