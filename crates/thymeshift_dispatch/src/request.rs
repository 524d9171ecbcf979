//! What the dispatcher needs to know of a request.

use thymeshift_types::Timestamp;

use crate::HallIndex;
use crate::TargetIndex;

/// Most targets remembered as tried; equal to the largest `attempts_max`.
const TRIED_MAX: usize = 10;
/// Most targets that a request can exclude: their names must fit into one datagram.
pub(crate) const EXCLUDED_MAX: usize = 32;

/// Targets that this request was already sent to. Another one goes before them.
pub type Tried = TargetSet<TRIED_MAX>;
/// Targets that this request must not be sent to: its process may not use them now.
pub type Excluded = TargetSet<EXCLUDED_MAX>;

/// Up to `N` targets.
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
    /// Adds a target; beyond `N` the oldest knowledge is kept.
    pub fn add(&mut self, target: TargetIndex) {
        if let Some(free) = self.targets.iter_mut().find(|entry| entry.is_none()) {
            *free = Some(target);
        }
    }

    /// Whether `target` is in it.
    pub fn contains(&self, target: TargetIndex) -> bool {
        self.iter().any(|known| known == target)
    }

    /// The targets.
    pub fn iter(&self) -> impl Iterator<Item = TargetIndex> + '_ {
        self.targets.iter().map_while(|entry| *entry)
    }

    /// Whether there are none.
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
    /// Targets it must not be sent to.
    pub excluded: Excluded,
    /// The data hall it comes from.
    pub origin: HallIndex,
    /// Length of the answers to its kind in the mean, in KiB; 0 if that is not known.
    pub answer_kib: u32,
}
