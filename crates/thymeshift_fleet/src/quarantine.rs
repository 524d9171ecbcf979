//! Requests that crash the targets which run them, and are refused once that is known.
//!
//! A process sees only what arrives at itself, and each arrival has another id. So requests are
//! known by their fingerprints, crashes are told to the whole fleet, and each process decides by
//! all of them.
//!
//! A target that ends takes all requests with it that it runs, of which one at most is to blame.
//! What tells them apart is what happens next: an innocent request is answered by the target that
//! runs it then, which clears it. Only crashes *in a row* count, each run begun after the end of
//! the one before: an innocent request that many callers repeat may run on several targets of a
//! rack when that loses power, and all these runs count once.
//!
//! Crashes are a set, and of answers the latest counts, so that the order and number of messages
//! do not matter. Ages are sent, not moments.

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

/// Suspects kept at most, in number. Each takes a target's end to make, and about 3 KB at most.
const SUSPECTS_MAX: usize = 1_024;

/// Whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Free,
    /// A target ended while it ran, and it was not answered since.
    Suspected,
    /// Several did, one after the other: it is refused for as long.
    Refused(Duration),
}

/// All suspects known to this process.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    rules: QuarantineRules,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// A register with other rules than the usual ones.
    pub fn with_rules(rules: QuarantineRules) -> Self {
        Self { rules, suspects: BTreeMap::new() }
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a request may be sent now.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Timestamp) -> Verdict {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Verdict::Free, |suspect| suspect.verdict(&self.rules, now))
    }

    /// A target ended while it ran the request. Returns whether that is news.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: &Crash,
        now: Timestamp,
    ) -> bool {
        if !self.suspects.contains_key(&fingerprint) && !self.make_room(now) {
            return false;
        }
        self.suspects.entry(fingerprint).or_default().add_crash(crash, now)
    }

    /// A target answered the request. Returns whether that clears it of anything.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.add_answer(now))
    }

    /// Takes in what a peer tells. Returns whether any of it is news.
    pub fn merge(&mut self, told: &SuspectReport, now: Timestamp) -> bool {
        if !self.suspects.contains_key(&told.fingerprint) && !self.make_room(now) {
            return false;
        }
        let suspect = self.suspects.entry(told.fingerprint).or_default();
        let mut is_news = false;
        for crash in &told.crashes {
            is_news |= suspect.add_crash(crash, now);
        }
        if let Some(answered_ago_ms) = told.answered_ago_ms {
            let answered_at = now.minus(Duration::from_millis(answered_ago_ms));
            is_news |= suspect.add_answer(answered_at);
        }
        is_news
    }

    /// One suspect as it is told to peers.
    pub fn report(&self, fingerprint: Fingerprint, now: Timestamp) -> Option<SuspectReport> {
        self.suspects.get(&fingerprint).map(|suspect| suspect.report(fingerprint, now))
    }

    /// Up to `count` suspects behind `after`, in a fixed order, as they are told to peers.
    pub fn page(
        &self,
        after: Option<Fingerprint>,
        count: usize,
        now: Timestamp,
    ) -> Vec<SuspectReport> {
        let is_behind = |fingerprint: &Fingerprint| after.is_none_or(|after| *fingerprint > after);
        let suspects = self.suspects.iter().filter(|(fingerprint, _)| is_behind(fingerprint));
        suspects.take(count).map(|(key, suspect)| suspect.report(*key, now)).collect()
    }

    /// What operators are shown, the longest refused first.
    pub fn dump(&self, now: Timestamp) -> Vec<SuspectDump> {
        let suspects = self.suspects.iter();
        let mut dump: Vec<_> =
            suspects.map(|(key, suspect)| suspect.dump(*key, &self.rules, now)).collect();
        dump.sort_by_key(|suspect| std::cmp::Reverse(suspect.refused_for_ms));
        dump
    }

    /// Forgets suspects whose time is over.
    pub fn forget_old(&mut self, now: Timestamp) {
        let rules = self.rules;
        self.suspects.retain(|_, suspect| !suspect.is_over(&rules, now));
    }

    /// Makes room for another suspect. If there is none, the one that crashed fewest targets goes,
    /// among those the one that did so longest ago; a request that is refused never makes way.
    fn make_room(&mut self, now: Timestamp) -> bool {
        if self.suspects.len() < SUSPECTS_MAX {
            return true;
        }
        self.forget_old(now);
        if self.suspects.len() < SUSPECTS_MAX {
            return true;
        }
        let is_refused =
            |held: &Suspect| matches!(held.verdict(&self.rules, now), Verdict::Refused(_));
        let may_go = self.suspects.iter().filter(|(_, held)| !is_refused(held));
        let first = may_go.min_by_key(|(_, held)| (held.strikes(), held.last_ended_at()));
        let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else {
            return false;
        };
        self.suspects.remove(&fingerprint);
        true
    }
}
