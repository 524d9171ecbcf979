//! What the dispatcher needs to know of a request.

use thymeshift_types::Timestamp;

use crate::HallIndex;
use crate::TargetIndex;

/// Most targets remembered as tried; equal to the largest `attempts_max`.
const TRIED_MAX: usize = 10;

/// Targets that this request was already sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tried {
    targets: [Option<TargetIndex>; TRIED_MAX],
}

impl Tried {
    /// Adds a target; beyond ten the oldest knowledge is kept.
    pub fn add(&mut self, target: TargetIndex) {
        if let Some(free) = self.targets.iter_mut().find(|entry| entry.is_none()) {
            *free = Some(target);
        }
    }

    /// Whether `target` was tried.
    pub fn has(&self, target: TargetIndex) -> bool {
        self.targets.contains(&Some(target))
    }

    /// The targets tried.
    pub fn iter(&self) -> impl Iterator<Item = TargetIndex> + '_ {
        self.targets.iter().flatten().copied()
    }

    /// Whether nothing was tried yet.
    pub fn is_empty(&self) -> bool {
        self.targets[0].is_none()
    }
}

/// A request as the dispatcher sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Rank by organisation and kind; the smallest goes first.
    pub priority: u8,
    /// When its answer must have begun.
    pub deadline: Timestamp,
    /// When it stops waiting for a target; at most the deadline.
    pub wait_until: Timestamp,
    /// Until when its answer is worth most to the caller; later ones are worth much less.
    pub objective: Timestamp,
    /// Most requests of its rank waiting at one time.
    pub queue_max: u32,
    /// Targets it was already sent to.
    pub tried: Tried,
    /// The data hall it comes from.
    pub origin: HallIndex,
    /// Length of the answers to its kind in the mean, in KiB; 0 if that is not known.
    pub answer_kib: u32,
}
