//! Crash history of one suspect request.

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

/// Maximum number of crashes kept per request; more than can run concurrently before a refusal.
const CRASHES_MAX: usize = 16;
/// Maximum number of crashes in a report to peers;
/// with the longest names they still fit into one datagram.
const CRASHES_REPORTED_MAX: usize = 5;

/// A suspect request as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectDump {
    /// Fingerprint of the suspect request.
    pub fingerprint: Fingerprint,
    /// Crashed targets that count against the request.
    pub strikes: u64,
    /// Remaining time that the request is refused, in milliseconds;
    /// 0 if the request is not refused.
    pub refused_for_ms: u64,
    /// Time since the first consecutive crash, in milliseconds.
    pub first_crash_ms: u64,
    /// Time since the last crash, in milliseconds.
    pub last_crash_ms: u64,
    /// Consecutively crashed targets as `service/target@incarnation`,
    /// in the order in which they ended.
    pub targets: Vec<String>,
}

#[derive(Debug, Clone)]
struct RecordedCrash {
    service: ServiceName,
    target: TargetName,
    incarnation: Incarnation,
    began_at: Timestamp,
    ended_at: Timestamp,
}

/// Crashes of targets during one request, and the time of the request's latest answer.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    crashes: BTreeMap<CrashId, RecordedCrash>,
    answered_at: Option<Timestamp>,
}

impl Suspect {
    /// Adds a crash. Returns whether the crash is new and more recent than the latest answer.
    pub(super) fn add_crash(&mut self, crash: &Crash, now: Timestamp) -> bool {
        let is_full = self.crashes.len() >= CRASHES_MAX;
        if is_full || self.crashes.contains_key(&crash.id) {
            return false;
        }
        let ended_at = now.minus(Duration::from_millis(crash.ended_ago_ms));
        if self.answered_at.is_some_and(|answered_at| ended_at <= answered_at) {
            return false;
        }
        let recorded = RecordedCrash {
            service: crash.service.clone(),
            target: crash.target.clone(),
            incarnation: crash.incarnation,
            began_at: now.minus(Duration::from_millis(crash.began_ago_ms)),
            ended_at,
        };
        self.crashes.insert(crash.id.clone(), recorded);
        true
    }

    /// Records an answer, which clears all earlier crashes. Returns whether any crash was cleared.
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
        let left = now.until(last_ended_at + rules.refusal(self.strikes()));
        if left.is_zero() { Verdict::Suspected } else { Verdict::Refused(left) }
    }

    /// Returns the number of crashed targets that count against the request. Targets that end at
    /// the same time count once, because a rack may have lost power. If another run crashes after
    /// them, all of them count: copies of a guilty request may run concurrently, too.
    pub(super) fn strikes(&self) -> usize {
        let consecutive_count = self.consecutive().len();
        if consecutive_count < 2 {
            return consecutive_count;
        }
        let crashes = self.crashes.values();
        let targets: BTreeSet<_> =
            crashes.map(|crash| (&crash.service, &crash.target, crash.incarnation)).collect();
        consecutive_count.max(targets.len())
    }

    pub(super) fn last_ended_at(&self) -> Option<Timestamp> {
        self.crashes.values().map(|crash| crash.ended_at).max()
    }

    pub(super) fn is_expired(&self, rules: &QuarantineRules, now: Timestamp) -> bool {
        let last = self.last_ended_at().max(self.answered_at);
        last.is_none_or(|last| now.since(last) >= rules.retention(self.strikes()))
    }

    /// Returns the longest sequence of consecutive runs that ended in a crash.
    /// Taking the run that ends earliest first gives the longest sequence.
    fn consecutive(&self) -> Vec<(&CrashId, &RecordedCrash)> {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_by_key(|(_, crash)| crash.ended_at);
        let mut consecutive: Vec<(&CrashId, &RecordedCrash)> = Vec::new();
        for (id, crash) in crashes {
            if consecutive.last().is_none_or(|(_, last)| crash.began_at >= last.ended_at) {
                consecutive.push((id, crash));
            }
        }
        consecutive
    }

    /// Returns the crashes to report to peers: the most recent consecutive ones,
    /// then the most recent others.
    fn crashes_to_report(&self) -> Vec<(&CrashId, &RecordedCrash)> {
        let mut consecutive = self.consecutive();
        consecutive.reverse();
        let is_consecutive = |id: &CrashId| consecutive.iter().any(|(known, _)| *known == id);
        let mut others: Vec<_> =
            self.crashes.iter().filter(|(id, _)| !is_consecutive(id)).collect();
        others.sort_by_key(|(_, crash)| std::cmp::Reverse(crash.ended_at));
        let mut reported = consecutive;
        reported.truncate(CRASHES_REPORTED_MAX - 1);
        reported.extend(others);
        reported.truncate(CRASHES_REPORTED_MAX);
        reported
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, now: Timestamp) -> SuspectReport {
        let ago_ms = |at: Timestamp| now.since(at).as_millis() as u64;
        let to_crash = |(id, crash): &(&CrashId, &RecordedCrash)| Crash {
            id: (*id).clone(),
            service: crash.service.clone(),
            target: crash.target.clone(),
            incarnation: crash.incarnation,
            began_ago_ms: ago_ms(crash.began_at),
            ended_ago_ms: ago_ms(crash.ended_at),
        };
        SuspectReport {
            fingerprint,
            crashes: self.crashes_to_report().iter().map(to_crash).collect(),
            answered_ago_ms: self.answered_at.map(ago_ms),
        }
    }

    pub(super) fn dump(
        &self,
        fingerprint: Fingerprint,
        rules: &QuarantineRules,
        now: Timestamp,
    ) -> SuspectDump {
        let consecutive = self.consecutive();
        let ago_ms = |at: Option<Timestamp>| at.map_or(0, |at| now.since(at).as_millis() as u64);
        let refused_for_ms = match self.verdict(rules, now) {
            Verdict::Refused(left) => left.as_millis() as u64,
            Verdict::Free | Verdict::Suspected => 0,
        };
        let name = |(_, crash): &(&CrashId, &RecordedCrash)| {
            format!("{}/{}@{}", crash.service, crash.target, crash.incarnation)
        };
        SuspectDump {
            fingerprint,
            strikes: self.strikes() as u64,
            refused_for_ms,
            first_crash_ms: ago_ms(consecutive.first().map(|(_, crash)| crash.ended_at)),
            last_crash_ms: ago_ms(self.last_ended_at()),
            targets: consecutive.iter().map(name).collect(),
        }
    }
}
