//! Who else is there.
//!
//! Each process counts a heartbeat. Processes pass on the heartbeats they know of, a
//! bounded number in each message; a member whose heartbeat goes on is alive. A call
//! that got an answer is direct evidence and counts more than what others say.
//!
//! A process knows all members of its own data hall, and of every other hall a few
//! *contacts*: those that rank first there. So what it keeps and passes on grows with the
//! hall and the number of halls, not with the fleet. Two processes of one hall compare a
//! digest of it in each exchange; if they differ, all that one knows is told. (Members drawn at
//! random from the whole fleet, ten a message, left a process of a fleet of 473 with 79
//! known members, and 5.9 allocators for a group of targets where one is meant.)
//!
//! Nobody ever says that somebody else is dead. A paused, flapping or half cut-off
//! process may hold wrong opinions, but it cannot spread them. (SWIM's suspicion messages
//! find a failure sooner in a large fleet; here nothing waits for that: a peer that does
//! not answer is simply not asked, and leases decide about watchers.)
//!
//! The platform's list is a hint: it names addresses to try, and it ends nothing.

mod contacts;
mod gossip;
mod known;
mod visibility;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use thymeshift_types::DataHallName;
use thymeshift_types::Revision;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

use crate::Boot;
use crate::Liveness;
use crate::Member;
use crate::MemberDump;
use crate::Phase;
use crate::members::known::Known;
use crate::members::known::MEMBERS_PER_PATIENCE;

pub use gossip::GossipMember;
pub use gossip::GossipScope;
pub use gossip::ReceivedSummary;
pub use visibility::VisibleMembers;

/// Members kept at most.
const MEMBERS_MAX: usize = 4_096;
/// Messages of peers until which a process counts as new. Those it finds first may have started
/// together with it, and know as little.
const NEW_UNTIL_HEARD: u32 = 5;
/// Time after which a member that is gone is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// One in so many picks of peers goes beyond the own data hall.
const PICKS_PER_OTHER_HALL: u32 = 4;

/// All processes known to this one.
#[derive(Debug)]
pub struct Members {
    own: Member,
    known: BTreeMap<VmName, Known>,
    /// Addresses from settings and the platform's list, tried while nobody is known there.
    hints: Vec<SocketAddr>,
    changes: u64,
    /// Messages of peers so far.
    heard: u32,
}

impl Members {
    /// Members as seen by `own`.
    pub fn new(own: Member, hints: Vec<SocketAddr>) -> Self {
        Self { own, known: BTreeMap::new(), hints, changes: 0, heard: 0 }
    }

    fn patience(&self) -> u32 {
        u32::try_from(1 + self.known.len() / MEMBERS_PER_PATIENCE).unwrap_or(u32::MAX)
    }

    /// This process's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Counts a heartbeat and says what holds now.
    pub fn advance_heartbeat(&mut self, phase: Phase, revision: Option<Revision>) {
        self.own.heartbeat += 1;
        self.own.phase = phase;
        self.own.revision = revision;
    }

    /// Replaces the addresses to try.
    pub fn set_hints(&mut self, hints: Vec<SocketAddr>) {
        self.hints = hints;
    }

    /// Takes in what a peer passed on.
    pub fn merge(&mut self, told: &GossipMember, now: Timestamp) {
        self.learn_from(&told.member, Duration::from_millis(told.silent_ms.into()), now);
    }

    /// `silent` is what the teller knows; one that was unknown here is not younger for that.
    fn learn_from(&mut self, member: &Member, silent: Duration, now: Timestamp) {
        if member.vm == self.own.vm {
            return;
        }
        if let Some(known) = self.known.get_mut(&member.vm) {
            if member.is_newer_than(&known.member) {
                self.changes += u64::from(known.member.has_another_part(member));
                known.member = member.clone();
                known.last_seen_at = now;
                known.unanswered = 0;
            }
        } else if self.known.len() < MEMBERS_MAX && self.makes_room(member, now) {
            self.known.insert(member.vm.clone(), Known::new(member, now.minus(silent)));
            self.changes += 1;
        }
    }

    /// A peer answered: direct evidence.
    pub fn record_answer(&mut self, member: &Member, now: Timestamp) {
        self.heard = self.heard.saturating_add(1);
        self.record_announcement(member, now);
        if let Some(known) = self.known.get_mut(&member.vm) {
            known.last_seen_at = now;
            known.unanswered = 0;
        }
    }

    /// A member said something of itself.
    pub fn record_announcement(&mut self, member: &Member, now: Timestamp) {
        self.learn_from(member, Duration::ZERO, now);
    }

    /// A process sent something by itself: direct evidence, if it is the start known here.
    pub fn record_message(&mut self, vm: &VmName, boot: Boot, now: Timestamp) {
        if let Some(known) = self.known.get_mut(vm).filter(|known| known.member.boot == boot) {
            known.last_seen_at = now;
            known.unanswered = 0;
        }
    }

    /// A peer did not answer.
    pub fn record_no_answer(&mut self, address: SocketAddr) {
        for known in self.known.values_mut() {
            if known.member.peer_address == address {
                known.unanswered += 1;
            }
        }
    }

    /// Counts up whenever another process appears, starts anew or changes its phase: what was
    /// worked out from the members before is old then.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Whether this process has hardly heard of others since its start.
    pub fn is_new(&self) -> bool {
        self.heard < NEW_UNTIL_HEARD
    }

    fn is_near(&self, known: &Known) -> bool {
        known.member.data_hall == self.own.data_hall
    }

    /// Up to `count` addresses to talk to next. Suspects are tried now and then; an
    /// address from settings or the platform's list that belongs to no known member is
    /// tried like a member. In a large fleet most talk stays within the data hall: the ways
    /// between halls are longer and may cost.
    pub fn pick_peers(&self, count: usize, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let patience = self.patience();
        let is_large = self.known.len() >= MEMBERS_PER_PATIENCE;
        let is_local = !rng.random_ratio(1, PICKS_PER_OTHER_HALL);
        let is_wanted = move |known: &&Known| !is_large || self.is_near(known) == is_local;
        let members = self.known.values().filter(|known| match known.liveness(patience, now) {
            Liveness::Alive => true,
            Liveness::Suspect => known.unanswered < 3 || rng.random_ratio(1, 8),
            Liveness::Gone => false,
        });
        let members: Vec<SocketAddr> =
            members.filter(is_wanted).map(|known| known.member.peer_address).collect();
        let is_unknown = |hint: &&SocketAddr| {
            let is_known = self.known.values().any(|known| known.member.peer_address == **hint);
            !is_known && **hint != self.own.peer_address
        };
        let hints = self.hints.iter().filter(is_unknown).copied();
        members.into_iter().chain(hints).choose_multiple(rng, count)
    }

    /// Up to `count` addresses of members that hold documents, for a process that has none:
    /// those of the own data hall, if there are any.
    pub fn pick_document_holders(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let informed = || self.known.values().filter(|known| known.member.revision.is_some());
        let mut drawn = informed().filter(|known| self.is_near(known)).choose_multiple(rng, count);
        if drawn.is_empty() {
            drawn = informed().choose_multiple(rng, count);
        }
        drawn.into_iter().map(|known| known.member.peer_address).collect()
    }

    /// The other processes that are believed to be there and serve.
    pub fn serving(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let patience = self.patience();
        let serving = self.known.values().filter(move |known| known.is_serving(patience, now));
        serving.map(|known| &known.member)
    }

    /// The processes that serve in `hall`, this one included: all of the own data hall, and
    /// contacts of another.
    pub fn serving_in(&self, hall: &DataHallName, now: Timestamp) -> Vec<&Member> {
        let own = (*hall == self.own.data_hall).then_some(&self.own);
        let serving = self.serving(now).filter(|member| member.data_hall == *hall);
        serving.chain(own).collect()
    }

    /// The other processes of the own data hall that are not known to be gone: news is worth
    /// telling them, also those that have not answered for a moment.
    pub fn hall_peers(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let patience = self.patience();
        let is_present = move |known: &&Known| known.liveness(patience, now) != Liveness::Gone;
        let near = self.known.values().filter(|known| self.is_near(known));
        near.filter(is_present).map(|known| &known.member)
    }

    /// The member on `vm`.
    pub fn find(&self, vm: &VmName) -> Option<&Member> {
        self.known.get(vm).map(|known| &known.member)
    }

    /// Number of processes believed to be there, this one included.
    pub fn count_alive(&self, now: Timestamp) -> usize {
        let patience = self.patience();
        let alive = |known: &&Known| known.liveness(patience, now) == Liveness::Alive;
        1 + self.known.values().filter(alive).count()
    }

    /// Whether no other process is believed to be there.
    pub fn is_alone(&self, now: Timestamp) -> bool {
        self.count_alive(now) == 1
    }

    /// Forgets members that have been silent for very long.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.known.retain(|_, known| now.since(known.last_seen_at) < FORGET_AFTER);
    }

    /// This process was paused for `gap`: the silence of others was its own.
    pub fn paused(&mut self, gap: Duration) {
        for known in self.known.values_mut() {
            known.last_seen_at = known.last_seen_at + gap;
        }
    }

    /// All known members, for people and programs to read.
    pub fn dump(&self, now: Timestamp) -> Vec<MemberDump> {
        let patience = self.patience();
        let dump = |known: &Known| MemberDump {
            member: known.member.clone(),
            liveness: known.liveness(patience, now),
            silent_ms: now.since(known.last_seen_at).as_millis() as u64,
        };
        self.known.values().map(dump).collect()
    }
}
