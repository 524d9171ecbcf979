//! A target that restarts under the same name. State recorded for the earlier incarnation must not
//! apply to the new one, and late events of the earlier incarnation must not change the new one.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use thymeshift_config::Configuration;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::TargetDump;
use thymeshift_dispatch::Usability;
use thymeshift_types::Incarnation;

use crate::support::TestDispatcher;
use crate::support::at;
use crate::support::cold_report;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::expect_grant;
use crate::support::local_hall;
use crate::support::report;
use crate::support::request;
use crate::support::rng;
use crate::support::target_name;

/// Number of targets of the service; the first one restarts.
const TARGETS: usize = 3;

/// Returns `base` with another incarnation of the first target, at `address` if one is given.
fn restarted(base: &Configuration, incarnation: u64, address: Option<SocketAddr>) -> Configuration {
    let mut changed = base.clone();
    let target = &mut changed.services[0].targets[0];
    target.incarnation = Incarnation::new(incarnation);
    target.address = address.unwrap_or(target.address);
    changed
}

fn apply(dispatcher: &mut TestDispatcher, configuration: &Configuration, millis: u64) {
    dispatcher.update(configuration, &configuration.services[0], &local_hall(), at(millis));
}

fn first(dispatcher: &TestDispatcher, millis: u64) -> TargetDump {
    let dump = dispatcher.dump(at(millis)).targets;
    let current = |target: &&TargetDump| {
        target.name == target_name(0) && target.usability != Usability::Removed
    };
    dump.iter().find(current).expect("the target").clone()
}

#[test]
fn state_of_an_earlier_incarnation_does_not_apply_to_the_next() {
    struct Case {
        state: &'static str,
        record: fn(&mut TestDispatcher),
    }
    let cases = [
        Case {
            state: "asked for a backoff",
            record: |dispatcher| {
                let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
                dispatcher.record_backoff(&grant, Duration::from_mins(1), at(0));
                dispatcher.release(grant, at(0));
            },
        },
        Case {
            state: "a leaving mark",
            record: |dispatcher| {
                assert!(dispatcher.mark_leaving(&target_name(0), Incarnation::new(1)));
            },
        },
        Case {
            state: "failed attempts",
            record: |dispatcher| {
                for step in 0..20 {
                    let Some(grant) = dispatcher.grant_target(&target_name(0), None, at(step))
                    else {
                        break;
                    };
                    dispatcher.record_attempt(&grant, Observation::Failed(None), at(step));
                    dispatcher.release(grant, at(step));
                }
            },
        },
        Case {
            state: "an unreachable address",
            record: |dispatcher| {
                let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
                dispatcher.record_attempt(&grant, Observation::Unreachable, at(1));
                dispatcher.release(grant, at(1));
            },
        },
        Case {
            state: "a high reported load",
            record: |dispatcher| {
                dispatcher.record_probe(&target_name(0), report(40, 40), at(1));
            },
        },
        Case {
            state: "cold for a minute",
            record: |dispatcher| {
                dispatcher.record_probe(&target_name(0), cold_report(60_000), at(1));
            },
        },
        Case {
            state: "requests in flight",
            record: |dispatcher| {
                // The grant is never released: the target ended, and so did the process that was
                // granted the request.
                let _unreleased =
                    dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
            },
        },
    ];
    let other_address = "127.0.0.9:9".parse().expect("an address");
    for Case { state, record } in cases {
        for address in [None, Some(other_address)] {
            let base = configuration(TARGETS, TARGETS, "");
            let mut dispatcher = dispatcher(&base);
            record(&mut dispatcher);
            let next = restarted(&base, 2, address);
            apply(&mut dispatcher, &next, 30);
            let found = first(&dispatcher, 31);
            let note = format!("{state}, address {address:?}: {found:?}");
            assert_eq!(found.incarnation, Incarnation::new(2), "{note}");
            assert_eq!(found.usability, Usability::Open, "{note}");
            assert_eq!(found.in_flight, 0, "{note}");
            assert_eq!(found.reported_running, None, "{note}");
            assert!(found.failure_rate < 0.01, "{note}");
            assert_eq!(found.ejected_for_ms, None, "{note}");
        }
    }
}

#[test]
fn late_events_of_an_earlier_incarnation_do_not_change_the_next() {
    let base = configuration(TARGETS, TARGETS, "");
    let mut dispatcher = dispatcher(&base);
    let grants: Vec<_> = (0..4)
        .filter_map(|step| dispatcher.grant_target(&target_name(0), None, at(step)))
        .collect();
    assert!(!grants.is_empty());
    apply(&mut dispatcher, &restarted(&base, 2, None), 10);
    let before = first(&dispatcher, 11);
    for grant in grants {
        assert!(
            !dispatcher.may_send(&grant, at(9_000), at(12)),
            "a grant of the earlier incarnation"
        );
        dispatcher.record_attempt(&grant, Observation::Broken, at(12));
        dispatcher.record_attempt(&grant, Observation::Unreachable, at(12));
        dispatcher.release(grant, at(13));
    }
    assert!(
        !dispatcher.mark_leaving(&target_name(0), Incarnation::new(1)),
        "a late leaving mark of the earlier incarnation"
    );
    let after = first(&dispatcher, 11);
    assert_eq!(after, before);
}

#[test]
fn an_earlier_incarnation_never_comes_back() {
    let other_address = "127.0.0.9:9".parse().expect("an address");
    for address in [None, Some(other_address)] {
        let base = configuration(TARGETS, TARGETS, "");
        let mut dispatcher = dispatcher(&base);
        apply(&mut dispatcher, &restarted(&base, 5, None), 10);
        apply(&mut dispatcher, &restarted(&base, 4, address), 20);
        let found = first(&dispatcher, 21);
        assert_eq!(found.incarnation, Incarnation::new(5), "{address:?}");
        assert_eq!(found.address, base.services[0].targets[0].address, "{address:?}");
        // A leaving state of the earlier incarnation does not apply to the later one.
        let mut leaving = restarted(&base, 4, address);
        leaving.services[0].targets[0].state = thymeshift_config::TargetState::Leaving;
        apply(&mut dispatcher, &leaving, 30);
        assert_eq!(first(&dispatcher, 31).usability, Usability::Open, "{address:?}");
        let grant = expect_grant(&mut dispatcher, request(1, at(9_000)), at(32), &mut rng());
        dispatcher.release(grant, at(33));
    }
}

/// The first target restarts several times within a second, as in a crash loop. The target list must
/// still hold exactly one current entry per target.
#[test]
fn repeated_restarts_leave_one_target() {
    let base = configuration(TARGETS, TARGETS, "");
    let mut dispatcher = dispatcher(&base);
    for (step, incarnation) in [(100, 2), (400, 3), (900, 4)] {
        let held = dispatcher.grant_target(&target_name(0), None, at(step)).expect("a grant");
        apply(&mut dispatcher, &restarted(&base, incarnation, None), step + 1);
        assert_eq!(first(&dispatcher, step + 2).incarnation, Incarnation::new(incarnation));
        dispatcher.release(held, at(step + 3));
    }
    let current = dispatcher.dump(at(1_000)).targets;
    let listed = current.iter().filter(|target| target.usability != Usability::Removed).count();
    assert_eq!(listed, TARGETS, "{current:?}");
}
