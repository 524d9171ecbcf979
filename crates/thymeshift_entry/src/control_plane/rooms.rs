//! Telling the other allocators of a service how much room there is in the groups that are
//! allocated here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thymeshift_allocation::Group;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
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
    let groups = service.divided_into();
    if groups.len() < 2 {
        return;
    }
    for group in &groups {
        if !is_allocated_here(shared, service, group, now) {
            continue;
        }
        let room = service.group(group).room(now);
        service.learn_room(group.clone(), room);
        let told = GroupRoom { service: service.name().clone(), group: group.clone(), room };
        for other in groups.iter().filter(|other| *other != group) {
            if let Some(address) = allocator_address(shared, service, other, now) {
                shared.allocation.send(address, Message::Room(told.clone()));
            }
        }
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

/// Where the first allocator of a group that answers is reached; none if it is this process.
fn allocator_address(
    shared: &Shared,
    service: &ServiceRuntime,
    group: &Group,
    now: Timestamp,
) -> Option<SocketAddr> {
    let order = service.allocator_order(shared, group, now);
    let mut usable = order.iter().filter(|place| match place {
        Some(place) => !shared.allocation.is_passed_over(&place.vm, now),
        None => true,
    });
    usable.next()?.as_ref().map(|place| place.address)
}
