//! Budgets that must hold whatever the VMs believe: measuring, connections, retries.
#![allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]

mod support;

use std::time::Duration;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use thymeshift_dispatch::MeasuringShare;
use thymeshift_dispatch::PauseDetector;
use thymeshift_dispatch::ProbePacing;
use thymeshift_dispatch::RetryBudget;
use thymeshift_dispatch::connection_share;
use thymeshift_types::Timestamp;

use crate::support::START;
use crate::support::ms;

const BUDGET_US_PER_S: u64 = 20_000;
const COST_US: u64 = 6_000;
const VMS_MAX: u64 = 5;

/// What happens to one seat of the fleet within a step of time.
#[derive(Debug, Clone, Copy)]
enum Event {
    Runs,
    /// Its process is replaced by a fresh one.
    Replaced,
    /// It is paused for some steps.
    Paused(u8),
    /// Its next probe takes this many milliseconds.
    Slow(u8),
}

impl quickcheck::Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0 => Self::Replaced,
            1 => Self::Paused(u8::arbitrary(g)),
            2 => Self::Slow(u8::arbitrary(g) % 64),
            _ => Self::Runs,
        }
    }
}

struct Seat {
    share: MeasuringShare,
    paused_steps: u8,
    phase: f64,
}

fn fresh(now: Timestamp, phase: f64) -> MeasuringShare {
    MeasuringShare::new(BUDGET_US_PER_S, COST_US, VMS_MAX, now, phase)
}

/// Target time that all seats spend over the whole run, in microseconds.
fn spent_us(events: &[Event]) -> (u64, Duration) {
    let step = ms(50);
    let mut seats: Vec<Seat> = (0..VMS_MAX)
        .map(|seat| {
            let phase = seat as f64 / VMS_MAX as f64;
            Seat { share: fresh(START, phase), paused_steps: 0, phase }
        })
        .collect();
    let mut now = START;
    let mut spent = 0;
    for (index, event) in events.iter().enumerate() {
        now = now + step;
        let chosen = index % seats.len();
        let mut slow_us = 0;
        match event {
            Event::Runs => {}
            Event::Replaced => seats[chosen].share = fresh(now, seats[chosen].phase),
            Event::Paused(steps) => seats[chosen].paused_steps = *steps,
            Event::Slow(millis) => slow_us = u64::from(*millis) * 1_000,
        }
        for (index, seat) in seats.iter_mut().enumerate() {
            if seat.paused_steps > 0 {
                seat.paused_steps -= 1;
                continue;
            }
            while seat.share.try_begin(now) {
                let taken_us = if index == chosen { slow_us.max(COST_US) } else { COST_US };
                spent += taken_us;
                seat.share.charge_overrun(Duration::from_micros(taken_us));
            }
        }
    }
    (spent, now.since(START))
}

#[test]
fn measuring_stays_within_the_budget_in_every_mixture_of_views() {
    fn holds(events: Vec<Event>) -> TestResult {
        let (spent, elapsed) = spent_us(&events);
        let budget = BUDGET_US_PER_S as f64 * elapsed.as_secs_f64();
        // A slow probe is paid for afterwards: at most the last one of each seat is open.
        let open = 64_000.0 * VMS_MAX as f64;
        TestResult::from_bool(spent as f64 <= budget + open)
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(2_000, 11))
        .quickcheck(holds as fn(Vec<Event>) -> TestResult);
}

#[test]
fn without_slow_probes_nothing_is_ever_spent_beyond_the_budget() {
    fn holds(events: Vec<Event>) -> TestResult {
        let quick: Vec<Event> = events
            .into_iter()
            .map(|event| if let Event::Slow(_) = event { Event::Runs } else { event })
            .collect();
        let (spent, elapsed) = spent_us(&quick);
        TestResult::from_bool(spent as f64 <= BUDGET_US_PER_S as f64 * elapsed.as_secs_f64())
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(2_000, 12))
        .quickcheck(holds as fn(Vec<Event>) -> TestResult);
}

#[test]
fn a_share_is_used_and_a_budget_of_nothing_forbids_probes() {
    let events = [Event::Runs; 2_000];
    let (spent, elapsed) = spent_us(&events);
    let budget = BUDGET_US_PER_S as f64 * elapsed.as_secs_f64();
    assert!(spent as f64 > 0.9 * budget, "{spent} of {budget}");
    let mut none = MeasuringShare::new(0, COST_US, VMS_MAX, START, 0.0);
    assert_eq!(none.next_at(), None);
    assert!(!none.try_begin(START + Duration::from_hours(1)));
}

#[test]
fn nothing_is_saved_up_during_a_pause() {
    let mut share = fresh(START, 0.0);
    let late = START + Duration::from_hours(1);
    assert!(share.try_begin(late));
    assert!(!share.try_begin(late), "one probe, not an hour's worth");
}

#[test]
fn connection_shares_fit_the_targets_limit() {
    for (connections, vms) in [(250, 20), (200, 20), (7, 7), (5, 2), (250, 18)] {
        let share = u64::from(connection_share(connections, vms));
        assert!(share >= 1 && share * vms <= connections, "{connections} among {vms}");
    }
}

#[test]
fn retries_follow_requests() {
    let mut budget = RetryBudget::new(10);
    assert_eq!((0..20).filter(|_| budget.try_spend()).count(), 2, "what a fresh process has");
    for _ in 0..30 {
        budget.record_request();
    }
    assert_eq!((0..20).filter(|_| budget.try_spend()).count(), 3, "a tenth");
    for _ in 0..10_000 {
        budget.record_request();
    }
    assert_eq!((0..20).filter(|_| budget.try_spend()).count(), 10, "bounded reserve");
    let mut none = RetryBudget::new(0);
    none.record_request();
    assert!(!none.try_spend());
}

#[test]
fn a_budget_that_is_set_later_starts_like_a_new_one() {
    let mut budget = RetryBudget::new(0);
    budget.set_percent(10);
    assert!(budget.try_spend());
    budget.set_percent(20);
    assert!(budget.try_spend());
    assert!(!budget.try_spend(), "a changed share does not fill the reserve");
}

#[test]
fn a_pause_is_a_gap_in_the_own_time() {
    let mut pause = PauseDetector::new(START, ms(500));
    assert_eq!(pause.observe(START + ms(500)), None);
    assert_eq!(pause.observe(START + ms(1_100)), Some(ms(600)));
    assert_eq!(pause.observe(START + ms(1_000)), None, "time does not go back");
}

#[test]
fn a_target_that_answers_no_probe_is_asked_ever_less_often() {
    const INTERVAL: Duration = Duration::from_millis(55);
    const LOOK_MS: u64 = 15;
    struct Case {
        note: &'static str,
        is_answered: bool,
        taken_ms: u64,
        least: usize,
        most: usize,
    }
    let cases = [
        Case { note: "answers at once", is_answered: true, taken_ms: 0, least: 150, most: 182 },
        Case { note: "is slow", is_answered: true, taken_ms: 200, least: 40, most: 50 },
        Case { note: "resets at once", is_answered: false, taken_ms: 0, least: 8, most: 12 },
        Case { note: "is silent", is_answered: false, taken_ms: 60, least: 8, most: 12 },
    ];
    for Case { note, is_answered, taken_ms, least, most } in cases {
        let mut pacing = ProbePacing::default();
        let mut begun = 0;
        let mut ends_ms = None;
        for now_ms in (0..10_000).step_by(LOOK_MS as usize) {
            if ends_ms.is_some_and(|ends_ms| now_ms >= ends_ms) {
                pacing.finish(is_answered);
                ends_ms = None;
            }
            if pacing.try_begin(INTERVAL, Timestamp::from_millis(1_000 + now_ms)) {
                assert!(ends_ms.is_none(), "{note}: one probe at a time");
                begun += 1;
                ends_ms = Some(now_ms + taken_ms);
            }
        }
        assert!((least..=most).contains(&begun), "{note}: {begun} probes in 10 s");
    }
}

/// Probes that are made just before grants come in bursts; the rate holds all the same.
#[test]
fn early_probes_are_few_at_a_time_and_paid_for_by_later_ones() {
    fn holds(wants: Vec<u8>) -> bool {
        let interval = ms(48);
        let mut pacing = ProbePacing::default();
        let mut begun = Vec::new();
        for (step, want) in wants.iter().cycle().take(4_000).enumerate() {
            let now = START + ms(step as u64);
            let may_begin = match want % 3 {
                0 => pacing.try_begin(interval, now),
                1 => pacing.try_begin_early(interval, now),
                _ => false,
            };
            if may_begin {
                pacing.finish(true);
                begun.push(step);
            }
        }
        // One every 48 ms, and eight more within any time however short.
        begun.iter().enumerate().all(|(first, from)| {
            begun
                .iter()
                .enumerate()
                .skip(first)
                .all(|(last, to)| last - first <= (to - from) / 48 + 8)
        })
    }
    QuickCheck::new()
        .tests(50)
        .rng(Gen::from_size_and_seed(50, 3))
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_target_that_does_not_answer_is_not_probed_early() {
    let mut pacing = ProbePacing::default();
    assert!(pacing.try_begin_early(ms(48), START));
    assert!(!pacing.try_begin_early(ms(48), START), "one at a time");
    pacing.finish(false);
    assert!(!pacing.try_begin_early(ms(48), START + ms(500)));
    assert!(pacing.try_begin(ms(48), START + ms(500)));
    pacing.finish(true);
    assert!(pacing.try_begin_early(ms(48), START + ms(501)));
}
