//! Decides which published revision of a document is in force at this process.
//!
//! The same rules apply to every source (platform, peer, bootstrap):
//!
//! * A smaller revision is ignored: the revision in force never decreases.
//! * The same revision with the same digest is a confirmation.
//! * The same revision with another digest is a conflict:
//!   the document in force stays, and the conflict is reported until a larger revision is adopted.
//!   Picking one of the two documents by some rule would change the document in force without
//!   a new revision that an operator could see.
//! * A larger revision that passes the check is adopted. A larger revision that fails
//!   the check is rejected and remembered, and the last good document stays in force.
//!   The check depends only on the document's bytes, so every process rejects the same documents.

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Timestamp;

use crate::Head;
use crate::History;
use crate::Published;
use crate::Transfer;
use crate::lag::Lag;

/// Outcome of offering a document to [`Adoption`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offered document is now in force.
    Adopted,
    /// The offered document was already in force.
    Confirmed,
    /// The offered document is older than the one in force.
    Older,
    /// The offered document has the same revision as the one in force, but another digest.
    Conflicting,
    /// The offered document did not pass the check.
    Rejected,
}

/// Two documents with different content under the same revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Revision and digest of the document in force.
    pub in_force: Head,
    /// Revision and digest of the other document.
    pub offered: Head,
}

/// A document that did not pass the check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Revision and digest of the rejected document.
    pub head: Head,
    /// Mistakes found by the check, each with its place in the document.
    pub mistakes: String,
}

/// The document in force, with its recent deltas and the last conflict and rejection.
#[derive(Debug, Clone, Default)]
pub struct Adoption {
    in_force: Option<Published>,
    since: Timestamp,
    history: History,
    conflict: Option<Conflict>,
    rejection: Option<Rejection>,
    lag: Lag,
}

impl Adoption {
    /// Offers a document. `check` is called only for a larger revision that was not rejected
    /// before; its value is returned together with [`OfferOutcome::Adopted`].
    pub fn offer<V, E: ToString>(
        &mut self,
        offered: &Published,
        now: Timestamp,
        check: impl FnOnce(&str) -> Result<V, E>,
    ) -> (OfferOutcome, Option<V>) {
        if let Some(in_force) = &self.in_force {
            let (ours, theirs) = (in_force.head(), offered.head());
            if theirs.revision < ours.revision {
                return (OfferOutcome::Older, None);
            }
            if theirs == ours {
                return (OfferOutcome::Confirmed, None);
            }
            if theirs.revision == ours.revision {
                self.conflict = Some(Conflict { in_force: ours, offered: theirs });
                return (OfferOutcome::Conflicting, None);
            }
        }
        if self.is_rejected(offered.head()) {
            return (OfferOutcome::Rejected, None);
        }
        match check(offered.text()) {
            Ok(value) => {
                self.adopt(offered, now);
                (OfferOutcome::Adopted, Some(value))
            }
            Err(mistakes) => {
                let mistakes = mistakes.to_string();
                // A document that is refused is not missing.
                self.lag.record_settled(offered.head());
                self.rejection = Some(Rejection { head: offered.head(), mistakes });
                (OfferOutcome::Rejected, None)
            }
        }
    }

    /// Records the revision and digest that a peer runs. Returns whether this reveals a new
    /// conflict: different content under the revision in force here.
    pub fn observe_peer_head(&mut self, theirs: Head) -> bool {
        let Some(ours) = self.head() else {
            return false;
        };
        if theirs.revision != ours.revision || theirs.digest == ours.digest {
            return false;
        }
        let conflict = Conflict { in_force: ours, offered: theirs };
        let is_new = self.conflict.as_ref() != Some(&conflict);
        self.conflict = Some(conflict);
        is_new
    }

    /// Records that another process has the document `theirs` in force. Returns whether this process
    /// has been up to date until now and is behind from now on.
    pub fn record_announced(&mut self, theirs: Head, now: Timestamp) -> bool {
        let is_newer = self.head().is_none_or(|ours| theirs.revision > ours.revision);
        is_newer && !self.is_rejected(theirs) && self.lag.record_newer(theirs, now)
    }

    /// Returns since when a newer document than the one in force has been known.
    pub fn behind_since(&self) -> Option<Timestamp> {
        self.lag.since()
    }

    /// Returns the newest document that others have in force, if it is newer than the one in force here.
    pub fn missing(&self) -> Option<Head> {
        self.lag.newest()
    }

    fn adopt(&mut self, offered: &Published, now: Timestamp) {
        if let Some(old) = self.in_force.replace(offered.clone()) {
            self.history.record(&old, offered);
        }
        self.since = now;
        self.conflict = None;
        self.lag.record_settled(offered.head());
        let is_superseded =
            |rejection: &Rejection| rejection.head.revision < offered.head().revision;
        if self.rejection.as_ref().is_some_and(is_superseded) {
            self.rejection = None;
        }
    }

    fn is_rejected(&self, head: Head) -> bool {
        self.rejection.as_ref().is_some_and(|rejection| rejection.head == head)
    }

    /// Returns the document in force.
    pub fn in_force(&self) -> Option<&Published> {
        self.in_force.as_ref()
    }

    /// Returns the revision and digest of the document in force.
    pub fn head(&self) -> Option<Head> {
        self.in_force.as_ref().map(Published::head)
    }

    /// Returns the time at which the document in force was adopted.
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Returns the current conflict, which ends when a larger revision is adopted.
    pub fn conflict(&self) -> Option<&Conflict> {
        self.conflict.as_ref()
    }

    /// Returns the last rejected document, unless a larger revision has been adopted since.
    pub fn rejection(&self) -> Option<&Rejection> {
        self.rejection.as_ref()
    }

    /// Returns the transfer for a process that runs `theirs`;
    /// [`Transfer::UpToDate`] if this process has no document in force.
    pub fn transfer(&self, theirs: Option<Head>) -> Transfer {
        match &self.in_force {
            Some(current) => self.history.transfer(theirs, current),
            None => Transfer::UpToDate,
        }
    }
}
