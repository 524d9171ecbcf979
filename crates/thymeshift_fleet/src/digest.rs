//! Comparing what two processes know of the fleet without telling it.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Member;
use crate::Phase;

/// Two processes that know the same starts of the same members in the same phases have the
/// same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDigest(u64);

/// What a process knows of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// The members of its data hall.
    pub hall: MembersDigest,
    /// The contacts of all data halls.
    pub contacts: MembersDigest,
}

impl MembersDigest {
    /// The digest of these members, in any order.
    pub fn of<'a>(members: impl Iterator<Item = &'a Member>) -> Self {
        Self(members.map(digest).fold(0, |sum, one| sum ^ one))
    }
}

fn digest(member: &Member) -> u64 {
    let phase = match member.phase {
        Phase::Starting => 1,
        Phase::Serving => 2,
        Phase::Stopping => 3,
    };
    xxh3_64_with_seed(member.vm.as_str().as_bytes(), member.boot.as_u64() ^ (phase << 62))
}
