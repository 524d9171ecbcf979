//! Watcher of the platform. Only the processes elected as watchers call the platform.
//!
//! The platform serves `GET /v1/configuration?after=R&wait_ms=W` and the same for `/v1/vms`.
//! Status `200` comes with the document, and its revision in the `thymeshift-revision` header.
//! Status `204` means that nothing newer than revision `R` was published within `W` milliseconds.
//! Each call counts against the fleet's budget of calls to the platform.

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
use crate::native::fetch_document;
use crate::shared::Shared;

/// Time for which the platform may hold a long poll open.
const LONG_POLL_LIMIT: Duration = Duration::from_secs(5);
/// Interval between two checks whether this process is an elected watcher.
const ELECTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two calls for the VM list, which lags behind the actual VMs by itself.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Delay after a failed call to the platform; the next watcher calls in the meantime.
const FAILURE_DELAY: Duration = Duration::from_secs(1);

/// Watches the platform in an endless loop, whenever this process is an elected watcher.
pub(crate) async fn run_platform(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut listed_at: Option<Timestamp> = None;
    // After a failure, the next call is not a long poll. The process then detects within the time
    // limit of an answer that the platform accepts calls without answering, or has recovered.
    let mut wait = LONG_POLL_LIMIT;
    loop {
        let should_watch = {
            let now = BootClock.now();
            let mut fleet = shared.fleet.lock();
            let count = fleet.members.count_alive(now);
            fleet.watcher_selection.should_watch(count, now)
        };
        if !should_watch {
            sleep(ELECTION_CHECK_INTERVAL).await;
            continue;
        }
        shared.peer_exchange_due.notify_one();
        let watched = watch_once(&shared, &mut listed_at, wait).await;
        wait = if watched.is_ok() { LONG_POLL_LIMIT } else { Duration::ZERO };
        if let Err(error) = watched {
            warn!("platform_call_failed", kv: { error: = error });
            shared.fleet.lock().watcher_selection.failed(BootClock.now());
            sleep(FAILURE_DELAY).await;
        }
    }
}

async fn watch_once(
    shared: &Arc<Shared>,
    listed_at: &mut Option<Timestamp>,
    wait: Duration,
) -> Result<(), SourceError> {
    let now = BootClock.now();
    if listed_at.is_none_or(|at| now.since(at) >= VM_LIST_INTERVAL) {
        *listed_at = Some(now);
        if let Some(published) = fetch(shared, Document::VmList, Duration::ZERO).await? {
            offer(shared, Document::VmList, &published, "platform");
        }
    }
    if let Some(published) = fetch(shared, Document::Configuration, wait).await? {
        let offered = offer(shared, Document::Configuration, &published, "platform");
        if offered != OfferOutcome::Adopted {
            // The platform returns old or rejected content at once; the delay prevents a busy loop.
            sleep(LONG_POLL_LIMIT).await;
        }
    }
    shared.fleet.lock().watcher_selection.succeeded();
    Ok(())
}

/// Fetches a document from the platform if its revision is newer than the known one.
pub(crate) async fn fetch(
    shared: &Arc<Shared>,
    document: Document,
    wait: Duration,
) -> Result<Option<Published>, SourceError> {
    let known = shared.fleet.lock().document(document).head();
    let after = known.map_or(0, |head| head.revision.number());
    let document_path = match document {
        Document::Configuration => "configuration",
        Document::VmList => "vms",
        Document::Targets => "targets",
    };
    shared.metrics.platform_calls.fetch_add(1, Ordering::Relaxed);
    let answered =
        fetch_document(shared.settings().platform_address, document_path, after, wait).await;
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

/// Offers a document for adoption; `source` states in the log where the document comes from.
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

/// Offers a VM list for adoption.
/// The list has one peer address per line, and one invalid line makes the whole list invalid.
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
