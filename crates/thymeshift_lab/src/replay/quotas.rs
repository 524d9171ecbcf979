//! Simulation of one organisation's rate limit with many processes: how far the limit is exceeded,
//! and how many requests are refused although the organisation stays below its limit.

mod policy;
mod process;
mod simulation;

use std::fmt;
use std::fmt::Write;

use crate::replay::quotas::simulation::QuotaSimulation;

pub use policy::QuotaPolicy;

/// Demand and faults of a simulated day of an organisation's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Factor on the normal demand between second 8 and second 20.
    pub demand_factor: f64,
    /// Network partition between second 10 and second 16. Callers still reach all processes.
    pub partition: Partition,
    /// Whether the first counter process is killed at second 10 and restarts one second later.
    pub counter_killed: bool,
    /// Whether the limit drops to a third at second 12.
    pub limit_lowered: bool,
    /// Whether half of the callers connect to other processes at second 14.
    pub callers_move: bool,
}

/// Network partition between processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Partition {
    /// All processes reach each other.
    None,
    /// The given share of the processes reaches no other process.
    Processes(f64),
    /// The data halls of the first and the second counter cannot reach each other; the third data
    /// hall reaches both of them.
    TwoHalls,
}

/// Result of a pattern with a policy, over all simulated days.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaResult {
    /// Number of simulated days.
    pub days: usize,
    /// Maximum number of requests admitted in any five seconds, divided by the number that the rate
    /// limit and its burst allow; on the worst day.
    pub worst_window: f64,
    /// Number of requests on days whose demand stays below the limit.
    pub requests_within_limit: usize,
    /// Number of `requests_within_limit` that were refused.
    pub wrongly_refused: usize,
    /// Number of requests admitted in windows whose demand exceeded 1.5 times the allowed number.
    pub admitted_in_overload: f64,
    /// Number of requests that the rate allowed in the windows of `admitted_in_overload`.
    pub allowed_in_overload: f64,
    /// Number of requests on all days.
    pub requests: usize,
    /// Number of messages between processes.
    pub messages: usize,
}

impl QuotaResult {
    /// Returns the share of the requests within the limit that was refused.
    pub fn wrongly_refused_share(&self) -> f64 {
        self.wrongly_refused as f64 / self.requests_within_limit.max(1) as f64
    }

    /// Returns the share of the limit that was used while demand exceeded it; 1 if it never did.
    pub fn used_share(&self) -> f64 {
        if self.allowed_in_overload > 0.0 {
            self.admitted_in_overload / self.allowed_in_overload
        } else {
            1.0
        }
    }

    fn add(&mut self, day: &Self) {
        self.days += 1;
        self.worst_window = self.worst_window.max(day.worst_window);
        self.requests_within_limit += day.requests_within_limit;
        self.wrongly_refused += day.wrongly_refused;
        self.admitted_in_overload += day.admitted_in_overload;
        self.allowed_in_overload += day.allowed_in_overload;
        self.requests += day.requests;
        self.messages += day.messages;
    }
}

impl fmt::Display for QuotaResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages = self.messages as f64 / self.requests.max(1) as f64;
        let (refused, used) = (self.wrongly_refused_share(), self.used_share());
        write!(f, "{:>7.2} {refused:>9.4} {used:>6.2} {messages:>9.2}", self.worst_window)
    }
}

/// Simulates `days` days of a pattern with a policy and `processes` processes, one per seed from 0.
pub fn replay_quotas(
    pattern: &QuotaPattern,
    policy: QuotaPolicy,
    processes: usize,
    days: u64,
) -> QuotaResult {
    let mut result = QuotaResult::default();
    for seed in 0..days {
        result.add(&QuotaSimulation::new(*pattern, policy, processes, seed).run());
    }
    result
}

/// Simulates all patterns with all policies and several fleet sizes and returns a text table.
pub fn quota_table(days: u64) -> String {
    let mut text = String::new();
    let columns = "processes  window  wrongly_refused  used  messages/request";
    let _ = writeln!(text, "{:<24} {:<18} {columns}", "pattern", "policy");
    for pattern in &QuotaPattern::ALL {
        for policy in QuotaPolicy::ALL {
            for processes in policy.sizes() {
                let processes = *processes;
                let result = replay_quotas(pattern, policy, processes, days);
                let _ = writeln!(text, "{:<24} {policy:<18} {processes:>5} {result}", pattern.name);
            }
        }
    }
    text
}

impl QuotaPattern {
    /// Pattern with demand below the limit and no fault.
    pub const CALM: Self = Self {
        name: "calm",
        demand_factor: 1.0,
        partition: Partition::None,
        counter_killed: false,
        limit_lowered: false,
        callers_move: false,
    };
    /// Pattern with 7.5 times the normal demand, far above the limit, and no fault.
    pub const HOT: Self = Self { name: "hot", demand_factor: 7.5, ..Self::CALM };
    /// Patterns of the result table.
    pub const ALL: [Self; 10] = [
        Self::CALM,
        Self { name: "calm, cut off", partition: Partition::Processes(0.35), ..Self::CALM },
        Self { name: "calm, counter killed", counter_killed: true, ..Self::CALM },
        Self { name: "calm, callers move", callers_move: true, ..Self::CALM },
        Self { name: "calm, halls cut", partition: Partition::TwoHalls, ..Self::CALM },
        Self::HOT,
        Self { name: "hot, halls cut", partition: Partition::TwoHalls, ..Self::HOT },
        Self { name: "hot, cut off", partition: Partition::Processes(0.35), ..Self::HOT },
        Self { name: "hot, counter killed", counter_killed: true, ..Self::HOT },
        Self { name: "hot, limit lowered", limit_lowered: true, callers_move: true, ..Self::HOT },
    ];
}
