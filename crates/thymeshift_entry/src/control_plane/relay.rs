//! Distribution of new documents within the data hall along a relay tree.
//!
//! [`thymeshift_fleet::relay_position`] defines the parent and children of each process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::Rng;
use spdlog::info;
use thymeshift_fleet::GossipScope;
use thymeshift_fleet::Head;
use thymeshift_fleet::Member;
use thymeshift_fleet::RelayPosition;
use thymeshift_fleet::relay_position;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::VmName;
use thymeshift_wire::Heads;
use thymeshift_wire::Message;
use thymeshift_wire::SourceHeartbeat;
use tokio::time::sleep;

use crate::control_plane::peer_link::exchange_once;
use crate::fleet::Fleet;
use crate::shared::Shared;

/// Maximum jitter added to the wait for the parent in the relay tree, as a fraction of the wait.
const WAIT_JITTER_FRACTION_MAX: f64 = 0.25;

/// Number of exchanges with a process that has announced a newer document.
const FETCH_TRIES: u32 = 2;

/// Sends the revisions in force here to this process's children in the relay tree.
pub(crate) fn notify_relay_children(shared: &Shared) {
    let (heads, addresses) = {
        let fleet = shared.fleet.lock();
        let children = own_position(&fleet).children;
        let address = |vm: &VmName| fleet.members.find(vm)?.datagram_address;
        let addresses: Vec<SocketAddr> = children.iter().filter_map(address).collect();
        (heads(&fleet), addresses)
    };
    for address in addresses {
        shared.allocation.send(address, Message::News(heads));
    }
}

/// Returns the revisions of the documents in force here.
pub(crate) fn heads(fleet: &Fleet) -> Heads {
    Heads { configuration: fleet.configuration.head(), targets: fleet.targets.head() }
}

/// Handles the relay parent's announcement of adopted documents.
/// Fetches the documents that are newer than those in force here.
pub(crate) fn receive_relayed_heads(shared: &Arc<Shared>, sender: &VmName, theirs: Heads) {
    shared.record_announced(theirs);
    if !has_newer(shared, theirs) {
        return;
    }
    let address = shared.fleet.lock().members.find(sender).map(|member| member.peer_address);
    if let Some(address) = address {
        fetch(shared, address, theirs);
    }
}

/// Handles the revisions announced by a reader of the source.
///
/// The root of the data hall's relay tree fetches from the sender at once.
/// Other processes wait for their parent in the tree.
/// They fetch from the sender only if the parent has not delivered the documents in time.
pub(crate) fn receive_reader_heads(shared: &Arc<Shared>, heartbeat: &SourceHeartbeat) {
    let theirs = heartbeat.heads;
    shared.record_announced(theirs);
    if !has_newer(shared, theirs) {
        return;
    }
    let wait_limit = own_position(&shared.fleet.lock()).wait_limit();
    if wait_limit.is_zero() {
        fetch(shared, heartbeat.peer_address, theirs);
        return;
    }
    if shared.is_awaiting_relay.swap(true, Ordering::Relaxed) {
        return;
    }
    let (shared, address) = (shared.clone(), heartbeat.peer_address);
    tokio::spawn(async move {
        let jitter = rand::rng().random_range(1.0..1.0 + WAIT_JITTER_FRACTION_MAX);
        sleep(wait_limit.mul_f64(jitter)).await;
        shared.is_awaiting_relay.store(false, Ordering::Relaxed);
        if has_newer(&shared, theirs) {
            fetch(&shared, address, theirs);
        }
    });
}

/// Fetches newer documents from the process at `address`, which has `theirs` in force.
///
/// A list of targets waits for the minimum delay between two lists, unless such a fetch is already
/// pending. A configuration does not wait.
fn fetch(shared: &Arc<Shared>, address: SocketAddr, theirs: Heads) {
    let is_list_due = shared.list_fetch_delay().is_zero();
    let ours = heads(&shared.fleet.lock());
    if is_list_due || is_newer(theirs.configuration, ours.configuration) {
        let shared = shared.clone();
        tokio::spawn(async move { fetch_now(&shared, address, theirs).await });
    }
    let is_list_newer = is_newer(theirs.targets, ours.targets);
    if is_list_due || !is_list_newer || shared.is_list_fetch_delayed.swap(true, Ordering::Relaxed) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        sleep(shared.list_fetch_delay()).await;
        shared.is_list_fetch_delayed.store(false, Ordering::Relaxed);
        fetch_now(&shared, address, theirs).await;
    });
}

/// Fetches newer documents from the process at `address`. An open connection may have been lost since it
/// was last used, so that a failed exchange is repeated over a new one.
async fn fetch_now(shared: &Arc<Shared>, address: SocketAddr, theirs: Heads) {
    for _ in 0..FETCH_TRIES {
        let exchanged = exchange_once(shared, address, GossipScope::SenderOnly).await;
        let Err(error) = exchanged else {
            return;
        };
        info!("document_fetch_failed", kv: { peer: = address, error: = error });
        if !has_newer(shared, theirs) {
            return;
        }
    }
}

/// Returns whether `theirs` includes a newer revision than those in force here.
fn has_newer(shared: &Shared, theirs: Heads) -> bool {
    let ours = heads(&shared.fleet.lock());
    is_newer(theirs.configuration, ours.configuration) || is_newer(theirs.targets, ours.targets)
}

fn is_newer(theirs: Option<Head>, ours: Option<Head>) -> bool {
    theirs.map(|head| head.revision) > ours.map(|head| head.revision)
}

/// Returns this process's position in the relay tree of its data hall.
fn own_position(fleet: &Fleet) -> RelayPosition {
    let own = fleet.members.own();
    let hall_members = fleet.members.serving_in(&own.data_hall, BootClock.now());
    relay_position(&own.vm, hall_members.into_iter().map(Member::candidate))
}
