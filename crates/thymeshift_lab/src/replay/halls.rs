//! Simulation of data halls with uneven demand: how many bytes cross between halls, and what
//! requests of each kind pay for it.
//!
//! One service has a group of targets for each hall, another one a group for all halls. Requests of
//! three kinds differ in the length of their answers.
//!
//! This is not a scenario of `replay::fleet`, which models one group of one service and one kind.

mod group;
mod model;
mod simulation;

use std::fmt;
use std::fmt::Write;
use std::time::Duration;

use derive_more::Display;
use thymeshift_config::Mistakes;

use crate::replay::halls::model::KIND_COUNT;
use crate::replay::halls::model::KINDS;
use crate::replay::halls::simulation::Simulation;

/// Fault of a simulated day, between second 8 and second 14.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HallFault {
    /// No fault.
    None,
    /// The second hall is drained and then restored.
    Drained,
    /// The allocator of the first hall's group is killed, and restarted one second later.
    AllocatorKilled,
}

/// Load and fault of a simulated day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HallPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Factor on the rate of the requests with long answers between second 8 and second 14.
    pub burst: f64,
    /// Fault of the day.
    pub fault: HallFault,
}

impl HallPattern {
    /// Patterns of the result table.
    pub const ALL: [Self; 4] = [
        Self { name: "uneven", burst: 1.0, fault: HallFault::None },
        Self { name: "burst of long answers x 2.4", burst: 2.4, fault: HallFault::None },
        Self { name: "hall drained", burst: 1.0, fault: HallFault::Drained },
        Self { name: "allocator killed", burst: 1.0, fault: HallFault::AllocatorKilled },
    ];
}

/// Policy that decides which requests leave their hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum HallPolicy {
    /// A request leaves its hall as soon as no target there is free.
    #[display("as before")]
    AsBefore,
    /// No request leaves its hall while the hall has targets.
    #[display("home only")]
    HomeOnly,
    /// A request waits for a home target, the longer its answer is.
    #[display("local wait")]
    LocalWait,
    /// The last targets of a hall are reserved for requests with long answers.
    #[display("reserve")]
    Reserve,
    /// Policy of the load balancer: local wait and reserve. A request waits for a home target only
    /// if its group has no spare capacity, and leaves at once if that capacity is reserved.
    #[display("both")]
    Both,
    /// As [`HallPolicy::Both`], but a request that can expect a home target within its local wait
    /// stays also if the spare capacity is reserved.
    #[display("wait first")]
    WaitFirst,
}

impl HallPolicy {
    /// Policies of the result table.
    pub const ALL: [Self; 6] = [
        Self::AsBefore,
        Self::HomeOnly,
        Self::LocalWait,
        Self::Reserve,
        Self::Both,
        Self::WaitFirst,
    ];

    pub(super) fn waits(self) -> bool {
        matches!(self, Self::LocalWait | Self::Both | Self::WaitFirst)
    }

    pub(super) fn reserves(self) -> bool {
        matches!(self, Self::Reserve | Self::Both | Self::WaitFirst)
    }
}

/// Results of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindResult {
    /// Number of requests.
    pub requests: usize,
    /// Number of requests that were answered within their objective.
    pub in_objective: usize,
    /// Number of requests that were refused.
    pub refused: usize,
    /// Longest time until a request got a target or was refused.
    pub longest_wait: Duration,
}

impl KindResult {
    /// Returns the share of the requests that were answered within their objective.
    pub fn in_objective_share(&self) -> f64 {
        self.in_objective as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the requests that were refused.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, day: &Self) {
        self.requests += day.requests;
        self.in_objective += day.in_objective;
        self.refused += day.refused;
        self.longest_wait = self.longest_wait.max(day.longest_wait);
    }
}

/// Result of a pattern with a policy, summed over all simulated days.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HallResult {
    /// Bytes of answers that crossed between halls.
    pub crossing_bytes: u64,
    /// Number of requests that a group redirected to another one.
    pub redirects: usize,
    /// Number of redirects because the spare capacity was reserved.
    pub reserved_redirects: usize,
    /// Number of redirects between two halls in the direction opposite to the previous one.
    pub direction_changes: usize,
    /// Results by kind: look-ups, orders, downloads.
    pub kinds: [KindResult; KIND_COUNT],
}

impl HallResult {
    /// Returns the volume of answers that crossed between halls, in MB.
    pub fn crossing_mb(&self) -> f64 {
        self.crossing_bytes as f64 / 1e6
    }

    fn add(&mut self, day: &Self) {
        self.crossing_bytes += day.crossing_bytes;
        self.redirects += day.redirects;
        self.reserved_redirects += day.reserved_redirects;
        self.direction_changes += day.direction_changes;
        for (sum, kind) in self.kinds.iter_mut().zip(&day.kinds) {
            sum.add(kind);
        }
    }
}

impl fmt::Display for HallResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { redirects, reserved_redirects, direction_changes, .. } = self;
        let mb = self.crossing_mb();
        write!(f, "{mb:>8.2} {redirects:>9} {reserved_redirects:>8} {direction_changes:>7}")?;
        for kind in &self.kinds {
            let wait_ms = kind.longest_wait.as_millis();
            let (in_objective, refused) = (kind.in_objective_share(), kind.refused_share());
            write!(f, "  {in_objective:.4} {refused:.4} {wait_ms:>4}")?;
        }
        Ok(())
    }
}

/// Simulates `days` days of a pattern with a policy and `processes` processes, one per seed from 0.
pub fn replay_halls(
    pattern: &HallPattern,
    policy: HallPolicy,
    processes: usize,
    days: u64,
) -> Result<HallResult, Mistakes> {
    let mut result = HallResult::default();
    for seed in 0..days {
        result.add(&Simulation::new(*pattern, policy, processes, seed)?.run());
    }
    Ok(result)
}

/// Simulates all patterns with all policies and several fleet sizes and returns a text table.
pub fn hall_table(days: u64) -> Result<String, Mistakes> {
    let mut text = String::new();
    let columns = "processes crossing MB redirects reserved changes";
    let _ = write!(text, "{:<28} {:<11} {columns}", "pattern", "policy");
    for kind in &KINDS {
        let _ = write!(text, "  {}: in objective, refused, longest wait ms", kind.name);
    }
    text.push('\n');
    for pattern in &HallPattern::ALL {
        for policy in HallPolicy::ALL {
            for processes in [13, 117, 1_000] {
                let result = replay_halls(pattern, policy, processes, days)?;
                let _ = writeln!(text, "{:<28} {policy:<11} {processes:>9} {result}", pattern.name);
            }
        }
    }
    Ok(text)
}
