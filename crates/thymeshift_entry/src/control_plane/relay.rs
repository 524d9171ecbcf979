//! Passing new documents on within the data hall.
//!
//! See [`thymeshift_fleet::relay_position`] for who fetches from whom.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::Rng;
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

/// Spread of the time for which a process waits for the one above it.
const PATIENCE_SPREAD: f64 = 0.5;

/// Tells the processes below this one what is in force here.
pub(crate) fn tell_below(shared: &Shared) {
    let (heads, addresses) = {
        let fleet = shared.fleet.lock();
        let below = place(&fleet).children;
        let address = |vm: &VmName| fleet.members.find(vm)?.datagram_address;
        let addresses: Vec<SocketAddr> = below.iter().filter_map(address).collect();
        (heads(&fleet), addresses)
    };
    for address in addresses {
        shared.allocation.send(address, Message::News(heads));
    }
}

/// What is in force here.
pub(crate) fn heads(fleet: &Fleet) -> Heads {
    Heads { configuration: fleet.configuration.head(), targets: fleet.targets.head() }
}

/// The process above this one has taken in documents.
pub(crate) fn take_news(shared: &Arc<Shared>, sender: &VmName, theirs: Heads) {
    if !has_newer(shared, theirs) {
        return;
    }
    let address = shared.fleet.lock().members.find(sender).map(|member| member.peer_address);
    if let Some(address) = address {
        fetch(shared, address);
    }
}

/// A reader of the source told what is in force there. The first of the data hall that hears of
/// it fetches from whoever told; the others wait for the one above them.
pub(crate) fn take_reader_heads(shared: &Arc<Shared>, heartbeat: &SourceHeartbeat) {
    let theirs = heartbeat.heads;
    if !has_newer(shared, theirs) {
        return;
    }
    let patience = place(&shared.fleet.lock()).wait_limit();
    if patience.is_zero() {
        fetch(shared, heartbeat.peer_address);
        return;
    }
    if shared.is_awaiting_relay.swap(true, Ordering::Relaxed) {
        return;
    }
    let (shared, address) = (shared.clone(), heartbeat.peer_address);
    tokio::spawn(async move {
        let spread = rand::rng().random_range(1.0..1.0 + PATIENCE_SPREAD);
        sleep(patience.mul_f64(spread)).await;
        shared.is_awaiting_relay.store(false, Ordering::Relaxed);
        if has_newer(&shared, theirs) {
            fetch(&shared, address);
        }
    });
}

/// Fetches what is newer at a process, after the rest that lists of targets leave.
fn fetch(shared: &Arc<Shared>, address: SocketAddr) {
    if shared.is_list_fetch_delayed.swap(true, Ordering::Relaxed) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        sleep(shared.list_fetch_delay()).await;
        shared.is_list_fetch_delayed.store(false, Ordering::Relaxed);
        // A failure is counted and logged there; the next heartbeat of a reader tries again.
        let _ = exchange_once(&shared, address, GossipScope::SenderOnly).await;
    });
}

/// Whether anything is newer there than here.
fn has_newer(shared: &Shared, theirs: Heads) -> bool {
    let ours = heads(&shared.fleet.lock());
    is_newer(theirs.configuration, ours.configuration) || is_newer(theirs.targets, ours.targets)
}

fn is_newer(theirs: Option<Head>, ours: Option<Head>) -> bool {
    theirs.map(|head| head.revision) > ours.map(|head| head.revision)
}

/// This process's place among those of its data hall.
fn place(fleet: &Fleet) -> RelayPosition {
    let own = fleet.members.own();
    let near = fleet.members.serving_in(&own.data_hall, BootClock.now());
    relay_position(&own.vm, near.into_iter().map(Member::candidate))
}
