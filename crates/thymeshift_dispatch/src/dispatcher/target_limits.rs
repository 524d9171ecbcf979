//! Requests while targets ask for a backoff or state a rate limit.

use std::time::Duration;

use rand::Rng;
use thymeshift_types::DataHallName;
use thymeshift_types::Reason;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::Dispatcher;
use crate::Refusal;
use crate::Request;
use crate::Strategy;
use crate::admission::jittered_retry_after;
use crate::admission::jittered_return_delay;
use crate::request::EXCLUDED_MAX;

impl<S: Strategy> Dispatcher<S> {
    /// Returns the end of the first backoff,
    /// if all serving targets have requested one from this process.
    pub fn all_backing_off_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.table.all_backing_off_until(now)
    }

    /// Returns a refusal if the request cannot be sent within its wait limit,
    /// because all targets have requested a backoff from this process.
    pub fn backoff_refusal<R: Rng>(
        &self,
        request: &Request,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<Refusal> {
        let until = self.table.all_backing_off_until(now)?;
        let is_in_time = until <= request.wait_until;
        let retry_after = jittered_return_delay(now.until(until), rng);
        (!is_in_time).then_some(Refusal { reason: Reason::BackingOff, retry_after })
    }

    /// Returns the names of the targets of a data hall, or of all halls, that have requested a
    /// backoff from this process, up to the number that a request can exclude.
    pub fn backing_off_targets(
        &mut self,
        hall: Option<&DataHallName>,
        now: Timestamp,
    ) -> Vec<TargetName> {
        let hall = hall.map(|hall| self.table.hall_index(hall));
        let targets = self.table.targets().iter();
        let backing_off = targets.filter(|target| {
            hall.is_none_or(|hall| target.hall == hall) && target.backoff.is_active(now)
        });
        backing_off.take(EXCLUDED_MAX).map(|target| target.name.clone()).collect()
    }

    /// Whether a target has requested a backoff from this process that is still active.
    pub fn is_backing_off(&self, name: &TargetName, now: Timestamp) -> bool {
        let index = self.table.find(name);
        index.is_some_and(|index| self.table.get(index).backoff.is_active(now))
    }

    /// Returns a refusal if the request cannot be sent within its wait limit,
    /// because all targets state a rate limit and their tokens are used up.
    pub(super) fn rate_limit_refusal<R: Rng>(
        &self,
        request: &Request,
        ahead: usize,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<Refusal> {
        let limited = self.table.limited_rate(self.view, now)?;
        let wait = limited.next_in.map(|next_in| {
            let queue_drain_s = ahead as f64 / limited.per_s;
            Duration::try_from_secs_f64(queue_drain_s)
                .map_or(Duration::MAX, |queue_drain| next_in + queue_drain)
        });
        if wait.is_some_and(|wait| now + wait <= request.wait_until) {
            return None;
        }
        let wait = wait.unwrap_or(Duration::ZERO);
        Some(Refusal { reason: Reason::RateLimited, retry_after: jittered_retry_after(wait, rng) })
    }
}
