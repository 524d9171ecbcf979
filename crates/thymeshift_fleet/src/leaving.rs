//! Targets that are leaving, from any source, sticky for each incarnation.
//!
//! The register only grows: for each target it keeps the largest incarnation that was
//! said to be leaving. Two registers are merged by taking the larger number, so the order
//! and number of messages do not matter and a stale source cannot bring a target back.
//! A later incarnation of the target is not covered by the mark and serves again.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;

/// Marks kept at most. Beyond it, marks of targets that are no longer configured must be
/// pruned before new ones are taken.
const MARKS_MAX: usize = 65_536;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Key {
    service: ServiceName,
    target: TargetName,
}

/// All marks known to this process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeavingRegister {
    marks: BTreeMap<Key, Incarnation>,
}

impl LeavingRegister {
    /// Adds a mark. Returns whether it is news.
    pub fn add(&mut self, mark: &LeavingMark) -> bool {
        let key = Key { service: mark.service.clone(), target: mark.target.clone() };
        let is_full = self.marks.len() >= MARKS_MAX;
        match self.marks.get_mut(&key) {
            Some(known) if *known >= mark.incarnation => false,
            Some(known) => {
                *known = mark.incarnation;
                true
            }
            None if is_full => false,
            None => {
                self.marks.insert(key, mark.incarnation);
                true
            }
        }
    }

    /// Whether this incarnation is leaving.
    pub fn is_leaving(
        &self,
        service: &ServiceName,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> bool {
        let key = Key { service: service.clone(), target: target.clone() };
        self.marks.get(&key).is_some_and(|marked| *marked >= incarnation)
    }

    /// Forgets marks for which `is_needed` is false: the configuration in force no longer
    /// lists the target, or lists a later incarnation.
    pub fn retain(&mut self, mut is_needed: impl FnMut(&LeavingMark) -> bool) {
        self.marks.retain(|key, incarnation| is_needed(&to_mark(key, *incarnation)));
    }

    /// All marks of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = LeavingMark> + 'a {
        let marks = self.marks.iter().filter(move |(key, _)| key.service == *service);
        marks.map(|(key, incarnation)| to_mark(key, *incarnation))
    }

    /// Up to `count` marks, beginning behind `after`, in a fixed order; ask again with the
    /// last one to see the next.
    pub fn page(&self, after: Option<&LeavingMark>, count: usize) -> Vec<LeavingMark> {
        let start =
            after.map(|mark| Key { service: mark.service.clone(), target: mark.target.clone() });
        let is_behind = |key: &Key| start.as_ref().is_none_or(|start| key > start);
        let marks = self.marks.iter().filter(|(key, _)| is_behind(key));
        marks.take(count).map(|(key, incarnation)| to_mark(key, *incarnation)).collect()
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

fn to_mark(key: &Key, incarnation: Incarnation) -> LeavingMark {
    LeavingMark { service: key.service.clone(), target: key.target.clone(), incarnation }
}
