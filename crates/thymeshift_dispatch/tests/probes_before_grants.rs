//! Load pattern of targets that share their machines with other work: at any time, a part of the
//! targets is in a slow spell of 150 ms and five times slower, and a request keeps the pace at which
//! it starts. Probes made just before a grant must halve the late answers within the probe budget.

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
/// Share of the targets that are in a slow spell at any time.
const SLOW_TARGETS_PERCENT: u32 = 30;
/// Pace of a target during a slow spell; 100 is the usual pace.
const SLOW_PACE_PERCENT: u32 = 500;
const SLOW_SPELL_MS: u64 = 150;
/// Response time of a request at the usual pace.
const RESPONSE_TIME_MS: u64 = 120;
/// Response time above which an answer counts as late.
const OBJECTIVE_MS: u64 = 300;
/// Interval between two requests; at this rate, about three fifths of the targets are in use.
const REQUEST_INTERVAL_MS: u64 = 5;
const SIMULATED_MS: u64 = 20_000;
/// Shortest interval between two probes of a target that the probe budget allows.
const PROBE_INTERVAL: Duration = Duration::from_millis(48);

/// Returns the pace of requests that start at a target at `now_ms`. A pace of 200 percent doubles the
/// usual response time.
fn pace_percent(target: usize, now_ms: u64) -> u32 {
    let spell = now_ms / SLOW_SPELL_MS;
    let seed = (target as u64) << 32 | spell;
    let is_slow = SmallRng::seed_from_u64(seed).random_range(0..100) < SLOW_TARGETS_PERCENT;
    if is_slow { SLOW_PACE_PERCENT } else { 100 }
}

fn reported(target: usize, now_ms: u64) -> LoadReport {
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
        let _ = self.dispatcher.record_probe(
            &target_name(target),
            reported(target, now_ms),
            at(now_ms),
        );
    }

    /// Probes every target whose probe budget allows a probe now.
    fn probe_regularly(&mut self, now_ms: u64) {
        for target in 0..TARGETS {
            if self.probing[target].try_begin(PROBE_INTERVAL, at(now_ms)) {
                self.probe(target, now_ms);
            }
        }
    }

    fn probe_before_grant(&mut self, request: &Request, now_ms: u64) {
        let to_probe = self.dispatcher.likely_stale_targets(request, ms(10), 5, at(now_ms));
        for (probed, _) in to_probe {
            let target =
                (0..TARGETS).find(|target| target_name(*target) == probed).expect("a target");
            if self.probing[target].try_begin_early(PROBE_INTERVAL, at(now_ms)) {
                self.probe(target, now_ms);
            }
        }
    }
}

/// Results of a simulated run.
struct Played {
    /// Share of the requests that are answered late or not at all.
    late_percent: f64,
    /// Probes per target and second.
    probes_per_target_s: f64,
}

/// Simulates [`SIMULATED_MS`] of requests, with or without probes just before each grant.
fn simulate(probes_before_grants: bool) -> Played {
    let mut rng = SmallRng::seed_from_u64(8);
    let mut fleet = Fleet {
        dispatcher: dispatcher(&configuration(TARGETS, TARGETS, "")),
        probing: vec![ProbePacing::default(); TARGETS],
        probes: 0,
    };
    fleet.dispatcher.set_view(View::Fleet);
    let mut running: Vec<(u64, usize, thymeshift_dispatch::Grant)> = Vec::new();
    let (mut requests, mut late) = (0_u32, 0_u32);
    for now_ms in 0..SIMULATED_MS {
        let now: Timestamp = at(now_ms);
        for (_, target, grant) in running.extract_if(.., |(ends_ms, ..)| *ends_ms <= now_ms) {
            let answer = Observation::Answered(Some(reported(target, now_ms)));
            let _ = fleet.dispatcher.record_attempt(&grant, answer, now);
            fleet.dispatcher.release(grant, now);
        }
        if now_ms % 15 == 0 {
            fleet.probe_regularly(now_ms);
        }
        if now_ms % REQUEST_INTERVAL_MS != 0 {
            continue;
        }
        requests += 1;
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
                let takes_ms = RESPONSE_TIME_MS * u64::from(pace_percent(target, now_ms)) / 100;
                late += u32::from(takes_ms > OBJECTIVE_MS);
                running.push((now_ms + takes_ms, target, grant));
            }
            _ => late += 1,
        }
    }
    let seconds = SIMULATED_MS as f64 / 1_000.0;
    Played {
        late_percent: f64::from(late) * 100.0 / f64::from(requests),
        probes_per_target_s: f64::from(fleet.probes) / TARGETS as f64 / seconds,
    }
}

#[test]
fn probes_just_before_a_grant_halve_the_late_answers_within_the_same_budget() {
    let without = simulate(false);
    let with = simulate(true);
    let figures = format!(
        "late {:.2}% -> {:.2}%, probes per target and second {:.1} -> {:.1}",
        without.late_percent,
        with.late_percent,
        without.probes_per_target_s,
        with.probes_per_target_s
    );
    println!("{figures}");
    assert!(with.late_percent < without.late_percent / 2.0, "{figures}");
    assert!(with.probes_per_target_s < 21.5, "{figures}");
}
