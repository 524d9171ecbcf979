//! Properties of a request that a dispatcher decides on.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::CallerClass;
use crate::CrossingCause;
use crate::HallIndex;
use crate::TargetIndex;

/// Largest number of tried targets kept per request, equal to the largest valid `attempts_max`.
const TRIED_MAX: usize = 10;
/// Largest number of targets that a request can exclude: their names must fit into one datagram.
pub(crate) const EXCLUDED_MAX: usize = 32;

/// Targets that a request was already sent to; any other target is preferred to them.
pub type Tried = TargetSet<TRIED_MAX>;
/// Targets that a request must not be sent to, because its process may not use them now.
pub type Excluded = TargetSet<EXCLUDED_MAX>;

/// Set of up to `N` targets, without heap allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSet<const N: usize> {
    targets: [Option<TargetIndex>; N],
}

impl<const N: usize> Default for TargetSet<N> {
    fn default() -> Self {
        Self { targets: [None; N] }
    }
}

impl<const N: usize> TargetSet<N> {
    /// Adds a target; a full set keeps its targets and drops the new one.
    pub fn add(&mut self, target: TargetIndex) {
        if let Some(free) = self.targets.iter_mut().find(|entry| entry.is_none()) {
            *free = Some(target);
        }
    }

    /// Whether `target` is in the set.
    pub fn contains(&self, target: TargetIndex) -> bool {
        self.iter().any(|known| known == target)
    }

    /// Returns the targets of the set in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = TargetIndex> + '_ {
        self.targets.iter().map_while(|entry| *entry)
    }

    /// Whether the set has no targets.
    pub fn is_empty(&self) -> bool {
        self.targets[0].is_none()
    }
}

impl<const N: usize> FromIterator<TargetIndex> for TargetSet<N> {
    fn from_iter<I: IntoIterator<Item = TargetIndex>>(targets: I) -> Self {
        let mut set = Self::default();
        for target in targets {
            set.add(target);
        }
        set
    }
}

/// Request as a dispatcher sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Priority by organisation and kind of the request; the smallest value is served first.
    pub priority: u8,
    /// Caller of the request; has no effect unless callers are served fairly.
    pub caller: CallerClass,
    /// Time at which the answer must have begun.
    pub deadline: Timestamp,
    /// Time at which the request stops waiting for a target; at most the deadline.
    pub wait_until: Timestamp,
    /// Time until which an answer has its full value to the caller; a later one has much less.
    pub objective: Timestamp,
    /// Largest number of waiting requests of the same priority.
    pub queue_max: u32,
    /// Targets that earlier attempts of the request were sent to.
    pub tried: Tried,
    /// Targets that the request must not be sent to.
    pub excluded: Excluded,
    /// Data hall that the request comes from.
    pub origin: HallIndex,
    /// Mean length of answers to the request's kind, in KiB; 0 if unknown.
    pub answer_kib: u32,
    /// Time until which the request takes only targets in its own data hall and waits for one of
    /// them, see [`crate::local_wait`]. At most `wait_until`; `Timestamp::default()` if the request
    /// takes targets of all halls.
    pub local_until: Timestamp,
}

impl Request {
    /// Returns the remaining local wait. A further attempt has none: its caller has waited before.
    pub fn local_wait_left(&self, now: Timestamp) -> Duration {
        if self.tried.is_empty() { now.until(self.local_until) } else { Duration::ZERO }
    }

    /// Returns why the request, which got a target in another data hall at `granted_at`, left its
    /// own hall.
    pub fn crossing_cause(&self, granted_at: Timestamp) -> CrossingCause {
        if self.local_until == Timestamp::default() || !self.tried.is_empty() {
            CrossingCause::NoWait
        } else if granted_at < self.local_until {
            CrossingCause::NoHomeTarget
        } else {
            CrossingCause::LocalWaitEnded
        }
    }
}
