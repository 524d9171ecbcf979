//! Right to send one request to one target, and the expectations at the time of the choice.

use std::num::NonZeroU32;
use std::time::Duration;

use thymeshift_types::Incarnation;
use thymeshift_types::Timestamp;

/// Index of a target in the table of its service.
/// Valid while the target is configured or has requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex {
    /// Index plus 1, so that `Option<TargetIndex>` takes no more memory than `TargetIndex`.
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

/// Right to send one request to one target. Must be returned with [`crate::Dispatcher::release`].
#[must_use = "a grant that is not released counts as a request in flight for ever"]
#[derive(Debug, PartialEq)]
pub struct Grant {
    pub(crate) target: TargetIndex,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent_at: Timestamp,
    /// Expected answer time in units of the answer time of an idle target.
    pub(crate) load_factor: f64,
    /// Requests of other VMs at the target beyond their mean, from the last report.
    pub(crate) reported_excess: f64,
    /// Expected time from the choice to the answer, including the round trip between data halls.
    pub(crate) expected: Duration,
    /// Round trip between the data halls of the request and of the target, in microseconds.
    pub(crate) hall_round_trip_us: f64,
    /// Requests in flight at the target, this one included.
    pub(crate) in_flight: u32,
    /// Whether the target was neither cold nor reported to work slower than usual.
    pub(crate) is_usual_pace: bool,
    /// Whether the grant was counted against a rate limit that the target had stated.
    pub(crate) is_counted: bool,
}

impl Grant {
    /// Returns the index of the chosen target.
    pub fn target(&self) -> TargetIndex {
        self.target
    }

    /// Returns the incarnation of the target at the time of the choice.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the expected time from the choice to the answer.
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// Returns the time of the choice.
    pub fn sent_at(&self) -> Timestamp {
        self.sent_at
    }
}
