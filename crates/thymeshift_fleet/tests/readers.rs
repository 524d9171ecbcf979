//! Who reads the source: few while all is well, somebody in time whatever fails, and not
//! many while the source is down.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_fleet::Candidate;
use thymeshift_fleet::FAN_OUT;
use thymeshift_fleet::ForwardingFilter;
use thymeshift_fleet::HallRank;
use thymeshift_fleet::ReadAction;
use thymeshift_fleet::Readers;
use thymeshift_fleet::ranked;
use thymeshift_fleet::relay_position;
use thymeshift_types::Capacity;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// One step of the simulation.
const STEP_MS: u64 = 10;
/// How long the source holds a call.
const HOLD_MS: u64 = 950;
/// Within this time of its answer, each answered call must be followed by another one
/// somewhere: the platform's bound for a leaving target is 2 s.
const SILENCE_MAX_MS: u64 = 1_900;

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).expect("a name")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn contender(vm: &VmName) -> Candidate<'_> {
    Candidate { vm, capacity: Capacity::default() }
}

/// Contacts of a data hall.
const CONTACTS: usize = 8;
const FIRST: HallRank = HallRank { rank: 0, is_contact: true };

struct Process {
    readers: Readers,
    /// When its call ends, and how.
    call: Option<(u64, bool)>,
    next_look: u64,
}

/// What the source does with a call of process `index` that begins at a moment.
type Source = fn(index: usize, at_ms: u64) -> Answer;

enum Answer {
    Good,
    /// Refused at once.
    Refused,
    /// Nothing is heard until the caller gives up.
    Silent,
}

/// All processes in the order in which they are contacts of the only data hall.
fn contact_order(count: usize) -> Vec<usize> {
    let members: Vec<VmName> = (0..count).map(vm).collect();
    let before = |index: &usize| relay_position(&vm(*index), members.iter().map(contender)).rank;
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_cached_key(before);
    order
}

struct Played {
    calls: u64,
    /// Longest time between two answered calls.
    silence_max_ms: u64,
}

/// Plays `count` processes; `is_up` says whether a process runs and hears others.
fn play(count: usize, for_ms: u64, source: Source, is_up: fn(usize, u64) -> bool) -> Played {
    let mut rng = SmallRng::seed_from_u64(7);
    let readers = |index| Readers::new(vm(index), Capacity::default(), at(0));
    let new = |index| Process { readers: readers(index), call: None, next_look: 0 };
    let mut processes: Vec<Process> = (0..count).map(new).collect();
    let order = contact_order(count);
    let mut played = Played { calls: 0, silence_max_ms: 0 };
    let mut answered_ms = 0;
    for now_ms in (0..for_ms).step_by(STEP_MS as usize) {
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
                    played.silence_max_ms = played.silence_max_ms.max(now_ms - answered_ms);
                    answered_ms = now_ms;
                    processes[index].readers.succeeded(at(now_ms));
                } else {
                    processes[index].readers.failed(count, rng.random(), at(now_ms));
                }
                for other in (0..count).filter(|other| *other != index && is_up(*other, now_ms)) {
                    // One heartbeat in twenty is lost.
                    if !rng.random_ratio(1, 20) {
                        processes[other].readers.record_report(&vm(index), is_good, at(now_ms));
                    }
                }
            }
            if now_ms < processes[index].next_look {
                continue;
            }
            let alive: Vec<usize> =
                order.iter().copied().filter(|other| is_up(*other, now_ms)).collect();
            let before = alive.iter().position(|other| *other == index).unwrap_or(0);
            let place = HallRank { rank: before, is_contact: before < CONTACTS };
            let others = alive.iter().take(CONTACTS).filter(|other| **other != index);
            let others: Vec<VmName> = others.copied().map(vm).collect();
            let contacts: Vec<Candidate<'_>> = others.iter().map(contender).collect();
            let hold_ms = match processes[index].readers.next_action(&contacts, place, at(now_ms)) {
                ReadAction::LongPoll => HOLD_MS,
                ReadAction::Poll => 4,
                ReadAction::Wait(rest) => {
                    let rest_ms = (rest.as_millis() as u64).clamp(STEP_MS, 250);
                    processes[index].next_look = now_ms + rest_ms;
                    continue;
                }
            };
            played.calls += 1;
            processes[index].call = Some(match source(index, now_ms) {
                Answer::Good => (now_ms + hold_ms, true),
                Answer::Refused => (now_ms + 4, false),
                Answer::Silent => (now_ms + hold_ms + 700, false),
            });
        }
    }
    played.silence_max_ms = played.silence_max_ms.max(for_ms - answered_ms);
    played
}

#[test]
fn two_read_while_all_is_well_whatever_the_size_of_the_fleet() {
    for count in [1, 2, 3, 18, 142] {
        let played = play(count, 30_000, |_, _| Answer::Good, |_, _| true);
        assert!(played.silence_max_ms <= SILENCE_MAX_MS, "{count}: {}", played.silence_max_ms);
        // Two readers for 30 s, and a few processes that hear nothing while all are young.
        let most = 2 * 30_000 / HOLD_MS + 40;
        assert!(played.calls <= most, "{count}: {} calls", played.calls);
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
        let played = play(18, 40_000, source, is_up);
        assert!(played.silence_max_ms <= SILENCE_MAX_MS, "{note}: {}", played.silence_max_ms);
        assert!(played.calls < 18 * 40, "{note}: {} calls", played.calls);
    }
}

#[test]
fn an_outage_costs_the_fleet_a_few_calls_a_second_and_its_end_is_noticed() {
    let source: Source =
        |_, now_ms| if (10_000..20_000).contains(&now_ms) { Answer::Refused } else { Answer::Good };
    for count in [3, 18, 142] {
        let down = play(count, 20_000, source, |_, _| true).calls;
        let before = play(count, 10_000, source, |_, _| true).calls;
        let calls_per_s = (down - before) / 10;
        assert!(calls_per_s <= 10 + count.min(30) as u64 / 3, "{count}: {calls_per_s} a second");
        let whole = play(count, 40_000, source, |_, _| true);
        assert!(whole.silence_max_ms <= 10_000 + 2_800, "{count}: {}", whole.silence_max_ms);
    }
}

#[test]
fn the_ranking_is_the_same_everywhere_and_moves_little() {
    let members: Vec<VmName> = (0..30).map(vm).collect();
    let mut reversed = members.clone();
    reversed.reverse();
    for task in ["s", "t", "u"] {
        let order = ranked(task, members.iter().map(contender));
        assert_eq!(order, ranked(task, reversed.iter().map(contender)));
        let without_first: Vec<&VmName> = order.iter().skip(1).copied().collect();
        let left = members.iter().filter(|member| *member != order[0]);
        let left = ranked(task, left.map(contender));
        assert_eq!(left, without_first, "one that goes changes no other's place");
    }
    let firsts: std::collections::BTreeSet<String> = (0..100)
        .map(|task| {
            let task = format!("service-{task}");
            ranked(&task, members.iter().map(contender))[0].to_string()
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
        let contenders = members.iter().map(|(vm, capacity)| Candidate { vm, capacity: *capacity });
        ranked(&format!("service-{task}"), contenders)[0].clone()
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
        let place = |own: &VmName| relay_position(own, members.iter().map(contender));
        let mut reached: Vec<VmName> =
            members.iter().filter(|vm| place(vm).rank == 0).cloned().collect();
        assert_eq!(reached.len(), 1, "one fetches from the reader");
        let mut next = 0;
        while let Some(vm) = reached.get(next).cloned() {
            let children = place(&vm).children;
            assert!(children.len() <= FAN_OUT, "{vm} tells {}", children.len());
            reached.extend(children);
            next += 1;
        }
        reached.sort();
        let mut all = members.clone();
        all.sort();
        assert_eq!(reached, all, "each of {count} is told once");
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
        Case { note: "as always", silent_ms: 1_900, paused_ms: 0, is_back: false },
        Case { note: "an outage", silent_ms: 4_500, paused_ms: 0, is_back: true },
        Case { note: "an own pause", silent_ms: 4_500, paused_ms: 4_000, is_back: false },
        Case { note: "both", silent_ms: 9_000, paused_ms: 4_000, is_back: true },
    ];
    for Case { note, silent_ms, paused_ms, is_back } in cases {
        for own in [true, false] {
            let mut readers = Readers::new(vm(0), Capacity::default(), at(0));
            readers.record_report(&vm(1), true, at(1_000));
            readers.paused(Duration::from_millis(paused_ms));
            let answered = at(1_000 + silent_ms);
            if own {
                readers.succeeded(answered);
            } else {
                readers.record_report(&vm(1), true, answered);
            }
            assert_eq!(readers.has_just_recovered(answered), is_back, "{note}, own call: {own}");
            let later = at(1_000 + silent_ms + 1_000);
            readers.record_report(&vm(1), true, later);
            assert_eq!(readers.has_just_recovered(later), is_back, "{note}: still after a second");
            let too_late = at(1_000 + silent_ms + 2_500);
            assert!(!readers.has_just_recovered(too_late), "{note}: that ends");
        }
    }
}

#[test]
fn a_pause_after_failures_grows_and_ends_with_an_answer() {
    let mut readers = Readers::new(vm(0), Capacity::default(), at(0));
    let mut rests = Vec::new();
    let mut now = at(0);
    for _ in 0..6 {
        readers.failed(18, 0.5, now);
        let ReadAction::Wait(rest) = readers.next_action(&[], FIRST, now) else {
            panic!("no pause after a failure");
        };
        rests.push(rest);
        now = now + rest;
    }
    assert!(rests.is_sorted(), "{rests:?}");
    assert!(rests[5] <= Duration::from_millis(2_500), "{rests:?}");
    readers.succeeded(now);
    assert_eq!(readers.next_action(&[], FIRST, now), ReadAction::LongPoll);
}

#[test]
fn news_of_readers_is_passed_on_at_once_if_it_says_something_new() {
    struct Case {
        note: &'static str,
        at_ms: u64,
        is_answered: bool,
        heads: u32,
        is_due: bool,
    }
    let cases = [
        Case { note: "the first", at_ms: 0, is_answered: true, heads: 1, is_due: true },
        Case { note: "the other reader", at_ms: 200, is_answered: true, heads: 1, is_due: false },
        Case { note: "a new document", at_ms: 300, is_answered: true, heads: 2, is_due: true },
        Case { note: "a first failure", at_ms: 350, is_answered: false, heads: 2, is_due: true },
        Case { note: "another failure", at_ms: 700, is_answered: false, heads: 2, is_due: false },
        Case { note: "again after a while", at_ms: 901, is_answered: true, heads: 2, is_due: true },
        Case { note: "a later failure", at_ms: 951, is_answered: false, heads: 2, is_due: true },
    ];
    let mut passing_on = ForwardingFilter::default();
    for Case { note, at_ms, is_answered, heads, is_due } in cases {
        assert_eq!(passing_on.is_due(is_answered, heads, at(at_ms)), is_due, "{note}");
    }
}

#[test]
fn the_first_of_a_hall_do_not_wait_long_for_each_other() {
    let members: Vec<VmName> = (0..80).map(vm).collect();
    let place = |own: &VmName| relay_position(own, members.iter().map(contender));
    let mut waits: Vec<(usize, Duration)> =
        members.iter().map(|vm| (place(vm).rank, place(vm).wait_limit())).collect();
    waits.sort();
    assert_eq!(waits[0].1, Duration::ZERO, "the first does not wait");
    assert!(waits.windows(2).all(|pair| pair[0].1 <= pair[1].1), "{waits:?}");
    // The second fetches if the first is dead, before the others give up on the tree.
    assert!(waits[1].1 * 3 < waits[79].1, "{waits:?}");
}
