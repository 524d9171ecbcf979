//! Dispatch decisions about targets that refuse a request and ask for a backoff.

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

/// Sends a request to a target that refuses the request and asks for a backoff of `wait`.
fn refuse_with_backoff(
    dispatcher: &mut TestDispatcher,
    index: usize,
    wait: Duration,
    now: Timestamp,
) {
    let grant = dispatcher.grant_target(&target_name(index), None, now).expect("a grant");
    dispatcher.record_backoff(&grant, wait, now);
    dispatcher.record_attempt(&grant, Observation::ShedWithBackoff(None), now);
    dispatcher.release(grant, now);
}

/// Returns whether any of 50 requests sent at `now` is routed to the target with this index.
fn is_used(dispatcher: &mut TestDispatcher, index: usize, now: Timestamp) -> bool {
    let mut rng = rng();
    let mut attempts = (0..50).map(|_| {
        let grant = expect_grant(dispatcher, request(1, now + ms(900)), now, &mut rng);
        let is_chosen = dispatcher.target_name(&grant) == target_name(index);
        dispatcher.release(grant, now);
        is_chosen
    });
    attempts.any(|is_chosen| is_chosen)
}

#[test]
fn a_target_gets_no_requests_until_its_backoff_ends_and_no_longer() {
    struct Case {
        /// Backoffs that the target asks for: time of the answer and length, both in seconds.
        requested: &'static [(f64, f64)],
        ends_at_s: f64,
    }
    let cases = [
        Case { requested: &[(0.0, 3.0)], ends_at_s: 3.0 },
        Case { requested: &[(0.0, 0.25)], ends_at_s: 0.25 },
        Case { requested: &[(0.0, 3.0), (0.0, 5.0)], ends_at_s: 5.0 },
        Case { requested: &[(0.0, 3.0), (0.0, 1.0)], ends_at_s: 3.0 },
        Case { requested: &[(0.0, 1.0), (1.5, 1.0)], ends_at_s: 2.5 },
    ];
    let at_seconds = |seconds: f64| at((seconds * 1_000.0) as u64);
    for Case { requested, ends_at_s } in cases {
        for view in VIEWS {
            let mut dispatcher = service(2);
            dispatcher.set_view(view);
            let grants: Vec<_> = (0..requested.len())
                .map(|_| dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant"))
                .collect();
            for (grant, (at_s, wait_s)) in grants.into_iter().zip(requested) {
                dispatcher.record_backoff(
                    &grant,
                    Duration::from_secs_f64(*wait_s),
                    at_seconds(*at_s),
                );
                dispatcher.release(grant, at_seconds(*at_s));
            }
            let note = format!("{requested:?}, {view}");
            assert!(
                !is_used(&mut dispatcher, 0, at_seconds(ends_at_s - 0.001)),
                "{note}: used before the backoff ends"
            );
            assert!(
                dispatcher
                    .grant_target(&target_name(0), None, at_seconds(ends_at_s - 0.001))
                    .is_none(),
                "{note}"
            );
            assert!(
                is_used(&mut dispatcher, 0, at_seconds(ends_at_s + 0.2)),
                "{note}: not used after the backoff"
            );
        }
    }
}

#[test]
fn an_unsent_grant_is_void_once_its_target_asks_for_a_backoff() {
    let mut dispatcher = service(2);
    let held = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    assert!(dispatcher.may_send(&held, at(900), at(1)));
    refuse_with_backoff(&mut dispatcher, 0, BACKOFF, at(2));
    assert!(!dispatcher.may_send(&held, at(900), at(3)));
    assert_eq!(dispatcher.dump(at(3)).targets[0].usability, Usability::BackingOff);
    assert_eq!(dispatcher.dump(at(3)).targets[0].backoff_for_ms, Some(2_999));
}

#[test]
fn an_answer_during_a_backoff_does_not_end_it() {
    let mut dispatcher = service(2);
    let slow = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    refuse_with_backoff(&mut dispatcher, 0, BACKOFF, at(2));
    dispatcher.record_attempt(&slow, Observation::Answered(None), at(50));
    dispatcher.release(slow, at(50));
    assert!(!is_used(&mut dispatcher, 0, at(2_900)));
}

#[test]
fn a_target_that_asks_for_a_backoff_is_not_probed_and_not_ejected() {
    let mut dispatcher = service(2);
    for now_ms in 0..20 {
        refuse_with_backoff(&mut dispatcher, 0, ms(1), at(now_ms * 2));
    }
    refuse_with_backoff(&mut dispatcher, 0, BACKOFF, at(100));
    let probed: Vec<_> = dispatcher.probe_targets(at(200)).map(|(name, _)| name).collect();
    assert_eq!(probed, [target_name(1)]);
    let stale = dispatcher.stale_targets(Duration::ZERO, 9, at(200));
    assert!(stale.iter().all(|(target, _)| *target != target_name(0)), "{stale:?}");
    let after = dispatcher.dump(at(3_200)).targets;
    assert_eq!((after[0].ejected_for_ms, after[0].usability), (None, Usability::Open));
}

/// A request that cannot wait until the first backoff ends is refused at once with a retry delay. A
/// request that can wait that long is queued.
#[test]
fn while_all_targets_back_off_requests_that_cannot_wait_are_refused_at_once() {
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
                refuse_with_backoff(&mut dispatcher, index, ms(wait), at(0));
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
fn queued_requests_are_refused_once_all_targets_back_off_for_longer() {
    let mut dispatcher = service(1);
    let mut rng = rng();
    let in_flight = expect_grant(&mut dispatcher, request(1, at(900)), at(0), &mut rng);
    let Decision::Wait(ticket) = dispatcher.request(request(1, at(900)), at(1), &mut rng) else {
        panic!("the request is not queued");
    };
    dispatcher.record_backoff(&in_flight, BACKOFF, at(5));
    dispatcher.release(in_flight, at(5));
    let woken = dispatcher.next_wake(at(5), &mut rng);
    let Some(Wake::Refuse(refused, Refusal { reason: Reason::BackingOff, .. })) = woken else {
        panic!("{woken:?}");
    };
    assert_eq!(refused, ticket);
}

/// A process that requests a target from an allocator lists the targets that it must not use, for
/// example targets that asked this process for a backoff.
#[test]
fn an_excluded_target_is_not_chosen_even_if_it_is_the_only_one() {
    let mut dispatcher = service(2);
    dispatcher.set_view(View::Fleet);
    let excluded = |indices: &[usize]| -> Excluded {
        let names = indices.iter().map(|index| target_name(*index));
        names.filter_map(|name| dispatcher.index_of(&name)).collect()
    };
    let (first, both) = (excluded(&[0]), excluded(&[0, 1]));
    let mut rng = rng();
    for now_ms in 0..50 {
        let request = Request { excluded: first, ..request(1, at(5_000)) };
        let grant = expect_grant(&mut dispatcher, request, at(now_ms), &mut rng);
        assert_eq!(dispatcher.target_name(&grant), target_name(1));
        dispatcher.release(grant, at(now_ms));
    }
    let request = Request { excluded: both, ..request(1, at(5_000)) };
    let decision = dispatcher.request(request, at(60), &mut rng);
    assert!(matches!(decision, Decision::Refuse(Refusal { reason: Reason::NoTarget, .. })));
}

#[test]
fn the_targets_to_exclude_are_those_of_the_group_that_back_off() {
    let mut dispatcher = dispatcher(&configuration(4, 2, ""));
    refuse_with_backoff(&mut dispatcher, 1, BACKOFF, at(0));
    refuse_with_backoff(&mut dispatcher, 3, BACKOFF, at(0));
    assert_eq!(dispatcher.backing_off_targets(None, at(10)), [target_name(1), target_name(3)]);
    assert_eq!(dispatcher.backing_off_targets(Some(&local_hall()), at(10)), [target_name(1)]);
    assert_eq!(dispatcher.backing_off_targets(None, at(3_001)), []);
}

/// Counts the requests that are routed to the first of two targets within a second. The target
/// refuses each of them with a backoff for the process that sent the request, not for the allocator.
fn refused_in_one_second(dispatcher: &mut TestDispatcher, from: u64, rng: &mut SmallRng) -> usize {
    let mut refused = 0;
    for now_ms in (from..from + 1_000).step_by(5) {
        let now = at(now_ms);
        let grant = expect_grant(dispatcher, request(1, now + ms(900)), now, rng);
        if dispatcher.target_name(&grant) == target_name(0) {
            refused += 1;
            dispatcher.record_attempt(&grant, Observation::ShedWithBackoff(None), now);
        } else {
            dispatcher.record_attempt(&grant, Observation::Answered(None), now);
        }
        dispatcher.release(grant, now);
    }
    refused
}

#[test]
fn an_allocator_spaces_out_requests_to_a_target_that_refuses_one_process_after_the_other() {
    let mut dispatcher = service(2);
    dispatcher.set_view(View::Fleet);
    let mut rng = rng();
    let refused = refused_in_one_second(&mut dispatcher, 0, &mut rng);
    assert!((5..=13).contains(&refused), "{refused} refused requests");
    let grant = dispatcher.grant_target(&target_name(0), None, at(1_200)).expect("a grant");
    dispatcher.record_attempt(&grant, Observation::Answered(None), at(1_210));
    dispatcher.release(grant, at(1_210));
    assert!(is_used(&mut dispatcher, 0, at(1_211)), "one answer ends the refusal streak");
}

/// A discovery entry may expire and come back for the same incarnation. The backoff or leaving mark
/// of the target must still apply when its discovery entry is back.
#[test]
fn backoff_and_leaving_hold_while_a_target_is_not_listed() {
    struct Case {
        note: &'static str,
        announce: fn(&mut TestDispatcher),
        expected: Usability,
    }
    let cases = [
        Case {
            note: "a backoff",
            announce: |dispatcher| refuse_with_backoff(dispatcher, 0, BACKOFF, at(0)),
            expected: Usability::BackingOff,
        },
        Case {
            note: "a leaving mark",
            announce: |dispatcher| {
                let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
                assert!(dispatcher.mark_granted_leaving(&grant).is_some());
                dispatcher.release(grant, at(0));
            },
            expected: Usability::Leaving,
        },
    ];
    for Case { note: announced, announce, expected } in cases {
        let listed = configuration(2, 2, "");
        let mut unlisted = listed.clone();
        unlisted.services[0].targets.remove(0);
        let mut dispatcher = service(2);
        announce(&mut dispatcher);
        for (configuration, now_ms) in [(&unlisted, 100), (&listed, 200)] {
            let service = &configuration.services[0];
            dispatcher.update(configuration, service, &local_hall(), at(now_ms));
        }
        let dump = dispatcher.dump(at(300)).targets;
        let current = dump
            .iter()
            .find(|target| target.name == target_name(0) && target.usability != Usability::Removed);
        assert_eq!(current.map(|target| target.usability), Some(expected), "{announced}");
    }
}
