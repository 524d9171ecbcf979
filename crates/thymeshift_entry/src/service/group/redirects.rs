//! Redirects of requests to the other groups of a service, and the reserve that they depend on.

use metrics::counter;
use spdlog::debug;
use thymeshift_allocation::Group;
use thymeshift_allocation::GroupCapacity;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::RedirectCause;
use thymeshift_allocation::SpilloverReserve;
use thymeshift_config::Configuration;
use thymeshift_dispatch::Request;
use thymeshift_telemetry::metric;
use thymeshift_types::Timestamp;
use thymeshift_wire::Acquire;
use thymeshift_wire::SpilloverDump;

use crate::allocation_client::LeaseHolder;
use crate::service::group::GroupRuntime;
use crate::service::group::GroupState;

impl GroupRuntime {
    /// Returns why an acquire request is redirected if another group has headroom.
    /// Counts the request towards the load of the group if it comes from the group's own hall.
    pub(super) fn redirect_cause(
        &self,
        key: &LeaseKey<LeaseHolder>,
        acquire: &Acquire,
        request: &Request,
        state: &mut GroupState,
        now: Timestamp,
    ) -> Option<RedirectCause> {
        // A request that may not be redirected was counted when it first arrived at its own group.
        if !acquire.may_redirect || state.allocator.contains(key) {
            return None;
        }
        let Some(reserve) = &mut state.reserve else {
            let is_surplus = state.allocator.is_surplus(key, request, &state.dispatcher, now);
            return is_surplus.then_some(RedirectCause::NoRoom);
        };
        if self.group.is_of_hall(&acquire.data_hall) {
            reserve.record_arrival(acquire.answer_kib, now);
        }
        let capacity = GroupCapacity::of(&state.dispatcher, now);
        let cause = reserve.redirect_cause(acquire.answer_kib, &capacity, now)?;
        // While there is spare capacity, the request would take it at once instead of waiting.
        let waits_at_home =
            cause == RedirectCause::NoRoom && state.dispatcher.waits_at_home(request, now);
        (!waits_at_home).then_some(cause)
    }

    /// Records that a request was redirected to the group `other`.
    pub(super) fn record_redirect(
        &self,
        reserve: &mut Option<SpilloverReserve>,
        other: &Group,
        cause: RedirectCause,
        now: Timestamp,
    ) {
        if let Some(reserve) = reserve {
            reserve.record_redirect(now);
        }
        counter!(metric::REDIRECTS, "cause" => cause.as_str()).increment(1);
        debug!("request_redirected", kv: {
            service: = self.service, from: = self.group, to: = other, cause = cause.as_str()
        });
    }

    /// Returns how many requests of other groups this group offers to take.
    pub(crate) fn reported_headroom(&self, now: Timestamp) -> u32 {
        let state = self.state.lock();
        match &state.reserve {
            Some(reserve) => {
                reserve.reported_headroom(&GroupCapacity::of(&state.dispatcher, now), now)
            }
            None => state.dispatcher.spare_capacity(now),
        }
    }

    /// Returns the spare capacity up to which a request with this expected answer length is
    /// redirected, or `None` if the group keeps no reserve.
    pub(in crate::service) fn reserve_above(&self, answer_kib: u32, now: Timestamp) -> Option<u32> {
        let GroupState { dispatcher, reserve, .. } = &*self.state.lock();
        let capacity = dispatcher.capacity(now);
        Some(reserve.as_ref()?.reserve_above(answer_kib, dispatcher.service_time(), capacity, now))
    }

    /// Returns the reserve of the group for the state dump, or `None` if the group keeps none.
    pub(in crate::service) fn dump_reserve(&self, now: Timestamp) -> Option<SpilloverDump> {
        let GroupState { dispatcher, reserve, .. } = &*self.state.lock();
        let reserve = reserve.as_ref()?;
        let capacity = GroupCapacity::of(dispatcher, now);
        Some(SpilloverDump {
            service: self.service.clone(),
            group: self.group.clone(),
            headroom: reserve.reported_headroom(&capacity, now),
            is_redirecting: reserve.is_redirecting(now),
            classes: reserve.dump(&capacity, now),
        })
    }
}

/// Whether the group keeps a reserve for requests with long answers: only the group of one hall
/// redirects requests, and only if the configuration states what a crossing costs.
pub(super) fn keeps_reserve(group: &Group, configuration: &Configuration) -> bool {
    matches!(group, Group::Hall(_)) && configuration.hall_crossing_us_per_kib > 0
}
