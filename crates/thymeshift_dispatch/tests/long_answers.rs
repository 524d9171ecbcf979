//! Requests for long answers are routed to another data hall later than requests for short ones,
//! because the detour cost grows with the expected answer length.

mod support;

use support::at;
use support::configuration;
use support::dispatcher;
use support::expect_grant;
use support::ms;
use support::request;
use support::rng;
use support::target_name;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::View;

/// Dispatcher with two targets in hall `a` and two in hall `b`. Routing a short answer to the other
/// hall counts as a cost of 100 ms, so that requests prefer their own hall up to that delay.
fn dispatcher_with_detour() -> thymeshift_dispatch::Dispatcher<thymeshift_dispatch::AnyStrategy> {
    let mut configuration = configuration(4, 2, "");
    configuration.data_hall_detour_us = 100_000;
    configuration.services[0].slots_per_target = 4;
    let mut dispatcher = dispatcher(&configuration);
    dispatcher.set_view(View::Fleet);
    dispatcher
}

#[test]
fn requests_for_longer_answers_cross_to_another_hall_later() {
    struct Case {
        answer_kib: u32,
        /// Number of requests routed to the other hall, out of six sent at the same time.
        crossing: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { answer_kib: 0, crossing: 2..=4 },
        Case { answer_kib: 5, crossing: 2..=4 },
        Case { answer_kib: 90, crossing: 0..=1 },
    ];
    for Case { answer_kib, crossing } in cases {
        let mut dispatcher = dispatcher_with_detour();
        let mut rng = rng();
        // Requests take 200 ms, so that a second request at a local target costs more than routing
        // a request with a short answer to the other hall.
        for step in 0..40 {
            let routed = request(1, at(100_000));
            let grant = expect_grant(&mut dispatcher, routed, at(step * 200), &mut rng);
            let answered = thymeshift_dispatch::Observation::Answered(Some(support::report(0, 0)));
            dispatcher.record_attempt(&grant, answered, at(step * 200 + 200));
            dispatcher.release(grant, at(step * 200 + 200));
        }
        let now = at(10_000) + ms(1);
        let mut crossed = 0;
        let mut grants = Vec::new();
        for _ in 0..6 {
            let routed = Request { answer_kib, ..request(1, at(100_000)) };
            let grant = expect_grant(&mut dispatcher, routed, now, &mut rng);
            let chosen = dispatcher.target_name(&grant);
            crossed += usize::from(chosen == target_name(2) || chosen == target_name(3));
            grants.push(grant);
        }
        assert!(crossing.contains(&crossed), "{answer_kib} KiB: {crossed} crossed");
    }
}
