//! Membership in simulated fleets of different sizes.
//! All processes start at the same time, and each knows three addresses, one of which is unused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_fleet::Boot;
use thymeshift_fleet::GossipMember;
use thymeshift_fleet::GossipScope;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::Phase;
use thymeshift_fleet::ReceivedSummary;
use thymeshift_fleet::ranked;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// Interval between two exchanges of a process: while it is new, during its startup, and later.
const NEW_EXCHANGE_INTERVAL_MS: u64 = 50;
const STARTUP_EXCHANGE_INTERVAL_MS: u64 = 200;
const SETTLED_EXCHANGE_INTERVAL_MS: u64 = 2_300;
const STARTUP_MS: u64 = 4_000;
/// Length of one simulation step.
const STEP_MS: u64 = 10;
/// Number of large VMs in each data hall.
const LARGE_PER_HALL: usize = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn vm(number: usize) -> VmName {
    VmName::new(&format!("front-{number}")).expect("a name")
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).expect("few processes").to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7_000))
}

fn number_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("IPv4 only") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn hall(number: usize, halls: usize) -> DataHallName {
    DataHallName::new(&format!("hall-{}", number % halls)).expect("a name")
}

fn member(number: usize, halls: usize, boot: u64) -> Member {
    let is_large = number / halls < LARGE_PER_HALL;
    let processors = if is_large { 0.5 } else { 0.1 };
    Member {
        vm: vm(number),
        boot: Boot::new(boot),
        heartbeat: 0,
        peer_address: address(number),
        control_address: address(number),
        datagram_address: Some(address(number)),
        data_hall: hall(number, halls),
        capacity: Capacity::from_processors(processors).expect("a capacity"),
        phase: Phase::Serving,
        revision: None,
    }
}

struct Process {
    members: Members,
    is_up: bool,
    started_ms: u64,
    next_ms: u64,
}

struct Fleet {
    halls: usize,
    processes: Vec<Process>,
    /// Member descriptions sent in all messages so far.
    members_sent: u64,
    rng: SmallRng,
}

impl Fleet {
    fn new(count: usize, halls: usize) -> Self {
        // No process uses the last address.
        let hints = vec![address(1), address(count / 2), address(60_000)];
        let new = |number| Process {
            members: Members::new(member(number, halls, 1), hints.clone(), at(0)),
            is_up: true,
            started_ms: 0,
            next_ms: 0,
        };
        let processes = (0..count).map(new).collect();
        Self { halls, processes, members_sent: 0, rng: SmallRng::seed_from_u64(11) }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            for number in 0..self.processes.len() {
                let process = &self.processes[number];
                if process.is_up && process.next_ms <= now_ms {
                    self.exchange(number, now_ms);
                }
            }
        }
    }

    fn exchange(&mut self, number: usize, now_ms: u64) {
        let now = at(now_ms);
        let process = &mut self.processes[number];
        process.members.advance_heartbeat(Phase::Serving, None);
        let interval_ms = if process.members.is_new() {
            NEW_EXCHANGE_INTERVAL_MS
        } else if now_ms - process.started_ms < STARTUP_MS {
            STARTUP_EXCHANGE_INTERVAL_MS
        } else {
            SETTLED_EXCHANGE_INTERVAL_MS
        };
        process.next_ms = now_ms + self.rng.random_range(interval_ms * 4 / 5..interval_ms * 6 / 5);
        let picked = process.members.pick_peers(1, now, &mut self.rng);
        let summary = process.members.members_to_send(GossipScope::Regular, now, &mut self.rng);
        let (digest, is_new) = (process.members.digest(now), process.members.is_new());
        for address in picked {
            let other = number_at(address);
            let Some(other) = self.processes.get(other).filter(|other| other.is_up).map(|_| other)
            else {
                self.processes[number].members.record_no_answer(address);
                continue;
            };
            let received = ReceivedSummary {
                sender: &summary[0].member,
                digest,
                is_new,
                is_regular: summary.len() > 1,
            };
            let members = &mut self.processes[other].members;
            merge_message(members, &summary, now);
            let scope = members.answer_scope(&received, now);
            let mut answer = members.members_to_send(scope, now, &mut self.rng);
            answer.extend(members.later_boot_of(received.sender, now));
            self.members_sent += (summary.len() + answer.len()) as u64;
            merge_message(&mut self.processes[number].members, &answer, now);
        }
    }

    fn set_up(&mut self, number: usize, is_up: bool) {
        self.processes[number].is_up = is_up;
    }

    /// Restarts a process, which loses all its state.
    fn restart(&mut self, number: usize, boot: u64, now_ms: u64) {
        let hints = vec![address(1), address(self.processes.len() / 2)];
        let own = member(number, self.halls, boot);
        let members = Members::new(own, hints, at(now_ms));
        self.processes[number] =
            Process { members, is_up: true, started_ms: now_ms, next_ms: now_ms };
    }

    /// Announces to all members of the process's hall that it is serving.
    fn announce_phase(&mut self, number: usize, now_ms: u64) {
        let members = &self.processes[number].members;
        let in_hall = members.hall_peers(at(now_ms)).map(|member| number_at(member.peer_address));
        let in_hall: Vec<usize> = in_hall.collect();
        let own = members.own().clone();
        for other in in_hall {
            self.processes[other].members.record_announcement(&own, at(now_ms));
        }
    }

    /// Returns the largest number of different allocators that the processes of one hall choose.
    fn distinct_allocators(&self, now_ms: u64) -> usize {
        let mut allocators: BTreeMap<DataHallName, BTreeSet<VmName>> = BTreeMap::new();
        for process in self.processes.iter().filter(|process| process.is_up) {
            let hall = &process.members.own().data_hall;
            let serving = process.members.serving_in(hall, at(now_ms));
            let first = ranked("a group", serving.into_iter().map(Member::candidate))[0];
            allocators.entry(hall.clone()).or_default().insert(first.clone());
        }
        allocators.values().map(BTreeSet::len).max().unwrap_or_default()
    }

    /// Returns how many different processes are considered the highest-ranked reader.
    fn distinct_readers(&self, now_ms: u64) -> usize {
        let up = self.processes.iter().filter(|process| process.is_up);
        let first = |process: &Process| {
            let contacts = process.members.contacts(at(now_ms));
            ranked("read", contacts.into_iter().map(Member::candidate))[0].clone()
        };
        up.map(first).collect::<BTreeSet<VmName>>().len()
    }

    fn known_max(&self) -> usize {
        let known = |process: &Process| process.members.dump(at(0)).len();
        self.processes.iter().map(known).max().unwrap_or_default()
    }
}

fn merge_message(members: &mut Members, message: &[GossipMember], now: Timestamp) {
    let (sender, others) = message.split_first().expect("a sender");
    members.record_answer(&sender.member, now);
    for other in others {
        members.merge(other, now);
    }
}

struct Size {
    count: usize,
    halls: usize,
    /// Time after the start by which all processes of a hall agree.
    agreed_within_ms: u64,
}

const SIZES: [Size; 5] = [
    Size { count: 30, halls: 6, agreed_within_ms: 1_000 },
    Size { count: 100, halls: 6, agreed_within_ms: 1_500 },
    Size { count: 300, halls: 6, agreed_within_ms: 1_500 },
    Size { count: 473, halls: 6, agreed_within_ms: 2_000 },
    Size { count: 2_300, halls: 20, agreed_within_ms: 2_500 },
];

#[test]
fn a_young_fleet_agrees_who_allocates_and_who_reads() {
    for Size { count, halls, agreed_within_ms } in SIZES {
        let mut fleet = Fleet::new(count, halls);
        fleet.run(0, agreed_within_ms);
        assert_eq!(
            fleet.distinct_allocators(agreed_within_ms),
            1,
            "{count} processes: different allocators"
        );
        assert_eq!(
            fleet.distinct_readers(agreed_within_ms),
            1,
            "{count} processes: different readers"
        );
    }
}

#[test]
fn what_a_process_keeps_grows_with_its_hall_and_not_with_the_fleet() {
    let mut fleet = Fleet::new(2_300, 20);
    fleet.run(0, 5_000);
    let most = 2_300 / 20 + 19 * 8;
    assert!(fleet.known_max() <= most, "{} members known", fleet.known_max());
    let before = fleet.members_sent;
    fleet.run(5_000, 15_000);
    let members_sent_per_s = (fleet.members_sent - before) as f64 / 10.0 / 2_300.0;
    // A member takes about 70 bytes before compression, so 28 members take 2 KB per second.
    assert!(members_sent_per_s <= 28.0, "{members_sent_per_s} members sent per second and process");
}

#[test]
fn processes_that_start_anew_are_known_to_their_hall_soon() {
    let mut fleet = Fleet::new(473, 6);
    fleet.run(0, 5_000);
    let first = first_of_hall(&fleet, 5_000);
    fleet.restart(first, 2, 5_000);
    fleet.run(5_000, 5_300);
    fleet.announce_phase(first, 5_300);
    fleet.run(5_300, 6_500);
    assert_eq!(fleet.distinct_allocators(6_500), 1);
    let boots: BTreeSet<u64> = fleet
        .processes
        .iter()
        .filter(|process| process.members.own().data_hall == hall(first, 6))
        .filter_map(|process| process.members.find(&vm(first)))
        .map(|member| member.boot.as_u64())
        .collect();
    assert_eq!(boots, BTreeSet::from([2]), "only the new boot is known");
}

/// The wall clock numbers the boots. After it had stepped back, the other processes took the new
/// process for an earlier one, and did not count it as serving.
#[test]
fn a_process_that_restarts_after_its_clock_has_stepped_back_is_known_as_serving() {
    struct Case {
        note: &'static str,
        count: usize,
        /// Phase in which the process was last seen before the restart.
        last_phase: Phase,
    }
    let cases = [
        Case { note: "killed, small fleet", count: 30, last_phase: Phase::Serving },
        Case { note: "stopped, small fleet", count: 30, last_phase: Phase::Stopping },
        Case { note: "killed, large fleet", count: 473, last_phase: Phase::Serving },
        Case { note: "stopped, large fleet", count: 473, last_phase: Phase::Stopping },
    ];
    for Case { note, count, last_phase } in cases {
        let mut fleet = Fleet::new(count, 6);
        fleet.run(0, 5_000);
        let first = first_of_hall(&fleet, 5_000);
        fleet.processes[first].members.advance_heartbeat(last_phase, None);
        fleet.announce_phase(first, 5_000);
        fleet.set_up(first, false);
        fleet.run(5_000, 8_000);
        fleet.restart(first, 0, 8_000);
        fleet.run(8_000, 8_300);
        fleet.announce_phase(first, 8_300);
        fleet.run(8_300, 9_500);
        let peers = fleet.processes.iter().filter(|process| {
            let own = process.members.own();
            own.data_hall == hall(first, 6) && own.vm != vm(first)
        });
        let unaware = peers.filter(|process| {
            let serving = process.members.serving_in(&hall(first, 6), at(9_500));
            let boot = fleet.processes[first].members.own().boot;
            !serving.iter().any(|member| member.vm == vm(first) && member.boot == boot)
        });
        assert_eq!(unaware.count(), 0, "{note}: processes of its hall that do not know it");
    }
}

#[test]
fn a_hall_whose_first_members_are_dead_is_still_known_to_the_others() {
    let mut fleet = Fleet::new(300, 6);
    fleet.run(0, 5_000);
    // More processes than the contacts that other halls know are dead.
    let dead: Vec<usize> = (0..300).step_by(6).take(30).collect();
    for number in dead {
        fleet.set_up(number, false);
    }
    fleet.run(5_000, 150_000);
    let other = &fleet.processes[1].members;
    let alive = other.serving_in(&hall(0, 6), at(150_000));
    assert!(!alive.is_empty(), "live contacts are known");
    let is_up = |member: &&Member| {
        fleet.processes.iter().any(|process| process.is_up && process.members.own().vm == member.vm)
    };
    assert!(alive.iter().all(is_up), "no dead process is considered alive");
}

fn first_of_hall(fleet: &Fleet, now_ms: u64) -> usize {
    let members = &fleet.processes[0].members;
    let serving = members.serving_in(&hall(0, 6), at(now_ms));
    let first = ranked("a group", serving.into_iter().map(Member::candidate))[0].clone();
    (0..fleet.processes.len()).find(|number| vm(*number) == first).expect("a member")
}
