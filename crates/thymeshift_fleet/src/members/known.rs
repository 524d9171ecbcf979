//! What one process knows of another, and when it takes it for dead.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::Liveness;
use crate::Member;
use crate::Phase;
use crate::rank::contact_score;

/// Time without a new heartbeat after which a member is suspected, while up to
/// [`MEMBERS_PER_PATIENCE`] are known. Heartbeats take longer among more of them, and the time
/// grows with it: whoever needs a member that is dead finds that out by asking.
const SUSPECT_AFTER: Duration = Duration::from_secs(5);
pub(super) const MEMBERS_PER_PATIENCE: usize = 24;
/// Time without a new heartbeat after which a member is taken as gone, grown alike.
const GONE_AFTER: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) member: Member,
    pub(super) last_seen_at: Timestamp,
    pub(super) unanswered: u32,
    /// Place among the contacts of its hall; the smaller, the earlier.
    pub(super) contact_score: f64,
}

impl Known {
    pub(super) fn new(member: &Member, now: Timestamp) -> Self {
        let contact_score = contact_score(member.candidate());
        Self { member: member.clone(), last_seen_at: now, unanswered: 0, contact_score }
    }

    /// `patience` is how many times as long as in a small fleet heartbeats take.
    pub(super) fn liveness(&self, patience: u32, now: Timestamp) -> Liveness {
        let silent = now.since(self.last_seen_at);
        let has_stopped = self.member.phase == Phase::Stopping && silent > SUSPECT_AFTER;
        if silent > GONE_AFTER * patience || has_stopped {
            Liveness::Gone
        } else if silent > SUSPECT_AFTER * patience || self.unanswered > 0 {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }

    /// Whether its heartbeat goes on, whoever passes it on.
    pub(super) fn is_heard(&self, patience: u32, now: Timestamp) -> bool {
        now.since(self.last_seen_at) <= SUSPECT_AFTER * patience
    }

    pub(super) fn is_serving(&self, patience: u32, now: Timestamp) -> bool {
        self.member.phase == Phase::Serving && self.liveness(patience, now) == Liveness::Alive
    }
}
