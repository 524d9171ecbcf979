//! Recent deltas of a document, sent to processes that are a few revisions behind.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::Delta;
use crate::Head;
use crate::Published;

/// Maximum number of deltas kept; the oldest one is dropped first.
const DELTAS_MAX: usize = 64;
/// Divisor of the document's length that limits a delta chain:
/// a chain longer than half of the document is replaced by the whole document.
const CHAIN_SHARE_DIVISOR: usize = 2;

/// Reply to a process that asks for newer revisions of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// The receiver already runs the sender's revision or a newer one.
    UpToDate,
    /// The sender already serves too many transfers; the receiver asks another process or retries.
    Busy,
    /// Deltas that the receiver applies in order.
    Deltas(Vec<Delta>),
    /// The whole document, because the receiver has none or the sender has
    /// no deltas from its revision.
    Whole(Published),
}

/// Deltas between the revisions that were in force at this process, oldest first.
#[derive(Debug, Clone, Default)]
pub struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    /// Appends the delta from the old document `from` to the new document `to`.
    pub fn record(&mut self, from: &Published, to: &Published) {
        if self.deltas.len() == DELTAS_MAX {
            self.deltas.pop_front();
        }
        self.deltas.push_back(Delta::between(from, to));
    }

    /// Returns the transfer that brings a process at `receiver_head` to the document `current`.
    pub fn transfer(&self, receiver_head: Option<Head>, current: &Published) -> Transfer {
        let Some(receiver_head) = receiver_head else {
            return Transfer::Whole(current.clone());
        };
        if receiver_head.revision >= current.head().revision {
            return Transfer::UpToDate;
        }
        let chain: Vec<&Delta> =
            self.deltas.iter().skip_while(|delta| delta.from != receiver_head).collect();
        let bytes: usize = chain.iter().map(|delta| delta.len_bytes()).sum();
        let is_chain_too_long = bytes * CHAIN_SHARE_DIVISOR > current.text().len();
        if chain.is_empty() || is_chain_too_long {
            return Transfer::Whole(current.clone());
        }
        Transfer::Deltas(chain.into_iter().cloned().collect())
    }
}

impl Transfer {
    /// Returns the document that results from this transfer at a
    /// receiver that runs `base`, if any.
    pub fn receive(self, base: Option<&Published>) -> Option<Published> {
        match self {
            Self::UpToDate | Self::Busy => None,
            Self::Whole(published) => Some(published),
            Self::Deltas(deltas) => {
                let mut deltas = deltas.into_iter();
                let first = deltas.next()?.apply(base?).ok()?;
                deltas.try_fold(first, |document, delta| delta.apply(&document).ok())
            }
        }
    }
}
