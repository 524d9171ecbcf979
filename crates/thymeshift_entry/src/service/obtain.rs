//! Obtains a target for a request from an allocator of the service's target groups.
//!
//! If no allocator replies, the local dispatcher chooses the target.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rand::Rng;
use thymeshift_allocation::Group;
use thymeshift_allocation::LeaseGrant;
use thymeshift_dispatch::RateShare;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_fleet::Member;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Reason;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_wire::AllocatorAddress;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::allocation_client::AcquireReply;
use crate::allocation_client::AcquireRequest;
use crate::allocation_client::Acquisition;
use crate::allocation_client::AllocatorHandle;
use crate::allocation_client::RemainingTimes;
use crate::service::GrantGuard;
use crate::service::GroupRuntime;
use crate::service::LocalDecision;
use crate::service::ServiceRuntime;
use crate::shared::RankedProcesses;
use crate::shared::Shared;

/// Time limit for an allocator's first reply to an acquire request.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(25);
/// Interval at which a request that waits for a target in its own hall asks its allocator again.
/// If the allocator was lost, the next one is asked while most of the local wait is left.
const LOCAL_WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time limit for the reply to a request that asks again in its local wait. It exceeds the time for
/// which a long answer fills a narrow link: one of 90 KiB takes 72 ms at 10 Mbit/s.
const LOCAL_WAIT_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Extra time after a request's wait limit in which the allocator's final reply is still accepted.
const FINAL_REPLY_GRACE: Duration = Duration::from_millis(25);
/// Maximum number of allocators of one group that a request is sent to, one after the other.
const ALLOCATORS_TRIED_MAX: usize = 2;
/// Maximum number of grants that a request returns to one allocator as stale.
///
/// A grant is stale if the allocator did not know the target's leaving mark, backoff or rate limit.
/// Each returned grant reports the missing state of one target to the allocator.
const STALE_GRANTS_MAX: usize = 4;
/// Time for which the ranked allocators of a group are cached while the members do not change.
/// An allocator that fails in this time is detected by its missing replies.
const ORDER_CACHE_TTL: Duration = Duration::from_secs(1);

/// Cached allocator ranking and reported concurrency of each target group.
#[derive(Default)]
pub(super) struct Allocators(HashMap<Group, GroupAllocators>);

#[derive(Default)]
struct GroupAllocators {
    order: RankedProcesses,
    computed_at: Option<Timestamp>,
    /// Change counter of the fleet's members when `order` was computed.
    member_changes: u64,
    /// Number of concurrent requests that one target serves well, from the allocator's last grant.
    concurrency: Option<u32>,
    /// Share of the targets' rate limits that this process may grant as an allocator.
    rate_share: RateShare,
}

impl Allocators {
    fn fresh_order(
        &self,
        group: &Group,
        member_changes: u64,
        now: Timestamp,
    ) -> Option<RankedProcesses> {
        let known = self.0.get(group)?;
        let is_young = known.computed_at.is_some_and(|at| now.since(at) < ORDER_CACHE_TTL);
        let is_fresh = is_young && known.member_changes == member_changes;
        is_fresh.then(|| known.order.clone())
    }

    fn cache_order(
        &mut self,
        group: &Group,
        order: RankedProcesses,
        rate_share: RateShare,
        member_changes: u64,
        now: Timestamp,
    ) {
        let known = self.0.entry(group.clone()).or_default();
        known.order = order;
        known.rate_share = rate_share;
        known.computed_at = Some(now);
        known.member_changes = member_changes;
    }

    fn rate_share(&self, group: &Group) -> RateShare {
        self.0.get(group).map_or(RateShare::NONE, |known| known.rate_share)
    }

    /// Returns the number of concurrent requests that one target of the group serves well.
    /// The group's allocator reported this number in its last grant.
    pub(super) fn known_concurrency(&self, group: &Group) -> Option<u32> {
        self.0.get(group)?.concurrency
    }
}

/// Result of sending an acquire request to the allocators of one group.
#[expect(clippy::large_enum_variant, reason = "matched right where it is returned")]
enum AcquireOutcome {
    Granted(GrantGuard),
    Refused(Refusal),
    Redirected(Group, AllocatorAddress),
    /// The contacted process named a member that ranks before it as the allocator.
    /// The fleet state now includes this member.
    AskInstead,
    /// The allocator did not know the leaving mark, backoff or rate limit of the granted target.
    /// The release of the lease reports the missing state to the allocator.
    Stale,
    /// No contacted process replied or allocates the group, or the granted target is not usable.
    Unusable,
}

impl ServiceRuntime {
    /// Obtains a target for a request and waits for a free one until the request's wait limit.
    pub(crate) async fn obtain(
        self: &Arc<Self>,
        shared: &Shared,
        request: &Request,
    ) -> Result<GrantGuard, Option<Refusal>> {
        let obtained = self.obtain_in_any_hall(shared, request).await;
        obtained.map(|grant| grant.with_crossing_of(request))
    }

    async fn obtain_in_any_hall(
        self: &Arc<Self>,
        shared: &Shared,
        request: &Request,
    ) -> Result<GrantGuard, Option<Refusal>> {
        if let Some(refusal) = self.wait_out_backoffs(request).await {
            return Err(Some(refusal));
        }
        let has_allocators = self.context.allocation.socket().is_some();
        if has_allocators {
            match self.acquire_from_groups(shared, request).await {
                AcquireOutcome::Granted(grant) => return Ok(grant),
                AcquireOutcome::Refused(refusal) => return Err(Some(refusal)),
                AcquireOutcome::Redirected(..)
                | AcquireOutcome::AskInstead
                | AcquireOutcome::Stale
                | AcquireOutcome::Unusable => {}
            }
        }
        let (view, by) =
            if has_allocators { (View::Fallback, "fallback") } else { (View::Own, "alone") };
        counter!(metric::TARGETS_OBTAINED, "by" => by).increment(1);
        match self.admit(*request, view, BootClock.now()) {
            LocalDecision::Send(grant) => Ok(grant),
            LocalDecision::Refused(refusal) => Err(Some(refusal)),
            LocalDecision::Wait(waiting) => {
                let left = BootClock.now().until(request.deadline);
                match timeout(left, waiting.decision()).await {
                    Ok(Some(decision)) => decision.map_err(Some),
                    Ok(None) | Err(_) => Err(None),
                }
            }
        }
    }

    /// Waits while all targets are in a backoff that they requested from this process.
    /// Returns a refusal if the request's wait limit ends before the first backoff does.
    async fn wait_out_backoffs(&self, request: &Request) -> Option<Refusal> {
        loop {
            let now = BootClock.now();
            let until = {
                let dispatcher = &self.local.lock().dispatcher;
                let refusal = dispatcher.backoff_refusal(request, now, &mut rand::rng());
                if refusal.is_some() {
                    return refusal;
                }
                dispatcher.all_backing_off_until(now)?
            };
            sleep(now.until(until)).await;
        }
    }

    /// Requests a target of the group of this process's data hall.
    /// If that group has no spare capacity or no usable target, requests one of another group.
    async fn acquire_from_groups(
        self: &Arc<Self>,
        shared: &Shared,
        request: &Request,
    ) -> AcquireOutcome {
        let configured = self.configured();
        let grouping = &configured.grouping;
        let draw = rand::rng().random();
        let first = grouping.preferred_group(&self.own_data_hall, draw);
        let (other, allocator) =
            match self.acquire_from_group(shared, first, grouping.is_divided(), request).await {
                AcquireOutcome::Redirected(other, allocator) => (other, allocator),
                // The group has no usable target: its data hall has been drained, and the new
                // configuration reached the allocator before this process.
                AcquireOutcome::Refused(Refusal { reason: Reason::NoTarget, .. })
                    if let Some(other) = grouping.alternative_group(first, draw) =>
                {
                    return self.acquire_from_group(shared, other, true, request).await;
                }
                outcome => return outcome,
            };
        // The local wait has ended, or the group could not serve the request within it.
        let mut acquire_request = self.acquire_request(&other, request);
        acquire_request.remaining.local_wait = Duration::ZERO;
        let allocator = self.allocator_handle(shared, &other, Some(allocator));
        match self.acquire_from(&allocator, acquire_request, request).await {
            AcquireOutcome::Unusable | AcquireOutcome::AskInstead | AcquireOutcome::Stale => {
                self.acquire_from_group(shared, first, false, request).await
            }
            outcome => outcome,
        }
    }

    async fn acquire_from_group(
        self: &Arc<Self>,
        shared: &Shared,
        group: &Group,
        may_redirect: bool,
        request: &Request,
    ) -> AcquireOutcome {
        let outcome = self.acquire_in_order(shared, group, may_redirect, true, request).await;
        match outcome {
            // The member that the reply named is now part of the ranking.
            // In the second attempt, no process may name another member.
            AcquireOutcome::AskInstead => {
                self.acquire_in_order(shared, group, may_redirect, false, request).await
            }
            outcome => outcome,
        }
    }

    async fn acquire_in_order(
        self: &Arc<Self>,
        shared: &Shared,
        group: &Group,
        may_redirect: bool,
        may_name_other_allocator: bool,
        request: &Request,
    ) -> AcquireOutcome {
        let now = BootClock.now();
        let order = self.allocator_order(shared, group, now);
        let is_usable = |process: &&Option<AllocatorAddress>| match process {
            Some(process) => !self.context.allocation.is_skipped(&process.vm, now),
            None => !shared.is_stopping(),
        };
        let first = order.first().filter(is_usable);
        for process in order.iter().filter(is_usable).take(ALLOCATORS_TRIED_MAX) {
            let allocator = self.allocator_handle(shared, group, process.clone());
            for _ in 0..STALE_GRANTS_MAX {
                let mut acquire_request = self.acquire_request(group, request);
                acquire_request.may_redirect = may_redirect;
                acquire_request.is_first_choice =
                    may_name_other_allocator && Some(process) == first;
                match self.acquire_from(&allocator, acquire_request, request).await {
                    AcquireOutcome::Stale => {}
                    AcquireOutcome::Unusable => break,
                    outcome => return outcome,
                }
            }
        }
        AcquireOutcome::Unusable
    }

    /// Returns the handle of a group's allocator at `process`; `None` stands for this process.
    fn allocator_handle(
        self: &Arc<Self>,
        shared: &Shared,
        group: &Group,
        process: Option<AllocatorAddress>,
    ) -> AllocatorHandle {
        match process {
            Some(peer) if peer.vm != *self.context.allocation.vm() => AllocatorHandle::Remote(peer),
            Some(_) | None => AllocatorHandle::Local(self.local_group(shared, group)),
        }
    }

    /// Returns the allocator of a group in this process.
    /// Updates the allocator's share of the targets' rate limits first.
    pub(crate) fn local_group(&self, shared: &Shared, group: &Group) -> Arc<GroupRuntime> {
        let now = BootClock.now();
        // Recomputes the rate share if the cached allocator order has expired.
        let _ = self.allocator_order(shared, group, now);
        let share = self.allocators.lock().rate_share(group);
        let runtime = self.group(group);
        runtime.set_rate_share(share);
        runtime
    }

    fn acquire_request(&self, group: &Group, request: &Request) -> AcquireRequest {
        let now = BootClock.now();
        let hall = match group {
            Group::All => None,
            Group::Hall(hall) => Some(hall),
        };
        let excluded = self.local.lock().dispatcher.backing_off_targets(hall, now);
        AcquireRequest {
            service: self.name().clone(),
            group: group.clone(),
            may_redirect: false,
            is_first_choice: false,
            priority: request.priority,
            caller: request.caller,
            remaining: RemainingTimes::of(request, now),
            queue_max: request.queue_max,
            answer_kib: request.answer_kib,
            tried: self.target_names(&request.tried),
            excluded,
        }
    }

    /// Returns the first-ranked allocator of a group if it is another, responsive member.
    /// A process that sends its acquire request here as first choice does not know this member yet.
    pub(crate) fn preferred_allocator(&self, shared: &Shared, group: &Group) -> Option<Member> {
        let now = BootClock.now();
        let order = self.allocator_order(shared, group, now);
        let is_usable =
            |process: &&AllocatorAddress| !self.context.allocation.is_skipped(&process.vm, now);
        let first = order.first()?.as_ref().filter(is_usable)?;
        shared.fleet.lock().members.find(&first.vm).cloned()
    }

    /// Returns the allocators of a group in ranked order; `None` stands for this process.
    pub(crate) fn allocator_order(
        &self,
        shared: &Shared,
        group: &Group,
        now: Timestamp,
    ) -> RankedProcesses {
        // Computed before `allocators` is locked, because these calls lock the fleet state.
        let member_changes = shared.fleet.lock().members.changes();
        if let Some(order) = self.allocators.lock().fresh_order(group, member_changes, now) {
            return order;
        }
        let order: Arc<[_]> = shared.allocator_order(self.name(), group, now).into();
        let rate_share = shared.allocator_rank(self.name(), group, now).rate_share();
        self.allocators.lock().cache_order(group, order.clone(), rate_share, member_changes, now);
        order
    }

    async fn acquire_from(
        self: &Arc<Self>,
        allocator: &AllocatorHandle,
        acquire_request: AcquireRequest,
        request: &Request,
    ) -> AcquireOutcome {
        let group = acquire_request.group.clone();
        let mut acquisition = self.context.allocation.acquire(allocator, acquire_request);
        let mut limit = FIRST_REPLY_TIMEOUT;
        // Whether a missing reply may mean that the allocator was lost in the local wait.
        let mut is_check_due = false;
        loop {
            match timeout(limit, acquisition.replies.recv()).await {
                Ok(Some(AcquireReply::Waiting)) => {
                    let now = BootClock.now();
                    limit = final_reply_limit(request, now);
                    is_check_due =
                        acquisition.can_ask_again() && !request.local_wait_left(now).is_zero();
                    if is_check_due {
                        limit = limit.min(LOCAL_WAIT_CHECK_INTERVAL);
                    }
                }
                Err(_) if is_check_due => {
                    let now = BootClock.now();
                    acquisition.ask_again(RemainingTimes::of(request, now));
                    limit = final_reply_limit(request, now).min(LOCAL_WAIT_CHECK_TIMEOUT);
                    is_check_due = false;
                }
                Ok(Some(AcquireReply::Granted(granted))) => {
                    let by = match allocator {
                        AllocatorHandle::Local(_) => "here",
                        AllocatorHandle::Remote(_) => "allocator",
                    };
                    counter!(metric::TARGETS_OBTAINED, "by" => by).increment(1);
                    return self.accept_lease(acquisition, &group, &granted);
                }
                Ok(Some(AcquireReply::Refused(refusal))) => {
                    acquisition.lease.closed_by_allocator();
                    return AcquireOutcome::Refused(refusal);
                }
                Ok(Some(AcquireReply::Redirected(group, allocator))) => {
                    acquisition.lease.closed_by_allocator();
                    return AcquireOutcome::Redirected(group, allocator);
                }
                Ok(Some(AcquireReply::AskInstead(_))) => {
                    acquisition.lease.closed_by_allocator();
                    return AcquireOutcome::AskInstead;
                }
                Ok(Some(AcquireReply::Declined)) => {
                    acquisition.lease.closed_by_allocator();
                    self.skip_process(allocator);
                    return AcquireOutcome::Unusable;
                }
                Ok(None) | Err(_) => {
                    self.skip_process(allocator);
                    return AcquireOutcome::Unusable;
                }
            }
        }
    }

    fn skip_process(&self, allocator: &AllocatorHandle) {
        if let AllocatorHandle::Remote(process) = allocator {
            self.context.allocation.skip_process(&process.vm, BootClock.now());
        }
    }

    fn accept_lease(
        self: &Arc<Self>,
        mut acquisition: Acquisition,
        group: &Group,
        granted: &LeaseGrant,
    ) -> AcquireOutcome {
        let concurrency = Some(granted.concurrency);
        self.allocators.lock().0.entry(group.clone()).or_default().concurrency = concurrency;
        let now = BootClock.now();
        let mut local = self.local.lock();
        let dispatcher = &mut local.dispatcher;
        let Some(grant) = dispatcher.grant_target(&granted.target, granted.rate_limit, now) else {
            let index = dispatcher.index_of(&granted.target);
            let leaving = index.and_then(|index| dispatcher.leaving_incarnation(index));
            let is_stale = leaving.is_some() || dispatcher.is_backing_off(&granted.target, now);
            drop(local);
            acquisition.lease.set_leaving(leaving);
            return if is_stale { AcquireOutcome::Stale } else { AcquireOutcome::Unusable };
        };
        let is_within_limit = dispatcher.is_within_limit(&grant);
        drop(local);
        // Dropping the guard releases the lease and reports the known rate limit to the allocator.
        let guard = GrantGuard::new(self, grant).with_lease(acquisition.lease);
        if is_within_limit {
            return AcquireOutcome::Granted(guard);
        }
        counter!(metric::UNCOUNTED_GRANTS).increment(1);
        AcquireOutcome::Stale
    }

    fn target_names(&self, tried: &Tried) -> Vec<TargetName> {
        let local = self.local.lock();
        tried.iter().map(|index| local.dispatcher.name_at(index)).collect()
    }
}

/// Returns the time limit for an allocator's last reply to a request that it has queued.
fn final_reply_limit(request: &Request, now: Timestamp) -> Duration {
    now.until(request.wait_until) + FINAL_REPLY_GRACE
}
