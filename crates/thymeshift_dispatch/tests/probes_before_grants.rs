//! The load pattern of targets that share their machines: a part of them works five times slower
//! for 150 ms at a time, and work keeps the pace at which it starts.

mod support;

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::TestDispatcher;
use support::at;
use support::configuration;
use support::dispatcher;
use support::ms;
use support::report;
use support::request;
use support::target_name;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::ProbePacing;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::View;
use thymeshift_types::Timestamp;

const TARGETS: usize = 40;
/// Part of the targets that is slow at a time, how much slower, and for how long.
const SLOW_PERCENT: u32 = 30;
const SLOW_PACE_PERCENT: u32 = 500;
const SPELL_MS: u64 = 150;
const WORK_MS: u64 = 120;
/// Answers after that are late.
const OBJECTIVE_MS: u64 = 300;
/// A request every 5 ms: three fifths of the targets are in use.
const REQUEST_EVERY_MS: u64 = 5;
const PLAYED_MS: u64 = 20_000;
/// Shortest time between two probes of a target that the budget allows.
const PROBE_EVERY: Duration = Duration::from_millis(48);

/// How long work that starts at a target takes.
fn pace_percent(target: usize, now_ms: u64) -> u32 {
    let spell = now_ms / SPELL_MS;
    let seed = (target as u64) << 32 | spell;
    let is_slow = SmallRng::seed_from_u64(seed).random_range(0..100) < SLOW_PERCENT;
    if is_slow { SLOW_PACE_PERCENT } else { 100 }
}

fn told(target: usize, now_ms: u64) -> LoadReport {
    LoadReport { pace_percent: pace_percent(target, now_ms), ..report(0, 0) }
}

struct Fleet {
    dispatcher: TestDispatcher,
    probing: Vec<ProbePacing>,
    probes: u32,
}

impl Fleet {
    fn probe(&mut self, target: usize, now_ms: u64) {
        self.probing[target].finish(true);
        self.probes += 1;
        let _ =
            self.dispatcher.record_probe(&target_name(target), told(target, now_ms), at(now_ms));
    }

    /// Probes of targets that were not heard of, as long as the budget allows them.
    fn probe_regularly(&mut self, now_ms: u64) {
        for target in 0..TARGETS {
            if self.probing[target].try_begin(PROBE_EVERY, at(now_ms)) {
                self.probe(target, now_ms);
            }
        }
    }

    fn probe_before_grant(&mut self, request: &Request, now_ms: u64) {
        let asked = self.dispatcher.likely_stale_targets(request, ms(10), 5, at(now_ms));
        for (found, _) in asked {
            let target =
                (0..TARGETS).find(|target| target_name(*target) == found).expect("a target");
            if self.probing[target].try_begin_early(PROBE_EVERY, at(now_ms)) {
                self.probe(target, now_ms);
            }
        }
    }
}

/// What was measured.
struct Played {
    late_percent: f64,
    probes_per_target_s: f64,
}

fn play(probes_before_grants: bool) -> Played {
    let mut rng = SmallRng::seed_from_u64(8);
    let mut fleet = Fleet {
        dispatcher: dispatcher(&configuration(TARGETS, TARGETS, "")),
        probing: vec![ProbePacing::default(); TARGETS],
        probes: 0,
    };
    fleet.dispatcher.set_view(View::Fleet);
    let mut running: Vec<(u64, usize, thymeshift_dispatch::Grant)> = Vec::new();
    let (mut asked, mut late) = (0_u32, 0_u32);
    for now_ms in 0..PLAYED_MS {
        let now: Timestamp = at(now_ms);
        for (_, target, grant) in running.extract_if(.., |(ends_ms, ..)| *ends_ms <= now_ms) {
            let answer = Observation::Answered(Some(told(target, now_ms)));
            let _ = fleet.dispatcher.record_attempt(&grant, answer, now);
            fleet.dispatcher.release(grant, now);
        }
        if now_ms % 15 == 0 {
            fleet.probe_regularly(now_ms);
        }
        if now_ms % REQUEST_EVERY_MS != 0 {
            continue;
        }
        asked += 1;
        let request = request(1, at(now_ms + 5_000));
        if probes_before_grants {
            fleet.probe_before_grant(&request, now_ms);
        }
        let at_once = Request { queue_max: 0, ..request };
        match fleet.dispatcher.request(at_once, now, &mut rng) {
            Decision::Send(grant) => {
                let chosen = fleet.dispatcher.target_name(&grant);
                let target =
                    (0..TARGETS).find(|target| target_name(*target) == chosen).expect("a target");
                let takes_ms = WORK_MS * u64::from(pace_percent(target, now_ms)) / 100;
                late += u32::from(takes_ms > OBJECTIVE_MS);
                running.push((now_ms + takes_ms, target, grant));
            }
            _ => late += 1,
        }
    }
    let seconds = PLAYED_MS as f64 / 1_000.0;
    Played {
        late_percent: f64::from(late) * 100.0 / f64::from(asked),
        probes_per_target_s: f64::from(fleet.probes) / TARGETS as f64 / seconds,
    }
}

#[test]
fn probes_just_before_a_grant_halve_the_late_answers_within_the_same_budget() {
    let regular = play(false);
    let fresh = play(true);
    let figures = format!(
        "late {:.2}% -> {:.2}%, probes a target and second {:.1} -> {:.1}",
        regular.late_percent,
        fresh.late_percent,
        regular.probes_per_target_s,
        fresh.probes_per_target_s
    );
    println!("{figures}");
    assert!(fresh.late_percent < regular.late_percent / 2.0, "{figures}");
    assert!(fresh.probes_per_target_s < 21.5, "{figures}");
}
