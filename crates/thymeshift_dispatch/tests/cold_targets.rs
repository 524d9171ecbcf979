//! Cold targets get no more than they bear, whoever decides.

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

/// What a cold target bears: 2.5 requests a second; 1.5 times that and 8 more are allowed.
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

/// Sends whatever it is allowed to at each of `moments`, in milliseconds; requests end at once,
/// as those that fail fast do. Returns when it sent.
fn send(dispatcher: &mut TestDispatcher, moments: &[u64]) -> Vec<u64> {
    let mut rng = rng();
    let mut sent = Vec::new();
    for moment in moments {
        let now = at(*moment);
        let at_once = Request { queue_max: 0, ..request(1, now + support::ms(500)) };
        if let Decision::Send(grant) = dispatcher.request(at_once, now, &mut rng) {
            dispatcher.release(grant, now);
            sent.push(*moment);
        }
    }
    sent
}

/// Most of the moments that lie within any second.
fn most_in_a_second(mut moments: Vec<u64>) -> usize {
    moments.sort_unstable();
    let within = |first: u64| {
        let second = first..first + 1_000;
        moments.iter().filter(|moment| second.contains(*moment)).count()
    };
    moments.iter().map(|first| within(*first)).max().unwrap_or(0)
}

#[test]
fn two_allocators_and_a_fleet_that_decides_alone_stay_below_the_bound_together() {
    fn holds(mut gaps: Vec<u8>) -> bool {
        gaps.resize(400, 9);
        let mut moment = 0;
        let moments: Vec<u64> = gaps
            .iter()
            .map(|gap| {
                moment += u64::from(*gap % 16);
                moment
            })
            .filter(|moment| *moment < 3_000)
            .collect();
        let mut sent = Vec::new();
        for _ in 0..2 {
            sent.extend(send(&mut cold(View::Fleet), &moments));
        }
        for _ in 0..VMS {
            sent.extend(send(&mut cold(View::Fallback), &moments));
        }
        most_in_a_second(sent) <= BOUND_PER_S
    }
    QuickCheck::new()
        .tests(20)
        .rng(Gen::from_size_and_seed(400, 11))
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn an_allocator_gives_a_cold_target_the_rate_that_it_bears_and_all_once_it_is_warm() {
    let moments: Vec<u64> = (0..400).map(|step| step * 10).collect();
    let sent = send(&mut cold(View::Fleet), &moments);
    let in_time = |from: u64, to: u64| sent.iter().filter(|at| (from..to).contains(*at)).count();
    assert_eq!(in_time(0, 2_800), 7, "2.5 a second: {sent:?}");
    assert_eq!(in_time(3_000, 4_000), 100, "warm: {sent:?}");
}

#[test]
fn a_target_may_become_cold_at_any_moment_and_again() {
    let mut dispatcher = cold(View::Fleet);
    let _ = dispatcher.record_probe(&target_name(0), cold_report(0), at(10));
    let busy: Vec<u64> = (11..111).collect();
    assert_eq!(send(&mut dispatcher, &busy).len(), 100, "it told that it is warm");
    let _ = dispatcher.record_probe(&target_name(0), cold_report(3_000), at(120));
    let after: Vec<u64> = (120..620).collect();
    let sent = send(&mut dispatcher, &after);
    assert_eq!(sent.len(), 1, "one in 400 ms, counted from the last one before: {sent:?}");
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
            note: "not told: the ramp",
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
        // The same list comes again with each change of another target.
        dispatcher.update(&after, &after.services[0], &local_hall(), at(900));
        let is_cold = |dispatcher: &mut TestDispatcher, from: u64| {
            let moments: Vec<u64> = (from..from + 100).collect();
            send(dispatcher, &moments).len() < 100
        };
        assert_eq!(is_cold(&mut dispatcher, 1_000), is_cold_at_1_s, "{note}, after 1 s");
        assert_eq!(is_cold(&mut dispatcher, 4_000), is_cold_at_4_s, "{note}, after 4 s");
    }
}
