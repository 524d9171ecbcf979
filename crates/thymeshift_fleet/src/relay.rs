//! How a new document reaches every process of a data hall without burdening any of them.
//!
//! The processes of a hall are ranked and form a tree: the first fetches from the reader of
//! the source, every other from the one above it, and whoever has taken in a new document
//! tells those below. So a document crosses the way between two halls once, and no process
//! sends it more than [`FAN_OUT`] times.
//!
//! Nothing has to be agreed on. Processes that rank differently make a few more transfers; a
//! process whose place above it is dead or cut off fetches from the reader after
//! [`RELAY_WAIT_LIMIT`].

use std::time::Duration;

use thymeshift_types::VmName;

use crate::Candidate;
use crate::rank::CONTACT_TASK;
use crate::ranked;

/// Processes that one process tells.
pub const FAN_OUT: usize = 4;
/// How long a process waits for the one above it, after it heard that there is something new.
pub const RELAY_WAIT_LIMIT: Duration = Duration::from_millis(400);
/// The same for the first of a hall, for each that comes before.
const STEP_PATIENCE: Duration = Duration::from_millis(80);

/// A process's place among those of its data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPosition {
    /// How many of them come before it; the first fetches from the reader itself.
    pub rank: usize,
    /// The processes to tell of something new.
    pub children: Vec<VmName>,
}

impl RelayPosition {
    /// How long to wait for the process above this one, before a document is fetched from
    /// whoever told of it. The first of a hall follow each other soon: until one of them has a
    /// document nobody else in the hall has it.
    pub fn wait_limit(&self) -> Duration {
        let before = u32::try_from(self.rank).unwrap_or(u32::MAX);
        if before <= FAN_OUT as u32 { STEP_PATIENCE * before } else { RELAY_WAIT_LIMIT }
    }
}

/// The place of `own`, which is among `hall`, the processes of its data hall.
pub fn relay_position<'a>(
    own: &VmName,
    hall: impl Iterator<Item = Candidate<'a>>,
) -> RelayPosition {
    let order = ranked(CONTACT_TASK, hall);
    let place = order.iter().position(|vm| *vm == own).unwrap_or(0);
    let first_below = place * FAN_OUT + 1;
    let children = order.iter().skip(first_below).take(FAN_OUT);
    RelayPosition { rank: place, children: children.map(|vm| (*vm).clone()).collect() }
}
