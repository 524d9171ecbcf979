//! Simulation of a guilty request, which crashes each target that runs it, and of other exits.
//!
//! Measures how well the quarantine stops the guilty request and how many innocent requests are
//! served or wrongly refused by the quarantine.

mod simulation;

use std::fmt;
use std::fmt::Write;
use std::time::Duration;

use thymeshift_fleet::QuarantineRules;
use thymeshift_types::NameError;

use crate::replay::crashes::simulation::CrashSimulation;
use crate::replay::crashes::simulation::Names;

/// Faults of a simulated day with crashing targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrashPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Mean interval between arrivals of the guilty request, from second 5 to 50; `None` if the
    /// pattern has no guilty request.
    pub guilty_interval: Option<Duration>,
    /// Rate at which each target exits without a guilty request, per second.
    pub target_exits_per_s: f64,
    /// Whether four of the seven targets exit at the same time, every ten seconds.
    pub racks_fail: bool,
    /// Whether all processes are killed in second 25 and restart without their quarantine state.
    pub processes_killed: bool,
}

/// Quarantine and retry policy of the processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrashPolicy {
    /// Name of the policy in the result table.
    pub name: &'static str,
    /// Whether processes refuse quarantined requests at all.
    pub refuses: bool,
    /// Rules by which crashes quarantine a request.
    pub rules: QuarantineRules,
    /// Whether a request whose target exited is retried at another target without delay.
    pub retries: bool,
}

/// Result of a pattern with a policy, summed over all simulated days.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CrashResult {
    /// Number of simulated days.
    pub days: usize,
    /// Number of target crashes that the guilty request caused.
    pub crashed_targets: usize,
    /// Number of guilty requests sent to targets later than 3 s after the third crash, on the worst
    /// day. Sends within 3 s after a kill of all processes are not counted.
    pub late_sends_worst: usize,
    /// Number of innocent requests.
    pub innocent_requests: usize,
    /// Number of innocent requests that were served.
    pub innocent_served: usize,
    /// Number of innocent requests that the quarantine refused.
    pub innocent_refused: usize,
}

impl CrashResult {
    /// Returns the share of innocent requests that were served.
    pub fn served_share(&self) -> f64 {
        self.innocent_served as f64 / self.innocent_requests.max(1) as f64
    }

    fn add(&mut self, day: &Self) {
        self.days += 1;
        self.crashed_targets += day.crashed_targets;
        self.late_sends_worst = self.late_sends_worst.max(day.late_sends_worst);
        self.innocent_requests += day.innocent_requests;
        self.innocent_served += day.innocent_served;
        self.innocent_refused += day.innocent_refused;
    }
}

impl fmt::Display for CrashResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let crashed_targets = self.crashed_targets as f64 / self.days.max(1) as f64;
        let refused = self.innocent_refused as f64 / self.days.max(1) as f64;
        let served = self.served_share();
        write!(
            f,
            "{crashed_targets:>7.1} {:>9} {served:>8.4} {refused:>8.2}",
            self.late_sends_worst
        )
    }
}

/// Simulates `days` days of a pattern with a policy, one per seed from 0.
pub fn replay_crashes(
    pattern: &CrashPattern,
    policy: &CrashPolicy,
    days: u64,
) -> Result<CrashResult, NameError> {
    let names = Names::new()?;
    let mut result = CrashResult::default();
    for seed in 0..days {
        result.add(&CrashSimulation::new(names.clone(), *pattern, *policy, seed).run());
    }
    Ok(result)
}

/// Simulates all patterns with all policies and returns the results as a text table.
pub fn crash_table(days: u64) -> Result<String, NameError> {
    let mut text = String::new();
    let columns = "crashed late_worst   served  refused";
    let _ = writeln!(text, "{:<28} {:<26} {columns}", "pattern", "policy");
    for pattern in &CrashPattern::ALL {
        for policy in &CrashPolicy::all() {
            let result = replay_crashes(pattern, policy, days)?;
            let _ = writeln!(text, "{:<28} {:<26} {result}", pattern.name, policy.name);
        }
    }
    Ok(text)
}

impl CrashPattern {
    /// Pattern without any fault.
    pub const CALM: Self = Self {
        name: "calm",
        guilty_interval: None,
        target_exits_per_s: 0.0,
        racks_fail: false,
        processes_killed: false,
    };
    /// Pattern with a guilty request every 400 ms on average and no other fault.
    pub const GUILTY: Self =
        Self { name: "guilty", guilty_interval: Some(Duration::from_millis(400)), ..Self::CALM };
    /// Patterns of the result table.
    pub const ALL: [Self; 6] = [
        Self::GUILTY,
        Self {
            name: "guilty, ten a second",
            guilty_interval: Some(Duration::from_millis(100)),
            ..Self::CALM
        },
        Self { name: "guilty, all killed", processes_killed: true, ..Self::GUILTY },
        Self { name: "targets end by themselves", target_exits_per_s: 0.05, ..Self::CALM },
        Self { name: "racks end", racks_fail: true, ..Self::CALM },
        Self { name: "all of these", target_exits_per_s: 0.05, racks_fail: true, ..Self::GUILTY },
    ];
}

impl CrashPolicy {
    /// Returns the policy of the load balancer.
    pub fn production() -> Self {
        let rules = QuarantineRules::default();
        Self { name: "two, retried", refuses: true, rules, retries: true }
    }

    /// Returns the policies of the result table.
    pub fn all() -> [Self; 8] {
        let production = Self::production();
        let with_strikes_min =
            |refusal_strikes_min| QuarantineRules { refusal_strikes_min, ..production.rules };
        let with_first_refusal =
            |first_refusal| QuarantineRules { first_refusal, ..production.rules };
        [
            Self { name: "nothing remembered", refuses: false, ..production },
            production,
            Self { name: "two, not retried", retries: false, ..production },
            Self {
                name: "two, 1 s at first",
                rules: with_first_refusal(Duration::from_secs(1)),
                ..production
            },
            Self {
                name: "two, 10 s at first",
                rules: with_first_refusal(Duration::from_secs(10)),
                ..production
            },
            Self {
                name: "two, 5 min at first",
                rules: with_first_refusal(Duration::from_mins(5)),
                ..production
            },
            Self { name: "three, retried", rules: with_strikes_min(3), ..production },
            Self {
                name: "three, not retried",
                rules: with_strikes_min(3),
                retries: false,
                ..production
            },
        ]
    }
}
