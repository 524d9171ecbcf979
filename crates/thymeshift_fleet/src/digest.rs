//! Digests of the known members, so that two processes can compare their views of the
//! fleet without sending all members.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Member;
use crate::Phase;

/// Digest of a set of members. Two digests are equal if both sets contain the same boots
/// of the same members in the same phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDigest(u64);

/// Digests of everything a process knows about the fleet's members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// Digest of the members in the process's own data hall.
    pub hall: MembersDigest,
    /// Digest of the contacts of all data halls.
    pub contacts: MembersDigest,
}

impl MembersDigest {
    /// Computes the digest of `members`; their order does not matter.
    pub fn of<'a>(members: impl Iterator<Item = &'a Member>) -> Self {
        Self(members.map(member_hash).fold(0, |sum, hash| sum ^ hash))
    }
}

fn member_hash(member: &Member) -> u64 {
    let phase = match member.phase {
        Phase::Starting => 1,
        Phase::Serving => 2,
        Phase::Stopping => 3,
    };
    xxh3_64_with_seed(member.vm.as_str().as_bytes(), member.boot.as_u64() ^ (phase << 62))
}
