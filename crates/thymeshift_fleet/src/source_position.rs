//! Position of a reader in the history of changes of its source.
//!
//! A source that is restored from a copy loses its latest changes, assigns their revisions again
//! and increases its epoch. A reader that went on from its old revision would never see the changes
//! below that revision. An answer of a later epoch therefore ends the reader's position,
//! and the reader reads everything again.

use thymeshift_types::Epoch;
use thymeshift_types::Revision;

/// Relation of an answer to the answers before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerAge {
    /// The answer belongs to the known history.
    Current,
    /// The answer belongs to a later history; the position has been discarded.
    Restored {
        /// Epoch of the answers before this one.
        held: Epoch,
        /// Revision up to which changes had been read in that epoch, if any.
        revision_held: Option<u64>,
    },
    /// The answer belongs to an earlier history and must be ignored.
    Outdated,
}

/// Epoch and revision up to which a reader has read its source.
#[derive(Debug, Clone, Default)]
pub struct SourcePosition {
    /// Latest epoch of all answers; `None` before the first answer.
    epoch: Option<Epoch>,
    /// Revision up to which all changes have been read; `None` if everything must be read.
    synced_revision: Option<u64>,
    needs_current_read: bool,
}

impl SourcePosition {
    /// Classifies an answer by the epoch that it states.
    /// An answer that states none belongs to the known history.
    pub fn observe(&mut self, stated: Option<Epoch>) -> AnswerAge {
        let Some(held) = self.epoch else {
            self.epoch = Some(stated.unwrap_or_default());
            return AnswerAge::Current;
        };
        match stated {
            Some(epoch) if epoch < held => {
                // A full read that allows outdated data may return it again and again.
                self.needs_current_read |= self.synced_revision.is_none();
                AnswerAge::Outdated
            }
            Some(epoch) if epoch > held => {
                let revision_held = self.synced_revision;
                self.epoch = Some(epoch);
                self.discard();
                AnswerAge::Restored { held, revision_held }
            }
            Some(_) | None => AnswerAge::Current,
        }
    }

    /// Discards the revision, because the source no longer has the changes since then.
    /// Data that may be older than the loss must not be read afterwards.
    pub fn discard(&mut self) {
        self.synced_revision = None;
        self.needs_current_read = true;
    }

    /// Records that all changes up to `revision` have been read.
    pub fn set_synced(&mut self, revision: u64) {
        self.synced_revision = Some(revision);
        self.needs_current_read = false;
    }

    /// Returns the revision from which changes are read; `None` if everything must be read.
    pub fn synced_revision(&self) -> Option<u64> {
        self.synced_revision
    }

    /// Returns whether data that may be outdated must not be read.
    pub fn needs_current_read(&self) -> bool {
        self.needs_current_read
    }

    /// Returns the revision of a document that contains all changes that have been read.
    pub fn revision(&self) -> Revision {
        let number = self.synced_revision.unwrap_or_default();
        Revision::new(number).with_epoch(self.epoch.unwrap_or_default())
    }
}
