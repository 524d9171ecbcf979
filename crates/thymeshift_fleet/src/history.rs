//! The last differences of a document, for processes that are a few revisions behind.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::Delta;
use crate::Head;
use crate::Published;

/// Differences kept.
const DELTAS_MAX: usize = 64;
/// A chain of differences longer than this share of the document is sent as the whole.
const CHAIN_SHARE_MAX: usize = 2;

/// What a process that is behind receives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// It is not behind.
    UpToDate,
    /// The sender serves too many others already: ask another one, or again.
    Busy,
    /// Differences to apply one after the other.
    Deltas(Vec<Delta>),
    /// The whole document: the receiver has none, or one too old or unknown here.
    Whole(Published),
}

/// Differences between the revisions that were in force here.
#[derive(Debug, Clone, Default)]
pub struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    /// Notes that `to` followed `from`.
    pub fn record(&mut self, from: &Published, to: &Published) {
        if self.deltas.len() == DELTAS_MAX {
            self.deltas.pop_front();
        }
        self.deltas.push_back(Delta::between(from, to));
    }

    /// What a process that has `theirs` needs to reach `current`.
    pub fn transfer(&self, theirs: Option<Head>, current: &Published) -> Transfer {
        let Some(theirs) = theirs else {
            return Transfer::Whole(current.clone());
        };
        if theirs.revision >= current.head().revision {
            return Transfer::UpToDate;
        }
        let chain: Vec<&Delta> =
            self.deltas.iter().skip_while(|delta| delta.from != theirs).collect();
        let bytes: usize = chain.iter().map(|delta| delta.len_bytes()).sum();
        let is_long = bytes * CHAIN_SHARE_MAX > current.text().len();
        if chain.is_empty() || is_long {
            return Transfer::Whole(current.clone());
        }
        Transfer::Deltas(chain.into_iter().cloned().collect())
    }
}

impl Transfer {
    /// The document that the receiver of this transfer ends up with, if any.
    pub fn receive(self, have: Option<&Published>) -> Option<Published> {
        match self {
            Self::UpToDate | Self::Busy => None,
            Self::Whole(published) => Some(published),
            Self::Deltas(deltas) => {
                let mut deltas = deltas.into_iter();
                let first = deltas.next()?.apply(have?).ok()?;
                deltas.try_fold(first, |base, delta| delta.apply(&base).ok())
            }
        }
    }
}
