//! Choice of targets under leaving marks, ejection, concurrency limits and cold starts, across data
//! halls, and with targets whose load reports are wrong.

mod support;

use std::collections::BTreeMap;

use thymeshift_config::Configuration;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::ReportedState;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::Usability;
use thymeshift_types::Incarnation;
use thymeshift_types::Timestamp;

use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::expect_grant;
use crate::support::local_hall;
use crate::support::ms;
use crate::support::report;
use crate::support::request;
use crate::support::rng;
use crate::support::target_name;

const RANDOM: &str = "    strategy: random\n";

fn usability(dispatcher: &Dispatcher<AnyStrategy>, index: usize, now: Timestamp) -> Usability {
    let dump = dispatcher.dump(now);
    let found = dump.targets.iter().find(|target| target.name == target_name(index));
    found.expect("a target").usability
}

/// Sends `count` requests one after the other. `answer` returns the observation of a request sent to
/// the given target and its response time in milliseconds. Returns the number of requests per target.
fn drive(
    dispatcher: &mut Dispatcher<AnyStrategy>,
    count: u64,
    start: u64,
    mut answer: impl FnMut(&str) -> (Observation, u64),
) -> BTreeMap<String, u64> {
    let mut rng = rng();
    let mut counts = BTreeMap::new();
    let mut now = at(start);
    for _ in 0..count {
        let grant = expect_grant(dispatcher, request(1, now + ms(1_000)), now, &mut rng);
        let target = dispatcher.target_name(&grant).to_string();
        let (observation, taken) = answer(&target);
        now = now + ms(taken);
        dispatcher.record_attempt(&grant, observation, now);
        dispatcher.release(grant, now);
        *counts.entry(target).or_default() += 1;
    }
    counts
}

fn idle() -> Observation {
    Observation::Answered(Some(report(0, 0)))
}

/// Source of the information that incarnation 1 of `t0` is leaving.
#[derive(Debug, Clone, Copy)]
enum Source {
    Mark,
    Answer,
    Probe,
    Configuration,
}

fn announce_leaving(
    dispatcher: &mut Dispatcher<AnyStrategy>,
    source: Source,
    serving: &Configuration,
) {
    let draining = LoadReport { state: ReportedState::Draining, ..report(0, 0) };
    match source {
        Source::Mark => {
            assert!(dispatcher.mark_leaving(&target_name(0), Incarnation::new(1)));
        }
        Source::Answer => {
            let grant = expect_grant(dispatcher, request(1, at(100)), at(0), &mut rng());
            let mark =
                dispatcher.record_attempt(&grant, Observation::Answered(Some(draining)), at(1));
            assert_eq!(mark.expect("a leaving mark to relay").target, target_name(0));
            dispatcher.release(grant, at(1));
        }
        Source::Probe => {
            let mark = dispatcher.record_probe(&target_name(0), draining, at(1));
            assert_eq!(mark.expect("a leaving mark to relay").target, target_name(0));
        }
        Source::Configuration => {
            let mut leaving = serving.clone();
            leaving.services[0].targets[0].state = thymeshift_config::TargetState::Leaving;
            dispatcher.update(&leaving, &leaving.services[0], &local_hall(), at(1));
        }
    }
}

#[test]
fn leaving_is_sticky_for_an_incarnation_whatever_the_source() {
    for source in [Source::Mark, Source::Answer, Source::Probe, Source::Configuration] {
        let serving = configuration(1, 1, "");
        let mut dispatcher = dispatcher(&serving);
        let before = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
        dispatcher.release(before, at(0));
        announce_leaving(&mut dispatcher, source, &serving);
        assert_eq!(usability(&dispatcher, 0, at(2)), Usability::Leaving, "{source:?}");
        // A stale target list and a stale load report state that the target is serving again.
        dispatcher.update(&serving, &serving.services[0], &local_hall(), at(3));
        dispatcher.record_probe(&target_name(0), report(0, 0), at(3));
        assert_eq!(usability(&dispatcher, 0, at(4)), Usability::Leaving, "{source:?}");
        // A new incarnation on the same address gets requests.
        let mut restarted = serving.clone();
        restarted.services[0].targets[0].incarnation = Incarnation::new(2);
        dispatcher.update(&restarted, &restarted.services[0], &local_hall(), at(5));
        assert!(
            !dispatcher.mark_leaving(&target_name(0), Incarnation::new(1)),
            "late leaving mark, {source:?}"
        );
        let mut rng = rng();
        let decision = dispatcher.request(request(1, at(9_000)), at(6), &mut rng);
        assert!(matches!(decision, Decision::Send(_)), "{source:?}");
    }
}

#[test]
fn a_grant_is_void_once_the_target_leaves_or_the_deadline_has_passed() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let grant = expect_grant(&mut dispatcher, request(1, at(100)), at(0), &mut rng());
    assert!(dispatcher.may_send(&grant, at(100), at(99)));
    assert!(!dispatcher.may_send(&grant, at(100), at(100)), "slept until the deadline");
    dispatcher.mark_leaving(&target_name(0), Incarnation::new(1));
    assert!(!dispatcher.may_send(&grant, at(100), at(1)), "leaving");
}

#[test]
fn failing_targets_are_ejected_up_to_the_panic_threshold() {
    // The random strategy does not avoid failing targets, so that only ejection can.
    let mut dispatcher = dispatcher(&configuration(6, 6, RANDOM));
    let counts = drive(&mut dispatcher, 400, 0, |target| match target {
        "t0" | "t1" | "t2" | "t3" => (Observation::Failed(None), 1),
        _ => (idle(), 1),
    });
    let ejected = (0..6).filter(|i| usability(&dispatcher, *i, at(400)) == Usability::Ejected);
    assert_eq!(ejected.count(), 2, "a third of six");
    assert!(counts["t4"] + counts["t5"] > 150, "133 without ejection: {counts:?}");
}

#[test]
fn an_ejected_target_is_tried_again_and_returns_with_its_first_success() {
    let mut dispatcher = dispatcher(&configuration(3, 3, RANDOM));
    drive(&mut dispatcher, 100, 0, |target| {
        (if target == "t0" { Observation::Broken } else { idle() }, 1)
    });
    assert_eq!(usability(&dispatcher, 0, at(100)), Usability::Ejected);
    let counts = drive(&mut dispatcher, 300, 10_000, |_| (idle(), 1));
    assert!(counts["t0"] > 50, "{counts:?}");
}

#[test]
fn a_target_that_fails_fast_gets_less_than_its_share() {
    // Every third attempt succeeds, so that the failures in a row are too few for an ejection.
    let mut dispatcher = dispatcher(&configuration(5, 5, ""));
    let mut calls = 0;
    let counts = drive(&mut dispatcher, 1_000, 0, |target| {
        calls += 1;
        let fails = target == "t0" && calls % 3 != 0;
        (if fails { Observation::Failed(Some(report(0, 0))) } else { idle() }, 1)
    });
    assert!(counts["t0"] < 200, "fair would be 200: {counts:?}");
}

#[test]
fn a_target_that_reports_too_little_load_gets_less_than_its_share() {
    let mut dispatcher = dispatcher(&configuration(4, 4, ""));
    let mut calls = 0;
    let counts = drive(&mut dispatcher, 1_000, 0, |target| {
        calls += 1;
        // The target always reports that it is idle, but answers most requests late.
        let taken = if target == "t0" && calls % 4 != 0 { 12 } else { 3 };
        (idle(), taken)
    });
    assert!(counts["t0"] < 200, "fair would be 250: {counts:?}");
}

#[test]
fn targets_in_the_same_hall_are_preferred_only_while_they_are_not_slower() {
    let mut dispatcher = dispatcher(&configuration(4, 2, ""));
    let counts = drive(&mut dispatcher, 400, 0, |target| {
        (idle(), if target == "t0" || target == "t1" { 2 } else { 5 })
    });
    assert!(counts["t0"] + counts["t1"] > 300, "3 ms further away: {counts:?}");
    let busy = |target: &str| {
        let is_local = target == "t0" || target == "t1";
        let queued = if is_local { 9 } else { 0 };
        let taken = if is_local { 20 } else { 5 };
        (Observation::Answered(Some(report(1, queued))), taken)
    };
    let counts = drive(&mut dispatcher, 400, 10_000, busy);
    assert!(counts["t2"] + counts["t3"] > 250, "targets in the same hall are busy: {counts:?}");
}

#[test]
fn a_new_target_reaches_its_share_gradually() {
    let small = configuration(4, 4, "    cold_start_ramp_ms: 2000\n");
    let large = configuration(5, 5, "    cold_start_ramp_ms: 2000\n");
    let mut dispatcher = dispatcher(&small);
    drive(&mut dispatcher, 400, 0, |_| (idle(), 2));
    dispatcher.update(&large, &large.services[0], &local_hall(), at(1_000));
    let early = drive(&mut dispatcher, 100, 1_001, |_| (idle(), 2));
    let later = drive(&mut dispatcher, 1_000, 4_000, |_| (idle(), 2));
    let early = early.get("t4").copied().unwrap_or(0);
    assert!(early < 10, "fair would be 20: {early}");
    assert!(later["t4"] > 120, "fair would be 200: {later:?}");
}

#[test]
fn the_limit_follows_the_targets_queue_and_stays_within_the_connection_share() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let mut rng = rng();
    let mut held = Vec::new();
    let mut now = at(0);
    // The target keeps up, so that the limit grows to the connection share of this VM, 40 / 4.
    for _ in 0..400 {
        now = now + ms(1);
        while let Decision::Send(grant) =
            dispatcher.request(Request { queue_max: 0, ..request(1, now + ms(500)) }, now, &mut rng)
        {
            held.push(grant);
        }
        let grant = held.remove(0);
        dispatcher.record_attempt(&grant, idle(), now);
        dispatcher.release(grant, now);
    }
    assert_eq!(dispatcher.dump(now).targets[0].limit.floor() as u64, 10);
    assert_eq!(held.len(), 9);
    // The queue of the target grows, so that the limit falls to 1.
    for grant in held {
        now = now + ms(500);
        dispatcher.record_attempt(&grant, Observation::Answered(Some(report(1, 9))), now);
        dispatcher.release(grant, now);
    }
    for _ in 0..40 {
        now = now + ms(500);
        let grant = expect_grant(&mut dispatcher, request(1, now + ms(500)), now, &mut rng);
        dispatcher.record_attempt(&grant, Observation::Answered(Some(report(1, 9))), now);
        dispatcher.release(grant, now);
    }
    assert_eq!(dispatcher.dump(now).targets[0].limit.floor() as u64, 1);
}

#[test]
fn a_second_attempt_goes_to_another_target_if_there_is_one() {
    for targets in [1, 4] {
        let mut dispatcher = dispatcher(&configuration(targets, targets, ""));
        let mut rng = rng();
        let first = expect_grant(&mut dispatcher, request(1, at(100)), at(0), &mut rng);
        let mut tried = Tried::default();
        tried.add(first.target());
        dispatcher.release(first, at(0));
        for _ in 0..20 {
            let again = Request { tried, ..request(1, at(100)) };
            let second = expect_grant(&mut dispatcher, again, at(0), &mut rng);
            assert_eq!(tried.contains(second.target()), targets == 1);
            dispatcher.release(second, at(0));
        }
    }
}

#[test]
fn after_a_pause_reports_from_before_it_do_not_count() {
    let mut dispatcher = dispatcher(&configuration(2, 2, ""));
    drive(&mut dispatcher, 20, 0, |_| (idle(), 1));
    assert!(dispatcher.dump(at(20)).targets.iter().all(|t| t.report_age_ms.is_some()));
    for step in 1..30 {
        assert_eq!(dispatcher.tick(at(20 + step * 100)), None, "the process runs on time");
    }
    assert_eq!(dispatcher.tick(at(9_000)), Some(ms(9_000 - 2_920)));
    assert!(dispatcher.dump(at(9_000)).targets.iter().all(|t| t.report_age_ms.is_none()));
}

#[test]
fn an_operators_order_stops_and_resumes_a_target() {
    let mut dispatcher = dispatcher(&configuration(2, 2, ""));
    dispatcher.set_stopped(|target| *target == target_name(0));
    assert_eq!(usability(&dispatcher, 0, at(0)), Usability::Stopped);
    let counts = drive(&mut dispatcher, 50, 0, |_| (idle(), 1));
    assert_eq!(counts.get("t0"), None);
    dispatcher.set_stopped(|_| false);
    let counts = drive(&mut dispatcher, 50, 100, |_| (idle(), 1));
    assert!(counts["t0"] > 0);
}

#[test]
fn a_removed_target_keeps_its_index_until_its_last_request_is_released() {
    let two = configuration(2, 2, "");
    let one = configuration(1, 1, "");
    let mut dispatcher = dispatcher(&two);
    let mut rng = rng();
    let mut grants = vec![
        expect_grant(&mut dispatcher, request(1, at(100)), at(0), &mut rng),
        expect_grant(&mut dispatcher, request(1, at(100)), at(0), &mut rng),
    ];
    dispatcher.update(&one, &one.services[0], &local_hall(), at(1));
    dispatcher.update(&two, &two.services[0], &local_hall(), at(2));
    assert_eq!(dispatcher.dump(at(2)).targets.len(), 3, "t1 has a new index");
    for grant in grants.drain(..) {
        dispatcher.record_attempt(&grant, idle(), at(3));
        dispatcher.release(grant, at(3));
    }
    dispatcher.update(&one, &one.services[0], &local_hall(), at(4));
    dispatcher.update(&two, &two.services[0], &local_hall(), at(5));
    assert_eq!(dispatcher.dump(at(5)).targets.len(), 3, "indices are reused");
}
