//! Closed-loop load: each connection sends its next request when it has received the answer to
//! its previous one. Closed-loop load measures capacity; its latencies are not meaningful.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::load::CallResult;
use crate::load::KindLoad;
use crate::load::caller::CallTrace;
use crate::load::caller::Callers;

/// Runs a closed loop for `duration` over `connections` connections and returns the number of
/// complete, correct answers.
pub async fn run_closed(
    address: SocketAddr,
    kind: &KindLoad,
    connections: usize,
    duration: Duration,
) -> u64 {
    let answered = Arc::new(AtomicU64::new(0));
    let callers = Arc::new(Callers::new(Duration::ZERO));
    let end = Instant::now() + duration;
    let mut loops = JoinSet::new();
    for _ in 0..connections {
        let (answered, callers, kind) = (answered.clone(), callers.clone(), kind.clone());
        loops.spawn(async move {
            while Instant::now() < end {
                if callers.call(address, &kind, "0", &mut CallTrace::default()).await
                    == CallResult::Answered
                {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    while loops.join_next().await.is_some() {}
    answered.load(Ordering::Relaxed)
}
