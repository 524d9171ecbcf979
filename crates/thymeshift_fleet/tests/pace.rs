//! Applying target lists takes a limited share of a process's time,
//! however often the lists change.

use std::time::Duration;

use thymeshift_fleet::ListPace;
use thymeshift_types::Timestamp;

#[test]
fn lists_that_change_all_the_time_take_a_small_part_of_it() {
    struct Case {
        cost_ms: u64,
        /// Maximum share of the time that applying lists may take, in percent.
        share_percent_max: u64,
        /// Longest time that a change may be delayed.
        delay_max_ms: u64,
    }
    let cases = [
        Case { cost_ms: 1, share_percent_max: 10, delay_max_ms: 9 },
        Case { cost_ms: 20, share_percent_max: 10, delay_max_ms: 180 },
        Case { cost_ms: 100, share_percent_max: 20, delay_max_ms: 400 },
    ];
    for Case { cost_ms, share_percent_max, delay_max_ms } in cases {
        let cost = Duration::from_millis(cost_ms);
        let mut pace = ListPace::default();
        let begin = Timestamp::from_millis(10_000);
        let (mut now, mut spent) = (begin, Duration::ZERO);
        for _ in 0..100 {
            let delay = pace.remaining_delay(now);
            assert!(delay <= Duration::from_millis(delay_max_ms), "{cost_ms} ms: {delay:?}");
            now = now + delay + cost;
            spent += cost;
            pace.record_applied(cost, now);
        }
        now = now + pace.remaining_delay(now);
        let share_percent = spent.as_micros() as u64 * 100 / now.since(begin).as_micros() as u64;
        assert!(share_percent <= share_percent_max, "{cost_ms} ms: {share_percent}%");
    }
}
