//! What targets have said of themselves that are not listed for a while.
//!
//! An entry may lapse while the source is away, and come back for the same start. What its target
//! has said holds until a later start.

use std::collections::HashMap;
use std::time::Duration;

use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::backoff::Backoff;
use crate::target_state::Presence;
use crate::target_state::Target;

/// How long it is remembered that a target leaves: longer than an entry takes to come back once the
/// source has returned.
const LEAVING_TTL: Duration = Duration::from_mins(10);

#[derive(Debug, Default)]
pub(crate) struct UnlistedTargets(HashMap<TargetName, Remembered>);

#[derive(Debug)]
struct Remembered {
    incarnation: Incarnation,
    is_leaving: bool,
    backoff: Backoff,
    expires_at: Timestamp,
}

impl UnlistedTargets {
    /// Remembers a target that is no longer listed, if it has said anything that still holds.
    pub(crate) fn remember(&mut self, target: &Target, now: Timestamp) {
        let is_leaving = target.presence == Presence::Leaving;
        let backoff_until = target.backoff.active_until(now);
        let leaving_until = is_leaving.then_some(now + LEAVING_TTL);
        let Some(expires_at) = leaving_until.max(backoff_until) else {
            return;
        };
        let Target { incarnation, backoff, .. } = *target;
        let remembered = Remembered { incarnation, is_leaving, backoff, expires_at };
        self.0.insert(target.name.clone(), remembered);
    }

    /// Gives a target that is listed again what it had said, unless it has started again since.
    pub(crate) fn restore(&mut self, target: &mut Target) {
        let remembered = self.0.remove(&target.name);
        let Some(remembered) = remembered.filter(|known| known.incarnation >= target.incarnation)
        else {
            return;
        };
        target.backoff = remembered.backoff;
        if remembered.is_leaving {
            target.presence = Presence::Leaving;
        }
    }

    /// Forgets what no longer holds.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, known| now < known.expires_at);
    }
}
