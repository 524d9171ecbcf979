//! Adaptive limit on this VM's requests in flight at one target.
//!
//! What it does: additive increase while the target keeps up and the limit is in use,
//! multiplicative decrease when its queue grows, it sheds or it does not answer in time.
//!
//! Why: a target runs a few requests at a time, but more than a dozen VMs send to it
//! without seeing each other. What waits inside a target can no longer be sent to a
//! better one; what waits here can.
//!
//! Settings: the ceiling is the VM's share of the target's connections.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Smallest limit: a target that may be used may be used for one request.
const LIMIT_MIN: f64 = 1.0;
/// Factor after a full queue was reported.
const QUEUE_FACTOR: f64 = 0.9;
/// Factor after the target shed a request or did not answer in time.
const OVERLOAD_FACTOR: f64 = 0.7;
/// Requests that may wait inside a target for each of its slots.
const QUEUED_PER_SLOT_MAX: f64 = 1.0;
/// Without reports: mean latency, as a multiple of its floor, taken as a full queue.
const LATENCY_RATIO_MAX: f64 = 3.0;

/// Whether a target keeps up with what it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pressure {
    KeepsUp,
    QueueFull,
    Overloaded,
}

impl Pressure {
    /// Pressure read from a report.
    pub(crate) fn from_queue(queued: u32, slots: u32) -> Self {
        let bound = f64::from(slots) * QUEUED_PER_SLOT_MAX;
        if f64::from(queued) > bound { Self::QueueFull } else { Self::KeepsUp }
    }

    /// Pressure read from latency, for targets that do not report.
    pub(crate) fn from_latency(mean_us: f64, floor_us: f64) -> Self {
        if mean_us > floor_us * LATENCY_RATIO_MAX { Self::QueueFull } else { Self::KeepsUp }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct AdaptiveLimit {
    value: f64,
    ceiling: u32,
    lowered_at: Timestamp,
}

impl AdaptiveLimit {
    pub(crate) fn new(start: u32, ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        let value = f64::from(start.min(ceiling)).max(LIMIT_MIN);
        Self { value, ceiling, lowered_at: Timestamp::default() }
    }

    pub(crate) fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.value = self.value.min(f64::from(self.ceiling));
    }

    /// Learns from one attempt; `round_trip` bounds how often the limit is lowered.
    pub(crate) fn update(
        &mut self,
        pressure: Pressure,
        in_flight: u32,
        now: Timestamp,
        round_trip: Duration,
    ) {
        match pressure {
            Pressure::KeepsUp => {
                let is_in_use = f64::from(in_flight) + 1.0 >= self.value;
                if is_in_use {
                    self.value = (self.value + 1.0 / self.value).min(f64::from(self.ceiling));
                }
            }
            Pressure::QueueFull => self.lower(QUEUE_FACTOR, now, round_trip),
            Pressure::Overloaded => self.lower(OVERLOAD_FACTOR, now, round_trip),
        }
    }

    fn lower(&mut self, factor: f64, now: Timestamp, round_trip: Duration) {
        if now.since(self.lowered_at) < round_trip {
            return;
        }
        self.lowered_at = now;
        self.value = (self.value * factor).max(LIMIT_MIN);
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
