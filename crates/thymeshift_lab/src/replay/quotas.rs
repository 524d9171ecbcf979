//! The limit of one organisation over many processes: how far it is exceeded, and who is refused
//! although it holds.

mod policy;
mod process;
mod simulation;

use std::fmt;
use std::fmt::Write;

use crate::replay::quotas::simulation::QuotaSimulation;

pub use policy::QuotaPolicy;

/// What goes wrong with an organisation's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPattern {
    /// What it is called in tables.
    pub name: &'static str,
    /// By how much demand exceeds the usual in seconds 8 to 20.
    pub demand_factor: f64,
    /// Who cannot reach whom in seconds 10 to 16, while callers reach all.
    pub partition: Partition,
    /// Whether the counting process is killed at second 10, and is back a second later.
    pub counter_killed: bool,
    /// Whether the limit is a third from second 12 on.
    pub limit_lowered: bool,
    /// Whether half of the callers move to other processes at second 14.
    pub callers_move: bool,
}

/// Which processes cannot reach each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Partition {
    /// All can.
    None,
    /// This part of the processes reaches no other one.
    Processes(f64),
    /// Two of three data halls cannot reach each other: the first and the second counter stand in
    /// them.
    TwoHalls,
}

/// What came of a pattern, over all seeds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaResult {
    /// Days played.
    pub days: usize,
    /// Most requests admitted in a window of five seconds, in parts of what the limit allows in it,
    /// its burst included; on the worst day.
    pub worst_window: f64,
    /// Requests within the limit: all of days that stay below it.
    pub requests_within_limit: usize,
    /// Of these, refused.
    pub wrongly_refused: usize,
    /// Requests admitted, and what the limit allowed while there was more demand than that.
    pub admitted_in_overload: f64,
    /// As above.
    pub allowed_in_overload: f64,
    /// Requests of all days.
    pub requests: usize,
    /// Messages between processes.
    pub messages: usize,
}

impl QuotaResult {
    /// Share of the requests within the limit that were refused.
    pub fn wrongly_refused_share(&self) -> f64 {
        self.wrongly_refused as f64 / self.requests_within_limit.max(1) as f64
    }

    /// Part of the limit that was used while there was more demand.
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

/// Plays a pattern on `days` seeds with so many processes.
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

/// A table of patterns by ways of deciding.
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
    /// Demand below the limit, no trouble.
    pub const CALM: Self = Self {
        name: "calm",
        demand_factor: 1.0,
        partition: Partition::None,
        counter_killed: false,
        limit_lowered: false,
        callers_move: false,
    };
    /// Demand far beyond the limit.
    pub const HOT: Self = Self { name: "hot", demand_factor: 7.5, ..Self::CALM };
    /// All patterns.
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
