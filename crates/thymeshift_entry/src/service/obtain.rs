//! Obtaining a target: from the process that allocates a group of the service's targets, or,
//! where there is none that answers, from the own dispatcher.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rand::Rng;
use thymeshift_allocation::Granted;
use thymeshift_allocation::Group;
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

use crate::allocation_client::AcquireRequest;
use crate::allocation_client::Acquisition;
use crate::allocation_client::AllocatorHandle;
use crate::allocation_client::AllocatorReply;
use crate::service::GrantGuard;
use crate::service::GroupRuntime;
use crate::service::LocalDecision;
use crate::service::ServiceRuntime;
use crate::shared::RankedProcesses;
use crate::shared::Shared;

/// Longest wait for an allocator's first word.
const FIRST_WORD_LIMIT: Duration = Duration::from_millis(25);
/// How much later than the end of its wait an allocator's last word may come.
const LAST_WORD_SLACK: Duration = Duration::from_millis(25);
/// Allocators of one group asked for one request.
const ALLOCATORS_ASKED_MAX: usize = 2;
/// Grants of one allocator that are given back, one after the other, since it did not know what their
/// targets have said: each tells it of one.
const STALE_GRANTS_MAX: usize = 4;
/// How long the order of allocators is kept before it is worked out anew, unless members
/// change. One that is gone is noticed by its silence.
const ORDER_KEPT: Duration = Duration::from_secs(1);

/// What is known of the allocators of each group.
#[derive(Default)]
pub(super) struct Allocators(HashMap<Group, GroupAllocators>);

#[derive(Default)]
struct GroupAllocators {
    order: RankedProcesses,
    made_at: Option<Timestamp>,
    /// Changes among members that it takes into account.
    changes: u64,
    concurrency: Option<u32>,
    /// The part of targets' limits that this process may grant, should it be asked.
    rate_share: RateShare,
}

impl Allocators {
    fn fresh_order(&self, group: &Group, changes: u64, now: Timestamp) -> Option<RankedProcesses> {
        let known = self.0.get(group)?;
        let is_young = known.made_at.is_some_and(|at| now.since(at) < ORDER_KEPT);
        let is_fresh = is_young && known.changes == changes;
        is_fresh.then(|| known.order.clone())
    }

    fn keep_order(
        &mut self,
        group: &Group,
        order: RankedProcesses,
        rate_share: RateShare,
        changes: u64,
        now: Timestamp,
    ) {
        let known = self.0.entry(group.clone()).or_default();
        known.order = order;
        known.rate_share = rate_share;
        known.made_at = Some(now);
        known.changes = changes;
    }

    fn rate_share(&self, group: &Group) -> RateShare {
        self.0.get(group).map_or(RateShare::NONE, |known| known.rate_share)
    }

    /// The most requests that one target of the group serves well at a time, as its allocator
    /// told last.
    pub(super) fn known_concurrency(&self, group: &Group) -> Option<u32> {
        self.0.get(group)?.concurrency
    }
}

/// What asking the allocators of one group came to.
#[expect(clippy::large_enum_variant, reason = "taken apart where it is made")]
enum Asked {
    Granted(GrantGuard),
    Refused(Refusal),
    Redirected(Group, AllocatorAddress),
    /// Another process, which is known now, ranks before the one that was asked.
    AskInstead,
    /// The allocator did not know what the target has said of itself: it learns when the grant is
    /// given back.
    Stale,
    /// None answered or allocates, or a target was granted that may not be used.
    Useless,
}

impl ServiceRuntime {
    /// Obtains a target; waits for one as long as the request allows.
    pub(crate) async fn obtain(
        self: &Arc<Self>,
        shared: &Shared,
        request: Request,
    ) -> Result<GrantGuard, Option<Refusal>> {
        if let Some(refusal) = self.wait_out_backoffs(&request).await {
            return Err(Some(refusal));
        }
        let has_allocators = self.context.allocation.socket().is_some();
        if has_allocators {
            match self.ask_groups(shared, &request).await {
                Asked::Granted(grant) => return Ok(grant),
                Asked::Refused(refusal) => return Err(Some(refusal)),
                Asked::Redirected(..) | Asked::AskInstead | Asked::Stale | Asked::Useless => {}
            }
        }
        let (view, by) =
            if has_allocators { (View::Fallback, "fallback") } else { (View::Own, "alone") };
        counter!(metric::OBTAINED, "by" => by).increment(1);
        match self.admit(request, view, BootClock.now()) {
            LocalDecision::Send(grant) => Ok(grant),
            LocalDecision::Refused(refusal) => Err(Some(refusal)),
            LocalDecision::Wait(waiting) => {
                let left = BootClock.now().until(request.deadline);
                match timeout(left, waiting.decided()).await {
                    Ok(Some(decided)) => decided.map_err(Some),
                    Ok(None) | Err(_) => Err(None),
                }
            }
        }
    }

    /// Waits while all targets have asked this process for a backoff. Refuses a request that may not
    /// wait for so long.
    async fn wait_out_backoffs(&self, request: &Request) -> Option<Refusal> {
        loop {
            let now = BootClock.now();
            let until = {
                let dispatcher = &self.local.lock().dispatcher;
                let refusal = dispatcher.beyond_backoffs(request, now, &mut rand::rng());
                if refusal.is_some() {
                    return refusal;
                }
                dispatcher.all_backing_off_until(now)?
            };
            sleep(now.until(until)).await;
        }
    }

    /// Asks for a target of the own data hall's group, and of another one if that has no
    /// room.
    async fn ask_groups(self: &Arc<Self>, shared: &Shared, request: &Request) -> Asked {
        let configured = self.configured();
        let grouping = &configured.grouping;
        let draw = rand::rng().random();
        let first = grouping.first_for(&self.own_data_hall, draw);
        let (other, by) = match self.ask_group(shared, first, grouping.is_divided(), request).await
        {
            Asked::Redirected(other, by) => (other, by),
            // Whoever allocates the group knows of no target that may be used: its data hall was
            // drained, and the news has reached it before this process.
            Asked::Refused(Refusal { reason: Reason::NoTarget, .. })
                if let Some(other) = grouping.other_than(first, draw) =>
            {
                return self.ask_group(shared, other, true, request).await;
            }
            asked => return asked,
        };
        let wanted = self.wanted(&other, request);
        let allocating = self.allocating(shared, &other, Some(by));
        match self.ask(&allocating, wanted, request).await {
            Asked::Useless | Asked::AskInstead | Asked::Stale => {
                self.ask_group(shared, first, false, request).await
            }
            asked => asked,
        }
    }

    async fn ask_group(
        self: &Arc<Self>,
        shared: &Shared,
        group: &Group,
        may_redirect: bool,
        request: &Request,
    ) -> Asked {
        let asked = self.ask_in_order(shared, group, may_redirect, true, request).await;
        match asked {
            // The process named is known now; whoever is asked then is not to name others.
            Asked::AskInstead => {
                self.ask_in_order(shared, group, may_redirect, false, request).await
            }
            asked => asked,
        }
    }

    async fn ask_in_order(
        self: &Arc<Self>,
        shared: &Shared,
        group: &Group,
        may_redirect: bool,
        may_be_corrected: bool,
        request: &Request,
    ) -> Asked {
        let now = BootClock.now();
        let order = self.allocator_order(shared, group, now);
        let is_usable = |place: &&Option<AllocatorAddress>| match place {
            Some(place) => !self.context.allocation.is_skipped(&place.vm, now),
            None => !shared.is_stopping(),
        };
        let first = order.first().filter(is_usable);
        for place in order.iter().filter(is_usable).take(ALLOCATORS_ASKED_MAX) {
            let allocating = self.allocating(shared, group, place.clone());
            for _ in 0..STALE_GRANTS_MAX {
                let mut wanted = self.wanted(group, request);
                wanted.may_redirect = may_redirect;
                wanted.is_first_choice = may_be_corrected && Some(place) == first;
                match self.ask(&allocating, wanted, request).await {
                    Asked::Stale => {}
                    Asked::Useless => break,
                    asked => return asked,
                }
            }
        }
        Asked::Useless
    }

    /// How the allocator of a group is asked; None is this process.
    fn allocating(
        self: &Arc<Self>,
        shared: &Shared,
        group: &Group,
        place: Option<AllocatorAddress>,
    ) -> AllocatorHandle {
        match place {
            Some(place) if place.vm != *self.context.allocation.vm() => {
                AllocatorHandle::Remote(place)
            }
            Some(_) | None => AllocatorHandle::Local(self.local_group(shared, group)),
        }
    }

    /// A group that this process is asked to allocate, with the part of targets' limits that it
    /// may grant now.
    pub(crate) fn local_group(&self, shared: &Shared, group: &Group) -> Arc<GroupRuntime> {
        let now = BootClock.now();
        // Keeps the share as fresh as the order.
        let _ = self.allocator_order(shared, group, now);
        let share = self.allocators.lock().rate_share(group);
        let runtime = self.group(group);
        runtime.set_rate_share(share);
        runtime
    }

    fn wanted(&self, group: &Group, request: &Request) -> AcquireRequest {
        let now = BootClock.now();
        let hall = match group {
            Group::All => None,
            Group::Hall(hall) => Some(hall),
        };
        let excluded = self.local.lock().dispatcher.backing_off(hall, now);
        AcquireRequest {
            service: self.name().clone(),
            group: group.clone(),
            may_redirect: false,
            is_first_choice: false,
            priority: request.priority,
            deadline: now.until(request.deadline),
            wait: now.until(request.wait_until),
            objective: now.until(request.objective),
            queue_max: request.queue_max,
            answer_kib: request.answer_kib,
            tried: self.names(&request.tried),
            excluded,
        }
    }

    /// The member that ranks before this process as the allocator of a group, and answers as far
    /// as this process knows: whoever asks here knows less of the fleet.
    pub(crate) fn preferred_allocator(&self, shared: &Shared, group: &Group) -> Option<Member> {
        let now = BootClock.now();
        let order = self.allocator_order(shared, group, now);
        let is_usable =
            |place: &&AllocatorAddress| !self.context.allocation.is_skipped(&place.vm, now);
        let first = order.first()?.as_ref().filter(is_usable)?;
        shared.fleet.lock().members.find(&first.vm).cloned()
    }

    /// The processes that allocate a group, first choice first; None is this process.
    pub(crate) fn allocator_order(
        &self,
        shared: &Shared,
        group: &Group,
        now: Timestamp,
    ) -> RankedProcesses {
        // Not under the lock below: these take the fleet's.
        let changes = shared.fleet.lock().members.changes();
        if let Some(order) = self.allocators.lock().fresh_order(group, changes, now) {
            return order;
        }
        let order: Arc<[_]> = shared.allocator_order(self.name(), group, now).into();
        let rate_share = shared.allocator_rank(self.name(), group, now).rate_share();
        self.allocators.lock().keep_order(group, order.clone(), rate_share, changes, now);
        order
    }

    async fn ask(
        self: &Arc<Self>,
        allocating: &AllocatorHandle,
        wanted: AcquireRequest,
        request: &Request,
    ) -> Asked {
        let group = wanted.group.clone();
        let mut acquisition = self.context.allocation.acquire(allocating, wanted);
        let mut limit = FIRST_WORD_LIMIT;
        loop {
            match timeout(limit, acquisition.replies.recv()).await {
                Ok(Some(AllocatorReply::Waiting)) => {
                    limit = BootClock.now().until(request.wait_until) + LAST_WORD_SLACK;
                }
                Ok(Some(AllocatorReply::Granted(granted))) => {
                    let by = match allocating {
                        AllocatorHandle::Local(_) => "here",
                        AllocatorHandle::Remote(_) => "allocator",
                    };
                    counter!(metric::OBTAINED, "by" => by).increment(1);
                    return self.take_lease(acquisition, &group, &granted);
                }
                Ok(Some(AllocatorReply::Refused(refusal))) => {
                    acquisition.lease.closed_by_allocator();
                    return Asked::Refused(refusal);
                }
                Ok(Some(AllocatorReply::Redirected(group, by))) => {
                    acquisition.lease.closed_by_allocator();
                    return Asked::Redirected(group, by);
                }
                Ok(Some(AllocatorReply::AskInstead(_))) => {
                    acquisition.lease.closed_by_allocator();
                    return Asked::AskInstead;
                }
                Ok(Some(AllocatorReply::Declined)) => {
                    acquisition.lease.closed_by_allocator();
                    self.skip_process(allocating);
                    return Asked::Useless;
                }
                Ok(None) | Err(_) => {
                    self.skip_process(allocating);
                    return Asked::Useless;
                }
            }
        }
    }

    fn skip_process(&self, allocating: &AllocatorHandle) {
        if let AllocatorHandle::Remote(place) = allocating {
            self.context.allocation.skip_process(&place.vm, BootClock.now());
        }
    }

    fn take_lease(
        self: &Arc<Self>,
        mut acquisition: Acquisition,
        group: &Group,
        granted: &Granted,
    ) -> Asked {
        let concurrency = Some(granted.concurrency);
        self.allocators.lock().0.entry(group.clone()).or_default().concurrency = concurrency;
        let now = BootClock.now();
        let mut local = self.local.lock();
        let dispatcher = &mut local.dispatcher;
        let Some(grant) = dispatcher.grant_at(&granted.target, granted.rate_limit, now) else {
            let index = dispatcher.index_of(&granted.target);
            let leaving = index.and_then(|index| dispatcher.leaving_incarnation(index));
            let is_stale = leaving.is_some() || dispatcher.is_backing_off(&granted.target, now);
            drop(local);
            acquisition.lease.set_leaving(leaving);
            return if is_stale { Asked::Stale } else { Asked::Useless };
        };
        let is_within_limit = dispatcher.is_within_limit(&grant);
        drop(local);
        // Dropped, it tells the allocator what this process knows of the limit.
        let guard = GrantGuard::new(self, grant).with_lease(acquisition.lease);
        if is_within_limit {
            return Asked::Granted(guard);
        }
        counter!(metric::UNCOUNTED_GRANTS).increment(1);
        Asked::Stale
    }

    fn names(&self, tried: &Tried) -> Vec<TargetName> {
        let local = self.local.lock();
        tried.iter().map(|index| local.dispatcher.name_at(index)).collect()
    }
}
