//! Cold targets get no more requests per second than the configured bound. The bound holds for the
//! requests of allocators and of standalone processes together.

mod support;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::TestDispatcher;
use support::at;
use support::cold_report;
use support::configuration;
use support::dispatcher;
use support::local_hall;
use support::request;
use support::rng;
use support::target_name;
use thymeshift_config::Configuration;
use thymeshift_config::Settings;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Usability;
use thymeshift_dispatch::View;

/// Most requests that a cold target may get within a second: the stated rate of 2.5 requests per
/// second times the overshoot ratio of 1.5, plus the slack of 8 requests.
const BOUND_PER_S: usize = 11;
const VMS: u64 = 95;

fn settings() -> Settings {
    let text = "vm: entry-01\ndata_hall: a\ncaller_address: 127.0.0.1:8080\n\
                peer_address: 127.0.0.1:8081\ncontrol_address: 127.0.0.1:8082\n\
                observe_address: 127.0.0.1:8083\nplatform_address: 127.0.0.1:7000\n\
                cold_overshoot_ratio: 1.5\ncold_slack_requests: 8\n";
    Settings::parse(text).unwrap_or_else(|mistakes| panic!("{mistakes}"))
}

fn one_target() -> Configuration {
    let lines = "    cold_start_ramp_ms: 3000\n    cold_requests_per_s: 2.5\n";
    let mut configuration = configuration(1, 1, lines);
    configuration.entry_vms_max = VMS;
    configuration.services[0].slots_per_target = 2;
    configuration.capped(&settings())
}

fn cold(view: View) -> TestDispatcher {
    let mut dispatcher = dispatcher(&one_target());
    dispatcher.set_view(view);
    let _ = dispatcher.record_probe(&target_name(0), cold_report(3_000), at(0));
    dispatcher
}

/// Issues a request at each of `times_ms` and returns the times at which a request was granted.
/// Granted requests end at once, as those of a target that fails fast.
fn send(dispatcher: &mut TestDispatcher, times_ms: &[u64]) -> Vec<u64> {
    let mut rng = rng();
    let mut sent = Vec::new();
    for now_ms in times_ms {
        let now = at(*now_ms);
        let at_once = Request { queue_max: 0, ..request(1, now + support::ms(500)) };
        if let Decision::Send(grant) = dispatcher.request(at_once, now, &mut rng) {
            dispatcher.release(grant, now);
            sent.push(*now_ms);
        }
    }
    sent
}

/// Returns the largest number of the times that lie within one second.
fn max_in_one_second(mut times_ms: Vec<u64>) -> usize {
    times_ms.sort_unstable();
    let within = |first: u64| {
        let second = first..first + 1_000;
        times_ms.iter().filter(|now_ms| second.contains(*now_ms)).count()
    };
    times_ms.iter().map(|first| within(*first)).max().unwrap_or(0)
}

#[test]
fn two_allocators_and_a_fleet_of_standalone_processes_stay_below_the_bound() {
    fn holds(mut gaps: Vec<u8>) -> bool {
        gaps.resize(400, 9);
        let mut now_ms = 0;
        let times_ms: Vec<u64> = gaps
            .iter()
            .map(|gap| {
                now_ms += u64::from(*gap % 16);
                now_ms
            })
            .filter(|now_ms| *now_ms < 3_000)
            .collect();
        let mut sent = Vec::new();
        for _ in 0..2 {
            sent.extend(send(&mut cold(View::Fleet), &times_ms));
        }
        for _ in 0..VMS {
            sent.extend(send(&mut cold(View::Fallback), &times_ms));
        }
        max_in_one_second(sent) <= BOUND_PER_S
    }
    QuickCheck::new()
        .tests(20)
        .rng(Gen::from_size_and_seed(400, 11))
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn an_allocator_grants_a_cold_target_the_stated_rate_and_a_warm_one_everything() {
    let times_ms: Vec<u64> = (0..400).map(|step| step * 10).collect();
    let sent = send(&mut cold(View::Fleet), &times_ms);
    let in_time = |from: u64, to: u64| sent.iter().filter(|at| (from..to).contains(*at)).count();
    assert_eq!(in_time(0, 2_800), 7, "2.5 requests per second: {sent:?}");
    assert_eq!(in_time(3_000, 4_000), 100, "warm: {sent:?}");
}

#[test]
fn a_target_may_become_cold_at_any_time_and_repeatedly() {
    let mut dispatcher = cold(View::Fleet);
    let _ = dispatcher.record_probe(&target_name(0), cold_report(0), at(10));
    let warm_times_ms: Vec<u64> = (11..111).collect();
    assert_eq!(
        send(&mut dispatcher, &warm_times_ms).len(),
        100,
        "the target reported that it is warm"
    );
    let _ = dispatcher.record_probe(&target_name(0), cold_report(3_000), at(120));
    let cold_times_ms: Vec<u64> = (120..620).collect();
    let sent = send(&mut dispatcher, &cold_times_ms);
    assert_eq!(sent.len(), 1, "one per 400 ms, counted from the last request before: {sent:?}");
    assert_eq!(dispatcher.dump(at(621)).targets[0].usability, Usability::Cold);
}

#[test]
fn a_target_listed_as_cold_is_cold_for_that_time_and_no_longer() {
    struct Case {
        note: &'static str,
        listed_ms: Option<u64>,
        is_cold_at_1_s: bool,
        is_cold_at_4_s: bool,
    }
    let cases = [
        Case {
            note: "not listed: the configured ramp",
            listed_ms: None,
            is_cold_at_1_s: true,
            is_cold_at_4_s: false,
        },
        Case { note: "warm", listed_ms: Some(0), is_cold_at_1_s: false, is_cold_at_4_s: false },
        Case {
            note: "half warm",
            listed_ms: Some(500),
            is_cold_at_1_s: false,
            is_cold_at_4_s: false,
        },
        Case { note: "long", listed_ms: Some(5_000), is_cold_at_1_s: true, is_cold_at_4_s: true },
    ];
    for Case { note, listed_ms, is_cold_at_1_s, is_cold_at_4_s } in cases {
        let mut before = one_target();
        let mut after = before.clone();
        before.services[0].targets.clear();
        after.services[0].targets[0].cold_for_ms = listed_ms;
        let mut dispatcher = dispatcher(&before);
        dispatcher.set_view(View::Fleet);
        dispatcher.update(&after, &after.services[0], &local_hall(), at(0));
        // The same list is applied again whenever another target changes.
        dispatcher.update(&after, &after.services[0], &local_hall(), at(900));
        let is_cold = |dispatcher: &mut TestDispatcher, from: u64| {
            let times_ms: Vec<u64> = (from..from + 100).collect();
            send(dispatcher, &times_ms).len() < 100
        };
        assert_eq!(is_cold(&mut dispatcher, 1_000), is_cold_at_1_s, "{note}, after 1 s");
        assert_eq!(is_cold(&mut dispatcher, 4_000), is_cold_at_4_s, "{note}, after 4 s");
    }
}
