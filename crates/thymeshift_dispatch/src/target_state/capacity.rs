//! Whether a target may get a request now, and how many more.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::RateShare;
use crate::Usability;
use crate::concurrency::ExplorationLevels;
use crate::model::ServiceModel;
use crate::target_state::Presence;
use crate::target_state::Target;

/// Interval between two trial requests to a target that is full with requests of other processes.
const FULL_TARGET_TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Bound on the requests in flight at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bound {
    /// Adaptive limit that this process has for the target.
    Adaptive,
    /// Fixed number of requests, used in fallback.
    Fixed(u32),
    /// Best concurrency level of the service, and the levels that exploring targets use instead.
    Best(u32, ExplorationLevels),
}

/// Concurrency level that a target explores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exploration {
    Disabled,
    /// One request more than the best level.
    More,
    /// One request fewer than the best level.
    Fewer,
}

impl Target {
    /// Returns whether the target may get a request now, and if not, the first reason that applies.
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
            Presence::Serving if !self.has_spare_capacity(bound, now) => Usability::AtLimit,
            Presence::Serving if self.is_cold_throttled(now, bound) => Usability::Cold,
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

    /// Whether the target is cold and got its last request too recently for another one.
    fn is_cold_throttled(&self, now: Timestamp, bound: Bound) -> bool {
        let Some(intervals) =
            self.parameters.cold_intervals.filter(|_| self.cold_start.is_cold(now))
        else {
            return false;
        };
        let since_grant = now.since(self.granted_at);
        match bound {
            Bound::Best(..) => since_grant < intervals.fleet,
            Bound::Adaptive => since_grant.min(now.since(self.cold_start.since())) < intervals.own,
            Bound::Fixed(_) => {
                since_grant.min(now.since(self.cold_start.since())) < intervals.fallback
            }
        }
    }

    fn has_spare_capacity(&self, bound: Bound, now: Timestamp) -> bool {
        self.spare_capacity(bound, now) > 0
    }

    /// Returns the number of further requests that the target may get.
    pub(crate) fn spare_capacity(&self, bound: Bound, now: Timestamp) -> u32 {
        let concurrency = self.concurrency(bound);
        let in_flight_max = match bound {
            Bound::Adaptive | Bound::Fixed(_) => concurrency,
            Bound::Best(..) => self.untracked_deducted(concurrency, now),
        };
        let in_flight_max = self
            .refusals
            .in_flight_max(self.granted_at, now)
            .map_or(in_flight_max, |refusals_max| refusals_max.min(in_flight_max));
        let in_flight_max = in_flight_max.saturating_sub(self.in_flight);
        if self.is_rate_limited() { in_flight_max.min(1) } else { in_flight_max }
    }

    /// Returns the number of requests that the target may run at a time.
    pub(crate) fn concurrency(&self, bound: Bound) -> u32 {
        let share = self.parameters.connection_share;
        match bound {
            Bound::Adaptive => self.limit.value() as u32,
            Bound::Fixed(in_flight_max) => in_flight_max.min(share),
            Bound::Best(best, exploration_levels) => {
                self.exploration_level_or(best, exploration_levels).min(share)
            }
        }
    }

    /// Whether a request may wait for the target: it serves, is not ejected and has not requested a
    /// backoff.
    pub(crate) fn is_worth_waiting_for(&self, now: Timestamp) -> bool {
        self.may_receive(now) && !self.ejection.is_ejected(now)
    }

    /// Returns `in_flight_max` less the reported requests that this process does not track, because
    /// another process may allocate the target too, or be in fallback.
    /// One request per [`FULL_TARGET_TRIAL_INTERVAL`] is allowed regardless of untracked requests.
    fn untracked_deducted(&self, in_flight_max: u32, now: Timestamp) -> u32 {
        let is_tried_long_ago = now.since(self.granted_at) >= FULL_TARGET_TRIAL_INTERVAL;
        let least = u32::from(is_tried_long_ago);
        in_flight_max
            .saturating_sub(self.external_load.untracked_requests(now))
            .max(least.min(in_flight_max))
    }

    fn exploration_level_or(&self, best: u32, exploration_levels: ExplorationLevels) -> u32 {
        let exploration_levels = match self.exploration {
            Exploration::Disabled => None,
            Exploration::More => exploration_levels.more,
            Exploration::Fewer => exploration_levels.fewer,
        };
        exploration_levels.unwrap_or(best)
    }
}
