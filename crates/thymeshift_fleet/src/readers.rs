//! Who reads the source of configuration and targets: a few processes at a time, without an
//! election.
//!
//! The contacts of all data halls, whom everybody knows, are ranked by a hash; the first
//! [`READERS`] of them read all the time. After each call a reader tells all others whether the
//! source answered. A process that has not heard of an answer for [`SILENCE_MAX`] reads itself,
//! those that come later in their hall a little later. A reader whose calls fail is passed over
//! for a while, so that the next rank takes its place.
//!
//! Nothing has to be agreed on: if two processes rank differently, a few more calls are
//! made. Failed calls are repeated after a pause that grows with failures and with the
//! fleet, so that an outage of the source costs the whole fleet a few calls a second.

use std::collections::BTreeMap;
use std::time::Duration;

use thymeshift_types::Capacity;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

use crate::Candidate;
use crate::ranked;

/// Processes that read all the time: one may be cut off without anybody noticing at once.
const READERS: usize = 2;
/// Time without news of an answer after which anybody reads.
const SILENCE_MAX: Duration = Duration::from_millis(1_200);
/// Added to that for each process that comes before in the data hall, up to
/// [`PLACE_DELAY_MAX`], so that not all read at once: the first tells the hall.
const PLACE_DELAY: Duration = Duration::from_millis(40);
const PLACE_DELAY_MAX: Duration = Duration::from_millis(1_600);
/// How long a reader whose call failed is passed over by others.
const PASSED_OVER: Duration = Duration::from_secs(3);
/// Pause after the first failed call; it doubles with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(150);
/// It is that much longer for each so many others whose calls have just failed too: then the
/// source is down for all, and any of them will notice its return.
const FAILED_OTHERS_PER_PAUSE: u32 = 8;
/// Longest pause, for each member: the fleet's failed calls a second stay the same.
const PAUSE_MAX_PER_MEMBER: Duration = Duration::from_millis(120);
/// Bounds of the longest pause.
const PAUSE_MAX_LEAST: Duration = Duration::from_millis(600);
const PAUSE_MAX_MOST: Duration = Duration::from_secs(10);
/// Doublings of the pause at most.
const DOUBLINGS_MAX: u32 = 7;
/// For so long after its start a process hardly knows who else is there, and does not take
/// itself for one of the first.
const YOUNG: Duration = Duration::from_millis(1_500);
/// Others whose calls have just failed from which on the source counts as down for all, and is
/// left to the contacts, who try on.
const FAILED_OTHERS_MIN: usize = 6;
/// Time without an answer to anybody from which on the source counts as having been away.
const OUTAGE_MIN: Duration = Duration::from_millis(2_200);
/// Time after its return within which the source lists again what it forgot meanwhile, if it
/// is still there.
const LISTED_AGAIN_WITHIN: Duration = Duration::from_millis(2_300);
/// Name of the task in the ranking.
const TASK: &str = "read the source";

/// What a process should do about the source now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAction {
    /// Read, and let the source hold the call until something changes.
    LongPoll,
    /// Read at once, without waiting for a change.
    Poll,
    /// Look again after this time.
    Wait(Duration),
}

/// A process's place among those of its data hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HallRank {
    /// How many come before it.
    pub rank: usize,
    /// Whether it is a contact, and so may read all the time.
    pub is_contact: bool,
}

/// What one process knows of the readers.
#[derive(Debug, Clone)]
pub struct Readers {
    own: VmName,
    capacity: Capacity,
    started_at: Timestamp,
    confirmed_at: Option<Timestamp>,
    /// When the source was back after an outage.
    returned_at: Option<Timestamp>,
    passed_over: BTreeMap<VmName, Timestamp>,
    /// When another process last told that its call failed.
    failure_seen_at: Option<Timestamp>,
    failures: u32,
    not_before: Timestamp,
}

impl Readers {
    /// The knowledge of a process that has just started.
    pub fn new(own: VmName, capacity: Capacity, now: Timestamp) -> Self {
        Self {
            own,
            capacity,
            started_at: now,
            confirmed_at: None,
            returned_at: None,
            passed_over: BTreeMap::new(),
            failure_seen_at: None,
            failures: 0,
            not_before: Timestamp::default(),
        }
    }

    /// What to do now; `contacts` are the other processes that may read all the time, `place`
    /// is this process's own.
    pub fn next_action(
        &self,
        contacts: &[Candidate<'_>],
        place: HallRank,
        now: Timestamp,
    ) -> ReadAction {
        if now < self.not_before {
            return ReadAction::Wait(now.until(self.not_before));
        }
        let is_young = !contacts.is_empty() && now.since(self.started_at) < YOUNG;
        let is_rested = self.failures == 0 && !is_young;
        if place.is_contact && is_rested && self.rank(contacts, now) < READERS {
            return ReadAction::LongPoll;
        }
        let before = u32::try_from(place.rank).unwrap_or(u32::MAX);
        let delay = PLACE_DELAY.saturating_mul(before).min(PLACE_DELAY_MAX);
        let mut last_seen_at = self.confirmed_at.unwrap_or(self.started_at);
        if !place.is_contact && self.passed_over.len() >= FAILED_OTHERS_MIN {
            // Somebody tries on, and would tell. Played in virtual time, 142 processes make at
            // most 20 calls a second in an outage of 10 s; where all of a hall try, 38.
            last_seen_at = last_seen_at.max(self.failure_seen_at.unwrap_or(last_seen_at));
        }
        let due = last_seen_at + SILENCE_MAX + delay;
        if now >= due { ReadAction::Poll } else { ReadAction::Wait(now.until(due)) }
    }

    fn rank(&self, alive: &[Candidate<'_>], now: Timestamp) -> usize {
        let is_eligible = |other: &Candidate<'_>| {
            self.passed_over.get(other.vm).is_none_or(|until| *until <= now)
        };
        let others = alive.iter().copied().filter(is_eligible);
        let own = Candidate { vm: &self.own, capacity: self.capacity };
        let order = ranked(TASK, others.chain([own]));
        order.iter().position(|vm| **vm == self.own).unwrap_or(0)
    }

    /// An own call was answered.
    pub fn succeeded(&mut self, now: Timestamp) {
        self.failures = 0;
        self.confirm(now);
    }

    fn confirm(&mut self, now: Timestamp) {
        let before = self.confirmed_at.unwrap_or(self.started_at);
        if now.since(before) >= OUTAGE_MIN {
            self.returned_at = Some(now);
        }
        self.confirmed_at = Some(now);
    }

    /// Whether the source has just returned from an outage, so that what it no longer lists
    /// may still be there.
    pub fn has_just_recovered(&self, now: Timestamp) -> bool {
        self.returned_at.is_some_and(|at| now.since(at) < LISTED_AGAIN_WITHIN)
    }

    /// This process was paused for `gap`: the silence of the source was its own.
    pub fn paused(&mut self, gap: Duration) {
        self.confirmed_at = self.confirmed_at.map(|at| at + gap);
    }

    /// An own call failed. `spread`, from 0 to 1, keeps processes apart.
    pub fn failed(&mut self, member_count: usize, spread: f64, now: Timestamp) {
        let doublings = self.failures.min(DOUBLINGS_MAX);
        let most = PAUSE_MAX_PER_MEMBER * u32::try_from(member_count).unwrap_or(u32::MAX);
        let most = most.clamp(PAUSE_MAX_LEAST, PAUSE_MAX_MOST);
        let others = u32::try_from(self.passed_over.len()).unwrap_or(u32::MAX);
        let first = PAUSE_MIN * (1 + others / FAILED_OTHERS_PER_PAUSE);
        let pause = (first * 2_u32.pow(doublings)).min(most);
        self.failures += 1;
        self.not_before = now + pause.mul_f64(0.5 + spread);
    }

    /// Another process told that its call was answered, or failed.
    pub fn record_report(&mut self, vm: &VmName, is_answered: bool, now: Timestamp) {
        if is_answered {
            self.confirm(now);
            self.passed_over.remove(vm);
        } else {
            self.passed_over.retain(|_, until| *until > now);
            self.passed_over.insert(vm.clone(), now + PASSED_OVER);
            self.failure_seen_at = Some(now);
        }
    }

    /// When the source was last known to answer anybody.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }
}
