//! Simulation of targets that refuse requests and ask for backoffs, with many processes: how many
//! requests reach the targets during the backoffs, and how many calls fail.

mod evaluation;
mod policy;
mod scenario;

use std::fmt;
use std::fmt::Write;

use thymeshift_config::Mistakes;

use crate::replay::backoffs::scenario::BackoffScenario;
use crate::replay::fleet::FleetFault;
use crate::replay::fleet::SimulatedFleet;

pub use policy::BackoffPolicy;

/// Load, refusals and fault of a simulated day. Targets start to refuse requests at second 4.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackoffPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Number of targets that refuse requests, out of seven.
    pub refusing_targets: usize,
    /// Time for which the targets refuse requests, in milliseconds.
    pub refusing_ms: u64,
    /// Backoff that a refusal asks for, in milliseconds.
    pub backoff_ms: u64,
    /// Whether the targets refuse only the requests of every fourth process.
    pub is_partial: bool,
    /// Rate of calls over all processes, per second.
    pub calls_per_s: f64,
    /// Fault that is injected between second 10 and second 16.
    pub fault: FleetFault,
}

/// Result of a pattern with a policy, over all simulated days.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackoffResult {
    /// Maximum number of requests of one process that reached a target during a backoff that the
    /// target had asked that process for. The first 500 ms of the backoff are not counted.
    pub requests_in_backoff_max: usize,
    /// Number of requests that targets refused.
    pub refusals: usize,
    /// Number of calls.
    pub calls: usize,
    /// Number of calls that were not served.
    pub failed: usize,
    /// Number of failed calls whose last attempt was refused by a target.
    pub refused_by_target: usize,
    /// Maximum number of requests in one second at a target that has just stopped refusing, as a
    /// multiple of an even share of the calls.
    pub recovery_peak: f64,
    /// Mean number of requests at a target from one to two seconds after it stopped refusing, as a
    /// multiple of an even share of the calls.
    pub recovery_load: f64,
    /// Number of messages between processes.
    pub messages: usize,
    days: usize,
}

impl BackoffResult {
    /// Returns the share of the calls that was not served.
    pub fn failed_share(&self) -> f64 {
        self.failed as f64 / self.calls.max(1) as f64
    }

    fn add(&mut self, day: &Self) {
        let days = self.days as f64;
        self.recovery_load = (self.recovery_load * days + day.recovery_load) / (days + 1.0);
        self.requests_in_backoff_max =
            self.requests_in_backoff_max.max(day.requests_in_backoff_max);
        self.recovery_peak = self.recovery_peak.max(day.recovery_peak);
        self.refusals += day.refusals;
        self.calls += day.calls;
        self.failed += day.failed;
        self.refused_by_target += day.refused_by_target;
        self.messages += day.messages;
        self.days += 1;
    }
}

impl fmt::Display for BackoffResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_day = self.refusals as f64 / self.days.max(1) as f64;
        let messages = self.messages as f64 / self.calls.max(1) as f64;
        write!(
            f,
            "{:>7} {per_day:>9.0} {:>8.4} {:>9} {:>6.2} {:>6.2} {messages:>9.2}",
            self.requests_in_backoff_max,
            self.failed_share(),
            self.refused_by_target,
            self.recovery_peak,
            self.recovery_load
        )
    }
}

/// Simulates `days` days of a pattern with a policy and `processes` processes, one per seed from 0.
pub fn replay_backoffs(
    pattern: &BackoffPattern,
    policy: BackoffPolicy,
    processes: usize,
    days: u64,
) -> Result<BackoffResult, Mistakes> {
    let mut result = BackoffResult::default();
    for seed in 0..days {
        let scenario = BackoffScenario::new(*pattern, policy);
        let (scenario, messages) = SimulatedFleet::new(scenario, processes, seed)?.run();
        result.add(&scenario.result(messages));
    }
    Ok(result)
}

/// Simulates all patterns with all policies and several fleet sizes and returns a text table.
pub fn backoff_table(days: u64) -> Result<String, Mistakes> {
    let mut text = String::new();
    let columns = "processes backoff refusals/day failed at-target rush   back messages/call";
    let _ = writeln!(text, "{:<26} {:<18} {columns}", "pattern", "policy");
    for pattern in &BackoffPattern::ALL {
        for policy in BackoffPolicy::ALL {
            for processes in [3, 13, 117, 1_000] {
                let result = replay_backoffs(pattern, policy, processes, days)?;
                let _ = writeln!(text, "{:<26} {policy:<18} {processes:>5} {result}", pattern.name);
            }
        }
    }
    Ok(text)
}

impl BackoffPattern {
    /// Pattern in which two of seven targets refuse each request for nine seconds.
    pub const TWO_REFUSING: Self = Self {
        name: "two",
        refusing_targets: 2,
        refusing_ms: 9_000,
        backoff_ms: 3_000,
        is_partial: false,
        calls_per_s: 72.0,
        fault: FleetFault::None,
    };
    /// Pattern in which four targets refuse for 0.5 s, at two thirds of the total capacity.
    pub const BUSY: Self = Self {
        name: "busy",
        refusing_targets: 4,
        refusing_ms: 500,
        calls_per_s: 600.0,
        ..Self::TWO_REFUSING
    };
    /// Patterns of the result table.
    pub const ALL: [Self; 15] = [
        Self { name: "one", refusing_targets: 1, ..Self::TWO_REFUSING },
        Self::TWO_REFUSING,
        Self { name: "two, 0.2 s", backoff_ms: 200, ..Self::TWO_REFUSING },
        Self { name: "two, 1 s", backoff_ms: 1_000, ..Self::TWO_REFUSING },
        Self { name: "two, 30 s", backoff_ms: 30_000, ..Self::TWO_REFUSING },
        Self { name: "two for a moment", refusing_ms: 100, ..Self::TWO_REFUSING },
        Self { name: "two, some processes", is_partial: true, ..Self::TWO_REFUSING },
        Self { name: "four", refusing_targets: 4, ..Self::TWO_REFUSING },
        Self { name: "all", refusing_targets: 7, ..Self::TWO_REFUSING },
        Self { name: "two, first killed", fault: FleetFault::FirstKilled, ..Self::TWO_REFUSING },
        Self { name: "two, third cut off", fault: FleetFault::Isolated, ..Self::TWO_REFUSING },
        Self { name: "two, 400 calls", calls_per_s: 400.0, ..Self::TWO_REFUSING },
        Self::BUSY,
        Self { name: "busy, for a moment", refusing_ms: 50, ..Self::BUSY },
        Self { name: "busy, some processes", is_partial: true, ..Self::BUSY },
    ];
}
