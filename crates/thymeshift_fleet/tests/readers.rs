//! Selection of source readers: few processes read in normal operation,
//! some process reads in time whatever fails, and an outage of the source causes few calls.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_fleet::Behind;
use thymeshift_fleet::Candidate;
use thymeshift_fleet::FAN_OUT;
use thymeshift_fleet::ForwardingFilter;
use thymeshift_fleet::HallRank;
use thymeshift_fleet::ReadAction;
use thymeshift_fleet::Readers;
use thymeshift_fleet::SourceReport;
use thymeshift_fleet::ranked;
use thymeshift_fleet::relay_position;
use thymeshift_types::Capacity;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// Length of one simulation step.
const STEP_MS: u64 = 10;
/// Time that the source holds a long poll before it answers.
const LONG_POLL_MS: u64 = 950;
/// Maximum time between two answered calls of the whole fleet.
/// The platform's bound for noticing a leaving target is 2 s.
const SILENCE_MAX_MS: u64 = 1_900;

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).expect("a name")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn candidate(vm: &VmName) -> Candidate<'_> {
    Candidate { vm, capacity: Capacity::default() }
}

/// Number of contacts of a data hall.
const CONTACTS_PER_HALL: usize = 8;
const FIRST_RANK: HallRank = HallRank { rank: 0, is_contact: true };

struct Process {
    readers: Readers,
    /// End time of the current call, and whether the call will succeed.
    call: Option<(u64, bool)>,
    next_check_ms: u64,
}

/// Behaviour of the source for a call that process `index` starts at `at_ms`.
type Source = fn(index: usize, at_ms: u64) -> Answer;

enum Answer {
    Good,
    /// The source refuses the call at once.
    Refused,
    /// The source does not answer, and the caller runs into its timeout.
    Silent,
}

/// Returns all processes in their order as contacts of the only data hall.
fn contact_order(count: usize) -> Vec<usize> {
    let members: Vec<VmName> = (0..count).map(vm).collect();
    let before = |index: &usize| relay_position(&vm(*index), members.iter().map(candidate)).rank;
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_cached_key(before);
    order
}

struct Simulated {
    calls: u64,
    /// Longest time between two answered calls of the whole fleet.
    silence_max_ms: u64,
}

/// Simulates `count` processes; `is_up` returns whether a process runs and receives messages.
fn simulate(
    count: usize,
    duration_ms: u64,
    source: Source,
    is_up: fn(usize, u64) -> bool,
) -> Simulated {
    let mut rng = SmallRng::seed_from_u64(7);
    let readers = |index| Readers::new(vm(index), Capacity::default(), at(0));
    let new = |index| Process { readers: readers(index), call: None, next_check_ms: 0 };
    let mut processes: Vec<Process> = (0..count).map(new).collect();
    let order = contact_order(count);
    let mut simulated = Simulated { calls: 0, silence_max_ms: 0 };
    let mut answered_ms = 0;
    for now_ms in (0..duration_ms).step_by(STEP_MS as usize) {
        for index in 0..count {
            if !is_up(index, now_ms) {
                processes[index].call = None;
                continue;
            }
            if let Some((ends_ms, is_good)) = processes[index].call {
                if now_ms < ends_ms {
                    continue;
                }
                processes[index].call = None;
                if is_good {
                    simulated.silence_max_ms = simulated.silence_max_ms.max(now_ms - answered_ms);
                    answered_ms = now_ms;
                    processes[index].readers.succeeded(at(now_ms));
                } else {
                    processes[index].readers.failed(count, rng.random(), at(now_ms));
                }
                for other in (0..count).filter(|other| *other != index && is_up(*other, now_ms)) {
                    // One in twenty heartbeats is lost.
                    if !rng.random_ratio(1, 20) {
                        let report =
                            if is_good { SourceReport::Answered } else { SourceReport::Failed };
                        processes[other].readers.record_report(&vm(index), report, at(now_ms));
                    }
                }
            }
            if now_ms < processes[index].next_check_ms {
                continue;
            }
            let alive: Vec<usize> =
                order.iter().copied().filter(|other| is_up(*other, now_ms)).collect();
            let rank = alive.iter().position(|other| *other == index).unwrap_or(0);
            let position = HallRank { rank, is_contact: rank < CONTACTS_PER_HALL };
            let others = alive.iter().take(CONTACTS_PER_HALL).filter(|other| **other != index);
            let others: Vec<VmName> = others.copied().map(vm).collect();
            let contacts: Vec<Candidate<'_>> = others.iter().map(candidate).collect();
            let hold_ms = match processes[index].readers.next_action(
                &contacts,
                position,
                Behind::default(),
                at(now_ms),
            ) {
                ReadAction::LongPoll => LONG_POLL_MS,
                ReadAction::Poll | ReadAction::CatchUp => 4,
                ReadAction::Wait(rest) => {
                    let rest_ms = (rest.as_millis() as u64).clamp(STEP_MS, 250);
                    processes[index].next_check_ms = now_ms + rest_ms;
                    continue;
                }
            };
            simulated.calls += 1;
            processes[index].call = Some(match source(index, now_ms) {
                Answer::Good => (now_ms + hold_ms, true),
                Answer::Refused => (now_ms + 4, false),
                Answer::Silent => (now_ms + hold_ms + 700, false),
            });
        }
    }
    simulated.silence_max_ms = simulated.silence_max_ms.max(duration_ms - answered_ms);
    simulated
}

#[test]
fn two_read_while_all_is_well_whatever_the_size_of_the_fleet() {
    for count in [1, 2, 3, 18, 142] {
        let simulated = simulate(count, 30_000, |_, _| Answer::Good, |_, _| true);
        assert!(
            simulated.silence_max_ms <= SILENCE_MAX_MS,
            "{count}: {}",
            simulated.silence_max_ms
        );
        // Two readers call for 30 s, and a few processes call while no heartbeats
        // have arrived yet at startup.
        let calls_max = 2 * 30_000 / LONG_POLL_MS + 40;
        assert!(simulated.calls <= calls_max, "{count}: {} calls", simulated.calls);
    }
}

#[test]
fn somebody_reads_in_time_whoever_fails() {
    struct Case {
        note: &'static str,
        source: Source,
        is_up: fn(usize, u64) -> bool,
    }
    let cases = [
        Case {
            note: "a third of the processes is refused",
            source: |index, _| if index % 3 == 0 { Answer::Refused } else { Answer::Good },
            is_up: |_, _| true,
        },
        Case {
            note: "the source is silent for half of the processes",
            source: |index, _| if index % 2 == 0 { Answer::Silent } else { Answer::Good },
            is_up: |_, _| true,
        },
        Case {
            note: "processes vanish in turn, a third of them at any moment",
            source: |_, _| Answer::Good,
            is_up: |index, now_ms| !(now_ms / 2_000 + index as u64).is_multiple_of(3),
        },
    ];
    for Case { note, source, is_up } in cases {
        let simulated = simulate(18, 40_000, source, is_up);
        assert!(simulated.silence_max_ms <= SILENCE_MAX_MS, "{note}: {}", simulated.silence_max_ms);
        assert!(simulated.calls < 18 * 40, "{note}: {} calls", simulated.calls);
    }
}

#[test]
fn an_outage_costs_the_fleet_a_few_calls_a_second_and_its_end_is_noticed() {
    let source: Source =
        |_, now_ms| if (10_000..20_000).contains(&now_ms) { Answer::Refused } else { Answer::Good };
    for count in [3, 18, 142] {
        let down = simulate(count, 20_000, source, |_, _| true).calls;
        let before = simulate(count, 10_000, source, |_, _| true).calls;
        let calls_per_s = (down - before) / 10;
        assert!(calls_per_s <= 10 + count.min(30) as u64 / 3, "{count}: {calls_per_s} a second");
        let whole = simulate(count, 40_000, source, |_, _| true);
        assert!(whole.silence_max_ms <= 10_000 + 2_800, "{count}: {}", whole.silence_max_ms);
    }
}

#[test]
fn the_ranking_is_the_same_everywhere_and_moves_little() {
    let members: Vec<VmName> = (0..30).map(vm).collect();
    let mut reversed = members.clone();
    reversed.reverse();
    for task in ["s", "t", "u"] {
        let order = ranked(task, members.iter().map(candidate));
        assert_eq!(order, ranked(task, reversed.iter().map(candidate)));
        let without_first: Vec<&VmName> = order.iter().skip(1).copied().collect();
        let left = members.iter().filter(|member| *member != order[0]);
        let left = ranked(task, left.map(candidate));
        assert_eq!(left, without_first, "a process that leaves changes no other rank");
    }
    let firsts: std::collections::BTreeSet<String> = (0..100)
        .map(|task| {
            let task = format!("service-{task}");
            ranked(&task, members.iter().map(candidate))[0].to_string()
        })
        .collect();
    assert!(firsts.len() > 20, "work is spread: {}", firsts.len());
}

#[test]
fn large_vms_go_first_and_equal_ones_share() {
    let share = |processors| Capacity::from_processors(processors).expect("a capacity");
    let members: Vec<(VmName, Capacity)> = (0..36)
        .map(|number| (vm(number), if number < 2 { share(0.5) } else { share(0.1) }))
        .collect();
    let first = |task: usize| {
        let candidates = members.iter().map(|(vm, capacity)| Candidate { vm, capacity: *capacity });
        ranked(&format!("service-{task}"), candidates)[0].clone()
    };
    let large = (0..200).filter(|task| [vm(0), vm(1)].contains(&first(*task))).count();
    assert!(large > 160, "large VMs are first in {large} of 200 tasks");
    let one = (0..200).filter(|task| first(*task) == vm(0)).count();
    assert!((60..140).contains(&one), "one of two equal ones is first in {one} of 200");
}

#[test]
fn a_document_reaches_everybody_in_a_hall_over_a_tree() {
    for count in [1, 2, 5, 36, 200] {
        let members: Vec<VmName> = (0..count).map(vm).collect();
        let position = |own: &VmName| relay_position(own, members.iter().map(candidate));
        let mut reached: Vec<VmName> =
            members.iter().filter(|vm| position(vm).rank == 0).cloned().collect();
        assert_eq!(reached.len(), 1, "one process fetches from the reader");
        let mut next = 0;
        while let Some(vm) = reached.get(next).cloned() {
            let children = position(&vm).children;
            assert!(children.len() <= FAN_OUT, "{vm} notifies {}", children.len());
            reached.extend(children);
            next += 1;
        }
        reached.sort();
        let mut all = members.clone();
        all.sort();
        assert_eq!(reached, all, "each of {count} processes is notified once");
    }
}

#[test]
fn the_source_is_just_back_only_after_an_outage_that_was_not_an_own_pause() {
    struct Case {
        note: &'static str,
        silent_ms: u64,
        paused_ms: u64,
        is_back: bool,
    }
    let cases = [
        Case { note: "no outage", silent_ms: 1_900, paused_ms: 0, is_back: false },
        Case { note: "an outage", silent_ms: 4_500, paused_ms: 0, is_back: true },
        Case {
            note: "a pause of this process",
            silent_ms: 4_500,
            paused_ms: 4_000,
            is_back: false,
        },
        Case { note: "an outage and a pause", silent_ms: 9_000, paused_ms: 4_000, is_back: true },
    ];
    for Case { note, silent_ms, paused_ms, is_back } in cases {
        for own in [true, false] {
            let mut readers = Readers::new(vm(0), Capacity::default(), at(0));
            readers.record_report(&vm(1), SourceReport::Answered, at(1_000));
            readers.paused(Duration::from_millis(paused_ms));
            let answered = at(1_000 + silent_ms);
            if own {
                readers.succeeded(answered);
            } else {
                readers.record_report(&vm(1), SourceReport::Answered, answered);
            }
            assert_eq!(readers.has_just_recovered(answered), is_back, "{note}, own call: {own}");
            let later = at(1_000 + silent_ms + 1_000);
            readers.record_report(&vm(1), SourceReport::Answered, later);
            assert_eq!(readers.has_just_recovered(later), is_back, "{note}: still after a second");
            let too_late = at(1_000 + silent_ms + 2_500);
            assert!(!readers.has_just_recovered(too_late), "{note}: the recovery ends");
        }
    }
}

#[test]
fn a_pause_after_failures_grows_and_ends_with_an_answer() {
    let mut readers = Readers::new(vm(0), Capacity::default(), at(0));
    let mut waits = Vec::new();
    let mut now = at(0);
    for _ in 0..6 {
        readers.failed(18, 0.5, now);
        let ReadAction::Wait(rest) = readers.next_action(&[], FIRST_RANK, Behind::default(), now)
        else {
            panic!("no pause after a failure");
        };
        waits.push(rest);
        now = now + rest;
    }
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[5] <= Duration::from_millis(2_500), "{waits:?}");
    readers.succeeded(now);
    assert_eq!(readers.next_action(&[], FIRST_RANK, Behind::default(), now), ReadAction::LongPoll);
}

#[test]
fn a_heartbeat_with_new_information_is_forwarded_at_once() {
    struct Case {
        note: &'static str,
        at_ms: u64,
        is_answered: bool,
        heads: u32,
        is_due: bool,
    }
    let cases = [
        Case { note: "the first heartbeat", at_ms: 0, is_answered: true, heads: 1, is_due: true },
        Case { note: "the other reader", at_ms: 200, is_answered: true, heads: 1, is_due: false },
        Case { note: "a new document", at_ms: 300, is_answered: true, heads: 2, is_due: true },
        Case { note: "a first failure", at_ms: 350, is_answered: false, heads: 2, is_due: true },
        Case { note: "another failure", at_ms: 700, is_answered: false, heads: 2, is_due: false },
        Case { note: "again after a while", at_ms: 901, is_answered: true, heads: 2, is_due: true },
        Case { note: "a later failure", at_ms: 951, is_answered: false, heads: 2, is_due: true },
    ];
    let mut filter = ForwardingFilter::default();
    for Case { note, at_ms, is_answered, heads, is_due } in cases {
        assert_eq!(filter.is_due(is_answered, heads, at(at_ms)), is_due, "{note}");
    }
}

#[test]
fn the_first_of_a_hall_do_not_wait_long_for_each_other() {
    let members: Vec<VmName> = (0..80).map(vm).collect();
    let position = |own: &VmName| relay_position(own, members.iter().map(candidate));
    let mut waits: Vec<(usize, Duration)> =
        members.iter().map(|vm| (position(vm).rank, position(vm).wait_limit())).collect();
    waits.sort();
    assert_eq!(waits[0].1, Duration::ZERO, "the first process does not wait");
    assert!(waits.windows(2).all(|pair| pair[0].1 <= pair[1].1), "{waits:?}");
    // If the first process is dead, the second one fetches the document before the others
    // stop waiting for their parents.
    assert!(waits[1].1 * 3 < waits[79].1, "{waits:?}");
}

/// Behaviour of a process that reads nothing while readers that rank before it report.
#[test]
fn reports_of_others_do_not_keep_a_process_from_reading_what_it_lacks() {
    struct Case {
        note: &'static str,
        report: SourceReport,
        behind: Behind,
        rank: usize,
        /// Time of the first read after the first report, and of the one after it.
        reads_ms: [u64; 2],
    }
    let behind = |configuration_ms: Option<u64>, targets_ms: Option<u64>| Behind {
        configuration_since: configuration_ms.map(at),
        targets_since: targets_ms.map(at),
    };
    let never = u64::MAX;
    let cases = [
        Case {
            note: "up to date",
            report: SourceReport::Answered,
            behind: Behind::default(),
            rank: 3,
            reads_ms: [never, never],
        },
        Case {
            note: "a newer configuration",
            report: SourceReport::Answered,
            behind: behind(Some(2_000), None),
            rank: 3,
            // The source does not have what others announce, so the next read comes later.
            reads_ms: [2_630, 7_630],
        },
        Case {
            note: "a newer list of targets",
            report: SourceReport::Answered,
            behind: behind(None, Some(2_000)),
            rank: 3,
            reads_ms: [3_230, 8_230],
        },
        Case {
            note: "the last one of a large hall",
            report: SourceReport::Answered,
            behind: behind(Some(2_000), Some(2_000)),
            rank: 299,
            reads_ms: [3_190, 8_190],
        },
        Case {
            note: "readers with older documents",
            report: SourceReport::Outdated,
            behind: Behind::default(),
            rank: 0,
            reads_ms: [1_200, 2_400],
        },
    ];
    for Case { note, report, behind, rank, reads_ms } in cases {
        let hall_rank = HallRank { rank, is_contact: true };
        let others: Vec<VmName> = (1..9).map(vm).collect();
        let contacts: Vec<Candidate<'_>> = others
            .iter()
            .map(|vm| Candidate {
                vm,
                capacity: Capacity::from_processors(64.0).expect("a capacity"),
            })
            .collect();
        let mut readers = Readers::new(vm(0), Capacity::default(), at(0));
        let mut reads = Vec::new();
        for now_ms in (0..10_000).step_by(STEP_MS as usize) {
            let now = at(now_ms);
            if now_ms % 300 == 0 {
                readers.record_report(&vm(1), report, now);
            }
            let known = |since: Option<Timestamp>| since.filter(|since| *since <= now);
            let behind = Behind {
                configuration_since: known(behind.configuration_since),
                targets_since: known(behind.targets_since),
            };
            match readers.next_action(&contacts, hall_rank, behind, now) {
                ReadAction::Wait(_) => {}
                ReadAction::CatchUp | ReadAction::Poll => {
                    reads.push(now_ms);
                    readers.succeeded(now);
                }
                ReadAction::LongPoll => panic!("{note}: a reader"),
            }
        }
        let mut read = reads.into_iter().chain([never, never]);
        assert_eq!([read.next(), read.next()], reads_ms.map(Some), "{note}");
    }
}

/// Guards against a process that counts the answer that its position is too old as if it had read what the
/// source has: nobody then read for another silence.
#[test]
fn an_answer_without_documents_does_not_count_as_read() {
    let others: Vec<VmName> = (1..9).map(vm).collect();
    let large = Capacity::from_processors(64.0).expect("a capacity");
    let contacts: Vec<Candidate<'_>> =
        others.iter().map(|vm| Candidate { vm, capacity: large }).collect();
    let mut readers = Readers::new(vm(0), Capacity::default(), at(0));
    readers.record_report(&vm(1), SourceReport::Answered, at(1_000));
    let action = |readers: &Readers, now_ms| {
        readers.next_action(&contacts, FIRST_RANK, Behind::default(), at(now_ms))
    };
    assert_eq!(action(&readers, 2_200), ReadAction::Poll);
    readers.answered(at(2_210));
    assert_eq!(action(&readers, 2_210), ReadAction::Poll, "nothing has been read");
    readers.succeeded(at(2_220));
    assert_eq!(action(&readers, 2_230), ReadAction::Wait(Duration::from_millis(1_190)));
}

/// All processes learn of a configuration at the same moment, and none gets it from another one.
#[test]
fn processes_that_are_all_behind_do_not_call_the_source_at_once() {
    struct Case {
        count: usize,
        /// Calls a second that the source of such a deployment bears.
        calls_per_s: usize,
    }
    let cases = [
        Case { count: 13, calls_per_s: 2_000 },
        Case { count: 123, calls_per_s: 6_000 },
        Case { count: 587, calls_per_s: 16_000 },
        Case { count: 1_000, calls_per_s: 16_000 },
    ];
    for Case { count, calls_per_s } in cases {
        // A read that begins with an outdated position takes two calls that count.
        let reads_max = calls_per_s / 10 / 2;
        let behind = Behind { configuration_since: Some(at(0)), targets_since: None };
        let readers = Readers::new(vm(0), Capacity::default(), at(0));
        let ranks = (0..count).map(|index| HallRank { rank: index / 3, is_contact: index < 24 });
        let reads: Vec<Timestamp> =
            ranks.filter_map(|rank| readers.catch_up_at(behind, rank)).collect();
        assert_eq!(reads.len(), count);
        let last = reads.iter().max().expect("a read");
        assert!(*last <= at(1_200), "{count}: all in time");
        let window = |from: &Timestamp| {
            let until = *from + Duration::from_millis(100);
            reads.iter().filter(|read| *read >= from && **read < until).count()
        };
        let most = reads.iter().map(window).max().unwrap_or(0);
        assert!(most <= reads_max, "{count}: {most} reads in 100 ms");
    }
}
