//! The right to send one request to one target, and what was expected of it.

use std::num::NonZeroU32;
use std::time::Duration;

use thymeshift_types::Incarnation;
use thymeshift_types::Timestamp;

/// Place of a target in its service's table. Valid while the target or a request to it
/// exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex {
    /// Counted from 1, so that an optional index takes no more room.
    place: NonZeroU32,
}

impl TargetIndex {
    pub(crate) fn new(index: usize) -> Self {
        Self { place: NonZeroU32::MIN.saturating_add(index as u32) }
    }

    pub(crate) fn as_usize(self) -> usize {
        self.place.get() as usize - 1
    }
}

/// The right to send one request to one target. It must be given back with
/// [`crate::Dispatcher::release`].
#[must_use = "a grant that is not released counts as a request in flight for ever"]
#[derive(Debug, PartialEq)]
pub struct Grant {
    pub(crate) target: TargetIndex,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent_at: Timestamp,
    /// How many times as long as at an idle target the answer was expected to take.
    pub(crate) load: f64,
    /// Requests beyond the usual that a report told of.
    pub(crate) reported_excess: f64,
    /// When it was expected.
    pub(crate) expected: Duration,
    /// Time there and back, in microseconds.
    pub(crate) hall_round_trip_us: f64,
    /// Requests in flight there, this one included.
    pub(crate) in_flight: u32,
    /// Whether the target was not known to work slower than usual.
    pub(crate) is_usual_pace: bool,
    /// Whether it was counted against a limit that the target had named.
    pub(crate) is_counted: bool,
}

impl Grant {
    /// The target chosen.
    pub fn target(&self) -> TargetIndex {
        self.target
    }

    /// The incarnation that was meant.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// When the choice was made.
    pub fn sent_at(&self) -> Timestamp {
        self.sent_at
    }
}
