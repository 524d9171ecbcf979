//! Lists of targets take a small part of a process's time, however often they change.

use std::time::Duration;

use thymeshift_fleet::ListPace;
use thymeshift_types::Timestamp;

#[test]
fn lists_that_change_all_the_time_take_a_small_part_of_it() {
    struct Case {
        cost_ms: u64,
        /// Part of the time that lists may take, in a hundred.
        share_max: u64,
        /// Longest time for which a change may wait.
        rest_max_ms: u64,
    }
    let cases = [
        Case { cost_ms: 1, share_max: 10, rest_max_ms: 9 },
        Case { cost_ms: 20, share_max: 10, rest_max_ms: 180 },
        Case { cost_ms: 100, share_max: 20, rest_max_ms: 400 },
    ];
    for Case { cost_ms, share_max, rest_max_ms } in cases {
        let cost = Duration::from_millis(cost_ms);
        let mut pace = ListPace::default();
        let begin = Timestamp::from_millis(10_000);
        let (mut now, mut spent) = (begin, Duration::ZERO);
        for _ in 0..100 {
            let rest = pace.remaining_delay(now);
            assert!(rest <= Duration::from_millis(rest_max_ms), "{cost_ms} ms: {rest:?}");
            now = now + rest + cost;
            spent += cost;
            pace.record_applied(cost, now);
        }
        now = now + pace.remaining_delay(now);
        let share = spent.as_micros() as u64 * 100 / now.since(begin).as_micros() as u64;
        assert!(share <= share_max, "{cost_ms} ms: {share} in 100");
    }
}
