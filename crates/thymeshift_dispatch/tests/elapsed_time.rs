//! Estimates of the time that a caller has already spent on earlier attempts, from the remaining
//! wait that the caller states in the request.

use std::time::Duration;

use thymeshift_dispatch::ElapsedTimeEstimator;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Remaining wait that a caller states, and the time on earlier attempts that must be estimated from
/// the stated wait.
struct Case {
    note: &'static str,
    stated_ms: u64,
    tried_ms: u64,
}

fn check(estimator: &mut ElapsedTimeEstimator, cases: &[Case]) {
    for Case { note, stated_ms, tried_ms } in cases {
        let tried = estimator.clone().estimate(ms(*stated_ms));
        let expected = ms(*tried_ms);
        // A usual wait decays slightly between two callers that state it.
        assert!(tried.abs_diff(expected) <= ms(10), "{note}: {tried:?} and not {expected:?}");
    }
}

#[test]
fn the_time_already_spent_is_the_usual_wait_minus_the_stated_wait() {
    let mut estimator = ElapsedTimeEstimator::default();
    assert_eq!(estimator.estimate(ms(4_000)), Duration::ZERO, "the first caller");
    check(
        &mut estimator,
        &[
            Case { note: "a first attempt", stated_ms: 4_000, tried_ms: 0 },
            Case { note: "a first attempt with a slow connection", stated_ms: 3_982, tried_ms: 0 },
            Case { note: "a second attempt", stated_ms: 3_750, tried_ms: 250 },
            Case { note: "after an outage", stated_ms: 2_900, tried_ms: 1_100 },
            Case { note: "no time left", stated_ms: 0, tried_ms: 4_000 },
            Case { note: "longer than any wait before", stated_ms: 8_000, tried_ms: 0 },
        ],
    );
}

#[test]
fn callers_that_always_state_a_shorter_wait_count_as_first_attempts() {
    let mut estimator = ElapsedTimeEstimator::default();
    for _ in 0..400 {
        estimator.estimate(ms(1_000));
        estimator.estimate(ms(4_000));
    }
    check(
        &mut estimator,
        &[
            Case { note: "a short wait", stated_ms: 1_000, tried_ms: 0 },
            Case { note: "a long wait", stated_ms: 4_000, tried_ms: 0 },
            Case { note: "a second attempt with a short wait", stated_ms: 700, tried_ms: 300 },
            Case { note: "a second attempt with a long wait", stated_ms: 3_600, tried_ms: 400 },
        ],
    );
}

#[test]
fn the_waits_of_retries_after_an_outage_do_not_become_usual() {
    let mut estimator = ElapsedTimeEstimator::default();
    for step in 0..40 {
        estimator.estimate(ms(3_310 + step % 5));
        if step % 4 == 0 {
            estimator.estimate(ms(4_000));
        }
    }
    check(
        &mut estimator,
        &[Case { note: "a retry after the outage", stated_ms: 3_312, tried_ms: 688 }],
    );
}

#[test]
fn a_wait_that_no_caller_states_any_more_is_forgotten() {
    let mut estimator = ElapsedTimeEstimator::default();
    estimator.estimate(ms(60_000));
    for _ in 0..20_000 {
        estimator.estimate(ms(4_000));
    }
    check(&mut estimator, &[Case { note: "the usual wait", stated_ms: 4_000, tried_ms: 0 }]);
}
