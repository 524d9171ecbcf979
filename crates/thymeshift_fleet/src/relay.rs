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
//! reader after [`RELAY_WAIT_LIMIT`].

use std::time::Duration;

use thymeshift_types::VmName;

use crate::Candidate;
use crate::rank::CONTACT_TASK;
use crate::ranked;

/// Maximum number of children that a process notifies of a new document.
pub const FAN_OUT: usize = 4;
/// Time that a process waits for its parent after it was notified of a new document.
pub const RELAY_WAIT_LIMIT: Duration = Duration::from_millis(400);
/// Wait per rank for the first processes of a hall, which wait for those that rank before them.
const WAIT_PER_RANK: Duration = Duration::from_millis(80);

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
    /// that announced it. The first processes of a hall wait only briefly for one another:
    /// until one of them has the document, no other process of the hall can get it.
    pub fn wait_limit(&self) -> Duration {
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        if rank <= FAN_OUT as u32 { WAIT_PER_RANK * rank } else { RELAY_WAIT_LIMIT }
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
