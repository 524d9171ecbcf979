//! One request during which targets ended.

use std::collections::BTreeMap;
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
use crate::quarantine::SuspectTold;
use crate::quarantine::Verdict;
use crate::quarantine::bars::bar;
use crate::quarantine::bars::kept;

/// Crashes kept for one request: more than run at the same moment before it is refused.
const CRASHES_MAX: usize = 32;
/// Crashes told to peers at a time: with the longest names they fit one datagram.
const CRASHES_TOLD_MAX: usize = 5;

/// A suspect as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectDump {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that ended while they ran it, one after the other.
    pub crashes_in_a_row: u64,
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

    pub(super) fn verdict(&self, now: Timestamp) -> Verdict {
        let Some(last_ended_at) = self.last_ended_at() else {
            return Verdict::Free;
        };
        let left = now.until(last_ended_at + bar(self.in_a_row()));
        if left.is_zero() { Verdict::Suspected } else { Verdict::Refused(left) }
    }

    /// The most runs that ended with their target, each begun after the end of the one before.
    pub(super) fn in_a_row(&self) -> usize {
        self.row().len()
    }

    pub(super) fn last_ended_at(&self) -> Option<Timestamp> {
        self.crashes.values().map(|crash| crash.ended_at).max()
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        let last = self.last_ended_at().max(self.answered_at);
        last.is_none_or(|last| now.since(last) >= kept(self.in_a_row()))
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

    pub(super) fn told(&self, fingerprint: Fingerprint, now: Timestamp) -> SuspectTold {
        let row = self.row();
        let newest = &row[row.len().saturating_sub(CRASHES_TOLD_MAX)..];
        let ago_ms = |at: Timestamp| now.since(at).as_millis() as u64;
        let told = |(id, crash): &(&CrashId, &HeldCrash)| Crash {
            id: (*id).clone(),
            service: crash.service.clone(),
            target: crash.target.clone(),
            incarnation: crash.incarnation,
            began_ago_ms: ago_ms(crash.began_at),
            ended_ago_ms: ago_ms(crash.ended_at),
        };
        SuspectTold {
            fingerprint,
            crashes: newest.iter().map(told).collect(),
            answered_ago_ms: self.answered_at.map(ago_ms),
        }
    }

    pub(super) fn dump(&self, fingerprint: Fingerprint, now: Timestamp) -> SuspectDump {
        let row = self.row();
        let ago_ms = |at: Option<Timestamp>| at.map_or(0, |at| now.since(at).as_millis() as u64);
        let refused_for_ms = match self.verdict(now) {
            Verdict::Refused(left) => left.as_millis() as u64,
            Verdict::Free | Verdict::Suspected => 0,
        };
        let name = |(_, crash): &(&CrashId, &HeldCrash)| {
            format!("{}/{}@{}", crash.service, crash.target, crash.incarnation)
        };
        SuspectDump {
            fingerprint,
            crashes_in_a_row: row.len() as u64,
            refused_for_ms,
            first_crash_ms: ago_ms(row.first().map(|(_, crash)| crash.ended_at)),
            last_crash_ms: ago_ms(self.last_ended_at()),
            targets: row.iter().map(name).collect(),
        }
    }
}
