//! Decides which processes read the source of configuration and targets.
//! A few processes read at a time, without an election.
//!
//! The contacts of all data halls, which every process knows,
//! are ranked by a hash, and the first [`READER_COUNT`] of them read continuously.
//! After each call a reader reports to all other processes whether the source answered.
//! A process that has received no report of an answer for [`SILENCE_MAX`] reads by itself;
//! a process with a higher rank in its hall waits a little longer. A reader whose call failed is
//! excluded from the ranking for a while, so that the next process takes over.
//!
//! That the source answers another process does not mean that this one has what it answered. A report
//! counts as an answer only if the reader has no older documents than this process, and a process that
//! has known of a newer document for [`CONFIGURATION_BEHIND_MAX`] or [`TARGETS_BEHIND_MAX`] reads by
//! itself, whatever kept the document from arriving.
//!
//! The ranking needs no agreement: two processes that rank differently
//! cause only a few extra calls. Failed calls are retried after a
//! backoff that grows with the failures and with the size of the fleet,
//! so that the whole fleet makes only a few calls per second during an outage of the source.

use std::collections::BTreeMap;
use std::time::Duration;

use thymeshift_types::Capacity;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

use crate::Candidate;
use crate::ranked;

/// Processes that read continuously: two, so that an unreachable reader does not delay changes.
const READER_COUNT: usize = 2;
/// Time without a report of an answer after which any process reads the source.
const SILENCE_MAX: Duration = Duration::from_millis(1_200);
/// Additional silence per rank in the data hall, up to [`RANK_DELAY_MAX`],
/// before a process reads the source by itself. The first process to read informs the others,
/// so that not all of them read.
const DELAY_PER_RANK: Duration = Duration::from_millis(40);
const RANK_DELAY_MAX: Duration = Duration::from_millis(1_600);
/// Time that a reader whose call failed is excluded from the ranking by other processes.
const READER_EXCLUSION: Duration = Duration::from_secs(3);
/// Backoff after the first failed call; it doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(150);
/// Number of other processes with recent failures that lengthens the backoff by
/// another [`BACKOFF_MIN`]. When many calls fail, the source is down for all processes,
/// and any of them notices its return.
const FAILED_OTHERS_PER_BACKOFF_STEP: u32 = 8;
/// Longest backoff per known member, so that the fleet's rate of failed calls
/// does not depend on its size.
const BACKOFF_MAX_PER_MEMBER: Duration = Duration::from_millis(120);
/// Limits of the longest backoff, whatever the number of members.
const BACKOFF_MAX_LOWER_BOUND: Duration = Duration::from_millis(600);
const BACKOFF_MAX_UPPER_BOUND: Duration = Duration::from_secs(10);
/// Maximum number of doublings of the backoff.
const DOUBLINGS_MAX: u32 = 7;
/// Time after its start in which a process knows too few members to
/// consider itself one of the readers.
const STARTUP_GRACE: Duration = Duration::from_millis(1_500);
/// Number of other processes with recent failures from which on the source counts as down for all.
/// Only the contacts then keep calling the source.
const FAILED_OTHERS_MIN: usize = 6;
/// Time without an answer to any process from which on the source counts as having had an outage.
const OUTAGE_MIN: Duration = Duration::from_millis(2_200);
/// Time after an outage within which the source lists again the targets that
/// it forgot, if they still run.
const LISTED_AGAIN_WITHIN: Duration = Duration::from_millis(2_300);
/// Time for which a newer configuration may be known before a process reads the source itself. Longer
/// than any wait for a parent in the relay tree, so that a process first asks the one that announced it.
const CONFIGURATION_BEHIND_MAX: Duration = Duration::from_millis(600);
/// The same for a list of targets, which each process on its way may hold back for a while.
const TARGETS_BEHIND_MAX: Duration = Duration::from_millis(1_200);
/// Additional time by the rank in the data hall, so that a hall whose processes are all behind does not
/// call the source at the same moment. Each rank has one of [`CATCH_UP_SLOTS`] moments.
const CATCH_UP_SLOT: Duration = Duration::from_millis(10);
const CATCH_UP_SLOTS: usize = 60;
/// Time between two reads of a process that stays behind although the source has answered it: others
/// announce what the source does not have.
const CATCH_UP_INTERVAL_IN_VAIN: Duration = Duration::from_secs(5);
/// Task name that ranks the readers.
const RANKING_TASK: &str = "read the source";

/// Next step of a process regarding the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAction {
    /// Call the source, and let it hold the call until a document changes.
    LongPoll,
    /// Call the source without waiting for a change.
    Poll,
    /// The same, because others have newer documents than this process.
    CatchUp,
    /// Wait this long before deciding again.
    Wait(Duration),
}

/// A process's rank among the processes of its data hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HallRank {
    /// Number of processes of the data hall that rank before this one.
    pub rank: usize,
    /// Whether the process is a contact of its hall, which makes it eligible as a reader.
    pub is_contact: bool,
}

/// Times from which newer documents than those in force have been known to a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Behind {
    /// Since when a newer configuration has been known; `None` if the process has the newest one.
    pub configuration_since: Option<Timestamp>,
    /// The same for the list of targets.
    pub targets_since: Option<Timestamp>,
}

impl Behind {
    /// Returns when a process should read the source itself, before the delay by its rank.
    fn read_at(self) -> Option<Timestamp> {
        let configuration = self.configuration_since.map(|since| since + CONFIGURATION_BEHIND_MAX);
        let targets = self.targets_since.map(|since| since + TARGETS_BEHIND_MAX);
        configuration.into_iter().chain(targets).min()
    }

    fn since(self) -> Option<Timestamp> {
        self.configuration_since.into_iter().chain(self.targets_since).min()
    }
}

/// What a reader reports of its last call to the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceReport {
    /// The source answered, and the reader has no older documents than this process.
    Answered,
    /// The source answered, but the reader has older documents than this process.
    Outdated,
    /// The source did not answer.
    Failed,
}

/// State that one process keeps to decide when to read the source.
#[derive(Debug, Clone)]
pub struct Readers {
    own: VmName,
    capacity: Capacity,
    started_at: Timestamp,
    /// Time at which the source last answered any process.
    answered_at: Option<Timestamp>,
    /// Time at which the source was last known to have no newer documents than this process.
    confirmed_at: Option<Timestamp>,
    /// Time at which this process last read the source itself.
    read_at: Option<Timestamp>,
    /// Time at which the source answered again after its last outage.
    returned_at: Option<Timestamp>,
    /// Time at which the source was seen to be restored from a copy.
    restored_at: Option<Timestamp>,
    excluded_until: BTreeMap<VmName, Timestamp>,
    /// Time of the last report that another process's call failed.
    failure_seen_at: Option<Timestamp>,
    failures: u32,
    not_before: Timestamp,
}

impl Readers {
    /// Creates the state of a process that has just started.
    pub fn new(own: VmName, capacity: Capacity, now: Timestamp) -> Self {
        Self {
            own,
            capacity,
            started_at: now,
            answered_at: None,
            confirmed_at: None,
            read_at: None,
            returned_at: None,
            restored_at: None,
            excluded_until: BTreeMap::new(),
            failure_seen_at: None,
            failures: 0,
            not_before: Timestamp::default(),
        }
    }

    /// Returns the next step. `contacts` are the other processes that are eligible as readers,
    /// and `hall_rank` is this process's own rank.
    pub fn next_action(
        &self,
        contacts: &[Candidate<'_>],
        hall_rank: HallRank,
        behind: Behind,
        now: Timestamp,
    ) -> ReadAction {
        if now < self.not_before {
            return ReadAction::Wait(now.until(self.not_before));
        }
        let catch_up_at = self.catch_up_at(behind, hall_rank);
        if catch_up_at.is_some_and(|catch_up_at| now >= catch_up_at) {
            return ReadAction::CatchUp;
        }
        let is_starting = !contacts.is_empty() && now.since(self.started_at) < STARTUP_GRACE;
        let is_healthy = self.failures == 0 && !is_starting;
        if hall_rank.is_contact && is_healthy && self.rank(contacts, now) < READER_COUNT {
            return ReadAction::LongPoll;
        }
        let rank = u32::try_from(hall_rank.rank).unwrap_or(u32::MAX);
        let delay = DELAY_PER_RANK.saturating_mul(rank).min(RANK_DELAY_MAX);
        let mut last_seen_at = self.confirmed_at.unwrap_or(self.started_at);
        if !hall_rank.is_contact && self.excluded_until.len() >= FAILED_OTHERS_MIN {
            // The contacts keep calling the source and would report an answer. In simulated time,
            // a fleet of 142 processes makes at most 20 calls per second during an outage of 10 s;
            // with all processes of a hall calling the source it makes 38.
            last_seen_at = last_seen_at.max(self.failure_seen_at.unwrap_or(last_seen_at));
        }
        let read_at = last_seen_at + SILENCE_MAX + delay;
        if now >= read_at {
            return ReadAction::Poll;
        }
        let next_at = catch_up_at.map_or(read_at, |catch_up_at| catch_up_at.min(read_at));
        ReadAction::Wait(now.until(next_at))
    }

    /// Returns when this process reads the source because others have newer documents.
    pub fn catch_up_at(&self, behind: Behind, hall_rank: HallRank) -> Option<Timestamp> {
        let catch_up_at =
            behind.read_at()? + CATCH_UP_SLOT * (hall_rank.rank % CATCH_UP_SLOTS) as u32;
        let read_in_vain_at = self.read_at.filter(|read_at| Some(*read_at) > behind.since());
        let again_at = read_in_vain_at.map(|read_at| read_at + CATCH_UP_INTERVAL_IN_VAIN);
        Some(again_at.map_or(catch_up_at, |again_at| again_at.max(catch_up_at)))
    }

    fn rank(&self, contacts: &[Candidate<'_>], now: Timestamp) -> usize {
        let is_eligible = |other: &Candidate<'_>| {
            self.excluded_until.get(other.vm).is_none_or(|until| *until <= now)
        };
        let others = contacts.iter().copied().filter(is_eligible);
        let own = Candidate { vm: &self.own, capacity: self.capacity };
        let order = ranked(RANKING_TASK, others.chain([own]));
        order.iter().position(|vm| **vm == self.own).unwrap_or(0)
    }

    /// Records that the source returned its documents to this process.
    pub fn succeeded(&mut self, now: Timestamp) {
        self.answered(now);
        self.confirmed_at = Some(now);
        self.read_at = Some(now);
    }

    /// Records that the source answered this process without its documents: everything must be read
    /// again.
    pub fn answered(&mut self, now: Timestamp) {
        self.failures = 0;
        self.record_answer(now);
    }

    fn record_answer(&mut self, now: Timestamp) {
        let last_answered_at = self.answered_at.unwrap_or(self.started_at);
        if now.since(last_answered_at) >= OUTAGE_MIN {
            self.returned_at = Some(now);
        }
        self.answered_at = Some(now);
    }

    /// Returns whether the source has just recovered from an outage,
    /// so that targets missing from its list may still be running.
    pub fn has_just_recovered(&self, now: Timestamp) -> bool {
        self.returned_at.is_some_and(|at| now.since(at) < LISTED_AGAIN_WITHIN)
    }

    /// Records that the source has been restored from a copy, which may lack entries of targets
    /// that still run, like a source that has recovered from an outage.
    pub fn restored(&mut self, now: Timestamp) {
        self.returned_at = Some(now);
        self.restored_at = Some(now);
    }

    /// Returns whether the source has just been restored from a copy.
    pub fn has_just_been_restored(&self, now: Timestamp) -> bool {
        self.restored_at.is_some_and(|at| now.since(at) < LISTED_AGAIN_WITHIN)
    }

    /// Shifts the last answer by `gap`, the time that this process was paused,
    /// so that its own pause does not count as silence of the source.
    pub fn paused(&mut self, gap: Duration) {
        self.answered_at = self.answered_at.map(|at| at + gap);
        self.confirmed_at = self.confirmed_at.map(|at| at + gap);
    }

    /// Records that this process's own call failed. `jitter`, from 0 to 1,
    /// spreads the retries of different processes.
    pub fn failed(&mut self, member_count: usize, jitter: f64, now: Timestamp) {
        let doublings = self.failures.min(DOUBLINGS_MAX);
        let backoff_max = BACKOFF_MAX_PER_MEMBER * u32::try_from(member_count).unwrap_or(u32::MAX);
        let backoff_max = backoff_max.clamp(BACKOFF_MAX_LOWER_BOUND, BACKOFF_MAX_UPPER_BOUND);
        let others = u32::try_from(self.excluded_until.len()).unwrap_or(u32::MAX);
        let backoff_base = BACKOFF_MIN * (1 + others / FAILED_OTHERS_PER_BACKOFF_STEP);
        let backoff = (backoff_base * 2_u32.pow(doublings)).min(backoff_max);
        self.failures += 1;
        self.not_before = now + backoff.mul_f64(0.5 + jitter);
    }

    /// Records another process's report of its call.
    pub fn record_report(&mut self, vm: &VmName, report: SourceReport, now: Timestamp) {
        if report == SourceReport::Failed {
            self.excluded_until.retain(|_, until| *until > now);
            self.excluded_until.insert(vm.clone(), now + READER_EXCLUSION);
            self.failure_seen_at = Some(now);
            return;
        }
        self.record_answer(now);
        self.excluded_until.remove(vm);
        if report == SourceReport::Answered {
            self.confirmed_at = Some(now);
        }
    }
}
