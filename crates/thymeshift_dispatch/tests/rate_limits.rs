//! Targets in need get no more than the requests a second that they name, and are used fully again
//! once their need is over.

mod support;

use std::time::Duration;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use support::TestDispatcher;
use support::at;
use support::configuration;
use support::dispatcher;
use support::ms;
use support::request;
use support::rng;
use support::target_name;
use thymeshift_config::RequestRate;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::RateLimitUpdate;
use thymeshift_dispatch::RateShare;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Usability;
use thymeshift_dispatch::View;
use thymeshift_types::Reason;

/// Time over which a limit is judged, how far it may be exceeded, and by how many requests more.
const WINDOW_MS: u64 = 4_000;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::per_1000_s((per_s * 1_000.0) as u64)
}

fn fleet(targets: usize) -> TestDispatcher {
    let mut dispatcher = dispatcher(&configuration(targets, targets, ""));
    dispatcher.set_view(View::Fleet);
    dispatcher
}

/// The limit of the first target.
fn limit(dispatcher: &TestDispatcher, moment: u64) -> Option<f64> {
    dispatcher.dump(at(moment)).targets[0].rate_limit.map(|limit| limit.per_s)
}

/// A target states a limit, or none, on the answer to a request that is sent and answered now.
fn states(dispatcher: &mut TestDispatcher, index: usize, limit: Option<RequestRate>, moment: u64) {
    let grant = dispatcher.grant_target(&target_name(index), None, at(moment)).expect("a grant");
    dispatcher.record_rate_limit(&grant, limit, at(moment + 1));
    dispatcher.release(grant, at(moment + 1));
}

/// Sends whatever may be sent at once, every 10 ms; each answer comes after 5 ms and states the
/// limits. Returns the target and the moment of each.
fn send(
    dispatcher: &mut TestDispatcher,
    limits: &[Option<RequestRate>],
    moments: std::ops::Range<u64>,
    rng: &mut SmallRng,
) -> Vec<(usize, u64)> {
    let mut sent = Vec::new();
    for moment in moments.step_by(10) {
        for _ in 0..limits.len() {
            let now = at(moment);
            let at_once = Request { queue_max: 0, ..request(1, now + ms(500)) };
            let Decision::Send(grant) = dispatcher.request(at_once, now, rng) else {
                break;
            };
            let target = dispatcher.target_name(&grant);
            let index =
                (0..limits.len()).find(|index| target_name(*index) == target).expect("a target");
            sent.push((index, moment));
            dispatcher.record_rate_limit(&grant, limits[index], now + ms(5));
            dispatcher.release(grant, now + ms(5));
        }
    }
    sent
}

#[test]
fn the_rate_that_a_target_names_is_used_and_not_exceeded() {
    struct Case {
        limit_per_s: f64,
        /// What it gets: one in two seconds at least, so that it can say when its need is over.
        used_per_s: f64,
    }
    let cases = [
        Case { limit_per_s: 0.0, used_per_s: 0.5 },
        Case { limit_per_s: 0.2, used_per_s: 0.5 },
        Case { limit_per_s: 1.5, used_per_s: 1.5 },
        Case { limit_per_s: 3.4, used_per_s: 3.4 },
        Case { limit_per_s: 50.0, used_per_s: 50.0 },
    ];
    for Case { limit_per_s, used_per_s } in cases {
        const SECONDS: u64 = 40;
        let limits = [Some(rate(limit_per_s))];
        let mut dispatcher = fleet(1);
        states(&mut dispatcher, 0, limits[0], 0);
        let sent = send(&mut dispatcher, &limits, 10..SECONDS * 1_000, &mut rng());
        let used = sent.len() as f64 / (used_per_s * SECONDS as f64);
        assert!((0.9..=1.05).contains(&used), "limit {limit_per_s}: {used} of it is used");
        let within = |first: u64| {
            let window = first..first + WINDOW_MS;
            sent.iter().filter(|(_, moment)| window.contains(moment)).count()
        };
        let most = sent.iter().map(|(_, first)| within(*first)).max().unwrap_or(0) as f64;
        let allowed = OVERSHOOT * limit_per_s * WINDOW_MS as f64 / 1_000.0 + SLACK;
        assert!(most <= allowed, "limit {limit_per_s}: {most} in 4 s, allowed {allowed}");
    }
}

#[test]
fn whoever_decides_alone_sends_nothing_to_a_target_in_need() {
    for (view, most) in [(View::Fallback, 0), (View::Own, 1)] {
        let limits = [Some(rate(3.4)), None];
        let mut dispatcher = fleet(2);
        states(&mut dispatcher, 0, limits[0], 0);
        dispatcher.set_view(view);
        let sent = send(&mut dispatcher, &limits, 10..1_000, &mut rng());
        let to_first = sent.iter().filter(|(index, _)| *index == 0).count();
        assert!(to_first <= most, "{view}: {to_first}");
        assert!(sent.len() > 50, "{view}: the other one is used");
    }
}

#[test]
fn a_share_is_kept_for_those_who_use_it_in_their_turn() {
    // An equal share of 1 in 100 of 3.4 a second is a turn each 29.4 s.
    let limits = [Some(rate(3.4))];
    let mut dispatcher = fleet(1);
    dispatcher.set_rate_share(RateShare::equal(100));
    states(&mut dispatcher, 0, limits[0], 0);
    assert!(send(&mut dispatcher, &limits, 10..29_000, &mut rng()).is_empty(), "not its turn yet");
    assert!(send(&mut dispatcher, &limits, 31_000..58_000, &mut rng()).is_empty(), "it has lapsed");
    assert_eq!(send(&mut dispatcher, &limits, 58_000..61_000, &mut rng()).len(), 1);
}

#[test]
fn what_is_said_counts_by_its_age_and_not_by_its_order() {
    fn holds(seed: u64) -> bool {
        use rand::SeedableRng;
        let told = |limit: Option<f64>, age_ms: u64| RateLimitUpdate {
            per_1000_s: limit.map(|per_s| rate(per_s).in_1000_s()),
            age: ms(age_ms),
        };
        let mut all = vec![
            told(Some(5.0), 900),
            told(None, 700),
            told(Some(2.0), 500),
            told(None, 450),
            told(Some(1.5), 120),
            told(Some(2.0), 500),
        ];
        all.shuffle(&mut SmallRng::seed_from_u64(seed));
        let mut dispatcher = fleet(1);
        let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
        for told in &all {
            dispatcher.merge_rate_limit(&grant, told, at(2_000));
        }
        limit(&dispatcher, 2_000) == Some(1.5)
    }
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(100, 4))
        .quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn an_answer_ends_the_need_only_if_its_request_was_sent_after_it_was_named() {
    let mut dispatcher = fleet(1);
    let early = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    states(&mut dispatcher, 0, Some(rate(2.0)), 10);
    assert!(!dispatcher.record_rate_limit(&early, None, at(200)), "it may have answered before");
    assert_eq!(limit(&dispatcher, 200), Some(2.0));
    let late = dispatcher.grant_target(&target_name(0), None, at(210)).expect("a grant");
    assert!(dispatcher.record_rate_limit(&late, None, at(300)));
    assert_eq!(limit(&dispatcher, 300), None);
}

#[test]
fn a_choice_made_without_the_limit_is_void() {
    let mut dispatcher = fleet(1);
    let unaware = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    assert!(dispatcher.may_send(&unaware, at(900), at(1)));
    states(&mut dispatcher, 0, Some(rate(2.0)), 10);
    assert!(!dispatcher.may_send(&unaware, at(900), at(20)), "the limit is newer than the choice");
    let limit = RateLimitUpdate { per_1000_s: Some(2_000), age: Duration::ZERO };
    let aware = dispatcher.grant_target(&target_name(0), Some(limit), at(30)).expect("a grant");
    assert!(dispatcher.may_send(&aware, at(900), at(31)));
    let unaware = dispatcher.grant_target(&target_name(0), None, at(40)).expect("a grant");
    assert!(!dispatcher.is_within_limit(&unaware), "whoever chose did not know of it");
}

#[test]
fn a_service_in_need_refuses_at_once_what_it_cannot_take_in_time() {
    let mut dispatcher = fleet(2);
    states(&mut dispatcher, 0, Some(rate(1.0)), 0);
    states(&mut dispatcher, 1, Some(rate(1.0)), 0);
    let mut rng = rng();
    let now = at(10);
    let mut waits = 0;
    let mut refused = Vec::new();
    for _ in 0..10 {
        match dispatcher.request(request(1, now + ms(2_000)), now, &mut rng) {
            Decision::Wait(_) => waits += 1,
            Decision::Refuse(refusal) => refused.push(refusal),
            Decision::Send(grant) => panic!("{grant:?}"),
        }
    }
    // Two a second, the first of them after a second.
    assert_eq!(waits, 3, "{refused:?}");
    for refusal in refused {
        assert_eq!(refusal.reason, Reason::RateLimited);
        assert!(refusal.retry_after >= ms(2_400), "{refusal}: not before there is room");
    }
    dispatcher.set_view(View::Fallback);
    let decision = dispatcher.request(request(1, now + ms(2_000)), now, &mut rng);
    assert!(matches!(decision, Decision::Refuse(_)), "no turn will come: {decision:?}");
}

#[test]
fn a_target_whose_need_is_over_gets_nine_tenths_of_its_even_share_within_three_seconds() {
    const TARGETS: usize = 9;
    let mut limits = [None; TARGETS];
    limits[0] = Some(rate(0.2));
    let mut dispatcher = fleet(TARGETS);
    let mut rng = rng();
    states(&mut dispatcher, 0, limits[0], 0);
    let _ = send(&mut dispatcher, &limits, 10..6_000, &mut rng);
    limits[0] = None;
    let _ = send(&mut dispatcher, &limits, 6_000..9_000, &mut rng);
    let sent = send(&mut dispatcher, &limits, 9_000..14_000, &mut rng);
    let own = sent.iter().filter(|(index, _)| *index == 0).count() as f64;
    let even = sent.len() as f64 / TARGETS as f64;
    assert!(own >= 0.9 * even, "{own} of {even}");
}

#[test]
fn a_target_in_need_is_not_probed_and_not_set_aside() {
    let mut dispatcher = fleet(2);
    states(&mut dispatcher, 0, Some(rate(2.0)), 0);
    let probed: Vec<_> = dispatcher.probe_targets(at(0)).map(|(name, _)| name).collect();
    assert_eq!(probed, [target_name(1)]);
    let unheard = dispatcher.stale_targets(Duration::ZERO, 9, at(500));
    assert!(unheard.iter().all(|(target, _)| *target != target_name(0)), "{unheard:?}");
    assert_eq!(dispatcher.dump(at(20)).targets[0].usability, Usability::RateLimited);
    assert_eq!(dispatcher.dump(at(520)).targets[0].usability, Usability::Open);
}

#[test]
fn a_limit_beyond_anything_changes_nothing() {
    let mut dispatcher = fleet(1);
    states(&mut dispatcher, 0, Some(RequestRate::per_1000_s(u64::MAX)), 0);
    dispatcher.set_view(View::Fallback);
    let sent = send(&mut dispatcher, &[None], 10..100, &mut rng());
    assert_eq!(sent.len(), 9);
}

#[test]
fn what_was_not_heard_again_for_long_is_not_told_to_others() {
    let mut dispatcher = fleet(2);
    states(&mut dispatcher, 0, Some(rate(2.0)), 0);
    let told: Vec<_> =
        dispatcher.rate_limits(at(1_000)).into_iter().map(|(name, ..)| name).collect();
    assert_eq!(told, [target_name(0)], "the other one never named a limit");
    assert!(dispatcher.rate_limits(at(70_000)).is_empty());
}
