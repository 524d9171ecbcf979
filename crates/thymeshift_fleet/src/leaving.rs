//! Targets that are leaving, from any source, sticky for each incarnation.
//!
//! The register only grows: for each target it keeps the largest incarnation that was
//! said to be leaving. Two registers are merged by taking the larger number, so the order
//! and number of messages do not matter and a stale source cannot bring a target back.
//! A later incarnation of the target is not covered by the mark and serves again.
//!
//! A mark outlives the target's entry in the list: entries lapse while the source is away, and come
//! back for the same start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

/// Marks kept at most. Beyond it, a new one replaces that of the target that has been unlisted for
/// longest.
const MARKS_MAX: usize = 65_536;
/// How long the mark of a target is kept that is not listed: longer than an entry takes to come back
/// once the source has returned.
const UNLISTED_MARK_TTL: Duration = Duration::from_mins(10);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Key {
    service: ServiceName,
    target: TargetName,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Mark {
    incarnation: Incarnation,
    /// When its target was first found missing from the list; none while it is listed.
    unlisted_since: Option<Timestamp>,
}

/// All marks known to this process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeavingRegister {
    marks: BTreeMap<Key, Mark>,
}

impl LeavingRegister {
    /// Adds a mark. Returns whether it is news.
    pub fn add(&mut self, mark: &LeavingMark) -> bool {
        let key = Key { service: mark.service.clone(), target: mark.target.clone() };
        if let Some(known) = self.marks.get_mut(&key) {
            let is_news = known.incarnation < mark.incarnation;
            known.incarnation = known.incarnation.max(mark.incarnation);
            return is_news;
        }
        if self.marks.len() >= MARKS_MAX && !self.drop_longest_unlisted() {
            return false;
        }
        self.marks.insert(key, Mark { incarnation: mark.incarnation, unlisted_since: None });
        true
    }

    /// Makes room for a mark. Returns whether there is room now.
    fn drop_longest_unlisted(&mut self) -> bool {
        let unlisted =
            self.marks.iter().filter_map(|(key, mark)| Some((mark.unlisted_since?, key)));
        let Some((_, key)) = unlisted.min_by_key(|(since, _)| *since) else {
            return false;
        };
        let key = key.clone();
        self.marks.remove(&key).is_some()
    }

    /// Whether this incarnation is leaving.
    pub fn is_leaving(
        &self,
        service: &ServiceName,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> bool {
        let key = Key { service: service.clone(), target: target.clone() };
        self.marks.get(&key).is_some_and(|marked| marked.incarnation >= incarnation)
    }

    /// Forgets marks of targets that are listed with a later incarnation, or that have not been
    /// listed for long. `listed` tells the incarnation with which a target is listed now.
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

    /// All marks of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = LeavingMark> + 'a {
        let marks = self.marks.iter().filter(move |(key, _)| key.service == *service);
        marks.map(|(key, mark)| to_mark(key, mark))
    }

    /// Up to `count` marks, beginning behind `after`, in a fixed order; ask again with the
    /// last one to see the next.
    pub fn page(&self, after: Option<&LeavingMark>, count: usize) -> Vec<LeavingMark> {
        let start =
            after.map(|mark| Key { service: mark.service.clone(), target: mark.target.clone() });
        let is_behind = |key: &Key| start.as_ref().is_none_or(|start| key > start);
        let marks = self.marks.iter().filter(|(key, _)| is_behind(key));
        marks.take(count).map(|(key, mark)| to_mark(key, mark)).collect()
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether there is no mark.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}

fn to_mark(key: &Key, mark: &Mark) -> LeavingMark {
    let (service, target) = (key.service.clone(), key.target.clone());
    LeavingMark { service, target, incarnation: mark.incarnation }
}
