//! How a new document reaches every process of a data hall without burdening any of them.
//!
//! The processes of a hall are ranked and form a tree: the first fetches from the reader of
//! the source, every other from the one above it, and whoever has taken in a new document
//! tells those below. So a document crosses the way between two halls once, and no process
//! sends it more than [`FAN_OUT`] times.
//!
//! Nothing has to be agreed on. Processes that rank differently make a few more transfers; a
//! process whose place above it is dead or cut off fetches from the reader after
//! [`RELAY_PATIENCE`].

use std::time::Duration;

use thymeshift_types::VmName;

use crate::Contender;
use crate::ranked;

/// Processes that one process tells.
pub const FAN_OUT: usize = 4;
/// How long a process waits for the one above it, after it heard that there is something new.
pub const RELAY_PATIENCE: Duration = Duration::from_millis(400);

/// Name of the task in the ranking.
const TASK: &str = "relay documents";

/// A process's place among those of its data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPlace {
    /// Whether it fetches from the reader itself.
    pub is_first: bool,
    /// The processes to tell of something new.
    pub below: Vec<VmName>,
}

/// The place of `own`, which is among `hall`, the processes of its data hall.
pub fn relay_place<'a>(own: &VmName, hall: impl Iterator<Item = Contender<'a>>) -> RelayPlace {
    let order = ranked(TASK, hall);
    let place = order.iter().position(|vm| *vm == own).unwrap_or(0);
    let first_below = place * FAN_OUT + 1;
    let below = order.iter().skip(first_below).take(FAN_OUT);
    RelayPlace { is_first: place == 0, below: below.map(|vm| (*vm).clone()).collect() }
}
