//! Obtaining a target: from the process that allocates the service's targets, or, where there
//! is none that answers, from the own dispatcher.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use tokio::time::timeout;

use crate::allocation_client::Acquisition;
use crate::allocation_client::AllocatorPlace;
use crate::allocation_client::Reply;
use crate::allocation_client::Wanted;
use crate::service::Admitted;
use crate::service::GrantGuard;
use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Longest wait for a allocator's first word.
const FIRST_WORD_LIMIT: Duration = Duration::from_millis(25);
/// How much later than the end of its wait a allocator's last word may come.
const LAST_WORD_SLACK: Duration = Duration::from_millis(25);
/// AllocatorOrder asked for one request before the process decides alone.
const ALLOCATORS_ASKED_MAX: usize = 2;
/// How long the order of allocators is kept before it is worked out anew.
const ORDER_KEPT: Duration = Duration::from_millis(200);

/// Processes in the order in which they allocate a service's targets; None is this process.
#[derive(Default)]
pub(super) struct AllocatorOrder {
    order: Arc<[Option<AllocatorPlace>]>,
    made_at: Option<Timestamp>,
}

/// What a allocator's word came to.
enum Asked {
    Granted(GrantGuard),
    Refused(Refusal),
    /// It did not answer, does not allocate, or granted a target that may not be used.
    Useless,
}

impl ServiceRuntime {
    /// Obtains a target; waits for one as long as the request allows.
    pub(crate) async fn obtain(
        self: &Arc<Self>,
        shared: &Shared,
        request: Request,
    ) -> Result<GrantGuard, Option<Refusal>> {
        let view = match self.ask_allocators(shared, &request).await {
            AskedAll::Decided(decided) => return decided.map_err(Some),
            AskedAll::DecideAs(view) => view,
        };
        let by = match view {
            View::Own => "alone",
            View::Fleet => "own_books",
            View::Fallback => "fallback",
        };
        counter!(metric::OBTAINED, "by" => by).increment(1);
        match self.admit(request, view, BootClock.now()) {
            Admitted::Send(grant) => Ok(grant),
            Admitted::Refused(refusal) => Err(Some(refusal)),
            Admitted::Wait(waiting) => {
                let left = BootClock.now().until(request.deadline);
                match timeout(left, waiting.decided()).await {
                    Ok(Some(decided)) => decided.map_err(Some),
                    Ok(None) | Err(_) => Err(None),
                }
            }
        }
    }

    async fn ask_allocators(self: &Arc<Self>, shared: &Shared, request: &Request) -> AskedAll {
        if self.links.allocation.socket().is_none() {
            return AskedAll::DecideAs(View::Own);
        }
        let now = BootClock.now();
        let order = self.order(shared, now);
        let usable = order.iter().filter(|allocator| match allocator {
            Some(allocator) => !self.links.allocation.is_passed_over(&allocator.vm, now),
            None => !shared.is_stopping(),
        });
        for allocator in usable.take(ALLOCATORS_ASKED_MAX) {
            let Some(allocator) = allocator else {
                return AskedAll::DecideAs(View::Fleet);
            };
            match self.ask(allocator, request).await {
                Asked::Granted(grant) => {
                    counter!(metric::OBTAINED, "by" => "allocator").increment(1);
                    return AskedAll::Decided(Ok(grant));
                }
                Asked::Refused(refusal) => return AskedAll::Decided(Err(refusal)),
                Asked::Useless => {}
            }
        }
        AskedAll::DecideAs(View::Fallback)
    }

    fn order(&self, shared: &Shared, now: Timestamp) -> Arc<[Option<AllocatorPlace>]> {
        let mut allocators = self.allocators.lock();
        let is_fresh = allocators.made_at.is_some_and(|at| now.since(at) < ORDER_KEPT);
        if !is_fresh {
            allocators.order = shared.allocator_order(self.name(), now).into();
            allocators.made_at = Some(now);
        }
        allocators.order.clone()
    }

    async fn ask(self: &Arc<Self>, allocator: &AllocatorPlace, request: &Request) -> Asked {
        let now = BootClock.now();
        let wanted = Wanted {
            service: self.name().clone(),
            priority: request.priority,
            deadline: now.until(request.deadline),
            wait: now.until(request.wait_until),
            queue_max: request.queue_max,
            tried: self.names(&request.tried),
        };
        let mut acquisition = self.links.allocation.acquire(allocator, wanted);
        let mut limit = FIRST_WORD_LIMIT;
        loop {
            match timeout(limit, acquisition.replies.recv()).await {
                Ok(Some(Reply::Waiting)) => {
                    limit = BootClock.now().until(request.wait_until) + LAST_WORD_SLACK;
                }
                Ok(Some(Reply::Granted(target, concurrency))) => {
                    return self.take_lease(acquisition, &target, concurrency);
                }
                Ok(Some(Reply::Refused(refusal))) => {
                    acquisition.lease.closed_by_allocator();
                    return Asked::Refused(refusal);
                }
                Ok(Some(Reply::Declined)) => {
                    acquisition.lease.closed_by_allocator();
                    self.links.allocation.pass_over(&allocator.vm, BootClock.now());
                    return Asked::Useless;
                }
                Ok(None) | Err(_) => {
                    self.links.allocation.pass_over(&allocator.vm, BootClock.now());
                    return Asked::Useless;
                }
            }
        }
    }

    fn take_lease(
        self: &Arc<Self>,
        acquisition: Acquisition,
        target: &TargetName,
        concurrency: u32,
    ) -> Asked {
        let granted = {
            let mut desk = self.desk.lock();
            desk.dispatcher.adopt_concurrency(concurrency);
            desk.dispatcher.grant_at(target, BootClock.now())
        };
        match granted {
            Some(grant) => {
                Asked::Granted(GrantGuard::new(self, grant).with_lease(acquisition.lease))
            }
            None => Asked::Useless,
        }
    }

    fn names(&self, tried: &Tried) -> Vec<TargetName> {
        let desk = self.desk.lock();
        tried.iter().map(|index| desk.dispatcher.name_at(index)).collect()
    }
}

/// What asking all allocators came to.
enum AskedAll {
    Decided(Result<GrantGuard, Refusal>),
    DecideAs(View),
}
