//! State that a process keeps about another one, and the rules for its liveness.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::GossipMember;
use crate::Liveness;
use crate::Member;
use crate::Phase;
use crate::rank::contact_score;

/// Time without a new heartbeat after which a member is suspected, while fewer than
/// [`MEMBERS_PER_TIMEOUT_FACTOR`] members are known. Heartbeats take longer to spread among
/// more members, so the timeout grows with their number. A slow detection is acceptable,
/// because a process that calls a dead member notices it by the missing answer.
const SUSPECT_AFTER: Duration = Duration::from_secs(5);
pub(super) const MEMBERS_PER_TIMEOUT_FACTOR: usize = 24;
/// Time without a new heartbeat after which a member is considered gone;
/// grows with the number of members like [`SUSPECT_AFTER`].
const GONE_AFTER: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    pub(super) last_seen_at: Timestamp,
    pub(super) unanswered_calls: u32,
    /// Ranking score among the contacts of the member's hall; the lowest score ranks first.
    pub(super) contact_score: f64,
}

impl KnownMember {
    pub(super) fn new(member: &Member, now: Timestamp) -> Self {
        let contact_score = contact_score(member.candidate());
        Self { member: member.clone(), last_seen_at: now, unanswered_calls: 0, contact_score }
    }

    pub(super) fn to_gossip(&self, now: Timestamp) -> GossipMember {
        let silent_ms = now.since(self.last_seen_at).as_millis();
        let silent_ms = u32::try_from(silent_ms).unwrap_or(u32::MAX);
        GossipMember { member: self.member.clone(), silent_ms }
    }

    /// Returns the member's liveness; `timeout_factor` scales the timeouts to
    /// the number of known members.
    pub(super) fn liveness(&self, timeout_factor: u32, now: Timestamp) -> Liveness {
        let silent = now.since(self.last_seen_at);
        let has_stopped = self.member.phase == Phase::Stopping && silent > SUSPECT_AFTER;
        if silent > GONE_AFTER * timeout_factor || has_stopped {
            Liveness::Gone
        } else if silent > SUSPECT_AFTER * timeout_factor || self.unanswered_calls > 0 {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }

    /// Returns whether the member's heartbeat advances,
    /// whether received directly or through gossip.
    pub(super) fn is_visible(&self, timeout_factor: u32, now: Timestamp) -> bool {
        now.since(self.last_seen_at) <= SUSPECT_AFTER * timeout_factor
    }

    pub(super) fn is_serving(&self, timeout_factor: u32, now: Timestamp) -> bool {
        self.member.phase == Phase::Serving && self.liveness(timeout_factor, now) == Liveness::Alive
    }
}
