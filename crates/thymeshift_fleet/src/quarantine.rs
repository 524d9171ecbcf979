//! Quarantine of requests that crash the targets that run them.
//!
//! A process sees only its own share of the traffic, and each arrival of a request has another id.
//! Requests are therefore identified by fingerprints, crashes are reported to the whole fleet,
//! and each process decides from all reports.
//!
//! When a target crashes, all requests that it was running fail, and at most one of these requests
//! caused the crash. The next run of each request shows which one: an innocent request is answered
//! by the next target that runs it, which clears the request. Only consecutive crashes count, where
//! each run began after the previous target had ended. An innocent request that many callers repeat
//! may run on several targets of a rack that loses power, and all these runs count as one crash.
//!
//! Crashes are merged as a set, and only the latest answer counts, so the order and number of
//! messages do not matter. Messages carry ages instead of absolute times.

mod crash;
mod rules;
mod suspect;

use std::collections::BTreeMap;
use std::time::Duration;

use thymeshift_types::Fingerprint;
use thymeshift_types::Timestamp;

use crate::quarantine::suspect::Suspect;

pub use crash::Crash;
pub use crash::CrashId;
pub use crash::SuspectReport;
pub use rules::QuarantineRules;
pub use suspect::SuspectDump;

/// Maximum number of suspect requests. Each one requires the crash of a target,
/// and takes at most about 3 KB.
const SUSPECTS_MAX: usize = 1_024;

/// Decision whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No crash counts against the request.
    Free,
    /// At least one target ended while it ran the request, and no target has answered the request
    /// since. The crashes are too few for a refusal, or the refusal has expired.
    Suspected,
    /// Several targets in a row ended while they ran the request;
    /// it is refused for the given time.
    Refused(Duration),
}

/// All suspect requests known to this process.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    rules: QuarantineRules,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Creates an empty quarantine with rules other than the defaults.
    pub fn with_rules(rules: QuarantineRules) -> Self {
        Self { rules, suspects: BTreeMap::new() }
    }

    /// Returns whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspect requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether the request may be sent to a target now.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Timestamp) -> Verdict {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Verdict::Free, |suspect| suspect.verdict(&self.rules, now))
    }

    /// Records that a target ended while it ran the request.
    /// Returns whether the crash was not known yet.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: &Crash,
        now: Timestamp,
    ) -> bool {
        if !self.suspects.contains_key(&fingerprint) && !self.ensure_capacity(now) {
            return false;
        }
        self.suspects.entry(fingerprint).or_default().add_crash(crash, now)
    }

    /// Records that a target answered the request. Returns whether the answer cleared any crashes.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.add_answer(now))
    }

    /// Merges a peer's report. Returns whether it contained anything new.
    pub fn merge(&mut self, report: &SuspectReport, now: Timestamp) -> bool {
        if !self.suspects.contains_key(&report.fingerprint) && !self.ensure_capacity(now) {
            return false;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        let mut is_new = false;
        for crash in &report.crashes {
            is_new |= suspect.add_crash(crash, now);
        }
        if let Some(answered_ago_ms) = report.answered_ago_ms {
            let answered_at = now.minus(Duration::from_millis(answered_ago_ms));
            is_new |= suspect.add_answer(answered_at);
        }
        is_new
    }

    /// Returns the report about one suspect request to send to peers.
    pub fn report(&self, fingerprint: Fingerprint, now: Timestamp) -> Option<SuspectReport> {
        self.suspects.get(&fingerprint).map(|suspect| suspect.report(fingerprint, now))
    }

    /// Returns the reports of up to `count` suspect requests that sort
    /// after `after`, in a fixed order.
    pub fn page(
        &self,
        after: Option<Fingerprint>,
        count: usize,
        now: Timestamp,
    ) -> Vec<SuspectReport> {
        let is_after_cursor =
            |fingerprint: &Fingerprint| after.is_none_or(|after| *fingerprint > after);
        let suspects = self.suspects.iter().filter(|(fingerprint, _)| is_after_cursor(fingerprint));
        suspects.take(count).map(|(key, suspect)| suspect.report(*key, now)).collect()
    }

    /// Returns all suspect requests for the state dump,
    /// those with the longest remaining refusal first.
    pub fn dump(&self, now: Timestamp) -> Vec<SuspectDump> {
        let suspects = self.suspects.iter();
        let mut dump: Vec<_> =
            suspects.map(|(key, suspect)| suspect.dump(*key, &self.rules, now)).collect();
        dump.sort_by_key(|suspect| std::cmp::Reverse(suspect.refused_for_ms));
        dump
    }

    /// Drops suspect requests whose last crash and last answer are older than the retention time.
    pub fn forget_old(&mut self, now: Timestamp) {
        let rules = self.rules;
        self.suspects.retain(|_, suspect| !suspect.is_expired(&rules, now));
    }

    /// Ensures capacity for another suspect request. At the limit, the request with the fewest
    /// crashed targets is evicted, and among equals the one whose last crash is oldest. Requests
    /// that are currently refused are never evicted. Returns `false` if nothing could be evicted.
    fn ensure_capacity(&mut self, now: Timestamp) -> bool {
        if self.suspects.len() < SUSPECTS_MAX {
            return true;
        }
        self.forget_old(now);
        if self.suspects.len() < SUSPECTS_MAX {
            return true;
        }
        let is_refused =
            |suspect: &Suspect| matches!(suspect.verdict(&self.rules, now), Verdict::Refused(_));
        let evictable = self.suspects.iter().filter(|(_, suspect)| !is_refused(suspect));
        let evicted =
            evictable.min_by_key(|(_, suspect)| (suspect.strikes(), suspect.last_ended_at()));
        let Some(fingerprint) = evicted.map(|(fingerprint, _)| *fingerprint) else {
            return false;
        };
        self.suspects.remove(&fingerprint);
        true
    }
}
