//! A target that starts again under its name. Whatever was believed of its earlier start ends
//! with that, and nothing that arrives late from it counts for the later one.

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

/// Targets of the service; the first one starts again.
const TARGETS: usize = 3;

/// The same configuration with the first target at another start, and perhaps at another address.
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
fn what_was_believed_of_an_earlier_start_is_not_held_against_the_next() {
    struct Case {
        believed: &'static str,
        learn: fn(&mut TestDispatcher),
    }
    let cases = [
        Case {
            believed: "that it asked for a backoff",
            learn: |dispatcher| {
                let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
                dispatcher.record_backoff(&grant, Duration::from_mins(1), at(0));
                dispatcher.release(grant, at(0));
            },
        },
        Case {
            believed: "that it is leaving",
            learn: |dispatcher| {
                assert!(dispatcher.mark_leaving(&target_name(0), Incarnation::new(1)));
            },
        },
        Case {
            believed: "that it fails",
            learn: |dispatcher| {
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
            believed: "that it cannot be reached",
            learn: |dispatcher| {
                let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
                dispatcher.record_attempt(&grant, Observation::Unreachable, at(1));
                dispatcher.release(grant, at(1));
            },
        },
        Case {
            believed: "that it is loaded",
            learn: |dispatcher| {
                dispatcher.record_probe(&target_name(0), report(40, 40), at(1));
            },
        },
        Case {
            believed: "that it is cold for a minute",
            learn: |dispatcher| {
                dispatcher.record_probe(&target_name(0), cold_report(60_000), at(1));
            },
        },
        Case {
            believed: "that requests are at work there",
            learn: |dispatcher| {
                // Never released: their target ended, and who asked is not heard of again.
                let _unreleased =
                    dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
            },
        },
    ];
    let elsewhere = "127.0.0.9:9".parse().expect("an address");
    for Case { believed, learn } in cases {
        for address in [None, Some(elsewhere)] {
            let base = configuration(TARGETS, TARGETS, "");
            let mut dispatcher = dispatcher(&base);
            learn(&mut dispatcher);
            let next = restarted(&base, 2, address);
            apply(&mut dispatcher, &next, 30);
            let found = first(&dispatcher, 31);
            let note = format!("{believed}, address {address:?}: {found:?}");
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
fn what_an_earlier_start_did_counts_for_it_alone() {
    let base = configuration(TARGETS, TARGETS, "");
    let mut dispatcher = dispatcher(&base);
    let grants: Vec<_> = (0..4)
        .filter_map(|step| dispatcher.grant_target(&target_name(0), None, at(step)))
        .collect();
    assert!(!grants.is_empty());
    apply(&mut dispatcher, &restarted(&base, 2, None), 10);
    let before = first(&dispatcher, 11);
    for grant in grants {
        assert!(!dispatcher.may_send(&grant, at(9_000), at(12)), "a choice of the earlier start");
        dispatcher.record_attempt(&grant, Observation::Broken, at(12));
        dispatcher.record_attempt(&grant, Observation::Unreachable, at(12));
        dispatcher.release(grant, at(13));
    }
    assert!(
        !dispatcher.mark_leaving(&target_name(0), Incarnation::new(1)),
        "late news of the earlier one"
    );
    let after = first(&dispatcher, 11);
    assert_eq!(after, before);
}

#[test]
fn an_earlier_start_never_comes_back() {
    let elsewhere = "127.0.0.9:9".parse().expect("an address");
    for address in [None, Some(elsewhere)] {
        let base = configuration(TARGETS, TARGETS, "");
        let mut dispatcher = dispatcher(&base);
        apply(&mut dispatcher, &restarted(&base, 5, None), 10);
        apply(&mut dispatcher, &restarted(&base, 4, address), 20);
        let found = first(&dispatcher, 21);
        assert_eq!(found.incarnation, Incarnation::new(5), "{address:?}");
        assert_eq!(found.address, base.services[0].targets[0].address, "{address:?}");
        // It is not made to leave by what was said of the earlier one.
        let mut leaving = restarted(&base, 4, address);
        leaving.services[0].targets[0].state = thymeshift_config::TargetState::Leaving;
        apply(&mut dispatcher, &leaving, 30);
        assert_eq!(first(&dispatcher, 31).usability, Usability::Open, "{address:?}");
        let grant = expect_grant(&mut dispatcher, request(1, at(9_000)), at(32), &mut rng());
        dispatcher.release(grant, at(33));
    }
}

/// Twice within a second, as in a crash loop.
#[test]
fn two_starts_in_a_row_leave_one_target() {
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
