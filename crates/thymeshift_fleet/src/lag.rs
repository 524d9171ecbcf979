//! Tells for how long a newer revision of a document has been known than the one in force.
//!
//! The time counts for the first newer revision that is not in force yet, not for the newest one: while
//! documents change all the time, a process that applies each of them in time is never behind for long.

use thymeshift_types::Timestamp;

use crate::Head;

/// Revision of a document, and the time from which it has been known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    head: Head,
    since: Timestamp,
}

/// Newer revisions of one document than the one in force, as far as others have announced them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Lag {
    /// First announced revision that is not in force yet.
    missing: Option<Known>,
    /// Newest announced revision.
    newest: Option<Known>,
}

impl Lag {
    /// Records that another process has `theirs` in force, which is newer than the revision in force
    /// here. Returns whether this process has been up to date until now.
    pub(crate) fn record_newer(&mut self, theirs: Head, now: Timestamp) -> bool {
        let known = Known { head: theirs, since: now };
        if self.newest.is_none_or(|newest| theirs.revision > newest.head.revision) {
            self.newest = Some(known);
        }
        let is_first = self.missing.is_none();
        self.missing.get_or_insert(known);
        is_first
    }

    /// Records that `settled` and all earlier revisions are no longer missing.
    pub(crate) fn record_settled(&mut self, settled: Head) {
        let is_missing = |known: &Known| known.head.revision > settled.revision;
        self.newest = self.newest.filter(is_missing);
        self.missing = self.missing.filter(is_missing).or(self.newest);
    }

    /// Returns since when a newer revision has been known that is not in force.
    pub(crate) fn since(&self) -> Option<Timestamp> {
        self.missing.map(|missing| missing.since)
    }

    /// Returns the newest revision that others have announced, if it is not in force.
    pub(crate) fn newest(&self) -> Option<Head> {
        self.newest.map(|newest| newest.head)
    }
}
