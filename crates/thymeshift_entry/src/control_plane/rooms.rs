//! Telling the other allocators of a service how much room there is in the groups that are
//! allocated here.
//!
//! A process knows a few contacts of each other data hall, and they know who allocates there: a
//! contact passes the message on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thymeshift_allocation::Group;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use thymeshift_wire::AllocatorAddress;
use thymeshift_wire::GroupRoom;
use thymeshift_wire::Message;
use tokio::time::sleep;

use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Time between two messages about one group.
const TELL_EVERY: Duration = Duration::from_millis(250);

/// Tells for ever.
pub(crate) async fn run_rooms(shared: Arc<Shared>) -> Result<(), TaskError> {
    loop {
        sleep(TELL_EVERY).await;
        let Some(routing) = shared.routing() else {
            continue;
        };
        if !shared.is_serving() {
            continue;
        }
        for service in &routing.services {
            tell_of_service(&shared, service, BootClock.now());
        }
    }
}

fn tell_of_service(shared: &Shared, service: &ServiceRuntime, now: Timestamp) {
    let groups = service.target_groups();
    if groups.len() < 2 {
        return;
    }
    let Some(allocator) = own_address(shared) else {
        return;
    };
    for group in &groups {
        if !is_allocated_here(shared, service, group, now) {
            continue;
        }
        let told = GroupRoom {
            service: service.name().clone(),
            group: group.clone(),
            allocator: allocator.clone(),
            room: service.group(group).spare_capacity(now),
        };
        service.record_group_room(&told);
        for other in groups.iter().filter(|other| *other != group) {
            if let Some(address) = address_for(shared, service, other, now) {
                shared.allocation.send(address, Message::Room(told.clone()));
            }
        }
    }
}

fn own_address(shared: &Shared) -> Option<AllocatorAddress> {
    let fleet = shared.fleet.lock();
    let own = fleet.members.own();
    Some(AllocatorAddress { vm: own.vm.clone(), address: own.datagram_address? })
}

/// Another group told its room. A process that allocates none of the service's groups passes it on
/// to who does in its own data hall.
pub(crate) fn take_room(shared: &Shared, sender: &VmName, told: &GroupRoom) {
    let routing = shared.routing();
    let Some(service) = routing.as_ref().and_then(|all| all.service(told.service.as_str())) else {
        return;
    };
    service.record_group_room(told);
    let is_first_hand = *sender == told.allocator.vm;
    if !is_first_hand {
        return;
    }
    let own_hall = shared.settings().data_hall.clone();
    let group = service.target_groups().into_iter().find(|group| group.is_of_hall(&own_hall));
    let Some(group) = group else {
        return;
    };
    if let Some(address) = address_for(shared, service, &group, BootClock.now()) {
        shared.allocation.send(address, Message::Room(told.clone()));
    }
}

fn is_allocated_here(
    shared: &Shared,
    service: &ServiceRuntime,
    group: &Group,
    now: Timestamp,
) -> bool {
    matches!(service.allocator_order(shared, group, now).first(), Some(None))
}

/// Where the first allocator of a group that answers is reached, as known here; none if it is
/// this process.
fn address_for(
    shared: &Shared,
    service: &ServiceRuntime,
    group: &Group,
    now: Timestamp,
) -> Option<SocketAddr> {
    let order = service.allocator_order(shared, group, now);
    let mut usable = order.iter().filter(|place| match place {
        Some(place) => !shared.allocation.is_skipped(&place.vm, now),
        None => true,
    });
    usable.next()?.as_ref().map(|place| place.address)
}
