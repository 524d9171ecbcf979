//! Load pattern of a data hall that loses all its targets at the same time without notice. The
//! platform still lists the targets for several seconds, so that requests are routed to them.

mod support;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use support::TestDispatcher;
use support::at;
use support::configuration;
use support::dispatcher;
use support::request;
use support::rng;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::View;
use thymeshift_types::TargetName;

/// Number of targets of the service in the hall. The archive service of the tariff operator has the
/// same number of targets in a hall.
const TARGETS: usize = 44;
/// Number of requests in one second; they arrive 5 ms apart.
const REQUESTS: u64 = 200;

/// Dispatcher of the process that allocates the hall's targets to the fleet. `can_overflow` states
/// whether other halls can take requests of the service.
fn allocating(can_overflow: bool) -> TestDispatcher {
    let mut dispatcher = dispatcher(&configuration(TARGETS, TARGETS, ""));
    dispatcher.set_view(View::Fleet);
    dispatcher.set_can_overflow(can_overflow);
    dispatcher
}

/// Outcomes of the requests of one second.
#[derive(Debug, Default)]
struct Outcomes {
    /// Number of attempts per target.
    tried: BTreeMap<TargetName, u32>,
    /// Number of requests without a target in this hall; they may be routed to another hall.
    redirected: u32,
}

/// Simulates one second of requests in which every attempt ends with `observation`.
fn simulate_one_second(
    dispatcher: &mut TestDispatcher,
    observation: Observation,
    rng: &mut SmallRng,
) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for step in 0..REQUESTS {
        let now = at(step * 5);
        let at_once = Request { queue_max: 0, ..request(1, at(5_000)) };
        if dispatcher.spare_capacity(now) == 0 {
            outcomes.redirected += 1;
        } else if let Decision::Send(grant) = dispatcher.request(at_once, now, rng) {
            *outcomes.tried.entry(dispatcher.target_name(&grant)).or_default() += 1;
            dispatcher.record_attempt(&grant, observation, now);
            dispatcher.release(grant, now);
        }
    }
    outcomes
}

#[test]
fn each_target_that_cannot_be_reached_is_tried_once_and_then_requests_are_redirected() {
    let outcomes = simulate_one_second(&mut allocating(true), Observation::Unreachable, &mut rng());
    assert_eq!(outcomes.tried.len(), TARGETS);
    assert!(outcomes.tried.values().all(|tried| *tried == 1), "{outcomes:?}");
    assert_eq!(u64::from(outcomes.redirected), REQUESTS - TARGETS as u64);
}

#[test]
fn without_capacity_in_other_halls_most_targets_stay_in_use_whatever_fails() {
    struct Case {
        note: &'static str,
        observation: Observation,
    }
    let cases = [
        Case { note: "unreachable", observation: Observation::Unreachable },
        Case { note: "failing", observation: Observation::Failed(None) },
        Case { note: "broken", observation: Observation::Broken },
    ];
    for Case { note, observation } in cases {
        let mut dispatcher = allocating(false);
        let outcomes = simulate_one_second(&mut dispatcher, observation, &mut rng());
        assert_eq!(outcomes.redirected, 0, "{note}");
        let dump = dispatcher.dump(at(REQUESTS * 5));
        let ejected = dump.targets.iter().filter(|target| target.ejected_for_ms.is_some()).count();
        assert!(ejected * 100 <= TARGETS * 34, "{note}: {ejected} of {TARGETS} are ejected");
    }
}

#[test]
fn targets_that_are_reachable_again_are_used_as_before() {
    let mut dispatcher = allocating(true);
    let mut rng = rng();
    simulate_one_second(&mut dispatcher, Observation::Unreachable, &mut rng);
    let mut used = 0;
    for step in 0..REQUESTS {
        let now = at(2_500 + step * 5);
        let at_once = Request { queue_max: 0, ..request(1, at(9_000)) };
        if let Decision::Send(grant) = dispatcher.request(at_once, now, &mut rng) {
            dispatcher.record_attempt(&grant, Observation::Answered(None), now);
            dispatcher.release(grant, now);
            used += 1;
        }
    }
    assert_eq!(used, REQUESTS);
}
