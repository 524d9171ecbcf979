//! Membership of the fleet as seen by one process.
//!
//! Each process increments a heartbeat counter. Processes gossip the heartbeats that they know of,
//! a bounded number per message, and a member whose heartbeat advances is alive.
//! An answered call is direct evidence and counts more than gossip.
//!
//! A process knows all members of its own data hall, and of every other hall a few *contacts*:
//! the members that rank first in that hall. The state and the messages therefore
//! grow with the size of a hall and the number of halls, not with the fleet.
//! Two processes of one hall compare digests of the hall in each exchange; if the digests differ,
//! the answer lists all members known to the answering process. Gossiping ten random members of
//! the whole fleet per message is not enough: in a fleet of 473 it left a process with 79 known
//! members, and a group of targets with 5.9 allocators on average instead of one.
//!
//! No process ever reports another one as dead. A paused, flapping or partly unreachable process
//! may hold wrong opinions about others, but cannot spread them. SWIM's suspicion messages
//! would detect a failure sooner in a large fleet, but nothing here waits for failure detection:
//! a peer that does not answer is skipped, and leases decide about watchers.
//!
//! The platform's list of VMs is only a hint: it provides addresses to try,
//! and a VM that is missing from the list is not removed from the members.

mod contacts;
mod gossip;
mod known;
mod settling;
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
use crate::members::known::KnownMember;
use crate::members::known::MEMBERS_PER_TIMEOUT_FACTOR;

pub use gossip::GossipMember;
pub use gossip::GossipScope;
pub use gossip::ReceivedSummary;
pub use settling::FleetBounds;
pub use visibility::VisibleMembers;

/// Maximum number of other processes that a process remembers.
const MEMBERS_MAX: usize = 4_096;
/// Peer answers that a process needs before it stops counting as new.
/// The first peers it finds may have started at the same time and know equally little.
const NEW_UNTIL_ANSWERS: u32 = 5;
/// Silence after which a gone member is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// One in this many selections of peers picks from other data halls instead of the own hall.
const PICKS_PER_OTHER_HALL: u32 = 4;

/// All processes known to this one, with their last self-description and last sign of life.
#[derive(Debug)]
pub struct Members {
    own: Member,
    known: BTreeMap<VmName, KnownMember>,
    /// Addresses from the settings and the platform's list, tried while no known member uses them.
    hints: Vec<SocketAddr>,
    changes: u64,
    /// Peer answers received since this process started.
    answer_count: u32,
    started_at: Timestamp,
    /// Whether a settled process has answered with the members that it knows.
    has_settled_view: bool,
}

impl Members {
    /// Creates the membership of the process `own`, which starts now, with `hints` as the first
    /// addresses to try.
    pub fn new(own: Member, hints: Vec<SocketAddr>, now: Timestamp) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            hints,
            changes: 0,
            answer_count: 0,
            started_at: now,
            has_settled_view: false,
        }
    }

    fn timeout_factor(&self) -> u32 {
        u32::try_from(1 + self.known.len() / MEMBERS_PER_TIMEOUT_FACTOR).unwrap_or(u32::MAX)
    }

    /// Returns this process's own self-description.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Increments this process's heartbeat and updates the reported
    /// phase and configuration revision.
    pub fn advance_heartbeat(&mut self, phase: Phase, revision: Option<Revision>) {
        self.own.heartbeat += 1;
        self.own.phase = phase;
        self.own.revision = revision;
    }

    /// Replaces the addresses to try while no known member uses them.
    pub fn set_hints(&mut self, hints: Vec<SocketAddr>) {
        self.hints = hints;
    }

    /// Merges a member that a peer gossiped.
    pub fn merge(&mut self, gossiped: &GossipMember, now: Timestamp) {
        self.merge_member(&gossiped.member, Duration::from_millis(gossiped.silent_ms.into()), now);
    }

    /// Merges a self-description that is `silent` old. A member that was unknown here starts with
    /// that age, so that gossip about a dead member does not make it look alive.
    fn merge_member(&mut self, member: &Member, silent: Duration, now: Timestamp) {
        if member.vm == self.own.vm {
            if member.boot > self.own.boot {
                self.own.boot = member.boot.next();
                self.changes += 1;
            }
            return;
        }
        if let Some(known) = self.known.get_mut(&member.vm) {
            if member.is_newer_than(&known.member) {
                self.changes += u64::from(known.member.differs_for_ranking(member));
                known.member = member.clone();
                known.last_seen_at = now;
                known.unanswered_calls = 0;
            }
        } else if self.known.len() < MEMBERS_MAX && self.ensure_capacity_for(member, now) {
            self.known.insert(member.vm.clone(), KnownMember::new(member, now.minus(silent)));
            self.changes += 1;
        }
    }

    /// Records that a peer answered a call, which is direct evidence that the peer is alive.
    pub fn record_answer(&mut self, member: &Member, now: Timestamp) {
        self.answer_count = self.answer_count.saturating_add(1);
        self.record_announcement(member, now);
        if let Some(known) = self.known.get_mut(&member.vm) {
            known.last_seen_at = now;
            known.unanswered_calls = 0;
        }
    }

    /// Returns the member of the same VM as `sender` that is known with a later boot. `sender` runs,
    /// so the other one is from before its start, and the wall clock has stepped back in between.
    pub fn later_boot_of(&self, sender: &Member, now: Timestamp) -> Option<GossipMember> {
        let known = self.known.get(&sender.vm)?;
        (known.member.boot > sender.boot).then(|| known.to_gossip(now))
    }

    /// Records a self-description that was received directly from the member.
    pub fn record_announcement(&mut self, member: &Member, now: Timestamp) {
        self.merge_member(member, Duration::ZERO, now);
    }

    /// Records a message from a process, which is direct evidence that the process is alive
    /// if `boot` is the one known here.
    pub fn record_message(&mut self, vm: &VmName, boot: Boot, now: Timestamp) {
        if let Some(known) = self.known.get_mut(vm).filter(|known| known.member.boot == boot) {
            known.last_seen_at = now;
            known.unanswered_calls = 0;
        }
    }

    /// Records that the peer at `address` did not answer a call.
    pub fn record_no_answer(&mut self, address: SocketAddr) {
        for known in self.known.values_mut() {
            if known.member.peer_address == address {
                known.unanswered_calls += 1;
            }
        }
    }

    /// Returns a counter that increases whenever another process appears, restarts,
    /// or changes its phase or datagram address, and when an answer settles this process.
    /// Results derived from an earlier state of the members are outdated when the counter has
    /// changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether this process has received only a few peer answers since its start.
    pub fn is_new(&self) -> bool {
        self.answer_count < NEW_UNTIL_ANSWERS
    }

    fn is_in_own_hall(&self, known: &KnownMember) -> bool {
        known.member.data_hall == self.own.data_hall
    }

    /// Picks up to `count` addresses for the next exchanges. Suspect members are tried
    /// occasionally, and hint addresses that belong to no known member are tried like members.
    /// In a large fleet most exchanges stay within the own data hall,
    /// because links between halls are slower and may cost money.
    pub fn pick_peers(&self, count: usize, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let timeout_factor = self.timeout_factor();
        let is_large = self.known.len() >= MEMBERS_PER_TIMEOUT_FACTOR;
        let is_own_hall_pick = !rng.random_ratio(1, PICKS_PER_OTHER_HALL);
        let is_wanted =
            move |known: &&KnownMember| !is_large || self.is_in_own_hall(known) == is_own_hall_pick;
        let members =
            self.known.values().filter(|known| match known.liveness(timeout_factor, now) {
                Liveness::Alive => true,
                Liveness::Suspect => known.unanswered_calls < 3 || rng.random_ratio(1, 8),
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

    /// Picks up to `count` addresses of members that hold documents, for a process that has none.
    /// Members of the own data hall are preferred.
    pub fn pick_document_holders(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let informed = || self.known.values().filter(|known| known.member.revision.is_some());
        let mut picked =
            informed().filter(|known| self.is_in_own_hall(known)).choose_multiple(rng, count);
        if picked.is_empty() {
            picked = informed().choose_multiple(rng, count);
        }
        picked.into_iter().map(|known| known.member.peer_address).collect()
    }

    /// Returns the other processes that are alive and serving.
    pub fn serving(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let timeout_factor = self.timeout_factor();
        let serving =
            self.known.values().filter(move |known| known.is_serving(timeout_factor, now));
        serving.map(|known| &known.member)
    }

    /// Returns the serving processes in `hall`, including this one:
    /// all members of the own data hall, or the known contacts of another hall.
    pub fn serving_in(&self, hall: &DataHallName, now: Timestamp) -> Vec<&Member> {
        let own = (*hall == self.own.data_hall).then_some(&self.own);
        let serving = self.serving(now).filter(|member| member.data_hall == *hall);
        serving.chain(own).collect()
    }

    /// Returns the other processes of the own data hall that are not gone. Announcements also go
    /// to suspect members, because a suspect may only have missed a few messages.
    pub fn hall_peers(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let timeout_factor = self.timeout_factor();
        let is_present =
            move |known: &&KnownMember| known.liveness(timeout_factor, now) != Liveness::Gone;
        let in_own_hall = self.known.values().filter(|known| self.is_in_own_hall(known));
        in_own_hall.filter(is_present).map(|known| &known.member)
    }

    /// Returns the last known self-description of the process on `vm`.
    pub fn find(&self, vm: &VmName) -> Option<&Member> {
        self.known.get(vm).map(|known| &known.member)
    }

    /// Returns the number of processes that are alive, including this one.
    pub fn count_alive(&self, now: Timestamp) -> usize {
        let timeout_factor = self.timeout_factor();
        let alive = |known: &&KnownMember| known.liveness(timeout_factor, now) == Liveness::Alive;
        1 + self.known.values().filter(alive).count()
    }

    /// Returns whether no other process is alive.
    pub fn is_alone(&self, now: Timestamp) -> bool {
        self.count_alive(now) == 1
    }

    /// Forgets members that have been silent for at least `FORGET_AFTER`.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.known.retain(|_, known| now.since(known.last_seen_at) < FORGET_AFTER);
    }

    /// Shifts all observations by `gap`, the time that this process was paused,
    /// so that its own pause does not count as silence of the other members.
    pub fn paused(&mut self, gap: Duration) {
        for known in self.known.values_mut() {
            known.last_seen_at = known.last_seen_at + gap;
        }
    }

    /// Returns all known members with their liveness, for the state dump.
    pub fn dump(&self, now: Timestamp) -> Vec<MemberDump> {
        let timeout_factor = self.timeout_factor();
        let dump = |known: &KnownMember| MemberDump {
            member: known.member.clone(),
            liveness: known.liveness(timeout_factor, now),
            silent_ms: now.since(known.last_seen_at).as_millis() as u64,
        };
        self.known.values().map(dump).collect()
    }
}
