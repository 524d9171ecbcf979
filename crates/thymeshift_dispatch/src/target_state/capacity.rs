//! Whether a target may get a request now, and how many more.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::RateShare;
use crate::Usability;
use crate::concurrency::ExplorationLevels;
use crate::model::ServiceModel;
use crate::target_state::Presence;
use crate::target_state::Target;

/// A target that is full with requests of others gets one from here after this time.
const TRIED_BESIDE_OTHERS_EVERY: Duration = Duration::from_millis(500);

/// What bounds the requests in flight at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bound {
    /// The limit that this process has learnt for the target.
    Adaptive,
    /// A number.
    Fixed(u32),
    /// The best number, but for targets that explore.
    Best(u32, ExplorationLevels),
}

/// What a target explores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exploration {
    Disabled,
    /// One request more than the best number.
    More,
    /// One fewer.
    Fewer,
}

impl Target {
    pub(crate) fn usability(
        &self,
        now: Timestamp,
        bound: Bound,
        share: RateShare,
        model: &ServiceModel,
    ) -> Usability {
        match self.presence {
            Presence::Removed => Usability::Removed,
            Presence::Leaving => Usability::Leaving,
            Presence::Serving if self.is_stopped => Usability::Stopped,
            Presence::Serving if self.is_hall_drained => Usability::HallDrained,
            Presence::Serving if self.backoff.is_active(now) => Usability::BackingOff,
            Presence::Serving if self.ejection.is_ejected(now) => Usability::Ejected,
            Presence::Serving if !self.rate_limit.has_token(share, now) => Usability::RateLimited,
            Presence::Serving if !self.has_room(bound, now) => Usability::AtLimit,
            Presence::Serving if self.is_held_cold(now, bound) => Usability::Cold,
            Presence::Serving if self.is_slow_spell(now, model) => Usability::SlowSpell,
            Presence::Serving => Usability::Open,
        }
    }

    pub(crate) fn is_open(
        &self,
        now: Timestamp,
        bound: Bound,
        share: RateShare,
        model: &ServiceModel,
    ) -> bool {
        self.usability(now, bound, share, model) == Usability::Open
    }

    fn is_slow_spell(&self, now: Timestamp, model: &ServiceModel) -> bool {
        let service = Duration::from_micros(model.service_us() as u64);
        self.external_load.is_slow_spell(now, model.usual_pace(), service)
    }

    /// Whether it is cold and got its last request too recently for another one.
    fn is_held_cold(&self, now: Timestamp, bound: Bound) -> bool {
        let Some(paces) = self.parameters.cold_intervals.filter(|_| self.cold_start.is_cold(now))
        else {
            return false;
        };
        let waited = now.since(self.granted_at);
        match bound {
            Bound::Best(..) => waited < paces.fleet,
            Bound::Adaptive => waited.min(now.since(self.cold_start.since())) < paces.own,
            Bound::Fixed(_) => waited.min(now.since(self.cold_start.since())) < paces.fallback,
        }
    }

    fn has_room(&self, bound: Bound, now: Timestamp) -> bool {
        self.spare_capacity(bound, now) > 0
    }

    /// Further requests that it may get.
    pub(crate) fn spare_capacity(&self, bound: Bound, now: Timestamp) -> u32 {
        let most = match bound {
            Bound::Adaptive => self.limit.value() as u32,
            Bound::Fixed(most) => most.min(self.parameters.connection_share),
            Bound::Best(best, explored) => {
                let best = self.explored_or(best, explored).min(self.parameters.connection_share);
                self.left_by_others(best, now)
            }
        };
        let most =
            self.refusals.in_flight_max(self.granted_at, now).map_or(most, |room| room.min(most));
        let most = most.saturating_sub(self.in_flight);
        if self.is_rate_limited() { most.min(1) } else { most }
    }

    /// What is left of `most` requests beside those that a report tells of and that are not
    /// counted here: another process may allocate too, or decide alone. One request is tried
    /// now and then, however many others there are.
    fn left_by_others(&self, most: u32, now: Timestamp) -> u32 {
        let is_tried_long_ago = now.since(self.granted_at) >= TRIED_BESIDE_OTHERS_EVERY;
        let least = u32::from(is_tried_long_ago);
        most.saturating_sub(self.external_load.untracked_requests(now)).max(least.min(most))
    }

    fn explored_or(&self, best: u32, explored: ExplorationLevels) -> u32 {
        let explored = match self.exploration {
            Exploration::Disabled => None,
            Exploration::More => explored.more,
            Exploration::Fewer => explored.fewer,
        };
        explored.unwrap_or(best)
    }
}
