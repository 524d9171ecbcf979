//! State dump of this process, for operators.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use thymeshift_config::Adjustment;
use thymeshift_fleet::Adoption;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;
use thymeshift_wire::ConfigurationDump;
use thymeshift_wire::HallDump;
use thymeshift_wire::LeftOutDump;
use thymeshift_wire::LinksDump;
use thymeshift_wire::PlatformDump;
use thymeshift_wire::StateDump;
use thymeshift_wire::TaskDump;

use crate::fleet::Fleet;
use crate::shared::Shared;

/// Maximum number of leaving marks listed in a state dump.
const MARKS_MAX: usize = 1_000;
/// Maximum number of adjusted values and skipped target list entries listed in a state dump.
const SKIPPED_ENTRIES_MAX: usize = 1_000;

/// Returns the current state of this process.
///
/// The fleet state is read under one lock, and so is the state of each service.
/// Each part is consistent, but different parts may stem from slightly different times.
pub(crate) fn dump(shared: &Shared) -> StateDump {
    let now = BootClock.now();
    let routing = shared.routing();
    let services = routing.as_ref().map_or_else(Vec::new, |routing| {
        routing.services.iter().map(|service| service.dump(now)).collect()
    });
    let reserves = routing.as_ref().map_or_else(Vec::new, |routing| {
        routing.services.iter().flat_map(|service| service.dump_reserves(now)).collect()
    });
    let kinds = routing.as_ref().map_or_else(Vec::new, |routing| routing.dump_kinds(now));
    let organisations = routing.as_ref().map_or_else(Vec::new, |routing| {
        let known = routing.keys.organisations().iter();
        known.map(|organisation| shared.quotas.dump(organisation, now)).collect()
    });
    let halls = halls(shared);
    let answered_at = *shared.platform_answered_at.lock();
    let fleet = shared.fleet.lock();
    let adoption = &fleet.configuration;
    let behind_for_ms = |adoption: &Adoption| {
        adoption.behind_since().map(|since| now.since(since).as_millis() as u64)
    };
    StateDump {
        vm: shared.settings().vm.clone(),
        boot: shared.boot,
        data_hall: shared.settings().data_hall.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        phase: shared.phase(),
        uptime_ms: now.since(shared.started_at).as_millis() as u64,
        requests_in_flight: shared.metrics.requests_in_flight.load(Ordering::Relaxed),
        caller_connections: shared.metrics.caller_connections.load(Ordering::Relaxed),
        peer_bytes_received: shared.links.bytes().received(),
        peer_bytes_sent: shared.links.bytes().sent(),
        configuration: ConfigurationDump {
            in_force: adoption.head(),
            in_force_for_ms: now.since(adoption.since()).as_millis() as u64,
            conflict: adoption.conflict().cloned(),
            rejection: adoption.rejection().cloned(),
            targets: fleet.targets.head(),
            missing: adoption.missing(),
            behind_for_ms: behind_for_ms(adoption),
            targets_behind_for_ms: behind_for_ms(&fleet.targets),
        },
        platform: PlatformDump {
            is_watching: fleet.watcher_selection.is_watching(),
            calls: shared.metrics.platform_calls.load(Ordering::Relaxed),
            last_answer_ms: answered_at.map(|at| now.since(at).as_millis() as u64),
            watchers: fleet.watcher_selection.watchers(now),
        },
        target_links: target_links(shared, now),
        halls,
        services,
        reserves,
        kinds,
        organisations,
        members: fleet.members.dump(now),
        left_out: left_out(&fleet),
        leaving: fleet.leaving.page(None, MARKS_MAX),
        orders: fleet.orders.list(now),
        suspects: fleet.quarantine.dump(now),
        tasks: tasks(shared),
    }
}

fn target_links(shared: &Shared, now: Timestamp) -> LinksDump {
    let snapshot = shared.connector.links().snapshot(now);
    let ms = |ago: Option<Duration>| ago.map(|ago| ago.as_millis() as u64);
    LinksDump {
        lost_for_ms: ms(snapshot.lost_for),
        connected_ago_ms: ms(snapshot.connected_ago),
        answered_ago_ms: ms(snapshot.answered_ago),
        failed_connects: snapshot.failed_connects,
        evidence: snapshot.evidence.map(|evidence| evidence.to_string()),
        usual_interval_ms: ms(Some(snapshot.usual_interval)),
        has_path: !shared.connector.has_no_path(now),
        relays_in_progress: shared.metrics.relays_in_progress.load(Ordering::Relaxed),
    }
}

fn left_out(fleet: &Fleet) -> Vec<LeftOutDump> {
    let adjusted = fleet.adjustments.iter().map(|Adjustment { place, found, used }| LeftOutDump {
        name: place.clone(),
        mistake: format!("found {found}, {used}"),
    });
    let entries = fleet.discovered.in_force().into_iter().flat_map(|discovery| &discovery.left_out);
    let entries = entries
        .map(|entry| LeftOutDump { name: entry.name.clone(), mistake: entry.mistake.clone() });
    adjusted.chain(entries).take(SKIPPED_ENTRIES_MAX).collect()
}

/// Returns the known data halls with their numbers of targets and processes.
///
/// A data hall is known if it has targets or processes, or if the configuration drains it.
pub(crate) fn halls(shared: &Shared) -> Vec<HallDump> {
    let mut halls: BTreeMap<DataHallName, HallDump> = BTreeMap::new();
    let Some(routing) = shared.routing() else {
        return Vec::new();
    };
    let configuration = &routing.configuration;
    let empty = |name: &DataHallName| HallDump {
        name: name.clone(),
        is_drained: configuration.is_drained(name),
        targets: 0,
        members: 0,
    };
    let targets = configuration.services.iter().flat_map(|service| &service.targets);
    for target in targets {
        let hall = &target.data_hall;
        halls.entry(hall.clone()).or_insert_with(|| empty(hall)).targets += 1;
    }
    let members = shared.fleet.lock().members.dump(BootClock.now());
    for known in members {
        let hall = &known.member.data_hall;
        halls.entry(hall.clone()).or_insert_with(|| empty(hall)).members += 1;
    }
    for hall in &configuration.drained_halls {
        halls.entry(hall.clone()).or_insert_with(|| empty(hall));
    }
    halls.into_values().collect()
}

fn tasks(shared: &Shared) -> Vec<TaskDump> {
    let statuses = shared.statuses.list().into_iter();
    let dump = statuses.map(|status| TaskDump {
        name: status.path,
        restarts: status.restarts,
        is_running: status.is_running,
    });
    dump.collect()
}
