//! Budgets of measuring, connections and retries. The budgets must hold even if the VMs disagree
//! about which VMs are running.
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
const PROBE_COST_US: u64 = 6_000;
const VMS_MAX: u64 = 5;

/// What happens to one VM of the fleet within a time step of 50 ms.
#[derive(Debug, Clone, Copy)]
enum Event {
    Runs,
    /// The VM's process is replaced by a fresh one with a new measuring share.
    Replaced,
    /// The VM is paused for this many time steps.
    Paused(u8),
    /// The probes of the VM in this time step take this many milliseconds.
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

struct Vm {
    share: MeasuringShare,
    paused_steps: u8,
    phase: f64,
}

fn new_share(now: Timestamp, phase: f64) -> MeasuringShare {
    MeasuringShare::new(BUDGET_US_PER_S, PROBE_COST_US, VMS_MAX, now, phase)
}

/// Simulates the events and returns two results: the target time that the probes of all VMs take,
/// in microseconds, and the duration of the simulated run.
fn spent_us(events: &[Event]) -> (u64, Duration) {
    let step = ms(50);
    let mut vms: Vec<Vm> = (0..VMS_MAX)
        .map(|vm| {
            let phase = vm as f64 / VMS_MAX as f64;
            Vm { share: new_share(START, phase), paused_steps: 0, phase }
        })
        .collect();
    let mut now = START;
    let mut spent = 0;
    for (index, event) in events.iter().enumerate() {
        now = now + step;
        let chosen = index % vms.len();
        let mut slow_us = 0;
        match event {
            Event::Runs => {}
            Event::Replaced => vms[chosen].share = new_share(now, vms[chosen].phase),
            Event::Paused(steps) => vms[chosen].paused_steps = *steps,
            Event::Slow(millis) => slow_us = u64::from(*millis) * 1_000,
        }
        for (index, vm) in vms.iter_mut().enumerate() {
            if vm.paused_steps > 0 {
                vm.paused_steps -= 1;
                continue;
            }
            while vm.share.try_begin(now) {
                let taken_us =
                    if index == chosen { slow_us.max(PROBE_COST_US) } else { PROBE_COST_US };
                spent += taken_us;
                vm.share.charge_overrun(Duration::from_micros(taken_us));
            }
        }
    }
    (spent, now.since(START))
}

#[test]
fn measuring_stays_within_the_budget_for_every_sequence_of_events() {
    fn holds(events: Vec<Event>) -> TestResult {
        let (spent, elapsed) = spent_us(&events);
        let budget = BUDGET_US_PER_S as f64 * elapsed.as_secs_f64();
        // Target time beyond the declared cost of a probe is charged after the probe. At the end of
        // the run, at most the last probe of each VM, of less than 64 ms, is not yet charged.
        let not_charged = 64_000.0 * VMS_MAX as f64;
        TestResult::from_bool(spent as f64 <= budget + not_charged)
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
fn measuring_shares_are_used_and_a_zero_budget_forbids_probes() {
    let events = [Event::Runs; 2_000];
    let (spent, elapsed) = spent_us(&events);
    let budget = BUDGET_US_PER_S as f64 * elapsed.as_secs_f64();
    assert!(spent as f64 > 0.9 * budget, "{spent} of {budget}");
    let mut none = MeasuringShare::new(0, PROBE_COST_US, VMS_MAX, START, 0.0);
    assert_eq!(none.next_at(), None);
    assert!(!none.try_begin(START + Duration::from_hours(1)));
}

#[test]
fn nothing_is_saved_up_during_a_pause() {
    let mut share = new_share(START, 0.0);
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
fn requests_earn_retries() {
    let mut budget = RetryBudget::new(10);
    assert_eq!(
        (0..20).filter(|_| budget.try_spend()).count(),
        2,
        "initial reserve of a fresh process"
    );
    for _ in 0..30 {
        budget.record_request();
    }
    assert_eq!((0..20).filter(|_| budget.try_spend()).count(), 3, "one retry per ten requests");
    for _ in 0..10_000 {
        budget.record_request();
    }
    assert_eq!((0..20).filter(|_| budget.try_spend()).count(), 10, "bounded reserve");
    let mut none = RetryBudget::new(0);
    none.record_request();
    assert!(!none.try_spend());
}

#[test]
fn a_retry_budget_that_is_set_later_starts_like_a_new_one() {
    let mut budget = RetryBudget::new(0);
    budget.set_percent(10);
    assert!(budget.try_spend());
    budget.set_percent(20);
    assert!(budget.try_spend());
    assert!(!budget.try_spend(), "a changed share does not fill the reserve");
}

#[test]
fn a_pause_is_a_gap_between_two_observations() {
    let mut pause = PauseDetector::new(START, ms(500));
    assert_eq!(pause.observe(START + ms(500)), None);
    assert_eq!(pause.observe(START + ms(1_100)), Some(ms(600)));
    assert_eq!(pause.observe(START + ms(1_000)), None, "time does not go back");
}

#[test]
fn a_target_that_answers_no_probe_is_probed_less_and_less_often() {
    const INTERVAL: Duration = Duration::from_millis(55);
    const CHECK_INTERVAL_MS: u64 = 15;
    struct Case {
        note: &'static str,
        is_answered: bool,
        taken_ms: u64,
        probes_min: usize,
        probes_max: usize,
    }
    let cases = [
        Case {
            note: "answers at once",
            is_answered: true,
            taken_ms: 0,
            probes_min: 150,
            probes_max: 182,
        },
        Case { note: "is slow", is_answered: true, taken_ms: 200, probes_min: 40, probes_max: 50 },
        Case {
            note: "resets at once",
            is_answered: false,
            taken_ms: 0,
            probes_min: 8,
            probes_max: 12,
        },
        Case { note: "is silent", is_answered: false, taken_ms: 60, probes_min: 8, probes_max: 12 },
    ];
    for Case { note, is_answered, taken_ms, probes_min, probes_max } in cases {
        let mut pacing = ProbePacing::default();
        let mut probe_count = 0;
        let mut ends_ms = None;
        for now_ms in (0..10_000).step_by(CHECK_INTERVAL_MS as usize) {
            if ends_ms.is_some_and(|ends_ms| now_ms >= ends_ms) {
                pacing.finish(is_answered);
                ends_ms = None;
            }
            if pacing.try_begin(INTERVAL, Timestamp::from_millis(1_000 + now_ms)) {
                assert!(ends_ms.is_none(), "{note}: one probe at a time");
                probe_count += 1;
                ends_ms = Some(now_ms + taken_ms);
            }
        }
        assert!(
            (probes_min..=probes_max).contains(&probe_count),
            "{note}: {probe_count} probes in 10 s"
        );
    }
}

/// Probes made just before grants come in bursts. The long-term probe rate must still not exceed one
/// probe per interval.
#[test]
fn early_probes_are_few_at_a_time_and_delay_later_ones() {
    fn holds(actions: Vec<u8>) -> bool {
        let interval = ms(48);
        let mut pacing = ProbePacing::default();
        let mut probe_steps = Vec::new();
        for (step, action) in actions.iter().cycle().take(4_000).enumerate() {
            let now = START + ms(step as u64);
            let may_begin = match action % 3 {
                0 => pacing.try_begin(interval, now),
                1 => pacing.try_begin_early(interval, now),
                _ => false,
            };
            if may_begin {
                pacing.finish(true);
                probe_steps.push(step);
            }
        }
        // In any time window: one probe per 48 ms and at most eight more.
        probe_steps.iter().enumerate().all(|(first, from)| {
            probe_steps
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
