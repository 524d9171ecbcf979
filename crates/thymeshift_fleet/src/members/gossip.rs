//! Selects the members that a process includes in its messages to peers.

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
use crate::members::known::KnownMember;

/// Number of other members in a regular message. With two exchanges per second,
/// five members keep the heartbeats of a small fleet fresh.
/// In a larger hall heartbeats spread more slowly, while the message size stays bounded.
const GOSSIP_MEMBERS_BASE: usize = 5;
/// Known members per additional member in a regular message, up to [`GOSSIP_MEMBERS_MAX`].
const KNOWN_PER_EXTRA_MEMBER: usize = 16;
const GOSSIP_MEMBERS_MAX: usize = 10;

/// Which members a message to a peer contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipScope<'a> {
    /// The sender and a few randomly chosen members.
    Regular,
    /// The sender, the contacts of all data halls, and all known members of the given hall,
    /// if any. This is sent to a receiver that is new or whose digest differs from the sender's.
    Wide(Option<&'a DataHallName>),
    /// The sender alone, because the message announces a single change.
    SenderOnly,
}

/// Information about the sender in a message received from a peer.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedSummary<'a> {
    /// Self-description of the peer that sent the message.
    pub sender: &'a Member,
    /// Digests of the members that the sender knows.
    pub digest: FleetDigest,
    /// Whether the sender has received only a few peer answers since its start.
    pub is_new: bool,
    /// Whether the message includes members other than the sender.
    pub is_regular: bool,
}

/// A member as included in gossip messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMember {
    /// Last self-description that the sender of the message has of the member.
    pub member: Member,
    /// Time since the sender last saw the member's heartbeat advance, in milliseconds.
    pub silent_ms: u32,
}

impl Members {
    /// Returns which members to include in the answer to a peer's message. A peer that is new,
    /// or whose digest of its data hall differs, receives all known members of its hall.
    pub fn answer_scope<'a>(
        &self,
        received: &ReceivedSummary<'a>,
        now: Timestamp,
    ) -> GossipScope<'a> {
        let hall = &received.sender.data_hall;
        let is_in_own_hall = *hall == self.own.data_hall;
        if received.is_new {
            return GossipScope::Wide(Some(hall));
        }
        if !received.is_regular {
            return GossipScope::SenderOnly;
        }
        let own = self.digest(now);
        if is_in_own_hall && received.digest.hall != own.hall {
            GossipScope::Wide(Some(hall))
        } else if received.digest.contacts != own.contacts {
            GossipScope::Wide(None)
        } else {
            GossipScope::Regular
        }
    }

    /// Returns the digests of the members known to this process.
    pub fn digest(&self, now: Timestamp) -> FleetDigest {
        let hall_members = self.hall_peers(now).chain([&self.own]);
        let timeout_factor = self.timeout_factor();
        let contacts =
            self.contacts_with_own(|known| known.liveness(timeout_factor, now) != Liveness::Gone);
        FleetDigest {
            hall: MembersDigest::of(hall_members),
            contacts: MembersDigest::of(contacts.into_iter()),
        }
    }

    /// Returns the members to include in a message: this process first,
    /// then others according to `scope`.
    pub fn members_to_send(
        &self,
        scope: GossipScope<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<GossipMember> {
        let timeout_factor = self.timeout_factor();
        let present = || {
            self.known
                .values()
                .filter(move |known| known.liveness(timeout_factor, now) != Liveness::Gone)
        };
        let others: Vec<&KnownMember> = match scope {
            GossipScope::SenderOnly => Vec::new(),
            GossipScope::Regular => {
                let member_count = GOSSIP_MEMBERS_BASE + self.known.len() / KNOWN_PER_EXTRA_MEMBER;
                present().choose_multiple(rng, member_count.min(GOSSIP_MEMBERS_MAX))
            }
            GossipScope::Wide(hall) => {
                let is_of_hall = |known: &KnownMember| Some(&known.member.data_hall) == hall;
                let of_hall = present().filter(|known| is_of_hall(known));
                let contacts = self.contacts_among(|known| {
                    !is_of_hall(known) && known.liveness(timeout_factor, now) != Liveness::Gone
                });
                of_hall.chain(contacts).collect()
            }
        };
        let own = GossipMember { member: self.own.clone(), silent_ms: 0 };
        let others = others.into_iter().map(|known| known.to_gossip(now));
        [own].into_iter().chain(others).collect()
    }
}
