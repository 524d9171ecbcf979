//! Decisions of an allocator that counts the requests of the whole fleet. The tests cover concurrency
//! per target, reported pace and the choice between data halls.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use support::at;
use support::configuration;
use support::dispatcher;
use support::expect_grant;
use support::ms;
use support::report;
use support::request;
use support::rng;
use support::target_name;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::Timestamp;

fn fleet_dispatcher(targets: usize, local_targets: usize) -> Dispatcher<AnyStrategy> {
    let mut configuration = configuration(targets, local_targets, "");
    configuration.services[0].slots_per_target = 3;
    let mut dispatcher = dispatcher(&configuration);
    dispatcher.set_view(View::Fleet);
    dispatcher
}

/// Sends `count` requests to the only target; all of them are answered after `taken`.
fn round(
    dispatcher: &mut Dispatcher<AnyStrategy>,
    count: u32,
    taken: Duration,
    now: Timestamp,
    rng: &mut SmallRng,
) {
    let grants: Vec<_> = (0..count)
        .map(|_| expect_grant(dispatcher, request(1, now + ms(10_000)), now, rng))
        .collect();
    for grant in grants {
        let others = dispatcher.in_flight(grant.target()) - 1;
        let observation = Observation::Answered(Some(report(others, 0)));
        let _ = dispatcher.record_attempt(&grant, observation, now + taken);
        dispatcher.release(grant, now + taken);
    }
}

#[test]
fn the_concurrency_of_a_target_follows_the_throughput_that_one_more_request_adds() {
    struct Case {
        note: &'static str,
        /// Response time by the number of requests at the target, starting with one request.
        taken_ms: [u64; 3],
        expected: u32,
    }
    let cases = [
        Case { note: "no slower when full", taken_ms: [100, 100, 100], expected: 3 },
        Case { note: "a third makes all slower", taken_ms: [100, 100, 170], expected: 2 },
        Case { note: "a second makes all slower", taken_ms: [100, 190, 290], expected: 1 },
        Case { note: "a little slower", taken_ms: [100, 105, 112], expected: 3 },
    ];
    for Case { note, taken_ms, expected } in cases {
        let mut dispatcher = fleet_dispatcher(1, 1);
        let mut rng = rng();
        assert_eq!(dispatcher.concurrency(at(0)), 3, "{note}: assumed");
        let mut now = at(0);
        for _ in 0..40 {
            for count in 1..=3 {
                if count > dispatcher.spare_capacity(now) {
                    break;
                }
                round(&mut dispatcher, count, ms(taken_ms[count as usize - 1]), now, &mut rng);
                now = now + ms(400);
            }
        }
        assert_eq!(dispatcher.concurrency(now), expected, "{note}");
        let later = now + ms(60_000);
        assert_eq!(
            dispatcher.concurrency(later),
            3,
            "{note}: back to the assumed concurrency once the measurements expire"
        );
    }
}

#[test]
fn the_concurrency_assumed_leaves_out_the_last_third_of_four_or_more_slots() {
    struct Case {
        slots: u64,
        expected: u32,
    }
    let cases = [
        Case { slots: 1, expected: 1 },
        Case { slots: 2, expected: 2 },
        Case { slots: 3, expected: 3 },
        Case { slots: 4, expected: 2 },
        Case { slots: 6, expected: 4 },
        Case { slots: 8, expected: 5 },
        Case { slots: 12, expected: 8 },
    ];
    for Case { slots, expected } in cases {
        let mut configuration = configuration(4, 4, "");
        configuration.services[0].slots_per_target = slots;
        let mut dispatcher = dispatcher(&configuration);
        dispatcher.set_view(View::Fleet);
        assert_eq!(dispatcher.concurrency(at(0)), expected, "{slots} slots");
    }
}

/// Keeps all targets full for `millis` milliseconds. The response time of a request is the entry of
/// `taken_ms` for the number of requests at its target when the request is sent. Returns the maximum
/// number of concurrent requests per target.
fn keep_full(
    dispatcher: &mut Dispatcher<AnyStrategy>,
    targets: usize,
    taken_ms: &[u64],
    millis: u64,
    rng: &mut SmallRng,
) -> Vec<usize> {
    let mut running: Vec<(Timestamp, usize, Grant)> = Vec::new();
    let mut max_in_flight = vec![0; targets];
    for now in (0..millis).map(at) {
        for (_, target, grant) in running.extract_if(.., |(end, ..)| *end <= now) {
            let others = dispatcher.in_flight(grant.target()) - 1;
            let observation = Observation::Answered(Some(report(others, 0)));
            let _ = dispatcher.record_attempt(&grant, observation, now);
            dispatcher.release(grant, now);
            assert!(target < targets);
        }
        // The choice among the targets does not matter here, only that every target is full.
        while let Decision::Send(grant) = dispatcher.request(at_once(now), now, rng) {
            let target = (0..targets)
                .find(|index| dispatcher.target_name(&grant) == target_name(*index))
                .expect("a target");
            let in_flight = dispatcher.in_flight(grant.target()) as usize;
            max_in_flight[target] = max_in_flight[target].max(in_flight);
            running.push((now + ms(taken_ms[in_flight - 1]), target, grant));
        }
    }
    for (_, _, grant) in running {
        dispatcher.release(grant, at(millis));
    }
    max_in_flight
}

/// Request that is refused instead of queued if no target has capacity.
fn at_once(now: Timestamp) -> Request {
    Request { queue_max: 0, ..request(1, now + ms(10_000)) }
}

#[test]
fn few_targets_explore_another_concurrency_while_all_are_full() {
    struct Case {
        note: &'static str,
        slots: u64,
        /// Response time by the number of requests at the target, starting with one request.
        taken_ms: &'static [u64],
        expected: u32,
    }
    let cases = [
        Case { note: "the last slot helps", slots: 3, taken_ms: &[50, 50, 50], expected: 3 },
        Case {
            note: "the last slot does not help",
            slots: 3,
            taken_ms: &[50, 50, 85],
            expected: 2,
        },
        Case {
            note: "the second slot does not help",
            slots: 3,
            taken_ms: &[50, 95, 140],
            expected: 1,
        },
        Case {
            note: "six slots, slower from the fifth on",
            slots: 6,
            taken_ms: &[50, 50, 50, 50, 85, 85],
            expected: 4,
        },
        Case {
            note: "six slots, slower from the third on",
            slots: 6,
            taken_ms: &[50, 50, 80, 110, 150, 190],
            expected: 2,
        },
        Case { note: "two slots", slots: 2, taken_ms: &[50, 50], expected: 2 },
        Case { note: "one slot", slots: 1, taken_ms: &[50], expected: 1 },
        Case {
            note: "twelve slots, all of them help",
            slots: 12,
            taken_ms: &[50; 12],
            expected: 12,
        },
    ];
    for Case { note, slots, taken_ms, expected } in cases {
        let mut configuration = configuration(16, 16, "");
        configuration.services[0].slots_per_target = slots;
        configuration.services[0].connections_per_target = 400;
        let mut dispatcher = dispatcher(&configuration);
        dispatcher.set_view(View::Fleet);
        let mut rng = rng();
        let assumed = dispatcher.concurrency(at(0));
        let max_in_flight = keep_full(&mut dispatcher, 16, taken_ms, 200, &mut rng);
        let exploring = max_in_flight.iter().filter(|max| **max > assumed as usize).count();
        assert!(exploring <= 2, "{note}: {max_in_flight:?}, assumed {assumed}");
        keep_full(&mut dispatcher, 16, taken_ms, 12_000, &mut rng);
        assert_eq!(dispatcher.concurrency(at(12_000)), expected, "{note}");
    }
}

#[test]
fn answers_of_a_target_with_uncounted_requests_do_not_change_the_concurrency() {
    let mut dispatcher = fleet_dispatcher(1, 1);
    let mut rng = rng();
    for round in 0..200 {
        let now = at(round * 1_000);
        let _ = dispatcher.tick(now);
        // Two concurrent requests take nearly twice as long as one, but only because the target
        // also runs two requests that are not counted here. The response times therefore must not
        // be recorded as those of two requests.
        let (count, foreign, taken) = if round % 2 == 0 { (1, 0, 50) } else { (2, 2, 95) };
        let grants: Vec<_> = (0..count)
            .map(|_| expect_grant(&mut dispatcher, at_once(now), now, &mut rng))
            .collect();
        for grant in grants {
            let others = dispatcher.in_flight(grant.target()) - 1 + foreign;
            let observation = Observation::Answered(Some(report(others, 0)));
            let _ = dispatcher.record_attempt(&grant, observation, now + ms(taken));
            dispatcher.release(grant, now + ms(taken));
        }
    }
    assert_eq!(dispatcher.concurrency(at(200_000)), 3, "assumed concurrency kept");
}

#[test]
fn a_concurrency_adopted_from_an_allocator_holds_until_more_is_measured() {
    for adopted in [1, 2, 3] {
        let mut dispatcher = fleet_dispatcher(4, 4);
        dispatcher.adopt_concurrency(adopted);
        assert_eq!(dispatcher.concurrency(at(0)), adopted);
        let mut rng = rng();
        let mut in_flight = Vec::new();
        while let Decision::Send(grant) = dispatcher.request(at_once(at(0)), at(0), &mut rng) {
            in_flight.push(dispatcher.target_name(&grant));
        }
        for index in 0..4 {
            let count = in_flight.iter().filter(|target| **target == target_name(index)).count();
            // The first target explores one more request, up to its slots.
            let expected = if index == 0 { (adopted + 1).min(3) } else { adopted };
            assert_eq!(count, expected as usize, "target {index}, adopted {adopted}");
        }
    }
}

#[test]
fn without_an_answer_from_the_allocator_a_target_gets_one_request_at_a_time() {
    let mut dispatcher = fleet_dispatcher(2, 2);
    dispatcher.set_view(View::Fallback);
    let mut rng = rng();
    for _ in 0..2 {
        let _ = expect_grant(&mut dispatcher, request(1, at(1_000)), at(0), &mut rng);
    }
    let third = dispatcher.request(request(1, at(1_000)), at(0), &mut rng);
    assert!(matches!(third, Decision::Wait(_)), "{third:?}");
}

fn paced(pace_percent: u32) -> LoadReport {
    LoadReport { pace_percent, ..report(0, 0) }
}

#[test]
fn a_fast_target_is_chosen_before_unknown_ones_and_unknown_ones_before_slow_ones() {
    let mut rng = rng();
    for seed in 0..20 {
        let mut dispatcher = fleet_dispatcher(3, 3);
        // The mean of the reported paces (300%) is far above the usual pace (100%).
        for step in 0..200 {
            let pace = if step % 2 == 0 { 100 } else { 500 };
            let _ = dispatcher.record_probe(&target_name(0), paced(pace), at(step));
        }
        let now = at(600 + seed);
        // Without this tick, the request below would treat the time since the previous call as a
        // pause of the process and discard the two reports.
        let _ = dispatcher.tick(now);
        let _ = dispatcher.record_probe(&target_name(1), paced(100), now);
        let _ = dispatcher.record_probe(&target_name(2), paced(500), now);
        let first = expect_grant(&mut dispatcher, request(1, now + ms(500)), now, &mut rng);
        assert_eq!(dispatcher.target_name(&first), target_name(1), "the target known to be fast");
        let later = now + ms(200);
        let again = expect_grant(&mut dispatcher, request(1, later + ms(500)), later, &mut rng);
        assert_ne!(
            dispatcher.target_name(&again),
            target_name(1),
            "the report is stale, and the target has a request"
        );
    }
}

#[test]
fn a_request_waits_out_a_slow_spell_that_is_shorter_than_what_it_costs() {
    struct Case {
        note: &'static str,
        /// Response time at the usual pace.
        taken_ms: u64,
        /// Pace that the target reported before.
        before_percent: u32,
        /// Pace that the target, which has capacity, reports last.
        pace_percent: u32,
        age_ms: u64,
        is_sent: bool,
    }
    let case = Case {
        note: "a spell that costs far more time than it has left",
        taken_ms: 200,
        before_percent: 100,
        pace_percent: 500,
        age_ms: 10,
        is_sent: false,
    };
    let cases = [
        Case { note: "the usual pace", pace_percent: 100, is_sent: true, ..case },
        Case { note: "a little slower", pace_percent: 130, is_sent: true, ..case },
        Case {
            note: "requests that are short even at the slow pace",
            taken_ms: 10,
            is_sent: true,
            ..case
        },
        Case { note: "the report is old", age_ms: 160, is_sent: true, ..case },
        Case {
            note: "the target is as slow all the time",
            before_percent: 500,
            is_sent: true,
            ..case
        },
        case,
    ];
    for Case { note, taken_ms, before_percent, pace_percent, age_ms, is_sent } in cases {
        let mut dispatcher = fleet_dispatcher(1, 1);
        let mut rng = rng();
        let mut now = at(0);
        for _ in 0..400 {
            let grant = expect_grant(&mut dispatcher, request(1, now + ms(10_000)), now, &mut rng);
            now = now + ms(taken_ms);
            let report = LoadReport { pace_percent: before_percent, ..report(0, 0) };
            let _ = dispatcher.record_attempt(&grant, Observation::Answered(Some(report)), now);
            dispatcher.release(grant, now);
            // The report is stale by the time of the next request.
            now = now + ms(200);
        }
        let _ = dispatcher.record_probe(&target_name(0), paced(pace_percent), now);
        now = now + ms(age_ms);
        let decision = dispatcher.request(request(1, now + ms(10_000)), now, &mut rng);
        match decision {
            Decision::Send(_) => assert!(is_sent, "{note}: sent"),
            Decision::Wait(_) => assert!(!is_sent, "{note}: waits"),
            Decision::Refuse(refusal) => panic!("{note}: {refusal:?}"),
        }
        if is_sent {
            continue;
        }
        assert!(dispatcher.next_wake(now + ms(20), &mut rng).is_none(), "{note}: still slow");
        let _ = dispatcher.record_probe(&target_name(0), paced(before_percent), now + ms(30));
        let woken = dispatcher.next_wake(now + ms(30), &mut rng);
        assert!(matches!(woken, Some(Wake::Send(..))), "{note}: fast again: {woken:?}");
    }
}

#[test]
fn a_pace_is_slow_relative_to_the_faster_targets_of_the_last_second() {
    struct Case {
        note: &'static str,
        /// Pace that each target reports all the time.
        paces: [u32; 5],
        /// Last pace reported by the only target that is not leaving.
        pace_percent: u32,
        is_sent: bool,
    }
    let cases = [
        Case { note: "one spell", paces: [100; 5], pace_percent: 500, is_sent: false },
        Case {
            note: "a spell beside targets that are slow for long",
            paces: [100, 100, 100, 1_200, 1_200],
            pace_percent: 500,
            is_sent: false,
        },
        Case { note: "nearly all are slow", paces: [500; 5], pace_percent: 500, is_sent: true },
        Case {
            note: "much slower than the slow targets",
            paces: [500; 5],
            pace_percent: 2_500,
            is_sent: false,
        },
    ];
    for Case { note, paces, pace_percent, is_sent } in cases {
        let mut dispatcher = fleet_dispatcher(5, 5);
        let mut rng = rng();
        let mut now = at(0);
        // Each request takes 200 ms.
        for _ in 0..10 {
            let grant = expect_grant(&mut dispatcher, request(1, now + ms(10_000)), now, &mut rng);
            now = now + ms(200);
            let _ = dispatcher.record_attempt(&grant, Observation::Answered(None), now);
            dispatcher.release(grant, now);
        }
        for _ in 0..20 {
            now = now + ms(200);
            let _ = dispatcher.tick(now);
            for (index, pace) in paces.into_iter().enumerate() {
                let _ = dispatcher.record_probe(&target_name(index), paced(pace), now);
            }
        }
        // All targets except the first one are leaving.
        for index in 1..5 {
            dispatcher.mark_leaving(&target_name(index), Incarnation::new(1));
        }
        let _ = dispatcher.record_probe(&target_name(0), paced(pace_percent), now);
        match dispatcher.request(request(1, now + ms(10_000)), now, &mut rng) {
            Decision::Send(_) => assert!(is_sent, "{note}: sent"),
            Decision::Wait(_) => assert!(!is_sent, "{note}: waits"),
            Decision::Refuse(refusal) => panic!("{note}: {refusal:?}"),
        }
    }
}

#[test]
fn answers_during_a_slow_spell_do_not_change_the_concurrency() {
    let mut dispatcher = fleet_dispatcher(1, 1);
    let mut rng = rng();
    for round in 0..200 {
        let now = at(round * 200);
        // Two concurrent requests take twice as long as one, but only because the target is in a
        // slow spell while they run.
        let (pace, count, taken) = if round % 2 == 0 { (100, 1, 50) } else { (200, 2, 100) };
        let _ = dispatcher.tick(now);
        let _ = dispatcher.record_probe(&target_name(0), paced(pace), now);
        let grants: Vec<_> = (0..count)
            .map(|_| expect_grant(&mut dispatcher, at_once(now), now, &mut rng))
            .collect();
        for grant in grants {
            let others = dispatcher.in_flight(grant.target()) - 1;
            let report = LoadReport { pace_percent: pace, ..report(others, 0) };
            let _ = dispatcher.record_attempt(
                &grant,
                Observation::Answered(Some(report)),
                now + ms(taken),
            );
            dispatcher.release(grant, now + ms(taken));
        }
    }
    assert_eq!(dispatcher.concurrency(at(40_000)), 3, "assumed concurrency kept");
}

#[test]
fn requests_that_are_not_counted_here_take_capacity_at_their_target() {
    struct Case {
        note: &'static str,
        /// Requests that the probe reports as running and as queued at the target.
        running: u32,
        queued: u32,
        age_ms: u64,
        granted: usize,
    }
    let cases = [
        Case { note: "none", running: 0, queued: 0, age_ms: 0, granted: 3 },
        Case { note: "one", running: 1, queued: 0, age_ms: 0, granted: 2 },
        Case { note: "one, reported a while ago", running: 1, queued: 0, age_ms: 150, granted: 2 },
        Case { note: "one, reported long ago", running: 1, queued: 0, age_ms: 250, granted: 3 },
        Case { note: "two", running: 2, queued: 0, age_ms: 0, granted: 1 },
        Case { note: "all slots are running", running: 3, queued: 0, age_ms: 0, granted: 0 },
        Case {
            note: "requests are queued at the target",
            running: 3,
            queued: 7,
            age_ms: 150,
            granted: 0,
        },
    ];
    for Case { note, running, queued, age_ms, granted: expected } in cases {
        let mut dispatcher = fleet_dispatcher(3, 3);
        let mut rng = rng();
        for index in 0..2 {
            dispatcher.mark_leaving(&target_name(index), Incarnation::new(1));
        }
        // The target was used shortly before the probe.
        let grant = expect_grant(&mut dispatcher, at_once(at(0)), at(0), &mut rng);
        dispatcher.release(grant, at(10));
        let _ = dispatcher.record_probe(&target_name(2), report(running, queued), at(20));
        let now = at(20 + age_ms);
        let mut granted = 0;
        while let Decision::Send(_) = dispatcher.request(at_once(now), now, &mut rng) {
            granted += 1;
        }
        assert_eq!(granted, expected, "{note}");
    }
}

#[test]
fn a_target_full_with_uncounted_requests_gets_one_every_half_second() {
    let mut dispatcher = fleet_dispatcher(1, 1);
    let mut rng = rng();
    let mut granted = 0;
    for step in 0..100 {
        let now = at(step * 50);
        let _ = dispatcher.record_probe(&target_name(0), report(3, 4), now);
        if let Decision::Send(grant) = dispatcher.request(at_once(now), now, &mut rng) {
            granted += 1;
            dispatcher.release(grant, now + ms(40));
        }
    }
    assert_eq!(granted, 10, "one per half second in five seconds");
}

#[test]
fn targets_in_the_hall_of_the_request_are_preferred_up_to_the_detour() {
    let mut configuration = configuration(4, 2, "");
    configuration.services[0].slots_per_target = 3;
    configuration.data_hall_detour_us = 20_000;
    let mut dispatcher = dispatcher(&configuration);
    dispatcher.set_view(View::Fleet);
    let remote_hall = dispatcher.hall_index(&DataHallName::new("b").expect("a name"));
    let mut rng = rng();
    for (origin, halls) in [(remote_hall, [2, 3]), (HallIndex::default(), [0, 1])] {
        for _ in 0..2 {
            let routed = Request { origin, ..request(1, at(500)) };
            let grant = expect_grant(&mut dispatcher, routed, at(0), &mut rng);
            let chosen = dispatcher.target_name(&grant);
            assert!(halls.map(target_name).contains(&chosen), "{chosen} for {origin:?}");
        }
    }
}

#[test]
fn a_grant_at_a_named_target_is_refused_once_it_is_leaving() {
    let mut dispatcher = fleet_dispatcher(2, 2);
    assert!(dispatcher.grant_target(&target_name(0), None, at(0)).is_some());
    assert!(dispatcher.mark_leaving(&target_name(0), Incarnation::new(1)));
    assert!(dispatcher.grant_target(&target_name(0), None, at(0)).is_none());
    assert!(dispatcher.grant_target(&target_name(9), None, at(0)).is_none(), "unknown here");
}

#[test]
fn only_targets_without_a_recent_report_are_to_be_probed() {
    let mut dispatcher = fleet_dispatcher(3, 3);
    let _ = dispatcher.record_probe(&target_name(1), paced(100), at(0));
    let stale = dispatcher.stale_targets(ms(50), usize::MAX, at(40));
    assert_eq!(stale.len(), 2, "{stale:?}");
    assert_eq!(dispatcher.stale_targets(ms(50), usize::MAX, at(60)).len(), 3);
    assert_eq!(dispatcher.stale_targets(ms(50), 2, at(60)).len(), 2);
}
