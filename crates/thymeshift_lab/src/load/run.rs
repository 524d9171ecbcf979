//! Runs an open-loop load.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::load::CallResult;
use crate::load::FailedCall;
use crate::load::KindResult;
use crate::load::LoadPlan;
use crate::load::LoadResult;
use crate::load::arrivals::Arrival;
use crate::load::arrivals::arrivals;
use crate::load::caller::CallTrace;
use crate::load::caller::Callers;

/// Time after which a caller gives up waiting for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends the requests of a load plan at their due times and waits for all answers.
pub async fn run(plan: LoadPlan) -> LoadResult {
    let arrivals = arrivals(&plan);
    let results = plan.kinds.iter().map(|kind| KindResult::new(&kind.name)).collect();
    let results: Arc<Mutex<Vec<KindResult>>> = Arc::new(Mutex::new(results));
    let callers = Arc::new(Callers::new(Duration::from_micros(plan.one_way_us)));
    callers.warm(&plan.entries.list(), plan.warm_connections).await;
    let start = Instant::now();
    let mut due = dispatch_when_due(arrivals, start);
    let plan = Arc::new(plan);
    let mut calls = JoinSet::new();
    let mut request_number = 0_usize;
    while let Some(arrival) = due.recv().await {
        let call = Call {
            plan: plan.clone(),
            callers: callers.clone(),
            results: results.clone(),
            arrival,
            request_number,
            due_at: start + arrival.at,
        };
        calls.spawn(call.run());
        request_number += 1;
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let kinds = std::mem::take(&mut *results.lock());
    LoadResult { kinds, elapsed: start.elapsed() }
}

/// Sends each arrival to the returned channel when it is due. A separate thread does this, because
/// the sleep of a thread is more precise than the timer of the async runtime.
fn dispatch_when_due(arrivals: Vec<Arrival>, start: Instant) -> mpsc::UnboundedReceiver<Arrival> {
    let (sender, receiver) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for arrival in arrivals {
            thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
            if sender.send(arrival).is_err() {
                return;
            }
        }
    });
    receiver
}

struct Call {
    plan: Arc<LoadPlan>,
    callers: Arc<Callers>,
    results: Arc<Mutex<Vec<KindResult>>>,
    arrival: Arrival,
    request_number: usize,
    due_at: Instant,
}

impl Call {
    async fn run(self) {
        let Self { plan, callers, results, arrival, request_number, due_at } = self;
        let kind = &plan.kinds[arrival.kind];
        let Some(entry) = plan.entries.entry_for_request(request_number) else {
            return;
        };
        let nonce = format!("{}-{request_number}", plan.seed);
        let mut trace = CallTrace::default();
        let calling = callers.call(entry, kind, &nonce, &mut trace);
        let called = timeout(CALL_TIMEOUT, calling).await;
        let result = called.unwrap_or(CallResult::NoAnswer);
        let taken = due_at.elapsed();
        let results = &mut results.lock()[arrival.kind];
        if result != CallResult::Answered {
            results.failed_calls.push(FailedCall {
                nonce: nonce.clone(),
                entry,
                result,
                connection: trace.connection,
                error: trace.error,
                due_at: SystemTime::now() - taken,
                due: arrival.at,
                sent_after: trace.sent_at.map(|sent_at| sent_at.duration_since(due_at)),
                taken,
            });
        }
        results.record(nonce, result, taken, kind.in_time_ms);
    }
}
