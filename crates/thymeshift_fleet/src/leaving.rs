//! Marks of targets that are leaving, kept for each target's incarnation.
//!
//! For each target the register keeps the largest incarnation that any source reported as leaving.
//! Merging two registers takes the larger incarnation per target, so the order and number
//! of messages do not matter, and a stale source cannot return a leaving target to service.
//! A later incarnation of the target is not covered by the mark and serves again.
//!
//! A mark outlives the target's entry in the target list: entries expire while the source is
//! unavailable, and the same incarnation is listed again once the source returns.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

/// Maximum number of marks. Beyond this limit a new mark replaces the mark of the target
/// that has been unlisted for longest.
const MARKS_MAX: usize = 65_536;
/// Time that the mark of an unlisted target is kept;
/// longer than a target takes to be listed again after an outage of the source.
const UNLISTED_MARK_TTL: Duration = Duration::from_mins(10);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct TargetKey {
    service: ServiceName,
    target: TargetName,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct MarkEntry {
    incarnation: Incarnation,
    /// Time at which the target was first missing from the target list;
    /// `None` while the target is listed.
    unlisted_since: Option<Timestamp>,
}

/// All leaving marks known to this process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeavingRegister {
    marks: BTreeMap<TargetKey, MarkEntry>,
}

impl LeavingRegister {
    /// Adds a mark. Returns whether the mark was new, or newer than the one known for its target.
    pub fn add(&mut self, mark: &LeavingMark) -> bool {
        let key = TargetKey { service: mark.service.clone(), target: mark.target.clone() };
        if let Some(known) = self.marks.get_mut(&key) {
            let is_new = known.incarnation < mark.incarnation;
            known.incarnation = known.incarnation.max(mark.incarnation);
            return is_new;
        }
        if self.marks.len() >= MARKS_MAX && !self.drop_longest_unlisted() {
            return false;
        }
        self.marks.insert(key, MarkEntry { incarnation: mark.incarnation, unlisted_since: None });
        true
    }

    /// Drops the mark of the target that has been unlisted for longest.
    /// Returns `false` if all marked targets are listed.
    fn drop_longest_unlisted(&mut self) -> bool {
        let unlisted =
            self.marks.iter().filter_map(|(key, mark)| Some((mark.unlisted_since?, key)));
        let Some((_, key)) = unlisted.min_by_key(|(since, _)| *since) else {
            return false;
        };
        let key = key.clone();
        self.marks.remove(&key).is_some()
    }

    /// Returns whether this incarnation of the target is leaving.
    pub fn is_leaving(
        &self,
        service: &ServiceName,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> bool {
        let key = TargetKey { service: service.clone(), target: target.clone() };
        self.marks.get(&key).is_some_and(|mark| mark.incarnation >= incarnation)
    }

    /// Drops marks of targets that are listed with a later incarnation,
    /// or that have been unlisted for `UNLISTED_MARK_TTL`.
    /// `listed` returns the incarnation that a target is currently listed with.
    pub fn prune(
        &mut self,
        listed: impl Fn(&ServiceName, &TargetName) -> Option<Incarnation>,
        now: Timestamp,
    ) {
        self.marks.retain(|key, mark| match listed(&key.service, &key.target) {
            Some(incarnation) => {
                mark.unlisted_since = None;
                incarnation <= mark.incarnation
            }
            None => now.since(*mark.unlisted_since.get_or_insert(now)) < UNLISTED_MARK_TTL,
        });
    }

    /// Returns all marks of the targets of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = LeavingMark> + 'a {
        let marks = self.marks.iter().filter(move |(key, _)| key.service == *service);
        marks.map(|(key, mark)| to_mark(key, mark))
    }

    /// Returns up to `count` marks that sort after `after`, in a fixed order.
    /// Pass the last mark of a page to get the next page.
    pub fn page(&self, after: Option<&LeavingMark>, count: usize) -> Vec<LeavingMark> {
        let cursor = after
            .map(|mark| TargetKey { service: mark.service.clone(), target: mark.target.clone() });
        let is_after_cursor = |key: &TargetKey| cursor.as_ref().is_none_or(|cursor| key > cursor);
        let marks = self.marks.iter().filter(|(key, _)| is_after_cursor(key));
        marks.take(count).map(|(key, mark)| to_mark(key, mark)).collect()
    }

    /// Returns the number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether the register contains no marks.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}

fn to_mark(key: &TargetKey, mark: &MarkEntry) -> LeavingMark {
    let (service, target) = (key.service.clone(), key.target.clone());
    LeavingMark { service, target, incarnation: mark.incarnation }
}
