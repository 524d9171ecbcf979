//! What a process tells another of the members that it knows.

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::Liveness;
use crate::Member;
use crate::Members;
use crate::digest::FleetDigest;
use crate::digest::MembersDigest;
use crate::members::known::Known;

/// Other members passed on in one regular message. With two exchanges a second it keeps the
/// members of a small fleet fresh; a larger hall is heard of more slowly, and the message
/// stays as long as it is.
const PASSED_ON_MAX: usize = 5;
/// Further ones for each so many members known, and the most.
const MEMBERS_PER_PASSED_ON: usize = 16;
const PASSED_ON_MOST: usize = 10;

/// How much a message says of members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipScope<'a> {
    /// The sender and a few others.
    Regular,
    /// The sender, the contacts of all data halls, and all known members of this one, if one is
    /// named: the receiver is new, or knows others than the sender.
    Wide(Option<&'a DataHallName>),
    /// The sender alone: the message is about something that changed.
    SenderOnly,
}

/// What a peer's message shows of the sender.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedSummary<'a> {
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
pub struct GossipMember {
    /// What it said of itself.
    pub member: Member,
    /// How long ago that was news to the sender, in milliseconds.
    pub silent_ms: u32,
}

impl Members {
    /// How much to answer to a peer's message. One that is new, or knows other members of its
    /// data hall than this process does, is told of all.
    pub fn answer_scope<'a>(&self, asked: &ReceivedSummary<'a>, now: Timestamp) -> GossipScope<'a> {
        let hall = &asked.sender.data_hall;
        let is_near = *hall == self.own.data_hall;
        if asked.is_new {
            return GossipScope::Wide(Some(hall));
        }
        if !asked.is_regular {
            return GossipScope::SenderOnly;
        }
        let own = self.digest(now);
        if is_near && asked.digest.hall != own.hall {
            GossipScope::Wide(Some(hall))
        } else if asked.digest.contacts != own.contacts {
            GossipScope::Wide(None)
        } else {
            GossipScope::Regular
        }
    }

    /// The fleet as known here.
    pub fn digest(&self, now: Timestamp) -> FleetDigest {
        let neighbours = self.hall_peers(now).chain([&self.own]);
        let patience = self.patience();
        let contacts = self.contacts_of(|known| known.liveness(patience, now) != Liveness::Gone);
        FleetDigest {
            hall: MembersDigest::of(neighbours),
            contacts: MembersDigest::of(contacts.into_iter()),
        }
    }

    /// The members to pass on: this process first, then others as `breadth` says.
    pub fn members_to_send(
        &self,
        breadth: GossipScope<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<GossipMember> {
        let patience = self.patience();
        let heard = || {
            self.known.values().filter(move |known| known.liveness(patience, now) != Liveness::Gone)
        };
        let others: Vec<&Known> = match breadth {
            GossipScope::SenderOnly => Vec::new(),
            GossipScope::Regular => {
                let most = PASSED_ON_MAX + self.known.len() / MEMBERS_PER_PASSED_ON;
                heard().choose_multiple(rng, most.min(PASSED_ON_MOST))
            }
            GossipScope::Wide(hall) => {
                let is_of_hall = |known: &Known| Some(&known.member.data_hall) == hall;
                let of_hall = heard().filter(|known| is_of_hall(known));
                let contacts = self.contacts_where(|known| {
                    !is_of_hall(known) && known.liveness(patience, now) != Liveness::Gone
                });
                of_hall.chain(contacts).collect()
            }
        };
        let own = GossipMember { member: self.own.clone(), silent_ms: 0 };
        let others = others.into_iter().map(|known| {
            let silent_ms = now.since(known.last_seen_at).as_millis();
            let silent_ms = u32::try_from(silent_ms).unwrap_or(u32::MAX);
            GossipMember { member: known.member.clone(), silent_ms }
        });
        [own].into_iter().chain(others).collect()
    }
}
