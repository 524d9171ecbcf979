//! Bootstrap of a starting process: obtains a configuration before any caller is served.
//!
//! The process queries the platform and some peers at the same time.
//! Bootstrap adopts the largest revision, because the platform and each peer may be stale.
//! Bootstrap ends once platform and peers have answered or have had enough rounds to answer.
//! If only the platform or only peers are reachable, bootstrap adopts their revision:
//! a stale configuration serves callers better than no configuration.
//! The next exchange with a peer that has a newer revision replaces a stale configuration.
//!
//! In environments whose source is never stale, bootstrap adopts the first answer it gets.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use rand::Rng;
use spdlog::info;
use spdlog::warn;
use thymeshift_fleet::GossipScope;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_wire::Document;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control_plane::peer_link::exchange_once;
use crate::control_plane::platform::fetch;
use crate::control_plane::platform::offer;
use crate::control_plane::source::read_documents;
use crate::environment::Environment;
use crate::environment::FirstPage;
use crate::environment::SharedSource;
use crate::environment::Source;
use crate::environment::SourceError;
use crate::shared::Shared;
use crate::target_client::STANDALONE_PROBE_TARGETS_MAX;

/// Number of peers queried in one round.
const PEERS_PER_ROUND: usize = 3;
/// Maximum number of peers per round that are chosen because they are known to hold documents.
const DOCUMENT_HOLDERS_PER_ROUND_MAX: usize = 2;
/// Number of rounds in which bootstrap waits for a peer although the platform has answered.
const PEER_WAIT_ROUNDS: u32 = 2;
/// Delay between two rounds of queries; initial delay of the loop that doubles the delay.
const ROUND_DELAY: Duration = Duration::from_millis(200);
/// Time that peers have to answer before the source is queried too.
const SOURCE_DELAY: Duration = Duration::from_millis(20);
/// Maximum time from the start of the process to the first answer of a peer.
///
/// A process that has a configuration but knows no peer serves callers only after this time.
const PEER_ANSWER_LIMIT: Duration = Duration::from_millis(80);
/// Delay between two rounds of queries to peers, before jitter.
const PEER_ROUND_DELAY: Duration = Duration::from_millis(40);
/// Extra time for peers to answer, before jitter of up to 100 %, if the target list is long.
///
/// A list of more than one page implies a large fleet.
/// Without this delay, every process of such a fleet would read every page from the source.
/// Peers named in the settings may start 300 ms after the other processes.
const LONG_LIST_DELAY: Duration = Duration::from_millis(450);
/// Maximum wait for answers to the first probes: a probe takes 6 ms, its network round trip 3 ms.
const FIRST_PROBES_LIMIT: Duration = Duration::from_millis(12);
/// Number of rounds in which only the peers named in the settings read the source.
/// Applies at the first start of the fleet.
const FIRST_START_WAIT_ROUNDS: u32 = 12;
/// Maximum delay between two rounds of queries.
///
/// Every starting process queries the source; growing delays limit the calls during an outage.
const ROUND_DELAY_MAX: Duration = Duration::from_millis(1_600);

/// Returns once a configuration is in force.
pub(crate) async fn bootstrap<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) {
    if E::SOURCE_IS_CURRENT {
        bootstrap_from_first_answer::<E>(shared, source).await;
    } else {
        bootstrap_from_all::<E>(shared, source).await;
    }
}

/// Adopts the first configuration that the source or a peer returns, and may wait for a first peer.
///
/// The source is never stale, and the next call compares a peer's answer with the source.
/// That call happens long before this process is expected to know the current revision.
/// Peers are queried [`SOURCE_DELAY`] before the source, because calls to the source are costly.
async fn bootstrap_from_first_answer<E: Environment>(
    shared: &Arc<Shared>,
    source: &SharedSource<E>,
) {
    let mut in_force = shared.has_configuration.subscribe();
    tokio::select! {
        // The watch channel fails only when the process shuts down.
        _ = in_force.wait_for(|is_in_force| *is_in_force) => {}
        () = poll_peers_and_source::<E>(shared, source) => {}
    }
    // A task that holds the source's lock keeps its read position.
    // Waiting for the lock would delay serving for the duration of a long poll.
    if let Ok(mut source) = source.try_lock() {
        source.discard_first_page();
    }
    // A process that knows no peers overloads targets, because it can't see the load of others.
    // Peers that are not running refuse the connection at once, so the query ends early.
    if is_alone(shared) {
        let left = PEER_ANSWER_LIMIT.saturating_sub(BootClock.now().since(shared.started_at));
        let _ = timeout(left, query_peers(shared)).await;
    }
    let is_alone = is_alone(shared);
    info!("bootstrapped", kv: { is_alone });
    if is_alone {
        probe_initial_loads(shared).await;
    }
}

fn is_alone(shared: &Shared) -> bool {
    shared.fleet.lock().members.is_alone(BootClock.now())
}

/// Probes the targets that this process allocates and waits for the first answers.
///
/// No peer has reported the load of the targets.
/// Other processes may have started at the same time and send requests to the same targets.
async fn probe_initial_loads(shared: &Shared) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let now = BootClock.now();
    let mut is_probed = false;
    for service in &routing.services {
        for group in service.target_groups() {
            let group = service.group(&group);
            if group.target_count() <= STANDALONE_PROBE_TARGETS_MAX {
                group.expect_requests(now);
                is_probed = true;
            }
        }
    }
    if is_probed {
        sleep(FIRST_PROBES_LIMIT).await;
    }
}

/// Queries the peers, and after a delay also the source, in an endless loop.
async fn poll_peers_and_source<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) {
    let peers_shared = shared.clone();
    let peers = tokio::spawn(async move { poll_peers(&peers_shared).await });
    // Dropping this future, once a configuration is in force, aborts the task.
    let _peers = AbortOnDrop(peers);
    sleep(SOURCE_DELAY).await;
    if !is_named_peer(shared) {
        wait_for_peers(shared).await;
        if has_long_target_list::<E>(shared, source).await {
            let jitter = rand::rng().random_range(1.0..2.0);
            sleep(LONG_LIST_DELAY.mul_f64(jitter)).await;
        }
    }
    let mut delay = ROUND_DELAY;
    loop {
        query_source::<E>(shared, source).await;
        if shared.routing().is_none() {
            warn!("no_configuration_yet");
        }
        sleep(delay).await;
        delay = (delay * 2).min(ROUND_DELAY_MAX);
    }
}

/// Returns whether the source's list of targets has more than one page.
async fn has_long_target_list<E: Environment>(shared: &Shared, source: &SharedSource<E>) -> bool {
    shared.metrics.platform_calls.fetch_add(1, Ordering::Relaxed);
    match source.lock().await.read_first_page().await {
        Ok(first_page) => first_page == FirstPage::Partial,
        Err(error) => {
            warn!("source_call_failed", kv: { error: = error });
            false
        }
    }
}

/// Task that is aborted when this handle is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Queries peers in an endless loop of short rounds.
///
/// A peer that refuses a transfer because of its limit names other peers for the next round.
async fn poll_peers(shared: &Arc<Shared>) {
    loop {
        query_peers(shared).await;
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(PEER_ROUND_DELAY.mul_f64(jitter)).await;
    }
}

/// At the first start of the fleet, waits while the peers named in the settings read the source.
///
/// Waits up to [`FIRST_START_WAIT_ROUNDS`] rounds, or until no peer is known to run.
///
/// No caller is served yet at the first start, so waiting only delays the start.
async fn wait_for_peers(shared: &Shared) {
    if !shared.settings().is_first_start {
        return;
    }
    for _ in 0..FIRST_START_WAIT_ROUNDS {
        sleep(ROUND_DELAY.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        if is_alone(shared) {
            return;
        }
    }
}

/// Returns whether the peer list in the settings, which all processes share, names this process.
fn is_named_peer(shared: &Shared) -> bool {
    let settings = shared.settings();
    settings.peers.contains(&settings.peer_address)
}

/// Queries the source and peers and adopts the largest revision, because both may be stale.
async fn bootstrap_from_all<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) {
    let mut round = 0;
    loop {
        round += 1;
        let (has_platform, peers) =
            futures::future::join(query_source::<E>(shared, source), query_peers(shared)).await;
        let is_in_force = shared.routing().is_some();
        let has_peer_round_ended =
            peers.answered > 0 || peers.queried == 0 || round >= PEER_WAIT_ROUNDS;
        if is_in_force && has_peer_round_ended {
            let answered = peers.answered;
            info!("bootstrapped", kv: { round, has_platform, peers_answered = answered });
            return;
        }
        if !is_in_force {
            let (asked, answered) = (peers.queried, peers.answered);
            warn!("no_configuration_yet", kv: { round, has_platform, asked, answered });
        }
        sleep(ROUND_DELAY).await;
    }
}

/// Reads the source once; returns whether the source answered.
async fn query_source<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) -> bool {
    if shared.allocation.socket().is_none() {
        return query_platform(shared).await;
    }
    let log_failure = |error: &SourceError| warn!("source_call_failed", kv: { error: = error });
    let mut source = source.lock().await;
    read_documents(shared, &mut *source, Duration::ZERO).await.inspect_err(log_failure).is_ok()
}

/// Fetches the configuration from the platform once; returns whether the platform answered.
async fn query_platform(shared: &Arc<Shared>) -> bool {
    match fetch(shared, Document::Configuration, Duration::ZERO).await {
        Ok(published) => {
            if let Some(published) = published {
                offer(shared, Document::Configuration, &published, "platform");
            }
            true
        }
        Err(error) => {
            warn!("platform_call_failed", kv: { error: = error });
            false
        }
    }
}

/// Result of one round of queries to peers.
struct PeerRound {
    queried: usize,
    answered: usize,
}

/// Exchanges state with up to [`PEERS_PER_ROUND`] random peers, document holders preferred.
async fn query_peers(shared: &Arc<Shared>) -> PeerRound {
    let now = BootClock.now();
    let addresses = {
        let members = &shared.fleet.lock().members;
        let rng = &mut rand::rng();
        let mut addresses = members.pick_document_holders(DOCUMENT_HOLDERS_PER_ROUND_MAX, rng);
        let mut others = members.pick_peers(PEERS_PER_ROUND, now, rng);
        others.retain(|address| !addresses.contains(address));
        addresses.extend(others);
        addresses.truncate(PEERS_PER_ROUND);
        addresses
    };
    let queried = addresses.len();
    let exchanges =
        addresses.into_iter().map(|address| exchange_once(shared, address, GossipScope::Regular));
    let answered = join_all(exchanges).await.into_iter().flatten().count();
    PeerRound { queried, answered }
}
