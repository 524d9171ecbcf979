//! Targets of a drained data hall get no new requests. This includes requests that were granted
//! before the drain or by another process.

mod support;

use support::at;
use support::configuration;
use support::dispatcher;
use support::expect_grant;
use support::local_hall;
use support::request;
use support::rng;
use support::target_name;
use thymeshift_config::Configuration;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Usability;
use thymeshift_dispatch::View;
use thymeshift_types::DataHallName;
use thymeshift_types::Reason;

/// Configuration with two targets in hall `a`, two in hall `b`, and the halls of `drained` drained.
fn with_drained_halls(drained: &[&str]) -> Configuration {
    let drained: Vec<DataHallName> =
        drained.iter().map(|name| DataHallName::new(name).expect("a name")).collect();
    configuration(4, 2, "    cold_start_ramp_ms: 3000\n").with_drained(&drained)
}

#[test]
fn no_view_chooses_a_target_of_a_drained_hall() {
    for view in [View::Own, View::Fleet, View::Fallback] {
        let mut dispatcher = dispatcher(&with_drained_halls(&["a"]));
        dispatcher.set_view(view);
        let mut rng = rng();
        for step in 0..100 {
            let grant = expect_grant(&mut dispatcher, request(1, at(1_000)), at(step), &mut rng);
            let chosen = dispatcher.target_name(&grant);
            assert!(chosen == target_name(2) || chosen == target_name(3), "{view}: {chosen}");
            dispatcher.release(grant, at(step));
        }
        assert!(
            dispatcher.grant_target(&target_name(0), None, at(200)).is_none(),
            "{view}: chosen by another process"
        );
        assert!(dispatcher.grant_target(&target_name(2), None, at(200)).is_some(), "{view}");
        let probed: Vec<_> = dispatcher.probe_targets(at(200)).map(|(name, _)| name).collect();
        assert_eq!(probed, [target_name(2), target_name(3)], "{view}");
    }
}

#[test]
fn a_grant_made_before_a_drain_is_not_sent_after() {
    let open = with_drained_halls(&[]);
    let drained = with_drained_halls(&["a", "b"]);
    let mut dispatcher = dispatcher(&open);
    let mut rng = rng();
    let grant = expect_grant(&mut dispatcher, request(1, at(1_000)), at(0), &mut rng);
    assert!(dispatcher.may_send(&grant, at(1_000), at(1)));
    dispatcher.update(&drained, &drained.services[0], &local_hall(), at(2));
    assert!(!dispatcher.may_send(&grant, at(1_000), at(3)));
    dispatcher.release(grant, at(3));
    // No target is left: the request is refused at once instead of at its deadline.
    let decision = dispatcher.request(request(1, at(1_000)), at(4), &mut rng);
    assert!(
        matches!(&decision, Decision::Refuse(refusal) if refusal.reason == Reason::NoTarget),
        "{decision:?}"
    );
    let dump = dispatcher.dump(at(5));
    assert!(dump.targets.iter().all(|target| target.usability == Usability::HallDrained));
}

#[test]
fn waiting_requests_are_refused_once_all_halls_are_drained() {
    let open = with_drained_halls(&[]);
    let drained = with_drained_halls(&["a", "b"]);
    let mut dispatcher = dispatcher(&open);
    dispatcher.set_view(View::Fallback);
    let mut rng = rng();
    let held: Vec<_> = (0..4)
        .map(|_| expect_grant(&mut dispatcher, request(1, at(1_000)), at(0), &mut rng))
        .collect();
    let decision = dispatcher.request(request(1, at(1_000)), at(0), &mut rng);
    assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
    dispatcher.update(&drained, &drained.services[0], &local_hall(), at(2));
    let woken = dispatcher.next_wake(at(3), &mut rng);
    assert!(
        matches!(&woken, Some(thymeshift_dispatch::Wake::Refuse(_, refusal)) if refusal.reason == Reason::NoTarget),
        "{woken:?}"
    );
    for grant in held {
        dispatcher.release(grant, at(4));
    }
}

#[test]
fn targets_of_a_hall_that_is_undrained_count_as_cold_until_they_report() {
    let open = with_drained_halls(&[]);
    let drained = with_drained_halls(&["a"]);
    let mut dispatcher = dispatcher(&open);
    dispatcher.set_view(View::Fleet);
    dispatcher.update(&drained, &drained.services[0], &local_hall(), at(0));
    dispatcher.update(&open, &open.services[0], &local_hall(), at(5_000));
    let expected = |dispatcher: &support::TestDispatcher, index: usize, now| {
        dispatcher.dump(at(now)).targets[index].expected_us
    };
    assert!(expected(&dispatcher, 0, 5_001) > 3 * expected(&dispatcher, 2, 5_001), "cold");
    assert!(expected(&dispatcher, 0, 8_001) <= expected(&dispatcher, 2, 8_001), "ramp over");
    let _ = dispatcher.record_probe(&target_name(1), support::cold_report(0), at(5_002));
    assert!(
        expected(&dispatcher, 1, 5_003) <= expected(&dispatcher, 2, 5_003),
        "reported that it is warm"
    );
}
