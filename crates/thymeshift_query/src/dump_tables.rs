//! Conversion of state dumps to tables.

use thymeshift_allocation::SpilloverClassDump;
use thymeshift_dispatch::ServiceDump;
use thymeshift_dispatch::TargetDump;
use thymeshift_dispatch::Usability;
use thymeshift_types::Revision;
use thymeshift_wire::SpilloverDump;
use thymeshift_wire::StateDump;

use crate::Cell;
use crate::Table;
use crate::TableName;

/// Returns the table called `name` with the rows of all `dumps`, in the order of the dumps.
/// The first column is the VM of the process that wrote the dump.
pub fn build_table(name: TableName, dumps: &[StateDump]) -> Table {
    let rows = dumps.iter().flat_map(|dump| {
        let vm = Cell::text(&dump.vm);
        rows(name, dump).into_iter().map(move |row| [vec![vm.clone()], row].concat())
    });
    Table { columns: name.columns().to_vec(), rows: rows.collect() }
}

/// Returns the rows of one dump without their first cell, the VM.
fn rows(name: TableName, dump: &StateDump) -> Vec<Vec<Cell>> {
    match name {
        TableName::Process => vec![process(dump)],
        TableName::Configuration => vec![configuration(dump)],
        TableName::Halls => halls(dump),
        TableName::Services => dump.services.iter().map(service).collect(),
        TableName::Targets => {
            let service_rows = |service: &ServiceDump| {
                let row = |target_dump: &TargetDump| target(service, target_dump);
                service.targets.iter().map(row).collect::<Vec<_>>()
            };
            dump.services.iter().flat_map(service_rows).collect()
        }
        TableName::Limits => dump.services.iter().flat_map(limits).collect(),
        TableName::Queues => dump.services.iter().flat_map(queues).collect(),
        TableName::Reserves => dump.reserves.iter().flat_map(reserves).collect(),
        TableName::Kinds => kinds(dump),
        TableName::Organisations => organisations(dump),
        TableName::Keys => keys(dump),
        TableName::Members => members(dump),
        TableName::Watchers => watchers(dump),
        TableName::Leaving => leaving(dump),
        TableName::Orders => orders(dump),
        TableName::Suspects => suspects(dump),
        TableName::LeftOut => left_out(dump),
        TableName::Tasks => tasks(dump),
    }
}

fn number(value: u64) -> Cell {
    Cell::Number(value as f64)
}

fn process(dump: &StateDump) -> Vec<Cell> {
    vec![
        Cell::text(&dump.data_hall),
        Cell::text(&dump.version),
        Cell::text(dump.phase),
        number(dump.uptime_ms),
        number(dump.requests_in_flight),
        number(dump.caller_connections),
        Cell::Bool(dump.platform.is_watching),
        number(dump.platform.calls),
        Cell::number_or_missing(dump.platform.last_answer_ms),
        number(dump.peer_bytes_received),
        number(dump.peer_bytes_sent),
        Cell::number_or_missing(dump.target_links.lost_for_ms),
        Cell::number_or_missing(dump.target_links.answered_ago_ms),
        Cell::Bool(dump.target_links.has_path),
        number(dump.target_links.relays_in_progress),
    ]
}

fn configuration(dump: &StateDump) -> Vec<Cell> {
    let configuration = &dump.configuration;
    let head = configuration.in_force;
    let rejection = configuration.rejection.as_ref();
    let revision = head.map(|head| head.revision);
    let targets_revision = configuration.targets.map(|head| head.revision);
    vec![
        Cell::number_or_missing(revision.map(Revision::number)),
        Cell::number_or_missing(revision.map(|revision| revision.epoch().as_u64())),
        head.map_or(Cell::Missing, |head| Cell::text(head.digest)),
        number(configuration.in_force_for_ms),
        Cell::Bool(configuration.conflict.is_some()),
        Cell::number_or_missing(rejection.map(|rejection| rejection.head.revision.number())),
        rejection.map_or(Cell::Missing, |rejection| Cell::text(&rejection.mistakes)),
        Cell::number_or_missing(targets_revision.map(Revision::number)),
        Cell::number_or_missing(targets_revision.map(|revision| revision.epoch().as_u64())),
        Cell::number_or_missing(configuration.missing.map(|head| head.revision.number())),
        Cell::number_or_missing(configuration.behind_for_ms),
        Cell::number_or_missing(configuration.targets_behind_for_ms),
    ]
}

fn halls(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |hall: &thymeshift_wire::HallDump| {
        vec![
            Cell::text(&hall.name),
            Cell::Bool(hall.is_drained),
            number(hall.targets),
            number(hall.members),
        ]
    };
    dump.halls.iter().map(row).collect()
}

fn service(service: &ServiceDump) -> Vec<Cell> {
    let is_open = |target: &&TargetDump| target.usability == Usability::Open;
    vec![
        Cell::text(&service.name),
        Cell::text(service.strategy),
        Cell::text(service.view),
        number(service.targets.len() as u64),
        number(service.targets.iter().filter(is_open).count() as u64),
        Cell::Number(service.retry_reserve),
        number(service.expected_wait_us),
        number(service.queues.iter().map(|queue| queue.waiting_at_home as u64).sum()),
    ]
}

fn target(service: &ServiceDump, target: &TargetDump) -> Vec<Cell> {
    let running = target.reported_running.map(u64::from);
    let queued = target.reported_queued.map(u64::from);
    let load = running.zip(queued).map(|(running, queued)| running + queued);
    vec![
        Cell::text(&service.name),
        Cell::text(&target.name),
        Cell::text(target.address),
        number(target.incarnation.as_u64()),
        Cell::text(target.usability),
        number(u64::from(target.in_flight)),
        Cell::Number(target.limit),
        Cell::number_or_missing(load),
        Cell::number_or_missing(running),
        Cell::number_or_missing(queued),
        Cell::number_or_missing(target.report_age_ms),
        number(target.latency_us),
        number(target.expected_us),
        Cell::Number(target.failure_rate),
        Cell::number_or_missing(target.ejected_for_ms),
        Cell::number_or_missing(target.backoff_for_ms),
        number(u64::from(target.connection_share)),
    ]
}

fn limits(service: &ServiceDump) -> Vec<Vec<Cell>> {
    let row = |target: &TargetDump| {
        let limit = target.rate_limit?;
        Some(vec![
            Cell::text(&service.name),
            Cell::text(&target.name),
            Cell::Number(limit.per_s),
            number(limit.limited_for_ms),
            number(limit.age_ms),
            Cell::text(service.view),
            Cell::Number(limit.share),
            number(limit.granted),
            Cell::text(target.usability),
        ])
    };
    service.targets.iter().filter_map(row).collect()
}

fn queues(service: &ServiceDump) -> Vec<Vec<Cell>> {
    let queues = service.queues.iter();
    let row = |queue: &thymeshift_dispatch::QueueDump| {
        vec![
            Cell::text(&service.name),
            number(u64::from(queue.priority)),
            number(queue.waiting as u64),
            number(queue.waiting_at_home as u64),
        ]
    };
    queues.map(row).collect()
}

fn reserves(reserve: &SpilloverDump) -> Vec<Vec<Cell>> {
    let row = |class: &SpilloverClassDump| {
        vec![
            Cell::text(&reserve.service),
            Cell::text(&reserve.group),
            number(u64::from(class.answer_kib_min)),
            Cell::Number(class.offered_slots),
            number(u64::from(class.reserve_above)),
            number(u64::from(reserve.headroom)),
            Cell::Bool(reserve.is_redirecting),
        ]
    };
    reserve.classes.iter().map(row).collect()
}

fn kinds(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |kind: &thymeshift_wire::KindDump| {
        vec![
            Cell::text(&kind.name),
            Cell::text(&kind.service),
            number(kind.priority),
            number(kind.accepted),
            number(kind.answered),
            number(kind.not_run),
            number(kind.unknown),
            number(kind.failed),
            number(kind.retries),
            number(kind.waited),
            number(kind.local_wait_ms),
        ]
    };
    dump.kinds.iter().map(row).collect()
}

fn organisations(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |organisation: &thymeshift_wire::OrganisationDump| {
        vec![
            Cell::text(&organisation.name),
            number(organisation.rank),
            organisation.rate_per_s.map_or(Cell::Missing, Cell::Number),
            number(organisation.burst),
            number(organisation.key_digests.len() as u64),
            number(u64::from(organisation.tokens)),
            Cell::Number(organisation.demand_per_s),
            organisation.counted_per_s.map_or(Cell::Missing, Cell::Number),
        ]
    };
    dump.organisations.iter().map(row).collect()
}

fn keys(dump: &StateDump) -> Vec<Vec<Cell>> {
    let digests = dump.organisations.iter().flat_map(|organisation| {
        organisation.key_digests.iter().map(move |digest| (digest, &organisation.name))
    });
    digests.map(|(digest, name)| vec![Cell::text(digest), Cell::text(name)]).collect()
}

fn members(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |member_dump: &thymeshift_fleet::MemberDump| {
        let member = &member_dump.member;
        vec![
            Cell::text(&member.vm),
            Cell::text(member_dump.liveness),
            Cell::text(member.phase),
            Cell::text(&member.data_hall),
            Cell::Number(member.capacity.processors()),
            Cell::number_or_missing(member.revision.map(Revision::number)),
            number(member_dump.silent_ms),
            Cell::text(member.peer_address),
            Cell::text(member.control_address),
        ]
    };
    dump.members.iter().map(row).collect()
}

fn watchers(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row =
        |watcher: &thymeshift_fleet::Watcher| vec![Cell::text(&watcher.vm), number(watcher.age_ms)];
    dump.platform.watchers.iter().map(row).collect()
}

fn leaving(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |mark: &thymeshift_types::LeavingMark| {
        vec![Cell::text(&mark.service), Cell::text(&mark.target), number(mark.incarnation.as_u64())]
    };
    dump.leaving.iter().map(row).collect()
}

fn orders(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |order: &thymeshift_fleet::Order| {
        vec![
            Cell::text(&order.subject),
            Cell::text(order.change),
            Cell::text(&order.operator),
            number(order.stamp.counter),
            Cell::text(&order.stamp.vm),
            Cell::number_or_missing(order.revision.map(Revision::number)),
            number(order.expires_in_ms),
        ]
    };
    dump.orders.iter().map(row).collect()
}

fn suspects(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |suspect: &thymeshift_fleet::SuspectDump| {
        vec![
            Cell::text(suspect.fingerprint),
            number(suspect.strikes),
            number(suspect.refused_for_ms),
            number(suspect.first_crash_ms),
            number(suspect.last_crash_ms),
            Cell::text(suspect.targets.join(" ")),
        ]
    };
    dump.suspects.iter().map(row).collect()
}

fn left_out(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |entry: &thymeshift_wire::LeftOutDump| {
        vec![Cell::text(&entry.name), Cell::text(&entry.mistake)]
    };
    dump.left_out.iter().map(row).collect()
}

fn tasks(dump: &StateDump) -> Vec<Vec<Cell>> {
    let row = |task: &thymeshift_wire::TaskDump| {
        vec![Cell::text(&task.name), Cell::Bool(task.is_running), number(task.restarts)]
    };
    dump.tasks.iter().map(row).collect()
}
