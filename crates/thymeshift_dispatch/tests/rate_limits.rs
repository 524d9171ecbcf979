//! Rate-limited targets get no more requests per second than the limit that they state. A target that
//! states no limit any more gets its full share of the requests again.

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

/// Length of the window over which the number of requests is compared with the limit.
const WINDOW_MS: u64 = 4_000;
/// Factor by which the requests in a window may exceed the limit.
const OVERSHOOT_RATIO: f64 = 1.5;
/// Number of requests per window that are allowed beyond the overshoot.
const SLACK_REQUESTS: f64 = 5.0;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::per_1000_s((per_s * 1_000.0) as u64)
}

fn fleet(targets: usize) -> TestDispatcher {
    let mut dispatcher = dispatcher(&configuration(targets, targets, ""));
    dispatcher.set_view(View::Fleet);
    dispatcher
}

/// Returns the rate limit of the first target in requests per second, if it is rate-limited.
fn limit(dispatcher: &TestDispatcher, time_ms: u64) -> Option<f64> {
    dispatcher.dump(at(time_ms)).targets[0].rate_limit.map(|limit| limit.per_s)
}

/// Sends a request at `time_ms` to a target that states `limit` in the answer 1 ms later. An answer
/// without a limit (`None`) means that the target is not rate-limited.
fn state_limit(
    dispatcher: &mut TestDispatcher,
    index: usize,
    limit: Option<RequestRate>,
    time_ms: u64,
) {
    let grant = dispatcher.grant_target(&target_name(index), None, at(time_ms)).expect("a grant");
    dispatcher.record_rate_limit(&grant, limit, at(time_ms + 1));
    dispatcher.release(grant, at(time_ms + 1));
}

/// Sends as many requests as are granted at once, every 10 ms; each answer arrives after 5 ms and
/// states the limit of its target. Returns the target index and the send time of each request.
fn send(
    dispatcher: &mut TestDispatcher,
    limits: &[Option<RequestRate>],
    times_ms: std::ops::Range<u64>,
    rng: &mut SmallRng,
) -> Vec<(usize, u64)> {
    let mut sent = Vec::new();
    for time_ms in times_ms.step_by(10) {
        for _ in 0..limits.len() {
            let now = at(time_ms);
            let at_once = Request { queue_max: 0, ..request(1, now + ms(500)) };
            let Decision::Send(grant) = dispatcher.request(at_once, now, rng) else {
                break;
            };
            let target = dispatcher.target_name(&grant);
            let index =
                (0..limits.len()).find(|index| target_name(*index) == target).expect("a target");
            sent.push((index, time_ms));
            dispatcher.record_rate_limit(&grant, limits[index], now + ms(5));
            dispatcher.release(grant, now + ms(5));
        }
    }
    sent
}

#[test]
fn the_limit_that_a_target_states_is_used_and_not_exceeded() {
    struct Case {
        limit_per_s: f64,
        /// Rate of the requests sent: at least one per two seconds, so that an answer of the target
        /// can state that the limit has ended.
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
        state_limit(&mut dispatcher, 0, limits[0], 0);
        let sent = send(&mut dispatcher, &limits, 10..SECONDS * 1_000, &mut rng());
        let used = sent.len() as f64 / (used_per_s * SECONDS as f64);
        assert!((0.9..=1.05).contains(&used), "limit {limit_per_s}: share {used} of it is used");
        let within = |first: u64| {
            let window = first..first + WINDOW_MS;
            sent.iter().filter(|(_, time_ms)| window.contains(time_ms)).count()
        };
        let most = sent.iter().map(|(_, first)| within(*first)).max().unwrap_or(0) as f64;
        let allowed = OVERSHOOT_RATIO * limit_per_s * WINDOW_MS as f64 / 1_000.0 + SLACK_REQUESTS;
        assert!(most <= allowed, "limit {limit_per_s}: {most} in 4 s, allowed {allowed}");
    }
}

#[test]
fn a_standalone_process_sends_nothing_to_a_rate_limited_target() {
    for (view, most) in [(View::Fallback, 0), (View::Own, 1)] {
        let limits = [Some(rate(3.4)), None];
        let mut dispatcher = fleet(2);
        state_limit(&mut dispatcher, 0, limits[0], 0);
        dispatcher.set_view(view);
        let sent = send(&mut dispatcher, &limits, 10..1_000, &mut rng());
        let to_first = sent.iter().filter(|(index, _)| *index == 0).count();
        assert!(to_first <= most, "{view}: {to_first}");
        assert!(sent.len() > 50, "{view}: the other target is used");
    }
}

#[test]
fn a_send_slot_of_a_shared_limit_expires_if_it_is_not_used() {
    // A share of 1/100 of 3.4 requests per second is one send slot every 29.4 s.
    let limits = [Some(rate(3.4))];
    let mut dispatcher = fleet(1);
    dispatcher.set_rate_share(RateShare::equal(100));
    state_limit(&mut dispatcher, 0, limits[0], 0);
    assert!(
        send(&mut dispatcher, &limits, 10..29_000, &mut rng()).is_empty(),
        "before the first send slot"
    );
    assert!(
        send(&mut dispatcher, &limits, 31_000..58_000, &mut rng()).is_empty(),
        "the first send slot has expired"
    );
    assert_eq!(send(&mut dispatcher, &limits, 58_000..61_000, &mut rng()).len(), 1);
}

#[test]
fn limit_updates_are_ordered_by_age_and_not_by_arrival() {
    fn holds(seed: u64) -> bool {
        use rand::SeedableRng;
        let update = |limit: Option<f64>, age_ms: u64| RateLimitUpdate {
            per_1000_s: limit.map(|per_s| rate(per_s).in_1000_s()),
            age: ms(age_ms),
        };
        let mut updates = vec![
            update(Some(5.0), 900),
            update(None, 700),
            update(Some(2.0), 500),
            update(None, 450),
            update(Some(1.5), 120),
            update(Some(2.0), 500),
        ];
        updates.shuffle(&mut SmallRng::seed_from_u64(seed));
        let mut dispatcher = fleet(1);
        let grant = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
        for update in &updates {
            dispatcher.merge_rate_limit(&grant, update, at(2_000));
        }
        limit(&dispatcher, 2_000) == Some(1.5)
    }
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(100, 4))
        .quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn an_answer_ends_a_limit_only_if_its_request_was_sent_after_the_limit_was_stated() {
    let mut dispatcher = fleet(1);
    let early = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    state_limit(&mut dispatcher, 0, Some(rate(2.0)), 10);
    assert!(
        !dispatcher.record_rate_limit(&early, None, at(200)),
        "the target may have answered before it stated the limit"
    );
    assert_eq!(limit(&dispatcher, 200), Some(2.0));
    let late = dispatcher.grant_target(&target_name(0), None, at(210)).expect("a grant");
    assert!(dispatcher.record_rate_limit(&late, None, at(300)));
    assert_eq!(limit(&dispatcher, 300), None);
}

#[test]
fn a_grant_made_without_the_limit_is_void() {
    let mut dispatcher = fleet(1);
    let unaware = dispatcher.grant_target(&target_name(0), None, at(0)).expect("a grant");
    assert!(dispatcher.may_send(&unaware, at(900), at(1)));
    state_limit(&mut dispatcher, 0, Some(rate(2.0)), 10);
    assert!(!dispatcher.may_send(&unaware, at(900), at(20)), "the limit is newer than the grant");
    let limit = RateLimitUpdate { per_1000_s: Some(2_000), age: Duration::ZERO };
    let aware = dispatcher.grant_target(&target_name(0), Some(limit), at(30)).expect("a grant");
    assert!(dispatcher.may_send(&aware, at(900), at(31)));
    let unaware = dispatcher.grant_target(&target_name(0), None, at(40)).expect("a grant");
    assert!(!dispatcher.is_within_limit(&unaware), "the allocator did not know the limit");
}

#[test]
fn a_rate_limited_service_refuses_at_once_what_it_cannot_serve_in_time() {
    let mut dispatcher = fleet(2);
    state_limit(&mut dispatcher, 0, Some(rate(1.0)), 0);
    state_limit(&mut dispatcher, 1, Some(rate(1.0)), 0);
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
    // The two targets together take two requests per second, the first ones after a second.
    assert_eq!(waits, 3, "{refused:?}");
    for refusal in refused {
        assert_eq!(refusal.reason, Reason::RateLimited);
        assert!(refusal.retry_after >= ms(2_400), "{refusal}: not before a send slot is free");
    }
    dispatcher.set_view(View::Fallback);
    let decision = dispatcher.request(request(1, now + ms(2_000)), now, &mut rng);
    assert!(matches!(decision, Decision::Refuse(_)), "no send slot will come: {decision:?}");
}

#[test]
fn a_target_whose_limit_has_ended_gets_nine_tenths_of_its_even_share_within_three_seconds() {
    const TARGETS: usize = 9;
    let mut limits = [None; TARGETS];
    limits[0] = Some(rate(0.2));
    let mut dispatcher = fleet(TARGETS);
    let mut rng = rng();
    state_limit(&mut dispatcher, 0, limits[0], 0);
    let _ = send(&mut dispatcher, &limits, 10..6_000, &mut rng);
    limits[0] = None;
    let _ = send(&mut dispatcher, &limits, 6_000..9_000, &mut rng);
    let sent = send(&mut dispatcher, &limits, 9_000..14_000, &mut rng);
    let to_first = sent.iter().filter(|(index, _)| *index == 0).count() as f64;
    let even = sent.len() as f64 / TARGETS as f64;
    assert!(to_first >= 0.9 * even, "{to_first} of {even}");
}

#[test]
fn a_rate_limited_target_is_not_probed_and_not_ejected() {
    let mut dispatcher = fleet(2);
    state_limit(&mut dispatcher, 0, Some(rate(2.0)), 0);
    let probed: Vec<_> = dispatcher.probe_targets(at(0)).map(|(name, _)| name).collect();
    assert_eq!(probed, [target_name(1)]);
    let stale = dispatcher.stale_targets(Duration::ZERO, 9, at(500));
    assert!(stale.iter().all(|(target, _)| *target != target_name(0)), "{stale:?}");
    assert_eq!(dispatcher.dump(at(20)).targets[0].usability, Usability::RateLimited);
    assert_eq!(dispatcher.dump(at(520)).targets[0].usability, Usability::Open);
}

#[test]
fn the_largest_possible_limit_changes_nothing() {
    let mut dispatcher = fleet(1);
    state_limit(&mut dispatcher, 0, Some(RequestRate::per_1000_s(u64::MAX)), 0);
    dispatcher.set_view(View::Fallback);
    let sent = send(&mut dispatcher, &[None], 10..100, &mut rng());
    assert_eq!(sent.len(), 9);
}

#[test]
fn a_limit_that_was_not_confirmed_for_long_is_not_sent_to_other_processes() {
    let mut dispatcher = fleet(2);
    state_limit(&mut dispatcher, 0, Some(rate(2.0)), 0);
    let announced: Vec<_> =
        dispatcher.rate_limits(at(1_000)).into_iter().map(|(name, ..)| name).collect();
    assert_eq!(announced, [target_name(0)], "the other target never stated a limit");
    assert!(dispatcher.rate_limits(at(70_000)).is_empty());
}
