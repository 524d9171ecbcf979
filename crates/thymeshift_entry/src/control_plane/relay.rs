//! Passing new documents on within the data hall.
//!
//! See [`thymeshift_fleet::relay_place`] for who fetches from whom.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::Rng;
use thymeshift_fleet::Breadth;
use thymeshift_fleet::Head;
use thymeshift_fleet::Member;
use thymeshift_fleet::RELAY_PATIENCE;
use thymeshift_fleet::RelayPlace;
use thymeshift_fleet::relay_place;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::VmName;
use thymeshift_wire::Heads;
use thymeshift_wire::Message;
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
        let below = place(&fleet).below;
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
    if let Some(address) = newer_at(shared, sender, theirs) {
        fetch(shared, address);
    }
}

/// A reader of the source told what is in force there.
pub(crate) fn take_reader_heads(shared: &Arc<Shared>, reader: &VmName, theirs: Heads) {
    let Some(address) = newer_at(shared, reader, theirs) else {
        return;
    };
    if place(&shared.fleet.lock()).is_first {
        fetch(shared, address);
        return;
    }
    if shared.is_awaiting_relay.swap(true, Ordering::Relaxed) {
        return;
    }
    let (shared, reader) = (shared.clone(), reader.clone());
    tokio::spawn(async move {
        let spread = rand::rng().random_range(1.0..1.0 + PATIENCE_SPREAD);
        sleep(RELAY_PATIENCE.mul_f64(spread)).await;
        shared.is_awaiting_relay.store(false, Ordering::Relaxed);
        if let Some(address) = newer_at(&shared, &reader, theirs) {
            fetch(&shared, address);
        }
    });
}

fn fetch(shared: &Arc<Shared>, address: SocketAddr) {
    let shared = shared.clone();
    tokio::spawn(async move {
        // A failure is counted and logged there; the next heartbeat of a reader tries again.
        let _ = exchange_once(&shared, address, Breadth::News).await;
    });
}

/// Where `sender` is reached, if it has anything newer.
fn newer_at(shared: &Shared, sender: &VmName, theirs: Heads) -> Option<SocketAddr> {
    let fleet = shared.fleet.lock();
    let ours = heads(&fleet);
    let is_news = is_newer(theirs.configuration, ours.configuration)
        || is_newer(theirs.targets, ours.targets);
    let member = fleet.members.find(sender).filter(|_| is_news)?;
    Some(member.peer_address)
}

fn is_newer(theirs: Option<Head>, ours: Option<Head>) -> bool {
    theirs.map(|head| head.revision) > ours.map(|head| head.revision)
}

/// This process's place among those of its data hall.
fn place(fleet: &Fleet) -> RelayPlace {
    let own = fleet.members.own();
    let near = fleet.members.serving(BootClock.now()).chain([own]);
    let near = near.filter(|member| member.data_hall == own.data_hall);
    relay_place(&own.vm, near.map(Member::contender))
}
