//! Start of a process that knows nothing: a configuration before anybody is served.
//!
//! The platform and some peers are asked at the same time, and the largest revision
//! counts: the platform may be stale, and so may a peer. The process is ready once each
//! side has answered or has been given its chance. If only one side can be reached, that
//! one is believed: a stale configuration serves callers better than none, and the next
//! exchange with anybody who knows more ends it.

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
use crate::control_plane::source::read_once;
use crate::environment::Beginning;
use crate::environment::Environment;
use crate::environment::SharedSource;
use crate::environment::Source;
use crate::environment::SourceError;
use crate::shared::Shared;
use crate::target_client::PROBED_ALONE_MAX;

/// Peers asked in one round.
const PEERS_ASKED: usize = 3;
/// Those among them that are known to hold documents, at most.
const INFORMED_ASKED: usize = 2;
/// Rounds in which a reachable peer is waited for although the platform has answered.
const ROUNDS_FOR_PEERS: u32 = 2;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// How long peers have before the source is asked too.
const SOURCE_DELAY: Duration = Duration::from_millis(20);
/// How long after its start a process that knows a configuration but no other process waits
/// for an answer of one before it serves.
const PEERS_LIMIT: Duration = Duration::from_millis(80);
/// Pause between two rounds in which peers are asked, before the spread.
const PEERS_PAUSE: Duration = Duration::from_millis(40);
/// How long peers have, before the spread of once more as much, where the first page of the
/// source's list is not all of it: then the fleet is large as well, and would read each page as
/// often as it has processes. Named peers may come up 300 ms after the others.
const LONG_LIST_DELAY: Duration = Duration::from_millis(450);
/// Time for the first probes' answers: a probe takes 6 ms and the way there and back 3 ms.
const FIRST_REPORTS: Duration = Duration::from_millis(12);
/// Rounds for which a process leaves the source to others at the first start of the fleet.
const PATIENT_ROUNDS: u32 = 12;
/// Longest pause between two rounds: everybody who starts asks, and a source that is down
/// must not be asked ever more.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(1_600);

/// Returns once a configuration is in force.
pub(crate) async fn bootstrap<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) {
    if E::SOURCE_IS_CURRENT {
        bootstrap_from_anybody::<E>(shared, source).await;
    } else {
        bootstrap_from_all::<E>(shared, source).await;
    }
}

/// Whoever answers first is believed: the source is never stale, and what a peer tells is
/// compared with the source in the next call, long before this process counts as one that must
/// know. Peers are asked a little earlier, because a call of the source has its price.
async fn bootstrap_from_anybody<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) {
    let mut in_force = shared.has_configuration.subscribe();
    tokio::select! {
        // An error would mean that this process is ending.
        _ = in_force.wait_for(|is_in_force| *is_in_force) => {}
        () = ask_by_turns::<E>(shared, source) => {}
    }
    // Who holds the source now reads on from there. To wait for that would keep this process from
    // serving for as long as a watch lasts.
    if let Ok(mut source) = source.try_lock() {
        source.forget_beginning();
    }
    // Decisions taken alone overload targets. Peers that are not there refuse at once.
    if is_alone(shared) {
        let left = PEERS_LIMIT.saturating_sub(BootClock.now().since(shared.started_at));
        let _ = timeout(left, ask_peers(shared)).await;
    }
    let is_alone = is_alone(shared);
    info!("bootstrapped", kv: { is_alone });
    if is_alone {
        learn_loads(shared).await;
    }
}

fn is_alone(shared: &Shared) -> bool {
    shared.fleet.lock().members.is_alone(BootClock.now())
}

/// Has the targets probed that this process allocates, since nobody else told of them: others
/// may have started in the same moment, and send requests to the same targets.
async fn learn_loads(shared: &Shared) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let now = BootClock.now();
    let mut is_probed = false;
    for service in &routing.services {
        for group in service.target_groups() {
            let group = service.group(&group);
            if group.target_count() <= PROBED_ALONE_MAX {
                group.expect_requests(now);
                is_probed = true;
            }
        }
    }
    if is_probed {
        sleep(FIRST_REPORTS).await;
    }
}

/// Asks peers, and the source where it is this process's turn, for ever.
async fn ask_by_turns<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) {
    let asking = shared.clone();
    let peers = tokio::spawn(async move { ask_peers_again(&asking).await });
    // Ends with this future, which is dropped once a configuration is in force.
    let _peers = AbortOnDrop(peers);
    sleep(SOURCE_DELAY).await;
    if !is_named(shared) {
        wait_for_peers(shared).await;
        if is_list_long::<E>(shared, source).await {
            let spread = rand::rng().random_range(1.0..2.0);
            sleep(LONG_LIST_DELAY.mul_f64(spread)).await;
        }
    }
    let mut pause = ROUND_PAUSE;
    loop {
        ask_source::<E>(shared, source).await;
        if shared.routing().is_none() {
            warn!("no_configuration_yet");
        }
        sleep(pause).await;
        pause = (pause * 2).min(ROUND_PAUSE_MAX);
    }
}

/// Whether the first page of the source's list is not all of it.
async fn is_list_long<E: Environment>(shared: &Shared, source: &SharedSource<E>) -> bool {
    shared.metrics.platform_calls.fetch_add(1, Ordering::Relaxed);
    match source.lock().await.begin().await {
        Ok(beginning) => beginning == Beginning::Long,
        Err(error) => {
            warn!("source_call_failed", kv: { error: = error });
            false
        }
    }
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Asks peers in short rounds for ever: one that was asked too much names others.
async fn ask_peers_again(shared: &Arc<Shared>) {
    loop {
        ask_peers(shared).await;
        let spread = rand::rng().random_range(0.5..1.5);
        sleep(PEERS_PAUSE.mul_f64(spread)).await;
    }
}

/// At the first start of the fleet nobody is served yet: the source is left to those processes
/// that all ask first, while there are any.
async fn wait_for_peers(shared: &Shared) {
    if !shared.settings().is_first_start {
        return;
    }
    for _ in 0..PATIENT_ROUNDS {
        sleep(ROUND_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        if is_alone(shared) {
            return;
        }
    }
}

/// Whether the settings of other processes name this one as a peer.
fn is_named(shared: &Shared) -> bool {
    let settings = shared.settings();
    settings.peers.contains(&settings.peer_address)
}

/// Source and peers are asked, and the largest revision counts: both may be stale.
async fn bootstrap_from_all<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) {
    let mut round = 0;
    loop {
        round += 1;
        let (has_platform, peers) =
            futures::future::join(ask_source::<E>(shared, source), ask_peers(shared)).await;
        let is_in_force = shared.routing().is_some();
        let is_asked = peers.answered > 0 || peers.asked == 0 || round >= ROUNDS_FOR_PEERS;
        if is_in_force && is_asked {
            let answered = peers.answered;
            info!("bootstrapped", kv: { round, has_platform, peers_answered = answered });
            return;
        }
        if !is_in_force {
            let (asked, answered) = (peers.asked, peers.answered);
            warn!("no_configuration_yet", kv: { round, has_platform, asked, answered });
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Whether the source answered.
async fn ask_source<E: Environment>(shared: &Arc<Shared>, source: &SharedSource<E>) -> bool {
    if shared.allocation.socket().is_none() {
        return ask_platform(shared).await;
    }
    let is_lost = |error: &SourceError| warn!("source_call_failed", kv: { error: = error });
    let mut source = source.lock().await;
    read_once(shared, &mut *source, Duration::ZERO).await.inspect_err(is_lost).is_ok()
}

/// Whether the platform answered.
async fn ask_platform(shared: &Arc<Shared>) -> bool {
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

struct Peers {
    asked: usize,
    answered: usize,
}

async fn ask_peers(shared: &Arc<Shared>) -> Peers {
    let now = BootClock.now();
    let picked = {
        let members = &shared.fleet.lock().members;
        let rng = &mut rand::rng();
        let mut picked = members.pick_document_holders(INFORMED_ASKED, rng);
        let mut others = members.pick_peers(PEERS_ASKED, now, rng);
        others.retain(|address| !picked.contains(address));
        picked.extend(others);
        picked.truncate(PEERS_ASKED);
        picked
    };
    let asked = picked.len();
    let exchanges =
        picked.into_iter().map(|address| exchange_once(shared, address, GossipScope::Regular));
    let answered = join_all(exchanges).await.into_iter().flatten().count();
    Peers { asked, answered }
}
