//! Obtaining a target: from the process that lends the service's targets, or, where there
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

use crate::post::Borrowing;
use crate::post::LenderPlace;
use crate::post::Reply;
use crate::post::Wish;
use crate::service::Admitted;
use crate::service::GrantGuard;
use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Longest wait for a lender's first word.
const FIRST_WORD_LIMIT: Duration = Duration::from_millis(25);
/// How much later than the end of its wait a lender's last word may come.
const LAST_WORD_SLACK: Duration = Duration::from_millis(25);
/// Lenders asked for one request before the process decides alone.
const LENDERS_ASKED_MAX: usize = 2;
/// How long the order of lenders is kept before it is worked out anew.
const ORDER_KEPT: Duration = Duration::from_millis(200);

/// Processes in the order in which they lend a service's targets; None is this process.
#[derive(Default)]
pub(super) struct Lenders {
    order: Arc<[Option<LenderPlace>]>,
    made_at: Option<Timestamp>,
}

/// What a lender's word came to.
enum Asked {
    Granted(GrantGuard),
    Refused(Refusal),
    /// It did not answer, does not lend, or lent a target that may not be used.
    Useless,
}

impl ServiceRuntime {
    /// Obtains a target; waits for one as long as the request allows.
    pub(crate) async fn obtain(
        self: &Arc<Self>,
        shared: &Shared,
        request: Request,
    ) -> Result<GrantGuard, Option<Refusal>> {
        let view = match self.ask_lenders(shared, &request).await {
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

    async fn ask_lenders(self: &Arc<Self>, shared: &Shared, request: &Request) -> AskedAll {
        if self.links.post.socket().is_none() {
            return AskedAll::DecideAs(View::Own);
        }
        let now = BootClock.now();
        let order = self.order(shared, now);
        let usable = order.iter().filter(|lender| match lender {
            Some(lender) => !self.links.post.is_passed_over(&lender.vm, now),
            None => !shared.is_stopping(),
        });
        for lender in usable.take(LENDERS_ASKED_MAX) {
            let Some(lender) = lender else {
                return AskedAll::DecideAs(View::Fleet);
            };
            match self.ask(lender, request).await {
                Asked::Granted(grant) => {
                    counter!(metric::OBTAINED, "by" => "lender").increment(1);
                    return AskedAll::Decided(Ok(grant));
                }
                Asked::Refused(refusal) => return AskedAll::Decided(Err(refusal)),
                Asked::Useless => {}
            }
        }
        AskedAll::DecideAs(View::Fallback)
    }

    fn order(&self, shared: &Shared, now: Timestamp) -> Arc<[Option<LenderPlace>]> {
        let mut lenders = self.lenders.lock();
        let is_fresh = lenders.made_at.is_some_and(|at| now.since(at) < ORDER_KEPT);
        if !is_fresh {
            lenders.order = shared.lender_order(self.name(), now).into();
            lenders.made_at = Some(now);
        }
        lenders.order.clone()
    }

    async fn ask(self: &Arc<Self>, lender: &LenderPlace, request: &Request) -> Asked {
        let now = BootClock.now();
        let wish = Wish {
            service: self.name().clone(),
            priority: request.priority,
            deadline: now.until(request.deadline),
            wait: now.until(request.wait_until),
            queue_max: request.queue_max,
            tried: self.names(&request.tried),
        };
        let mut borrowing = self.links.post.borrow(lender, wish);
        let mut limit = FIRST_WORD_LIMIT;
        loop {
            match timeout(limit, borrowing.replies.recv()).await {
                Ok(Some(Reply::Waiting)) => {
                    limit = BootClock.now().until(request.wait_until) + LAST_WORD_SLACK;
                }
                Ok(Some(Reply::Lent(target, concurrency))) => {
                    return self.take_loan(borrowing, &target, concurrency);
                }
                Ok(Some(Reply::Refused(refusal))) => {
                    borrowing.loan.closed_by_lender();
                    return Asked::Refused(refusal);
                }
                Ok(Some(Reply::Declined)) => {
                    borrowing.loan.closed_by_lender();
                    self.links.post.pass_over(&lender.vm, BootClock.now());
                    return Asked::Useless;
                }
                Ok(None) | Err(_) => {
                    self.links.post.pass_over(&lender.vm, BootClock.now());
                    return Asked::Useless;
                }
            }
        }
    }

    fn take_loan(
        self: &Arc<Self>,
        borrowing: Borrowing,
        target: &TargetName,
        concurrency: u32,
    ) -> Asked {
        let granted = {
            let mut desk = self.desk.lock();
            desk.dispatcher.adopt_concurrency(concurrency);
            desk.dispatcher.grant_at(target, BootClock.now())
        };
        match granted {
            Some(grant) => Asked::Granted(GrantGuard::new(self, grant).with_loan(borrowing.loan)),
            None => Asked::Useless,
        }
    }

    fn names(&self, tried: &Tried) -> Vec<TargetName> {
        let desk = self.desk.lock();
        tried.iter().map(|index| desk.dispatcher.name_at(index)).collect()
    }
}

/// What asking all lenders came to.
enum AskedAll {
    Decided(Result<GrantGuard, Refusal>),
    DecideAs(View),
}
