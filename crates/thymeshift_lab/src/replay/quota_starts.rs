//! Simulation of one organisation's rate limit while processes start: after a loss of all
//! processes, in a new fleet, and when single processes are replaced.
//!
//! Membership is the code of the load balancer: processes learn of each other by exchanges, so that
//! several of them may act as the counter at the same time.

mod fleet;
mod pattern;
mod process;
mod simulation;

use std::fmt;
use std::fmt::Write;

use derive_more::Display;

use crate::replay::quota_starts::simulation::StartSimulation;

pub use pattern::StartPattern;

/// What a process that has just started may grant as a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StartPolicy {
    /// Policy of the load balancer: until it is settled, a process assumes that each data hall has
    /// as many contacts as a process remembers.
    #[display("assumed contacts")]
    AssumedContacts,
    /// Until it is settled, a process assumes that as many processes run as the configuration
    /// allows. The load balancer does so if it does not know the number of data halls.
    #[display("assumed fleet")]
    AssumedFleet,
    /// A process grants nothing until it is settled.
    #[display("nothing")]
    Nothing,
    /// A process assumes that only the processes run that it knows.
    #[display("known only")]
    KnownOnly,
}

impl StartPolicy {
    /// Policies of the result table.
    pub const ALL: [Self; 4] =
        [Self::AssumedContacts, Self::AssumedFleet, Self::Nothing, Self::KnownOnly];
}

/// Result of a pattern with a policy, over all simulated days.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StartResult {
    /// Maximum number of requests admitted in any five seconds, divided by the number that the rate
    /// limit and its burst allow; on the worst day.
    pub worst_window: f64,
    /// Number of requests while demand was below the limit.
    pub requests_within_limit: usize,
    /// Number of `requests_within_limit` that were refused.
    pub wrongly_refused: usize,
    /// Longest time after a start of a process at which a request within the limit was refused, in
    /// milliseconds.
    pub refused_until_ms: u64,
    /// Longest time after the last loss of all processes until the full rate was admitted again, in
    /// milliseconds, on days whose demand exceeds the limit.
    pub full_rate_after_ms: u64,
    /// Number of requests.
    pub requests: usize,
    /// Number of quota messages between processes.
    pub messages: usize,
}

impl StartResult {
    /// Returns the share of the requests within the limit that was refused.
    pub fn wrongly_refused_share(&self) -> f64 {
        self.wrongly_refused as f64 / self.requests_within_limit.max(1) as f64
    }

    fn add(&mut self, day: &Self) {
        self.worst_window = self.worst_window.max(day.worst_window);
        self.requests_within_limit += day.requests_within_limit;
        self.wrongly_refused += day.wrongly_refused;
        self.refused_until_ms = self.refused_until_ms.max(day.refused_until_ms);
        self.full_rate_after_ms = self.full_rate_after_ms.max(day.full_rate_after_ms);
        self.requests += day.requests;
        self.messages += day.messages;
    }
}

impl fmt::Display for StartResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages = self.messages as f64 / self.requests.max(1) as f64;
        let refused = self.wrongly_refused_share();
        let (until, full) = (self.refused_until_ms, self.full_rate_after_ms);
        write!(f, "{:>7.2} {refused:>9.4} {until:>8} {full:>8} {messages:>9.2}", self.worst_window)
    }
}

/// Simulates `days` days of a pattern with a policy and `processes` processes, one per seed from 0.
pub fn replay_quota_starts(
    pattern: &StartPattern,
    policy: StartPolicy,
    processes: usize,
    days: u64,
) -> StartResult {
    let mut result = StartResult::default();
    for seed in 0..days {
        result.add(&StartSimulation::new(pattern, policy, processes, seed).run());
    }
    result
}

/// Simulates all patterns with all policies and several fleet sizes and returns a text table.
pub fn quota_start_table(days: u64) -> String {
    let mut text = String::new();
    let columns = "processes  window  wrongly_refused  until_ms  full_ms  messages/request";
    let _ = writeln!(text, "{:<32} {:<18} {columns}", "pattern", "policy");
    for pattern in &StartPattern::ALL {
        for policy in StartPolicy::ALL {
            for processes in pattern.sizes {
                let result = replay_quota_starts(pattern, policy, *processes, days);
                let _ = writeln!(text, "{:<32} {policy:<18} {processes:>5} {result}", pattern.name);
            }
        }
    }
    text
}
