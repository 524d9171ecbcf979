//! Simulation of rate-limited targets and many processes: how far the stated limits are exceeded,
//! which share of the limits is used, and how many calls are refused.

mod evaluation;
mod policy;
mod scenario;

use std::fmt;
use std::fmt::Write;

use thymeshift_config::Mistakes;

use crate::replay::fleet::FleetFault;
use crate::replay::fleet::SimulatedFleet;
use crate::replay::limits::scenario::LimitScenario;

pub use policy::LimitPolicy;

/// Load, stated limits and fault of a simulated day. Targets state limits from second 4 on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Number of rate-limited targets, out of seven.
    pub limited_targets: usize,
    /// Limit that each rate-limited target states, in requests per second.
    pub limit_per_s: f64,
    /// Rate of calls over all processes, per second.
    pub calls_per_s: f64,
    /// Fault that is injected between second 10 and second 16.
    pub fault: FleetFault,
    /// Factor on the stated limits from second 12 on; 0 means that targets state no limit any more.
    pub limit_factor: f64,
}

/// Result of a pattern with a policy, summed over all simulated days.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitResult {
    /// Maximum number of requests that a rate-limited target received in any four seconds, divided
    /// by the allowed number: 1.5 times its limit plus 5 requests.
    pub worst_window: f64,
    /// Number of requests that rate-limited targets received.
    pub requests_received: f64,
    /// Number of requests that the stated limits allowed in the same time.
    pub requests_allowed: f64,
    /// Number of calls.
    pub calls: usize,
    /// Number of calls that were refused.
    pub refused: usize,
    /// Number of messages between processes.
    pub messages: usize,
}

impl LimitResult {
    /// Returns the share of the stated limits that was used.
    pub fn used_share(&self) -> f64 {
        self.requests_received / self.requests_allowed.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of the calls that was refused.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.calls.max(1) as f64
    }

    fn add(&mut self, day: &Self) {
        self.worst_window = self.worst_window.max(day.worst_window);
        self.requests_received += day.requests_received;
        self.requests_allowed += day.requests_allowed;
        self.calls += day.calls;
        self.refused += day.refused;
        self.messages += day.messages;
    }
}

impl fmt::Display for LimitResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages = self.messages as f64 / self.calls.max(1) as f64;
        let (used, refused) = (self.used_share(), self.refused_share());
        write!(f, "{:>7.2} {used:>6.2} {refused:>9.4} {messages:>9.2}", self.worst_window)
    }
}

/// Simulates `days` days of a pattern with a policy and `processes` processes, one per seed from 0.
pub fn replay_limits(
    pattern: &LimitPattern,
    policy: LimitPolicy,
    processes: usize,
    days: u64,
) -> Result<LimitResult, Mistakes> {
    let mut result = LimitResult::default();
    for seed in 0..days {
        let scenario = LimitScenario::new(*pattern, policy);
        let (scenario, messages) = SimulatedFleet::new(scenario, processes, seed)?.run();
        result.add(&scenario.result(messages));
    }
    Ok(result)
}

/// Simulates all patterns with all policies and several fleet sizes and returns a text table.
pub fn limit_table(days: u64) -> Result<String, Mistakes> {
    let mut text = String::new();
    let columns = "processes  window   used   refused  messages/call";
    let _ = writeln!(text, "{:<28} {:<22} {columns}", "pattern", "policy");
    for pattern in &LimitPattern::ALL {
        for policy in LimitPolicy::ALL {
            for processes in [3, 13, 117, 1_000] {
                let result = replay_limits(pattern, policy, processes, days)?;
                let _ = writeln!(text, "{:<28} {policy:<22} {processes:>5} {result}", pattern.name);
            }
        }
    }
    Ok(text)
}

impl LimitPattern {
    /// Pattern with two rate-limited targets out of seven.
    pub const TWO_LIMITED: Self = Self {
        name: "two in need",
        limited_targets: 2,
        limit_per_s: 3.4,
        calls_per_s: 72.0,
        fault: FleetFault::None,
        limit_factor: 1.0,
    };
    /// Pattern in which all targets are rate-limited and calls exceed the sum of their limits.
    pub const ALL_LIMITED: Self =
        Self { name: "all in need", limited_targets: 7, calls_per_s: 40.0, ..Self::TWO_LIMITED };
    /// Patterns of the result table.
    pub const ALL: [Self; 15] = [
        Self::TWO_LIMITED,
        Self { name: "two, 0.2 a second", limit_per_s: 0.2, ..Self::TWO_LIMITED },
        Self { name: "two, 1.5 a second", limit_per_s: 1.5, ..Self::TWO_LIMITED },
        Self {
            name: "two, 50 a second",
            limit_per_s: 50.0,
            calls_per_s: 400.0,
            ..Self::TWO_LIMITED
        },
        Self { name: "two, first killed", fault: FleetFault::FirstKilled, ..Self::TWO_LIMITED },
        Self { name: "two, first frozen", fault: FleetFault::FirstFrozen, ..Self::TWO_LIMITED },
        Self { name: "two, third cut off", fault: FleetFault::Isolated, ..Self::TWO_LIMITED },
        Self {
            name: "two, two halls cut",
            fault: FleetFault::TwoHallsPartitioned,
            ..Self::TWO_LIMITED
        },
        Self { name: "two, lowered to a third", limit_factor: 1.0 / 3.0, ..Self::TWO_LIMITED },
        Self { name: "two, raised threefold", limit_factor: 3.0, ..Self::TWO_LIMITED },
        Self::ALL_LIMITED,
        Self { name: "all, first killed", fault: FleetFault::FirstKilled, ..Self::ALL_LIMITED },
        Self { name: "all, third cut off", fault: FleetFault::Isolated, ..Self::ALL_LIMITED },
        Self {
            name: "all, two halls cut",
            fault: FleetFault::TwoHallsPartitioned,
            ..Self::ALL_LIMITED
        },
        Self { name: "all, lowered to a third", limit_factor: 1.0 / 3.0, ..Self::ALL_LIMITED },
    ];
}
