//! Leaving marks and backoffs of targets that are temporarily missing from the configuration.
//!
//! The entry of a target may expire while the source is unreachable, and be listed again for the
//! same incarnation. Its leaving mark and backoff apply until a later incarnation is listed.

use std::collections::HashMap;
use std::time::Duration;

use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::backoff::Backoff;
use crate::target_state::Presence;
use crate::target_state::Target;

/// Time for which an unlisted target's leaving mark is retained, longer
/// than a target takes to be listed again after the source has recovered.
const LEAVING_TTL: Duration = Duration::from_mins(10);

/// Retained state by the name of each unlisted target.
#[derive(Debug, Default)]
pub(crate) struct UnlistedTargets(HashMap<TargetName, RetainedState>);

#[derive(Debug)]
struct RetainedState {
    incarnation: Incarnation,
    is_leaving: bool,
    backoff: Backoff,
    expires_at: Timestamp,
}

impl UnlistedTargets {
    /// Retains the leaving mark and the backoff of a target
    /// that is no longer listed, if it has any.
    pub(crate) fn remember(&mut self, target: &Target, now: Timestamp) {
        let is_leaving = target.presence == Presence::Leaving;
        let backoff_until = target.backoff.active_until(now);
        let leaving_until = is_leaving.then_some(now + LEAVING_TTL);
        let Some(expires_at) = leaving_until.max(backoff_until) else {
            return;
        };
        let Target { incarnation, backoff, .. } = *target;
        let retained = RetainedState { incarnation, is_leaving, backoff, expires_at };
        self.0.insert(target.name.clone(), retained);
    }

    /// Restores the retained state of a target
    /// that is listed again, unless its incarnation is later.
    pub(crate) fn restore(&mut self, target: &mut Target) {
        let retained = self.0.remove(&target.name);
        let Some(retained) = retained.filter(|state| state.incarnation >= target.incarnation)
        else {
            return;
        };
        target.backoff = retained.backoff;
        if retained.is_leaving {
            target.presence = Presence::Leaving;
        }
    }

    /// Drops retained state that has expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, state| now < state.expires_at);
    }
}
