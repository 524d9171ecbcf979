//! Which published revision is in force at this process.
//!
//! The rule, whatever the source (platform, peer, bootstrap):
//!
//! * a smaller revision is ignored: what is in force never goes down;
//! * the same revision with the same digest is a confirmation;
//! * the same revision with another digest is a conflict: what is in force stays, and the
//!   conflict is reported until a larger revision ends it. Choosing one of the two by a
//!   rule would change what is in force without a revision that an operator could see;
//! * a larger revision that passes the check is adopted; one that fails is rejected and
//!   remembered, and the last good one stays. The check depends on the bytes alone, so
//!   every process rejects the same ones.

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Timestamp;

use crate::Head;
use crate::History;
use crate::Published;
use crate::Transfer;

/// What became of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Adopted,
    /// It is in force already.
    Confirmed,
    /// It is older than what is in force.
    Older,
    /// It has the revision in force but other content.
    Conflicting,
    /// It does not pass the check.
    Rejected,
}

/// Two contents under one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// What is in force.
    pub in_force: Head,
    /// What was offered.
    pub offered: Head,
}

/// A revision that did not pass the check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Which.
    pub head: Head,
    /// Why, with the places.
    pub mistakes: String,
}

/// The document in force, and what was refused.
#[derive(Debug, Clone, Default)]
pub struct Adoption {
    in_force: Option<Published>,
    since: Timestamp,
    history: History,
    conflict: Option<Conflict>,
    rejection: Option<Rejection>,
}

impl Adoption {
    /// Offers a document. `check` is called only for a larger revision that was not
    /// rejected before; its value is handed to the caller with [`OfferOutcome::Adopted`].
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
                self.rejection = Some(Rejection { head: offered.head(), mistakes });
                (OfferOutcome::Rejected, None)
            }
        }
    }

    /// Takes in what another process runs. Returns whether it runs other content under the
    /// revision in force here, and that is news.
    pub fn observe_peer_head(&mut self, theirs: Head) -> bool {
        let Some(ours) = self.head() else {
            return false;
        };
        if theirs.revision != ours.revision || theirs.digest == ours.digest {
            return false;
        }
        let conflict = Conflict { in_force: ours, offered: theirs };
        let is_news = self.conflict.as_ref() != Some(&conflict);
        self.conflict = Some(conflict);
        is_news
    }

    fn adopt(&mut self, offered: &Published, now: Timestamp) {
        if let Some(old) = self.in_force.replace(offered.clone()) {
            self.history.record(&old, offered);
        }
        self.since = now;
        self.conflict = None;
        let is_settled = |rejection: &Rejection| rejection.head.revision < offered.head().revision;
        if self.rejection.as_ref().is_some_and(is_settled) {
            self.rejection = None;
        }
    }

    fn is_rejected(&self, head: Head) -> bool {
        self.rejection.as_ref().is_some_and(|rejection| rejection.head == head)
    }

    /// The document in force.
    pub fn in_force(&self) -> Option<&Published> {
        self.in_force.as_ref()
    }

    /// Its revision and digest.
    pub fn head(&self) -> Option<Head> {
        self.in_force.as_ref().map(Published::head)
    }

    /// Since when it is in force.
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// A conflict that no larger revision has ended yet.
    pub fn conflict(&self) -> Option<&Conflict> {
        self.conflict.as_ref()
    }

    /// The last rejected revision, unless a larger one is in force.
    pub fn rejection(&self) -> Option<&Rejection> {
        self.rejection.as_ref()
    }

    /// What a process that has `theirs` needs; nothing while nothing is in force.
    pub fn transfer(&self, theirs: Option<Head>) -> Transfer {
        match &self.in_force {
            Some(current) => self.history.transfer(theirs, current),
            None => Transfer::UpToDate,
        }
    }
}
