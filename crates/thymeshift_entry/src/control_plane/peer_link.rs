//! State exchanges with peers.
//!
//! A process periodically exchanges state with one random peer.
//! To announce new state, it immediately exchanges state with a few peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures::future::join_all;
use metrics::counter;
use parking_lot::Mutex;
use rand::Rng;
use spdlog::debug;
use spdlog::error;
use spdlog::warn;
use tarpc::client::RpcError;
use tarpc::context;
use thymeshift_fleet::GossipScope;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_wire::Document;
use thymeshift_wire::Exchange;
use thymeshift_wire::Heads;
use thymeshift_wire::LinkBytes;
use thymeshift_wire::LinkError;
use thymeshift_wire::PeerLinkClient;
use thymeshift_wire::connect_peer;
use tokio::time::timeout;

use crate::control_plane::platform::offer;
use crate::control_plane::suspects::log_verdict;
use crate::shared::Shared;

/// Interval between two periodic exchanges in a small fleet, before jitter.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_250);
/// Number of fleet members for which the exchange interval grows by one [`EXCHANGE_INTERVAL`].
///
/// Processes that work together also exchange datagrams, so large fleets need fewer exchanges.
const MEMBERS_PER_EXCHANGE_INTERVAL: u32 = 144;
/// Interval between two exchanges during [`STARTUP_PERIOD`].
const STARTUP_EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after its start during which a process exchanges state more often.
const STARTUP_PERIOD: Duration = Duration::from_secs(4);
/// Interval between two exchanges while a starting process has received few peer answers.
///
/// A process finds the allocators of a service only among the members that it knows.
const FIRST_CONTACTS_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time to open a connection to a peer.
///
/// A VM that is not powered on yet does not answer.
/// The kernel repeats an unanswered connection request only after one second.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Maximum time for one exchange with a peer.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Maximum time to fetch a document, which takes long while a small VM's network link is busy.
const FETCH_LIMIT: Duration = Duration::from_secs(2);
/// Number of peers that receive new state at once.
const ANNOUNCEMENT_PEERS: usize = 3;
/// Time without an answer after which a document may be fetched from another peer.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of whole documents that a process sends to peers within [`TRANSFER_WINDOW`].
///
/// A refused peer fetches the document from a peer that was served.
/// Documents therefore spread through a starting fleet as along a tree.
/// The few processes that all others know would otherwise send every document over their links.
const TRANSFERS_PER_WINDOW_MAX: u32 = 8;
/// Length of the window in which sent documents are counted.
const TRANSFER_WINDOW: Duration = Duration::from_millis(50);
/// Maximum number of open connections to peers; a further connection replaces all open ones.
const OPEN_CONNECTIONS_MAX: usize = 32;

/// Error of an exchange that returned no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ExchangeError {
    #[display("connecting to peer: {_0}")]
    Connect(LinkError),
    #[display("calling peer: {_0}")]
    Call(RpcError),
}

/// Open connections to peers.
#[derive(Default)]
pub(crate) struct PeerLinks {
    open: Mutex<HashMap<SocketAddr, PeerLinkClient>>,
    /// Documents that are being fetched, with the start time of the last fetch.
    fetching: Mutex<HashMap<Document, Timestamp>>,
    transfers: Mutex<TransferWindow>,
    bytes: Arc<LinkBytes>,
}

/// Fetch of a document that is in progress until the guard is dropped.
struct FetchGuard<'a> {
    links: &'a PeerLinks,
    document: Document,
}

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.links.fetching.lock().remove(&self.document);
    }
}

/// Count of the whole documents sent to peers in the current window.
#[derive(Default)]
struct TransferWindow {
    since: Timestamp,
    count: u32,
}

impl PeerLinks {
    async fn get(&self, address: SocketAddr) -> Result<PeerLinkClient, LinkError> {
        if let Some(client) = self.open.lock().get(&address) {
            return Ok(client.clone());
        }
        let client = connect_peer(address, CONNECT_LIMIT, &self.bytes).await?;
        let mut links = self.open.lock();
        if links.len() >= OPEN_CONNECTIONS_MAX {
            links.clear();
        }
        links.insert(address, client.clone());
        Ok(client)
    }

    /// Returns whether a document may be fetched now, and records the fetch if so.
    ///
    /// Refuses the fetch if another fetch of the document is pending, up to [`FETCH_RETRY_DELAY`].
    fn begin_fetch(&self, document: Document, now: Timestamp) -> bool {
        let mut fetching = self.fetching.lock();
        let is_pending =
            fetching.get(&document).is_some_and(|at| now.since(*at) < FETCH_RETRY_DELAY);
        if !is_pending {
            fetching.insert(document, now);
        }
        !is_pending
    }

    /// Returns a guard of the fetch that has begun. The document may be fetched again once it is dropped,
    /// whatever came of the fetch.
    fn fetch_guard(&self, document: Document) -> FetchGuard<'_> {
        FetchGuard { links: self, document }
    }

    /// Returns whether a whole document may be sent to a peer now, and counts the transfer.
    pub(crate) fn try_begin_transfer(&self, now: Timestamp) -> bool {
        let mut transfers = self.transfers.lock();
        if now.since(transfers.since) >= TRANSFER_WINDOW {
            *transfers = TransferWindow { since: now, count: 0 };
        }
        transfers.count += 1;
        transfers.count <= TRANSFERS_PER_WINDOW_MAX
    }

    fn drop_connection(&self, address: SocketAddr) {
        self.open.lock().remove(&address);
    }

    /// Returns the counters of bytes received from and sent to peers.
    pub(crate) fn bytes(&self) -> &Arc<LinkBytes> {
        &self.bytes
    }
}

/// Exchanges state with peers in an endless loop.
pub(crate) async fn run_peer_link(shared: Arc<Shared>) -> Result<(), TaskError> {
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        let interval = exchange_interval(&shared);
        let is_due_early =
            timeout(interval.mul_f64(jitter), shared.peer_exchange_due.notified()).await.is_ok();
        if is_due_early {
            exchange_with(&shared, ANNOUNCEMENT_PEERS, GossipScope::SenderOnly).await;
        } else {
            exchange_with(&shared, 1, GossipScope::Regular).await;
        }
    }
}

/// Returns the interval until the next periodic exchange, before jitter.
fn exchange_interval(shared: &Shared) -> Duration {
    let now = BootClock.now();
    let fleet = shared.fleet.lock();
    if now.since(shared.started_at) < STARTUP_PERIOD {
        return if fleet.members.is_new() {
            FIRST_CONTACTS_EXCHANGE_INTERVAL
        } else {
            STARTUP_EXCHANGE_INTERVAL
        };
    }
    let members = fleet.members.count_alive(now);
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    EXCHANGE_INTERVAL + EXCHANGE_INTERVAL * members / MEMBERS_PER_EXCHANGE_INTERVAL
}

/// Announces to a few peers that this process is stopping.
pub(crate) async fn announce_shutdown(shared: &Arc<Shared>) {
    exchange_with(shared, ANNOUNCEMENT_PEERS, GossipScope::SenderOnly).await;
}

/// Exchanges state with `count` random peers at the same time.
async fn exchange_with(shared: &Arc<Shared>, count: usize, scope: GossipScope<'static>) {
    let addresses = {
        let now = BootClock.now();
        let mut fleet = shared.fleet.lock();
        let revision = fleet.configuration.head().map(|head| head.revision);
        fleet.members.advance_heartbeat(shared.phase(), revision);
        fleet.members.pick_peers(count, now, &mut rand::rng())
    };
    let exchanges = addresses.into_iter().map(|address| exchange_once(shared, address, scope));
    join_all(exchanges).await;
}

/// Exchanges state with the peer at `address` once, and fetches the documents that are newer there.
///
/// Counts the result of the exchange.
/// A failure is also logged and recorded in the member list, and closes the connection.
pub(crate) async fn exchange_once(
    shared: &Arc<Shared>,
    address: SocketAddr,
    scope: GossipScope<'_>,
) -> Result<(), ExchangeError> {
    let answered = call(shared, address, scope).await;
    let result = if answered.is_ok() { "answered" } else { "failed" };
    counter!(metric::PEER_EXCHANGES, "result" => result).increment(1);
    if let Err(error) = &answered {
        let peer = address.to_string();
        debug!("peer_exchange_failed", kv: { peer, error: = error });
        shared.links.drop_connection(address);
        shared.fleet.lock().members.record_no_answer(address);
    }
    answered
}

async fn call(
    shared: &Arc<Shared>,
    address: SocketAddr,
    scope: GossipScope<'_>,
) -> Result<(), ExchangeError> {
    let client = shared.links.get(address).await?;
    let mut summary = shared.fleet.lock().summary(scope, BootClock.now(), &mut rand::rng());
    summary.rate_limits = shared.rate_limit_updates();
    let answer = client.exchange(call_context(CALL_LIMIT), summary).await?;
    let wanted = apply_summary(shared, &answer);
    if answer.is_settled && scope == GossipScope::Regular {
        // The answer to a regular summary contains the members that this process did not know.
        shared.fleet.lock().members.record_settled_view();
    }
    fetch_documents(shared, &client, wanted, address).await
}

fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Fetches documents of which the peer has a newer revision.
async fn fetch_documents(
    shared: &Arc<Shared>,
    client: &PeerLinkClient,
    wanted: Vec<Document>,
    address: SocketAddr,
) -> Result<(), ExchangeError> {
    for document in wanted {
        let is_delayed = document == Document::Targets && !shared.list_fetch_delay().is_zero();
        if is_delayed || !shared.links.begin_fetch(document, BootClock.now()) {
            continue;
        }
        let guard = shared.links.fetch_guard(document);
        let have = shared.fleet.lock().document(document).head();
        let transfer = client.fetch(call_context(FETCH_LIMIT), document, have).await?;
        drop(guard);
        let current = shared.fleet.lock().document(document).in_force().cloned();
        if let Some(published) = transfer.receive(current.as_ref()) {
            offer(shared, document, &published, "peer");
        } else {
            let peer = address.to_string();
            debug!("peer_transfer_unusable", kv: { peer });
        }
    }
    Ok(())
}

/// Applies a peer's summary; returns the documents of which the peer has a newer revision.
pub(crate) fn apply_summary(
    shared: &Arc<Shared>,
    exchange: &Exchange,
) -> Vec<thymeshift_wire::Document> {
    shared.record_announced(Heads {
        configuration: exchange.configuration,
        targets: exchange.targets,
    });
    let applied = shared.fleet.lock().apply_exchange(exchange, BootClock.now());
    if let Some(boot) = applied.raised_boot {
        shared.allocation.set_boot(boot);
        warn!("boot_raised", kv: { boot: = boot });
    }
    for mark in &applied.new_marks {
        shared.apply_mark(mark, "peer");
    }
    if let Some(head) = applied.conflicting_head {
        counter!(metric::DOCUMENTS_REFUSED, "offer" => "conflicting").increment(1);
        error!("document_conflicting", kv: {
            document = "configuration",
            revision: = head.revision, digest: = head.digest, source = "peer"
        });
    }
    if applied.has_new_orders {
        shared.apply_orders();
        shared.peer_exchange_due.notify_one();
    }
    shared.merge_rate_limits(&exchange.rate_limits);
    for fingerprint in &applied.new_suspects {
        log_verdict(shared, *fingerprint, "peer");
    }
    applied.wanted_documents
}
