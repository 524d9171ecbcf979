//! Making the load.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::load::CallResult;
use crate::load::KindResult;
use crate::load::LoadPlan;
use crate::load::LoadResult;
use crate::load::arrivals::Arrival;
use crate::load::arrivals::arrivals;
use crate::load::caller::Callers;

/// Longest time a caller waits for anything.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// Sends everything the plan says and waits for every answer.
pub async fn run(plan: LoadPlan) -> LoadResult {
    let arrivals = arrivals(&plan);
    let results = plan.kinds.iter().map(|kind| KindResult::new(&kind.name)).collect();
    let results: Arc<Mutex<Vec<KindResult>>> = Arc::new(Mutex::new(results));
    let callers = Arc::new(Callers::new(Duration::from_micros(plan.one_way_us)));
    callers.warm(&plan.entries.list(), plan.warm_connections).await;
    let start = Instant::now();
    let mut due = pace(arrivals, start);
    let plan = Arc::new(plan);
    let mut calls = JoinSet::new();
    let mut number = 0_usize;
    while let Some(arrival) = due.recv().await {
        let call = Call {
            plan: plan.clone(),
            callers: callers.clone(),
            results: results.clone(),
            arrival,
            number,
            due_at: start + arrival.at,
        };
        calls.spawn(call.run());
        number += 1;
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let kinds = std::mem::take(&mut *results.lock());
    LoadResult { kinds, elapsed: start.elapsed() }
}

/// Hands arrivals out when they are due, from a thread of its own: its sleep is finer
/// than the runtime's timer.
fn pace(arrivals: Vec<Arrival>, start: Instant) -> mpsc::UnboundedReceiver<Arrival> {
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
    number: usize,
    due_at: Instant,
}

impl Call {
    async fn run(self) {
        let Self { plan, callers, results, arrival, number, due_at } = self;
        let kind = &plan.kinds[arrival.kind];
        let Some(entry) = plan.entries.entry_for_request(number) else {
            return;
        };
        let nonce = format!("{}-{number}", plan.seed);
        let called = timeout(CALL_LIMIT, callers.call(entry, kind, &nonce)).await;
        let told = called.unwrap_or(CallResult::NoAnswer);
        let taken = due_at.elapsed();
        results.lock()[arrival.kind].record(nonce, told, taken, kind.in_time_ms);
    }
}
