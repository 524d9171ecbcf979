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

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::DataHallName;
use thymeshift_types::Revision;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

use crate::Boot;
use crate::Liveness;
use crate::Member;
use crate::MemberDump;
use crate::Phase;
use crate::digest::FleetDigest;
use crate::digest::MembersDigest;
use crate::rank::contact_score;

/// Members kept at most.
const MEMBERS_MAX: usize = 4_096;
/// Members of one data hall that others know: enough for some of them to be dead, and all of a
/// small hall.
const CONTACTS_PER_HALL: usize = 8;
/// Contacts of a hall that are told of what concerns the whole hall, and pass it on there.
const HUBS_PER_HALL: usize = 2;
/// Other members passed on in one regular message. With two exchanges a second it keeps the
/// members of a small fleet fresh; a larger hall is heard of more slowly, and the message
/// stays as long as it is.
const PASSED_ON_MAX: usize = 5;
/// Further ones for each so many members known, and the most.
const MEMBERS_PER_PASSED_ON: usize = 16;
const PASSED_ON_MOST: usize = 10;
/// Messages of peers until which a process counts as new. Those it finds first may have started
/// together with it, and know as little.
const NEW_UNTIL_HEARD: u32 = 5;
/// Time without a new heartbeat after which a member is suspected, while up to
/// [`MEMBERS_PER_PATIENCE`] are known. Heartbeats take longer among more of them, and the time
/// grows with it: whoever needs a member that is dead finds that out by asking.
const SUSPECT_AFTER: Duration = Duration::from_secs(5);
const MEMBERS_PER_PATIENCE: usize = 24;
/// Time without a new heartbeat after which a member is taken as gone, grown alike.
const GONE_AFTER: Duration = Duration::from_secs(20);
/// Time after which a member that is gone is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// One in so many picks of peers goes beyond the own data hall.
const PICKS_PER_OTHER_HALL: u32 = 4;

/// How much a message says of members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breadth<'a> {
    /// The sender and a few others.
    Regular,
    /// The sender, the contacts of all data halls, and all known members of this one, if one is
    /// named: the receiver is new, or knows others than the sender.
    Wide(Option<&'a DataHallName>),
    /// The sender alone: the message is about something that changed.
    News,
}

/// What a peer's message shows of the sender.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// The sender.
    pub sender: &'a Member,
    /// The fleet as it knows it.
    pub digest: FleetDigest,
    /// Whether it has hardly heard of others since its start.
    pub is_new: bool,
    /// Whether the message tells of others, too.
    pub is_regular: bool,
}

/// A member as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// What it said of itself.
    pub member: Member,
    /// How long ago that was news to the sender, in milliseconds.
    pub silent_ms: u32,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    heard_at: Timestamp,
    unanswered: u32,
    /// Place among the contacts of its hall; the smaller, the earlier.
    contact_score: f64,
}

impl Known {
    fn new(member: &Member, now: Timestamp) -> Self {
        let contact_score = contact_score(member.contender());
        Self { member: member.clone(), heard_at: now, unanswered: 0, contact_score }
    }

    /// `patience` is how many times as long as in a small fleet heartbeats take.
    fn liveness(&self, patience: u32, now: Timestamp) -> Liveness {
        let silent = now.since(self.heard_at);
        let has_stopped = self.member.phase == Phase::Stopping && silent > SUSPECT_AFTER;
        if silent > GONE_AFTER * patience || has_stopped {
            Liveness::Gone
        } else if silent > SUSPECT_AFTER * patience || self.unanswered > 0 {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }

    fn is_serving(&self, patience: u32, now: Timestamp) -> bool {
        self.member.phase == Phase::Serving && self.liveness(patience, now) == Liveness::Alive
    }
}

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
    pub fn beat(&mut self, phase: Phase, revision: Option<Revision>) {
        self.own.heartbeat += 1;
        self.own.phase = phase;
        self.own.revision = revision;
    }

    /// Replaces the addresses to try.
    pub fn set_hints(&mut self, hints: Vec<SocketAddr>) {
        self.hints = hints;
    }

    /// Takes in what a peer passed on.
    pub fn learn(&mut self, told: &Told, now: Timestamp) {
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
                known.heard_at = now;
                known.unanswered = 0;
            }
        } else if self.known.len() < MEMBERS_MAX && self.makes_room(member, now) {
            self.known.insert(member.vm.clone(), Known::new(member, now.minus(silent)));
            self.changes += 1;
        }
    }

    /// Whether a member that is not known yet is to be kept. Of another data hall only the
    /// contacts are: one that ranks later is dropped for it. One that is gone stays known as
    /// such, or whoever has not noticed yet would bring it back.
    fn makes_room(&mut self, member: &Member, now: Timestamp) -> bool {
        if member.data_hall == self.own.data_hall {
            return true;
        }
        let patience = self.patience();
        let is_rival = |known: &&Known| {
            known.member.data_hall == member.data_hall
                && known.liveness(patience, now) != Liveness::Gone
        };
        let rivals = self.known.values().filter(is_rival);
        if rivals.clone().count() < CONTACTS_PER_HALL {
            return true;
        }
        let last = rivals.max_by(|left, right| left.contact_score.total_cmp(&right.contact_score));
        let Some(last) = last else {
            return true;
        };
        if last.contact_score <= contact_score(member.contender()) {
            return false;
        }
        let vm = last.member.vm.clone();
        self.known.remove(&vm);
        true
    }

    /// A peer answered: direct evidence.
    pub fn answered(&mut self, member: &Member, now: Timestamp) {
        self.heard = self.heard.saturating_add(1);
        self.introduced(member, now);
        if let Some(known) = self.known.get_mut(&member.vm) {
            known.heard_at = now;
            known.unanswered = 0;
        }
    }

    /// A member said something of itself.
    pub fn introduced(&mut self, member: &Member, now: Timestamp) {
        self.learn_from(member, Duration::ZERO, now);
    }

    /// A process sent something by itself: direct evidence, if it is the start known here.
    pub fn heard(&mut self, vm: &VmName, boot: Boot, now: Timestamp) {
        if let Some(known) = self.known.get_mut(vm).filter(|known| known.member.boot == boot) {
            known.heard_at = now;
            known.unanswered = 0;
        }
    }

    /// A peer did not answer.
    pub fn unanswered(&mut self, address: SocketAddr) {
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

    /// How much to answer to a peer's message. One that is new, or knows other members of its
    /// data hall than this process does, is told of all.
    pub fn answer_breadth<'a>(&self, asked: &Asked<'a>, now: Timestamp) -> Breadth<'a> {
        let hall = &asked.sender.data_hall;
        let is_near = *hall == self.own.data_hall;
        if asked.is_new {
            return Breadth::Wide(Some(hall));
        }
        if !asked.is_regular {
            return Breadth::News;
        }
        let own = self.digest(now);
        if is_near && asked.digest.hall != own.hall {
            Breadth::Wide(Some(hall))
        } else if asked.digest.contacts != own.contacts {
            Breadth::Wide(None)
        } else {
            Breadth::Regular
        }
    }

    /// The fleet as known here.
    pub fn digest(&self, now: Timestamp) -> FleetDigest {
        let neighbours = self.neighbours(now).chain([&self.own]);
        let patience = self.patience();
        let contacts = self.contacts_of(|known| known.liveness(patience, now) != Liveness::Gone);
        FleetDigest {
            hall: MembersDigest::of(neighbours),
            contacts: MembersDigest::of(contacts.into_iter()),
        }
    }

    fn is_near(&self, known: &Known) -> bool {
        known.member.data_hall == self.own.data_hall
    }

    /// The members to pass on: this process first, then others as `breadth` says.
    pub fn passed_on(&self, breadth: Breadth<'_>, now: Timestamp, rng: &mut impl Rng) -> Vec<Told> {
        let patience = self.patience();
        let heard = || {
            self.known.values().filter(move |known| known.liveness(patience, now) != Liveness::Gone)
        };
        let others: Vec<&Known> = match breadth {
            Breadth::News => Vec::new(),
            Breadth::Regular => {
                let most = PASSED_ON_MAX + self.known.len() / MEMBERS_PER_PASSED_ON;
                heard().choose_multiple(rng, most.min(PASSED_ON_MOST))
            }
            Breadth::Wide(hall) => {
                let is_of_hall = |known: &Known| Some(&known.member.data_hall) == hall;
                let of_hall = heard().filter(|known| is_of_hall(known));
                let contacts = self.contacts_where(|known| {
                    !is_of_hall(known) && known.liveness(patience, now) != Liveness::Gone
                });
                of_hall.chain(contacts).collect()
            }
        };
        let own = Told { member: self.own.clone(), silent_ms: 0 };
        let others = others.into_iter().map(|known| {
            let silent_ms = now.since(known.heard_at).as_millis();
            let silent_ms = u32::try_from(silent_ms).unwrap_or(u32::MAX);
            Told { member: known.member.clone(), silent_ms }
        });
        [own].into_iter().chain(others).collect()
    }

    /// Up to `count` addresses to talk to next. Suspects are tried now and then; an
    /// address from settings or the platform's list that belongs to no known member is
    /// tried like a member. In a large fleet most talk stays within the data hall: the ways
    /// between halls are longer and may cost.
    pub fn pick(&self, count: usize, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
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
    pub fn pick_informed(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
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

    /// The contacts of all halls that serve, this process included if it is one: the part of
    /// the fleet that all processes know.
    pub fn contacts(&self, now: Timestamp) -> Vec<&Member> {
        let patience = self.patience();
        self.contacts_of(|known| known.is_serving(patience, now))
    }

    /// The contacts of all halls among those that are `wanted`, this process included if it is
    /// one.
    fn contacts_of(&self, is_wanted: impl Fn(&Known) -> bool) -> Vec<&Member> {
        let own = contact_score(self.own.contender());
        let near = self.known.values().filter(|known| self.is_near(known) && is_wanted(known));
        let before = near.filter(|known| known.contact_score < own).count();
        let is_contact = before < CONTACTS_PER_HALL;
        let mut near = 0;
        let others = self.contacts_where(&is_wanted).into_iter().filter(|known| {
            near += usize::from(self.is_near(known));
            // The last one of a full hall makes room for this process.
            !is_contact || !self.is_near(known) || near < CONTACTS_PER_HALL
        });
        let others = others.map(|known| &known.member);
        others.chain(is_contact.then_some(&self.own)).collect()
    }

    /// The first of each hall among those that `is_wanted`, best first within a hall.
    fn contacts_where(&self, is_wanted: impl Fn(&Known) -> bool) -> Vec<&Known> {
        let mut halls: BTreeMap<&DataHallName, Vec<&Known>> = BTreeMap::new();
        for known in self.known.values().filter(|known| is_wanted(known)) {
            halls.entry(&known.member.data_hall).or_default().push(known);
        }
        for hall in halls.values_mut() {
            hall.sort_by(|left, right| left.contact_score.total_cmp(&right.contact_score));
            hall.truncate(CONTACTS_PER_HALL);
        }
        halls.into_values().flatten().collect()
    }

    /// How many serving processes of the own data hall rank before this one as contacts.
    pub fn place_in_hall(&self, now: Timestamp) -> usize {
        let patience = self.patience();
        let own = contact_score(self.own.contender());
        let is_before = |known: &&Known| {
            self.is_near(known) && known.is_serving(patience, now) && known.contact_score < own
        };
        self.known.values().filter(is_before).count()
    }

    /// Whether other processes know this one as a contact of its data hall.
    pub fn is_contact(&self, now: Timestamp) -> bool {
        self.place_in_hall(now) < CONTACTS_PER_HALL
    }

    /// Of each other data hall the contacts that pass on what concerns all there.
    pub fn hubs(&self, now: Timestamp) -> Vec<&Member> {
        let patience = self.patience();
        let contacts = self.contacts_where(|known| {
            !self.is_near(known) && known.liveness(patience, now) != Liveness::Gone
        });
        let mut told: BTreeMap<&DataHallName, usize> = BTreeMap::new();
        let contacts = contacts.into_iter().filter(|known| {
            let told = told.entry(&known.member.data_hall).or_default();
            // One that may be dead is told beside those that are surely there.
            *told += usize::from(known.is_serving(patience, now));
            *told <= HUBS_PER_HALL
        });
        contacts.map(|known| &known.member).collect()
    }

    /// The other processes of the own data hall that are not known to be gone: news is worth
    /// telling them, also those that have not answered for a moment.
    pub fn neighbours(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
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
        self.known.retain(|_, known| now.since(known.heard_at) < FORGET_AFTER);
    }

    /// This process was paused for `gap`: the silence of others was its own.
    pub fn paused(&mut self, gap: Duration) {
        for known in self.known.values_mut() {
            known.heard_at = known.heard_at + gap;
        }
    }

    /// All known members, for people and programs to read.
    pub fn dump(&self, now: Timestamp) -> Vec<MemberDump> {
        let patience = self.patience();
        let dump = |known: &Known| MemberDump {
            member: known.member.clone(),
            liveness: known.liveness(patience, now),
            silent_ms: now.since(known.heard_at).as_millis() as u64,
        };
        self.known.values().map(dump).collect()
    }
}
