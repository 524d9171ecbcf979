//! Talking to peers: regularly to one at random, at once to a few when there is news.

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
use thymeshift_wire::LinkBytes;
use thymeshift_wire::LinkError;
use thymeshift_wire::PeerLinkClient;
use thymeshift_wire::connect_peer;
use tokio::time::timeout;

use crate::control_plane::platform::offer;
use crate::control_plane::suspects::log_verdict;
use crate::shared::Shared;

/// Time between two regular exchanges, before the spread.
const EXCHANGE_EVERY: Duration = Duration::from_millis(1_250);
/// The same in a fleet that is larger: members for which it grows by as much again. Processes
/// that work together hear of each other by datagrams, too.
const MEMBERS_PER_EXCHANGE_EVERY: u32 = 144;
/// The same for a process that has just started and hardly knows anybody, and how long it
/// counts as such.
const EXCHANGE_EVERY_YOUNG: Duration = Duration::from_millis(200);
const YOUNG: Duration = Duration::from_secs(4);
/// The same while it has hardly heard of others: whoever allocates is found by knowing them.
const EXCHANGE_EVERY_NEW: Duration = Duration::from_millis(50);
/// Longest time to open a connection to a peer. A VM that has no power yet says nothing, and
/// what was sent to it is sent again only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Longest time for one exchange.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Longest time to fetch a document: it may be long, and the link of a small VM busy.
const FETCH_LIMIT: Duration = Duration::from_secs(2);
/// Peers told at once when there is news.
const TOLD_AT_ONCE: usize = 3;
/// Time after which a document is fetched from another peer although the answer of the first
/// has not come.
const FETCH_AGAIN: Duration = Duration::from_millis(400);
/// Whole documents that one process hands out within [`SERVING_WINDOW`]. Who is refused asks
/// one that was served: so documents reach a young fleet as along a tree, and not over the link
/// of the few processes that everybody knows. The number is chosen, not measured.
const SERVED_AT_ONCE_MAX: u32 = 8;
const SERVING_WINDOW: Duration = Duration::from_millis(50);
/// Connections to peers kept open.
const LINKS_MAX: usize = 32;

/// An exchange that brought no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ExchangeError {
    #[display("connecting to peer: {_0}")]
    Connect(LinkError),
    #[display("calling peer: {_0}")]
    Call(RpcError),
}

/// Open connections to peers.
#[derive(Default)]
pub(crate) struct Links {
    open: Mutex<HashMap<SocketAddr, PeerLinkClient>>,
    /// Documents that are being fetched, and since when.
    fetching: Mutex<HashMap<Document, Timestamp>>,
    serving: Mutex<Serving>,
    bytes: Arc<LinkBytes>,
}

/// Whole documents handed out lately.
#[derive(Default)]
struct Serving {
    since: Timestamp,
    count: u32,
}

impl Links {
    async fn get(&self, address: SocketAddr) -> Result<PeerLinkClient, LinkError> {
        if let Some(client) = self.open.lock().get(&address) {
            return Ok(client.clone());
        }
        let client = connect_peer(address, CONNECT_LIMIT, &self.bytes).await?;
        let mut links = self.open.lock();
        if links.len() >= LINKS_MAX {
            links.clear();
        }
        links.insert(address, client.clone());
        Ok(client)
    }

    /// Whether a document may be fetched now: not if another peer was asked for it a moment
    /// ago, whose answer is on its way.
    fn begin_fetch(&self, document: Document, now: Timestamp) -> bool {
        let mut fetching = self.fetching.lock();
        let is_under_way = fetching.get(&document).is_some_and(|at| now.since(*at) < FETCH_AGAIN);
        if !is_under_way {
            fetching.insert(document, now);
        }
        !is_under_way
    }

    /// A fetch has ended.
    fn end_fetch(&self, document: Document) {
        self.fetching.lock().remove(&document);
    }

    /// Whether a whole document may be handed out now; it counts if so.
    pub(crate) fn begin_serving(&self, now: Timestamp) -> bool {
        let mut serving = self.serving.lock();
        if now.since(serving.since) >= SERVING_WINDOW {
            *serving = Serving { since: now, count: 0 };
        }
        serving.count += 1;
        serving.count <= SERVED_AT_ONCE_MAX
    }

    fn forget(&self, address: SocketAddr) {
        self.open.lock().remove(&address);
    }

    /// Bytes over links to and from peers.
    pub(crate) fn bytes(&self) -> &Arc<LinkBytes> {
        &self.bytes
    }
}

/// Exchanges for ever.
pub(crate) async fn run_peer_link(shared: Arc<Shared>) -> Result<(), TaskError> {
    loop {
        let spread = rand::rng().random_range(0.8..1.2);
        let every = exchange_every(&shared);
        let is_news =
            timeout(every.mul_f64(spread), shared.peer_exchange_due.notified()).await.is_ok();
        if is_news {
            exchange_with(&shared, TOLD_AT_ONCE, GossipScope::SenderOnly).await;
        } else {
            exchange_with(&shared, 1, GossipScope::Regular).await;
        }
    }
}

fn exchange_every(shared: &Shared) -> Duration {
    let now = BootClock.now();
    let fleet = shared.fleet.lock();
    if now.since(shared.started_at) < YOUNG {
        return if fleet.members.is_new() { EXCHANGE_EVERY_NEW } else { EXCHANGE_EVERY_YOUNG };
    }
    let members = fleet.members.count_alive(now);
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    EXCHANGE_EVERY + EXCHANGE_EVERY * members / MEMBERS_PER_EXCHANGE_EVERY
}

/// Tells a few peers that this process is stopping.
pub(crate) async fn say_goodbye(shared: &Arc<Shared>) {
    exchange_with(shared, TOLD_AT_ONCE, GossipScope::SenderOnly).await;
}

async fn exchange_with(shared: &Arc<Shared>, count: usize, breadth: GossipScope<'static>) {
    let picked = {
        let now = BootClock.now();
        let mut fleet = shared.fleet.lock();
        let revision = fleet.configuration.head().map(|head| head.revision);
        fleet.members.advance_heartbeat(shared.phase(), revision);
        fleet.members.pick_peers(count, now, &mut rand::rng())
    };
    let exchanges = picked.into_iter().map(|address| exchange_once(shared, address, breadth));
    join_all(exchanges).await;
}

/// One exchange, and what it shows to be wanted.
pub(crate) async fn exchange_once(
    shared: &Arc<Shared>,
    address: SocketAddr,
    breadth: GossipScope<'_>,
) -> Result<(), ExchangeError> {
    let answered = call(shared, address, breadth).await;
    let result = if answered.is_ok() { "answered" } else { "failed" };
    counter!(metric::PEER_EXCHANGES, "result" => result).increment(1);
    if let Err(error) = &answered {
        let peer = address.to_string();
        debug!("peer_exchange_failed", kv: { peer, error: = error });
        shared.links.forget(address);
        shared.fleet.lock().members.record_no_answer(address);
    }
    answered
}

async fn call(
    shared: &Arc<Shared>,
    address: SocketAddr,
    breadth: GossipScope<'_>,
) -> Result<(), ExchangeError> {
    let client = shared.links.get(address).await?;
    let mut summary = shared.fleet.lock().summary(breadth, BootClock.now(), &mut rand::rng());
    summary.rate_limits = shared.rate_limit_updates();
    let answer = client.exchange(call_context(CALL_LIMIT), summary).await?;
    take(shared, &client, &answer, address).await
}

fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Takes in a peer's summary and fetches what it has newer.
async fn take(
    shared: &Arc<Shared>,
    client: &PeerLinkClient,
    exchange: &Exchange,
    address: SocketAddr,
) -> Result<(), ExchangeError> {
    let wanted = take_summary(shared, exchange);
    for document in wanted {
        let is_resting = document == Document::Targets && !shared.list_fetch_delay().is_zero();
        if is_resting || !shared.links.begin_fetch(document, BootClock.now()) {
            continue;
        }
        let have = shared.fleet.lock().document(document).head();
        let transfer = client.fetch(call_context(FETCH_LIMIT), document, have).await?;
        shared.links.end_fetch(document);
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

/// Takes in a peer's summary; returns the documents that it has newer.
pub(crate) fn take_summary(
    shared: &Arc<Shared>,
    exchange: &Exchange,
) -> Vec<thymeshift_wire::Document> {
    let taken = shared.fleet.lock().apply_exchange(exchange, BootClock.now());
    for mark in &taken.new_marks {
        shared.apply_mark(mark, "peer");
    }
    if let Some(head) = taken.conflicting_head {
        counter!(metric::DOCUMENTS_REFUSED, "offer" => "conflicting").increment(1);
        error!("document_conflicting", kv: {
            document = "configuration",
            revision: = head.revision, digest: = head.digest, source = "peer"
        });
    }
    if taken.has_new_orders {
        shared.apply_orders();
        shared.peer_exchange_due.notify_one();
    }
    shared.merge_rate_limits(&exchange.rate_limits);
    for fingerprint in &taken.new_suspects {
        log_verdict(shared, *fingerprint, "peer");
    }
    taken.wanted_documents
}
