//! Watching the platform, while it is this process's turn.
//!
//! The platform serves `GET /v1/configuration?after=R&wait_ms=W` and the same for
//! `/v1/vms`: `200` with the document and its revision in `thymeshift-revision`, or `204`
//! if nothing newer than `R` came within `W`. Each call counts against the fleet's budget.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use spdlog::warn;
use thymeshift_fleet::OfferOutcome;
use thymeshift_fleet::Published;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_wire::Document;
use tokio::time::sleep;

use crate::environment::SourceError;
use crate::native::ask;
use crate::shared::Shared;

/// How long the platform may hold a call open.
const WAIT: Duration = Duration::from_secs(5);
/// Time between two looks at whose turn it is.
const LOOK: Duration = Duration::from_millis(100);
/// Time between two calls for the VM list. The list lags anyway.
const VM_LIST_EVERY: Duration = Duration::from_secs(10);
/// Pause after a call that failed; the next process tries meanwhile.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Watches for ever, whenever it is this process's turn.
pub(crate) async fn run_platform(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut listed_at: Option<Timestamp> = None;
    // After a failure the next call does not wait: a platform that accepts calls and says
    // nothing is noticed, and so is its return, within the answer's limit.
    let mut wait = WAIT;
    loop {
        let has_token = {
            let now = BootClock.now();
            let mut fleet = shared.fleet.lock();
            let count = fleet.members.count_alive(now);
            fleet.election.should_watch(count, now)
        };
        if !has_token {
            sleep(LOOK).await;
            continue;
        }
        shared.peer_exchange_due.notify_one();
        let watched = watch_once(&shared, &mut listed_at, wait).await;
        wait = if watched.is_ok() { WAIT } else { Duration::ZERO };
        if let Err(error) = watched {
            warn!("platform_call_failed", kv: { error: = error });
            shared.fleet.lock().election.failed(BootClock.now());
            sleep(FAILED_PAUSE).await;
        }
    }
}

async fn watch_once(
    shared: &Arc<Shared>,
    listed_at: &mut Option<Timestamp>,
    wait: Duration,
) -> Result<(), SourceError> {
    let now = BootClock.now();
    if listed_at.is_none_or(|at| now.since(at) >= VM_LIST_EVERY) {
        *listed_at = Some(now);
        if let Some(published) = fetch(shared, Document::VmList, Duration::ZERO).await? {
            offer(shared, Document::VmList, &published, "platform");
        }
    }
    if let Some(published) = fetch(shared, Document::Configuration, wait).await? {
        let offered = offer(shared, Document::Configuration, &published, "platform");
        if offered != OfferOutcome::Adopted {
            // The platform answers older or refused content at once: do not ask in a loop.
            sleep(WAIT).await;
        }
    }
    shared.fleet.lock().election.succeeded();
    Ok(())
}

/// Asks the platform for a document newer than the one known.
pub(crate) async fn fetch(
    shared: &Arc<Shared>,
    document: Document,
    wait: Duration,
) -> Result<Option<Published>, SourceError> {
    let known = shared.fleet.lock().document(document).head();
    let after = known.map_or(0, |head| head.revision.as_u64());
    let place = match document {
        Document::Configuration => "configuration",
        Document::VmList => "vms",
        Document::Targets => "targets",
    };
    shared.metrics.platform_calls.fetch_add(1, Ordering::Relaxed);
    let answered = ask(shared.settings().platform_address, place, after, wait).await;
    let result = match &answered {
        Ok(Some(_)) => "changed",
        Ok(None) => "unchanged",
        Err(_) => "failed",
    };
    counter!(metric::PLATFORM_CALLS, "result" => result).increment(1);
    if answered.is_ok() {
        *shared.platform_answered_at.lock() = Some(BootClock.now());
    }
    answered
}

/// Offers a document from any source.
pub(crate) fn offer(
    shared: &Arc<Shared>,
    document: Document,
    published: &Published,
    source: &str,
) -> OfferOutcome {
    match document {
        Document::Configuration => shared.offer_configuration(published, source),
        Document::VmList => offer_vm_list(shared, published),
        Document::Targets => shared.offer_targets(published, source),
    }
}

/// The VM list is one peer address a line; a line that is none makes the list invalid.
fn offer_vm_list(shared: &Shared, published: &Published) -> OfferOutcome {
    let mut fleet = shared.fleet.lock();
    let parse = |text: &str| -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
        text.lines()
            .filter(|line| !line.trim().is_empty())
            .map(|line| line.trim().parse())
            .collect()
    };
    let (offered, adopted) = fleet.vm_list.offer(published, BootClock.now(), parse);
    if let Some(listed) = adopted {
        let mut hints = shared.settings().peers.clone();
        hints.extend(listed);
        fleet.members.set_hints(hints);
    }
    offered
}
