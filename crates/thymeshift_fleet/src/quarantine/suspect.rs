//! One request during which targets ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Fingerprint;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::quarantine::Crash;
use crate::quarantine::CrashId;
use crate::quarantine::QuarantineRules;
use crate::quarantine::SuspectReport;
use crate::quarantine::Verdict;

/// Crashes kept for one request: more than run at the same moment before it is refused.
const CRASHES_MAX: usize = 16;
/// Crashes told to peers at a time: with the longest names they fit one datagram.
const CRASHES_TOLD_MAX: usize = 5;

/// A suspect as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectDump {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that count against it.
    pub strikes: u64,
    /// For how much longer it is refused, in milliseconds.
    pub refused_for_ms: u64,
    /// Time since the first of these crashes, in milliseconds.
    pub first_crash_ms: u64,
    /// Time since the last one, in milliseconds.
    pub last_crash_ms: u64,
    /// The targets, as service and name, in the order of their ends.
    pub targets: Vec<String>,
}

#[derive(Debug, Clone)]
struct HeldCrash {
    service: ServiceName,
    target: TargetName,
    incarnation: Incarnation,
    began_at: Timestamp,
    ended_at: Timestamp,
}

/// Crashes during one request, and its latest answer.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    crashes: BTreeMap<CrashId, HeldCrash>,
    answered_at: Option<Timestamp>,
}

impl Suspect {
    /// Adds a crash. Returns whether it is news.
    pub(super) fn add_crash(&mut self, crash: &Crash, now: Timestamp) -> bool {
        let is_full = self.crashes.len() >= CRASHES_MAX;
        if is_full || self.crashes.contains_key(&crash.id) {
            return false;
        }
        let ended_at = now.minus(Duration::from_millis(crash.ended_ago_ms));
        if self.answered_at.is_some_and(|answered_at| ended_at <= answered_at) {
            return false;
        }
        let held = HeldCrash {
            service: crash.service.clone(),
            target: crash.target.clone(),
            incarnation: crash.incarnation,
            began_at: now.minus(Duration::from_millis(crash.began_ago_ms)),
            ended_at,
        };
        self.crashes.insert(crash.id.clone(), held);
        true
    }

    /// A target answered: what ended before is not held against the request any more. Returns
    /// whether anything was.
    pub(super) fn add_answer(&mut self, answered_at: Timestamp) -> bool {
        self.answered_at = self.answered_at.max(Some(answered_at));
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| crash.ended_at > answered_at);
        self.crashes.len() < before
    }

    pub(super) fn verdict(&self, rules: &QuarantineRules, now: Timestamp) -> Verdict {
        let Some(last_ended_at) = self.last_ended_at() else {
            return Verdict::Free;
        };
        let left = now.until(last_ended_at + rules.bar(self.strikes()));
        if left.is_zero() { Verdict::Suspected } else { Verdict::Refused(left) }
    }

    /// What is held against the request, in targets. Ends at one moment count once, because a rack
    /// may have lost power. If others followed, all of them count: copies of a guilty request run at
    /// the same time, too.
    pub(super) fn strikes(&self) -> usize {
        let in_a_row = self.row().len();
        if in_a_row < 2 {
            return in_a_row;
        }
        let crashes = self.crashes.values();
        let targets: BTreeSet<_> =
            crashes.map(|crash| (&crash.service, &crash.target, crash.incarnation)).collect();
        in_a_row.max(targets.len())
    }

    pub(super) fn last_ended_at(&self) -> Option<Timestamp> {
        self.crashes.values().map(|crash| crash.ended_at).max()
    }

    pub(super) fn is_over(&self, rules: &QuarantineRules, now: Timestamp) -> bool {
        let last = self.last_ended_at().max(self.answered_at);
        last.is_none_or(|last| now.since(last) >= rules.kept(self.strikes()))
    }

    /// Runs that end earliest are taken first, which gives the longest row.
    fn row(&self) -> Vec<(&CrashId, &HeldCrash)> {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_by_key(|(_, crash)| crash.ended_at);
        let mut row: Vec<(&CrashId, &HeldCrash)> = Vec::new();
        for (id, crash) in crashes {
            if row.last().is_none_or(|(_, last)| crash.began_at >= last.ended_at) {
                row.push((id, crash));
            }
        }
        row
    }

    /// The last crash, and before it those that follow each other, then all others.
    fn most_telling(&self) -> Vec<(&CrashId, &HeldCrash)> {
        let mut row = self.row();
        row.reverse();
        let is_in_row = |id: &CrashId| row.iter().any(|(known, _)| *known == id);
        let mut others: Vec<_> = self.crashes.iter().filter(|(id, _)| !is_in_row(id)).collect();
        others.sort_by_key(|(_, crash)| std::cmp::Reverse(crash.ended_at));
        let mut telling = row;
        telling.truncate(CRASHES_TOLD_MAX - 1);
        telling.extend(others);
        telling.truncate(CRASHES_TOLD_MAX);
        telling
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, now: Timestamp) -> SuspectReport {
        let ago_ms = |at: Timestamp| now.since(at).as_millis() as u64;
        let told = |(id, crash): &(&CrashId, &HeldCrash)| Crash {
            id: (*id).clone(),
            service: crash.service.clone(),
            target: crash.target.clone(),
            incarnation: crash.incarnation,
            began_ago_ms: ago_ms(crash.began_at),
            ended_ago_ms: ago_ms(crash.ended_at),
        };
        SuspectReport {
            fingerprint,
            crashes: self.most_telling().iter().map(told).collect(),
            answered_ago_ms: self.answered_at.map(ago_ms),
        }
    }

    pub(super) fn dump(
        &self,
        fingerprint: Fingerprint,
        rules: &QuarantineRules,
        now: Timestamp,
    ) -> SuspectDump {
        let row = self.row();
        let ago_ms = |at: Option<Timestamp>| at.map_or(0, |at| now.since(at).as_millis() as u64);
        let refused_for_ms = match self.verdict(rules, now) {
            Verdict::Refused(left) => left.as_millis() as u64,
            Verdict::Free | Verdict::Suspected => 0,
        };
        let name = |(_, crash): &(&CrashId, &HeldCrash)| {
            format!("{}/{}@{}", crash.service, crash.target, crash.incarnation)
        };
        SuspectDump {
            fingerprint,
            strikes: self.strikes() as u64,
            refused_for_ms,
            first_crash_ms: ago_ms(row.first().map(|(_, crash)| crash.ended_at)),
            last_crash_ms: ago_ms(self.last_ended_at()),
            targets: row.iter().map(name).collect(),
        }
    }
}
