//! How long callers have been trying, by the time that they still wait.

use std::time::Duration;

use thymeshift_dispatch::ElapsedTimeEstimator;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A caller's word, and how long it has been trying.
struct Case {
    note: &'static str,
    told_ms: u64,
    tried_ms: u64,
}

fn check(patience: &mut ElapsedTimeEstimator, cases: &[Case]) {
    for Case { note, told_ms, tried_ms } in cases {
        let tried = patience.clone().estimate(ms(*told_ms));
        let wanted = ms(*tried_ms);
        // Usual times fade a little between two callers that say them.
        assert!(tried.abs_diff(wanted) <= ms(10), "{note}: {tried:?} and not {wanted:?}");
    }
}

#[test]
fn what_a_caller_has_spent_is_what_is_missing_from_the_usual_time() {
    let mut patience = ElapsedTimeEstimator::default();
    assert_eq!(patience.estimate(ms(4_000)), Duration::ZERO, "the first one seen");
    check(
        &mut patience,
        &[
            Case { note: "a first attempt", told_ms: 4_000, tried_ms: 0 },
            Case { note: "its connection took a moment", told_ms: 3_982, tried_ms: 0 },
            Case { note: "a second attempt", told_ms: 3_750, tried_ms: 250 },
            Case { note: "after an outage", told_ms: 2_900, tried_ms: 1_100 },
            Case { note: "no time left", told_ms: 0, tried_ms: 4_000 },
            Case { note: "longer than ever", told_ms: 8_000, tried_ms: 0 },
        ],
    );
}

#[test]
fn callers_that_always_wait_less_are_not_taken_for_late() {
    let mut patience = ElapsedTimeEstimator::default();
    for _ in 0..400 {
        patience.estimate(ms(1_000));
        patience.estimate(ms(4_000));
    }
    check(
        &mut patience,
        &[
            Case { note: "a short one", told_ms: 1_000, tried_ms: 0 },
            Case { note: "a long one", told_ms: 4_000, tried_ms: 0 },
            Case { note: "a short one again", told_ms: 700, tried_ms: 300 },
            Case { note: "a long one again", told_ms: 3_600, tried_ms: 400 },
        ],
    );
}

#[test]
fn many_that_come_again_after_an_outage_do_not_become_usual() {
    let mut patience = ElapsedTimeEstimator::default();
    for step in 0..40 {
        patience.estimate(ms(3_310 + step % 5));
        if step % 4 == 0 {
            patience.estimate(ms(4_000));
        }
    }
    check(&mut patience, &[Case { note: "one of them", told_ms: 3_312, tried_ms: 688 }]);
}

#[test]
fn a_time_that_nobody_says_any_more_is_forgotten() {
    let mut patience = ElapsedTimeEstimator::default();
    patience.estimate(ms(60_000));
    for _ in 0..20_000 {
        patience.estimate(ms(4_000));
    }
    check(&mut patience, &[Case { note: "the usual one", told_ms: 4_000, tried_ms: 0 }]);
}
