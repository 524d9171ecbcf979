//! The load pattern of a data hall whose targets go at the same moment, without a word: the
//! platform lists them for seconds more.

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

/// Targets of one service in the hall, as many as the archive of the tariff operator has there.
const TARGETS: usize = 44;
/// Requests that come in one second, 5 ms apart.
const REQUESTS: u64 = 200;

/// One process allocates the hall's targets to the fleet.
fn allocating(is_backed: bool) -> TestDispatcher {
    let mut dispatcher = dispatcher(&configuration(TARGETS, TARGETS, ""));
    dispatcher.set_view(View::Fleet);
    dispatcher.set_can_overflow(is_backed);
    dispatcher
}

/// What became of a second's requests.
#[derive(Debug, Default)]
struct Played {
    /// Attempts at each target.
    tried: BTreeMap<TargetName, u32>,
    /// Requests that found no target, and may go to another hall.
    sent_on: u32,
}

/// Plays a second in which every attempt ends with `observation`.
fn play(dispatcher: &mut TestDispatcher, observation: Observation, rng: &mut SmallRng) -> Played {
    let mut played = Played::default();
    for step in 0..REQUESTS {
        let now = at(step * 5);
        let at_once = Request { queue_max: 0, ..request(1, at(5_000)) };
        if dispatcher.spare_capacity(now) == 0 {
            played.sent_on += 1;
        } else if let Decision::Send(grant) = dispatcher.request(at_once, now, rng) {
            *played.tried.entry(dispatcher.target_name(&grant)).or_default() += 1;
            dispatcher.record_attempt(&grant, observation, now);
            dispatcher.release(grant, now);
        }
    }
    played
}

#[test]
fn each_target_that_cannot_be_reached_is_tried_once_and_then_the_hall_sends_requests_on() {
    let played = play(&mut allocating(true), Observation::Unreachable, &mut rng());
    assert_eq!(played.tried.len(), TARGETS);
    assert!(played.tried.values().all(|tried| *tried == 1), "{played:?}");
    assert_eq!(u64::from(played.sent_on), REQUESTS - TARGETS as u64);
}

#[test]
fn without_room_elsewhere_most_targets_stay_in_use_whatever_fails() {
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
        let played = play(&mut dispatcher, observation, &mut rng());
        assert_eq!(played.sent_on, 0, "{note}");
        let dump = dispatcher.dump(at(REQUESTS * 5));
        let aside = dump.targets.iter().filter(|target| target.ejected_for_ms.is_some()).count();
        assert!(aside * 100 <= TARGETS * 34, "{note}: {aside} of {TARGETS} are set aside");
    }
}

#[test]
fn a_target_that_is_reached_again_is_used_as_before() {
    let mut dispatcher = allocating(true);
    let mut rng = rng();
    play(&mut dispatcher, Observation::Unreachable, &mut rng);
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
