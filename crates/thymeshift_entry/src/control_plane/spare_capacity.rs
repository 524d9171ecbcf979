//! Reports of spare capacity, which the allocators of a service's target groups exchange.
//!
//! A process knows only a few contacts of each other data hall.
//! The contacts know the allocators of their data hall and forward the reports to these allocators.

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
use thymeshift_wire::GroupHeadroomReport;
use thymeshift_wire::Message;
use tokio::time::sleep;

use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Interval between two reports on one group.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Sends the reports in an endless loop while this process serves callers.
pub(crate) async fn run_spare_capacity_reports(shared: Arc<Shared>) -> Result<(), TaskError> {
    loop {
        sleep(REPORT_INTERVAL).await;
        let Some(routing) = shared.routing() else {
            continue;
        };
        if !shared.is_serving() {
            continue;
        }
        for service in &routing.services {
            report_service(&shared, service, BootClock.now());
        }
    }
}

fn report_service(shared: &Shared, service: &ServiceRuntime, now: Timestamp) {
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
        let report = GroupHeadroomReport {
            service: service.name().clone(),
            group: group.clone(),
            allocator: allocator.clone(),
            room: service.group(group).reported_headroom(now),
        };
        service.record_group_headroom(&report);
        for other in groups.iter().filter(|other| *other != group) {
            if let Some(address) = address_for(shared, service, other, now) {
                shared.allocation.send(address, Message::Room(report.clone()));
            }
        }
    }
}

fn own_address(shared: &Shared) -> Option<AllocatorAddress> {
    let fleet = shared.fleet.lock();
    let own = fleet.members.own();
    Some(AllocatorAddress { vm: own.vm.clone(), address: own.datagram_address? })
}

/// Handles a report of another group's spare capacity.
///
/// A report that comes directly from the other group's allocator is forwarded once:
/// to the allocator of this data hall's group, unless this process is that allocator.
pub(crate) fn receive_spare_capacity(
    shared: &Shared,
    sender: &VmName,
    report: &GroupHeadroomReport,
) {
    let routing = shared.routing();
    let Some(service) = routing.as_ref().and_then(|all| all.service(report.service.as_str()))
    else {
        return;
    };
    service.record_group_headroom(report);
    let is_from_allocator = *sender == report.allocator.vm;
    if !is_from_allocator {
        return;
    }
    let own_hall = shared.settings().data_hall.clone();
    let group = service.target_groups().into_iter().find(|group| group.is_of_hall(&own_hall));
    let Some(group) = group else {
        return;
    };
    if let Some(address) = address_for(shared, service, &group, BootClock.now()) {
        shared.allocation.send(address, Message::Room(report.clone()));
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

/// Returns the address of a group's first allocator that is considered reachable.
///
/// Returns `None` if the first such allocator is this process, or if none is reachable.
fn address_for(
    shared: &Shared,
    service: &ServiceRuntime,
    group: &Group,
    now: Timestamp,
) -> Option<SocketAddr> {
    let order = service.allocator_order(shared, group, now);
    let mut usable = order.iter().filter(|allocator| match allocator {
        Some(allocator) => !shared.allocation.is_skipped(&allocator.vm, now),
        None => true,
    });
    usable.next()?.as_ref().map(|allocator| allocator.address)
}
