//! Queue of scheduled events in virtual time.

use std::collections::BTreeMap;

use thymeshift_types::Timestamp;

/// Scheduled events, ordered by time. Events with equal times keep the order of scheduling.
pub(super) struct EventQueue<E> {
    pending: BTreeMap<(Timestamp, u64), E>,
    added: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { pending: BTreeMap::new(), added: 0 }
    }
}

impl<E> EventQueue<E> {
    pub(super) fn schedule(&mut self, at: Timestamp, event: E) {
        self.added += 1;
        self.pending.insert((at, self.added), event);
    }

    pub(super) fn pop(&mut self) -> Option<(Timestamp, E)> {
        self.pending.pop_first().map(|((at, _), event)| (at, event))
    }
}
