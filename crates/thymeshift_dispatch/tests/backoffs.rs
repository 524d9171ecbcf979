//! Targets that refuse and ask for a backoff, as a dispatcher decides on them.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Usability;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::Reason;
use thymeshift_types::Timestamp;

use crate::support::TestDispatcher;
use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::expect_grant;
use crate::support::local_hall;
use crate::support::ms;
use crate::support::request;
use crate::support::rng;
use crate::support::target_name;

const BACKOFF: Duration = Duration::from_secs(3);
const VIEWS: [View; 3] = [View::Own, View::Fleet, View::Fallback];

fn service(targets: usize) -> TestDispatcher {
    dispatcher(&configuration(targets, targets, ""))
}

/// A target refuses a request that is sent now, and asks for a backoff.
fn refuses(dispatcher: &mut TestDispatcher, index: usize, wait: Duration, now: Timestamp) {
    let grant = dispatcher.grant_target(&target_name(index), None, now).expect("a grant");
    dispatcher.record_backoff(&grant, wait, now);
    dispatcher.record_attempt(&grant, Observation::ShedWithBackoff(None), now);
    dispatcher.release(grant, now);
}

/// Whether requests at this moment go to a target.
fn is_used(dispatcher: &mut TestDispatcher, index: usize, now: Timestamp) -> bool {
    let mut rng = rng();
    let mut tries = (0..50).map(|_| {
        let grant = expect_grant(dispatcher, request(1, now + ms(900)), now, &mut rng);
        let is_meant = dispatcher.target_name(&grant) == target_name(index);
        dispatcher.release(grant, now);
        is_meant
    });
    tries.any(|is_meant| is_meant)
}

#[test]
fn a_target_is_left_alone_until_its_backoff_ends_and_no_longer() {
    struct Case {
        /// Seconds at which it asks, and for how long.
        asked: &'static [(f64, f64)],
        ends_s: f64,
    }
    let cases = [
        Case { asked: &[(0.0, 3.0)], ends_s: 3.0 },
        Case { asked: &[(0.0, 0.25)], ends_s: 0.25 },
        Case { asked: &[(0.0, 3.0), (0.0, 5.0)], ends_s: 5.0 },
        Case { asked: &[(0.0, 3.0), (0.0, 1.0)], ends_s: 3.0 },
        Case { asked: &[(0.0, 1.0), (1.5, 1.0)], ends_s: 2.5 },
    ];
    let moment = |seconds: f64| at((seconds * 1_000.0) as u64);
    for Case { asked, ends_s } in cases {
        for view in VIEWS {
            let mut dispatcher = service(2);
            dispatcher.set_view(view);
            let grants: Vec<_> = (0..asked.len())
                .map(|_| dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant"))
                .collect();
            for (grant, (at_s, wait_s)) in grants.into_iter().zip(asked) {
                dispatcher.record_backoff(&grant, Duration::from_secs_f64(*wait_s), moment(*at_s));
                dispatcher.release(grant, moment(*at_s));
            }
            let note = format!("{asked:?}, {view}");
            assert!(!is_used(&mut dispatcher, 0, moment(ends_s - 0.001)), "{note}: too soon");
            assert!(
                dispatcher.grant_target(&target_name(0), None, moment(ends_s - 0.001)).is_none(),
                "{note}"
            );
            assert!(is_used(&mut dispatcher, 0, moment(ends_s + 0.2)), "{note}: not used again");
        }
    }
}

#[test]
fn a_grant_in_hand_is_void_once_its_target_asks_for_a_backoff() {
    let mut dispatcher = service(2);
    let held = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    assert!(dispatcher.may_send(&held, at(900), at(1)));
    refuses(&mut dispatcher, 0, BACKOFF, at(2));
    assert!(!dispatcher.may_send(&held, at(900), at(3)));
    assert_eq!(dispatcher.dump(at(3)).targets[0].usability, Usability::BackingOff);
    assert_eq!(dispatcher.dump(at(3)).targets[0].backoff_for_ms, Some(2_999));
}

#[test]
fn an_answer_in_between_does_not_end_a_backoff() {
    let mut dispatcher = service(2);
    let slow = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    refuses(&mut dispatcher, 0, BACKOFF, at(2));
    dispatcher.record_attempt(&slow, Observation::Answered(None), at(50));
    dispatcher.release(slow, at(50));
    assert!(!is_used(&mut dispatcher, 0, at(2_900)));
}

#[test]
fn a_target_that_asks_for_a_backoff_is_not_probed_and_not_set_aside() {
    let mut dispatcher = service(2);
    for moment in 0..20 {
        refuses(&mut dispatcher, 0, ms(1), at(moment * 2));
    }
    refuses(&mut dispatcher, 0, BACKOFF, at(100));
    let probed: Vec<_> = dispatcher.probe_targets(at(200)).map(|(name, _)| name).collect();
    assert_eq!(probed, [target_name(1)]);
    let unheard = dispatcher.stale_targets(Duration::ZERO, 9, at(200));
    assert!(unheard.iter().all(|(target, _)| *target != target_name(0)), "{unheard:?}");
    let after = dispatcher.dump(at(3_200)).targets;
    assert_eq!((after[0].ejected_for_ms, after[0].usability), (None, Usability::Open));
}

/// What is refused at once, with when to come back, and what waits.
#[test]
fn while_all_targets_back_off_what_cannot_wait_is_refused_at_once() {
    struct Case {
        waits_ms: u64,
        is_refused: bool,
    }
    let cases = [
        Case { waits_ms: 900, is_refused: true },
        Case { waits_ms: 2_400, is_refused: true },
        Case { waits_ms: 2_600, is_refused: false },
    ];
    for view in VIEWS {
        for &Case { waits_ms, is_refused } in &cases {
            let mut dispatcher = service(3);
            dispatcher.set_view(view);
            for (index, wait) in [3_000, 2_500, 4_000].into_iter().enumerate() {
                refuses(&mut dispatcher, index, ms(wait), at(0));
            }
            let decision = dispatcher.request(request(1, at(waits_ms)), at(10), &mut rng());
            let note = format!("{view}, {waits_ms}");
            match decision {
                Decision::Refuse(Refusal { reason: Reason::BackingOff, retry_after }) => {
                    assert!(is_refused, "{note}: refused");
                    assert!(
                        (ms(2_490)..=ms(2_990)).contains(&retry_after),
                        "{note}: {retry_after:?}"
                    );
                }
                Decision::Wait(_) => assert!(!is_refused, "{note}: waits"),
                other => panic!("{note}: {other:?}"),
            }
        }
    }
}

#[test]
fn what_waits_is_refused_once_all_targets_back_off_for_longer() {
    let mut dispatcher = service(1);
    let mut rng = rng();
    let running = expect_grant(&mut dispatcher, request(1, at(900)), at(0), &mut rng);
    let Decision::Wait(ticket) = dispatcher.request(request(1, at(900)), at(1), &mut rng) else {
        panic!("it must wait");
    };
    dispatcher.record_backoff(&running, BACKOFF, at(5));
    dispatcher.release(running, at(5));
    let woken = dispatcher.next_wake(at(5), &mut rng);
    let Some(Wake::Refuse(refused, Refusal { reason: Reason::BackingOff, .. })) = woken else {
        panic!("{woken:?}");
    };
    assert_eq!(refused, ticket);
}

/// A process that asks an allocator names the targets that it may not use.
#[test]
fn an_excluded_target_is_not_chosen_even_if_it_is_the_only_one() {
    let mut dispatcher = service(2);
    dispatcher.set_view(View::Fleet);
    let excluded = |indices: &[usize]| -> Excluded {
        let names = indices.iter().map(|index| target_name(*index));
        names.filter_map(|name| dispatcher.index_of(&name)).collect()
    };
    let (one, both) = (excluded(&[0]), excluded(&[0, 1]));
    let mut rng = rng();
    for moment in 0..50 {
        let request = Request { excluded: one, ..request(1, at(5_000)) };
        let grant = expect_grant(&mut dispatcher, request, at(moment), &mut rng);
        assert_eq!(dispatcher.target_name(&grant), target_name(1));
        dispatcher.release(grant, at(moment));
    }
    let request = Request { excluded: both, ..request(1, at(5_000)) };
    let decision = dispatcher.request(request, at(60), &mut rng);
    assert!(matches!(decision, Decision::Refuse(Refusal { reason: Reason::NoTarget, .. })));
}

#[test]
fn the_targets_to_exclude_are_those_of_the_group_that_back_off() {
    let mut dispatcher = dispatcher(&configuration(4, 2, ""));
    refuses(&mut dispatcher, 1, BACKOFF, at(0));
    refuses(&mut dispatcher, 3, BACKOFF, at(0));
    assert_eq!(dispatcher.backing_off_targets(None, at(10)), [target_name(1), target_name(3)]);
    assert_eq!(dispatcher.backing_off_targets(Some(&local_hall()), at(10)), [target_name(1)]);
    assert_eq!(dispatcher.backing_off_targets(None, at(3_001)), []);
}

/// Requests that go to the first of two targets within a second, each refused with a backoff for
/// another process than the one that decides.
fn trials_in_a_second(dispatcher: &mut TestDispatcher, from: u64, rng: &mut SmallRng) -> usize {
    let mut trials = 0;
    for moment in (from..from + 1_000).step_by(5) {
        let now = at(moment);
        let grant = expect_grant(dispatcher, request(1, now + ms(900)), now, rng);
        if dispatcher.target_name(&grant) == target_name(0) {
            trials += 1;
            dispatcher.record_attempt(&grant, Observation::ShedWithBackoff(None), now);
        } else {
            dispatcher.record_attempt(&grant, Observation::Answered(None), now);
        }
        dispatcher.release(grant, now);
    }
    trials
}

#[test]
fn an_allocator_spaces_out_requests_to_a_target_that_refuses_one_process_after_the_other() {
    let mut dispatcher = service(2);
    dispatcher.set_view(View::Fleet);
    let mut rng = rng();
    let trials = trials_in_a_second(&mut dispatcher, 0, &mut rng);
    assert!((5..=13).contains(&trials), "{trials} trials");
    let grant = dispatcher.grant_target(&target_name(0), None, at(1_200)).expect("a grant");
    dispatcher.record_attempt(&grant, Observation::Answered(None), at(1_210));
    dispatcher.release(grant, at(1_210));
    assert!(is_used(&mut dispatcher, 0, at(1_211)), "one answer ends the streak");
}

/// An entry that lapses comes back for the same start: what its target has said still holds.
#[test]
fn what_a_target_has_said_holds_while_it_is_not_listed() {
    struct Case {
        name: &'static str,
        say: fn(&mut TestDispatcher),
        expected: Usability,
    }
    let cases = [
        Case {
            name: "a backoff",
            say: |dispatcher| refuses(dispatcher, 0, BACKOFF, at(0)),
            expected: Usability::BackingOff,
        },
        Case {
            name: "that it leaves",
            say: |dispatcher| {
                let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
                assert!(dispatcher.mark_granted_leaving(&grant).is_some());
                dispatcher.release(grant, at(0));
            },
            expected: Usability::Leaving,
        },
    ];
    for Case { name: said, say, expected } in cases {
        let listed = configuration(2, 2, "");
        let mut unlisted = listed.clone();
        unlisted.services[0].targets.remove(0);
        let mut dispatcher = service(2);
        say(&mut dispatcher);
        for (configuration, moment) in [(&unlisted, 100), (&listed, 200)] {
            let service = &configuration.services[0];
            dispatcher.update(configuration, service, &local_hall(), at(moment));
        }
        let dump = dispatcher.dump(at(300)).targets;
        let current = dump
            .iter()
            .find(|target| target.name == target_name(0) && target.usability != Usability::Removed);
        assert_eq!(current.map(|target| target.usability), Some(expected), "{said}");
    }
}
