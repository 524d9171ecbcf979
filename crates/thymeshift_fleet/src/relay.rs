//! Relay tree that distributes a new document to every process of a data hall with a
//! bounded load on each process.
//!
//! The processes of a hall are ranked and form a tree. The first one fetches the document from
//! the reader of the source, every other one from its parent, and a process that has adopted a new
//! document notifies its children. A document therefore crosses the link between two halls once,
//! and no process sends the document more than [`FAN_OUT`] times.
//!
//! The tree needs no agreement. Processes that compute different rankings cause a few
//! extra transfers, and a process whose parent is dead or unreachable fetches from the
//! reader after a time that grows with its level in the tree.

use std::time::Duration;

use thymeshift_types::VmName;

use crate::Candidate;
use crate::rank::CONTACT_TASK;
use crate::ranked;

/// Maximum number of children that a process notifies of a new document.
pub const FAN_OUT: usize = 4;
/// Time that a process waits for its parent after it was notified of a new document, by its level in the
/// tree; the last one holds for all further levels. All processes above may stand still, and the wait
/// then adds to the time until the readers' silence is noticed.
const WAIT_MS_BY_LEVEL: [u64; 5] = [0, 80, 200, 320, 400];

/// A process's position in the relay tree of its data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPosition {
    /// Zero-based rank in the data hall; the process with rank 0 fetches from the reader.
    pub rank: usize,
    /// Processes that this one notifies of a new document.
    pub children: Vec<VmName>,
}

impl RelayPosition {
    /// Returns how long to wait for the parent before fetching a document from the process
    /// that announced it.
    pub fn wait_limit(&self) -> Duration {
        let level = self.level().min(WAIT_MS_BY_LEVEL.len() - 1);
        Duration::from_millis(WAIT_MS_BY_LEVEL[level])
    }

    /// Returns the number of processes between the reader and this one, on the way through the tree.
    fn level(&self) -> usize {
        let mut level = 0;
        let mut rank = self.rank;
        while rank > 0 {
            rank = (rank - 1) / FAN_OUT;
            level += 1;
        }
        level
    }
}

/// Returns the position of `own` in the relay tree of `hall`,
/// the processes of its data hall including `own`.
pub fn relay_position<'a>(
    own: &VmName,
    hall: impl Iterator<Item = Candidate<'a>>,
) -> RelayPosition {
    let order = ranked(CONTACT_TASK, hall);
    let position = order.iter().position(|vm| *vm == own).unwrap_or(0);
    let first_child = position * FAN_OUT + 1;
    let children = order.iter().skip(first_child).take(FAN_OUT);
    RelayPosition { rank: position, children: children.map(|vm| (*vm).clone()).collect() }
}
