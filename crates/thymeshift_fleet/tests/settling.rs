//! How many other processes a started process assumes until it knows them.

use std::net::SocketAddr;
use std::time::Duration;

use thymeshift_fleet::Boot;
use thymeshift_fleet::FleetBounds;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::Phase;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

const START: Timestamp = Timestamp::from_millis(50_000);

fn member(number: u16) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
    Member {
        vm: VmName::new(&format!("vm-{number}")).expect("a name"),
        boot: Boot::new(1),
        heartbeat: 0,
        peer_address: address,
        control_address: address,
        datagram_address: Some(address),
        capacity: Capacity::default(),
        data_hall: DataHallName::new("a").expect("a name"),
        phase: Phase::Serving,
        revision: None,
    }
}

/// Guards against processes that each rank first among themselves alone after a loss of all
/// processes, and then each grant the whole limit of an organisation.
#[test]
fn a_started_process_assumes_a_full_fleet_until_it_knows_the_others() {
    struct Case {
        note: &'static str,
        has_hints: bool,
        /// Peers that have answered.
        answers: u16,
        has_settled_answer: bool,
        age_ms: u64,
        bounds: FleetBounds,
        assumed: usize,
    }
    const UNBOUNDED: FleetBounds = FleetBounds { vms_max: 166, halls: None };
    const CASE: Case = Case {
        note: "just started",
        has_hints: true,
        answers: 0,
        has_settled_answer: false,
        age_ms: 0,
        bounds: UNBOUNDED,
        assumed: 166,
    };
    let three_halls = FleetBounds { halls: Some(3), ..UNBOUNDED };
    let cases = [
        CASE,
        Case { note: "eight contacts in each hall", bounds: three_halls, assumed: 24, ..CASE },
        Case {
            note: "few VMs",
            bounds: FleetBounds { vms_max: 18, ..three_halls },
            assumed: 18,
            ..CASE
        },
        Case {
            note: "the only VM that may run",
            bounds: FleetBounds { vms_max: 1, halls: None },
            assumed: 1,
            ..CASE
        },
        Case { note: "five answers", answers: 5, age_ms: 1_400, ..CASE },
        Case {
            note: "five answers, settle time over",
            answers: 5,
            age_ms: 1_500,
            assumed: 6,
            ..CASE
        },
        Case { note: "a settled answer", answers: 1, has_settled_answer: true, assumed: 2, ..CASE },
        Case { note: "no answer", age_ms: 4_900, ..CASE },
        Case { note: "no answer for long", age_ms: 5_000, assumed: 1, ..CASE },
        Case { note: "nobody to ask", has_hints: false, age_ms: 1_500, assumed: 1, ..CASE },
    ];
    for case in cases {
        let hints = if case.has_hints { vec![member(1).peer_address] } else { Vec::new() };
        let mut members = Members::new(member(0), hints, START);
        let now = START + Duration::from_millis(case.age_ms);
        for number in 1..=case.answers {
            members.record_answer(&member(number), now);
        }
        if case.has_settled_answer {
            members.record_settled_view();
        }
        let candidates = members.visible_contacts(case.bounds, now);
        assert_eq!(candidates.known_count, case.assumed, "{}", case.note);
        assert_eq!(candidates.visible.len(), usize::from(case.answers) + 1, "{}", case.note);
    }
}

/// Guards against processes that each grant the whole limit that a target of their hall states.
#[test]
fn a_started_process_assumes_a_full_hall_until_it_knows_the_others() {
    const BOUNDS: FleetBounds = FleetBounds { vms_max: 166, halls: Some(3) };
    let own_hall = member(0).data_hall;
    let other_hall = DataHallName::new("b").expect("a name");
    let mut members = Members::new(member(0), Vec::new(), START);
    assert_eq!(members.visible_in(&own_hall, BOUNDS, START).known_count, 166);
    assert_eq!(members.visible_in(&other_hall, BOUNDS, START).known_count, 166);
    members.record_settled_view();
    assert_eq!(members.visible_in(&own_hall, BOUNDS, START).known_count, 1);
    assert_eq!(members.visible_in(&other_hall, BOUNDS, START).known_count, 0);
}

/// Guards against a ranking that is kept although the process has learned of all others.
#[test]
fn becoming_settled_counts_as_a_change_of_the_members() {
    let mut members = Members::new(member(0), Vec::new(), START);
    let before = members.changes();
    members.record_settled_view();
    assert!(members.changes() > before);
    let settled = members.changes();
    members.record_settled_view();
    assert_eq!(members.changes(), settled);
}
