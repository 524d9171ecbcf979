//! Simulation of processes that are cut off from all targets.
//!
//! Measures how often first attempts of callers are served at the cut processes and elsewhere, and
//! what the other processes pay for it, under different policies.

mod process;
mod relay;
mod simulation;

use std::fmt;
use std::fmt::Write;
use std::time::Duration;

use thymeshift_types::NameError;

use crate::replay::lost_links::simulation::LinkSimulation;

/// Processes that lose their links.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CutShape {
    /// This number of processes, drawn by the seed.
    Drawn(usize),
    /// All processes of the first data hall.
    Hall,
    /// Three of five processes in each data hall.
    MostOfEachHall,
    /// All processes.
    All,
}

/// What a cut does to the connections of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// Connections are reset and refused.
    Refused,
    /// Nothing arrives.
    Silent,
    /// Connections are accepted, and nothing is answered.
    Unanswered,
}

/// Faults of a simulated day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Number of processes, in three data halls.
    pub processes: usize,
    /// Processes that are cut off.
    pub shape: CutShape,
    /// What the cut does to connections.
    pub kind: CutKind,
    /// Whether the cut ends and begins again each second.
    pub flaps: bool,
    /// Share of the targets that end when the cut begins.
    pub dead_target_share: f64,
    /// Whether a tenth of the other processes is killed in the middle of the cut.
    pub kills_helpers: bool,
}

/// What a process without links does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPolicy {
    /// Goes on as if the targets were at fault.
    None,
    /// Fails its readiness check and closes its callers' connections.
    Withdraw,
    /// Hands the whole request to a peer, which serves it as its own.
    RelayRequests,
    /// Lets a peer connect it to the target, and keeps every decision about the request.
    RelayConnections,
}

/// Result of a pattern with a policy, summed over all simulated days.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LinkResult {
    /// First attempts at cut processes, by time since the start of the cut.
    pub at_cut: [Served; 3],
    /// First attempts at the other processes during the cut.
    pub elsewhere: Served,
    /// Requests that may have run although they failed, at cut processes from 3 s on.
    pub unknown: usize,
    /// Requests that were held for over half of their deadline and failed.
    pub held: usize,
    /// Relays of the busiest peer, as a multiple of the median peer's.
    pub busiest_peer: f64,
    /// Processor time that peers spend on relays, in milliseconds for each relayed request.
    pub peer_ms_per_relay: f64,
    relays: usize,
    peer_ms: f64,
    days: usize,
}

/// Number of first attempts, and of those that were served.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Served {
    /// Number of first attempts.
    pub sent: usize,
    /// Number of first attempts that were served.
    pub served: usize,
}

impl Served {
    /// Returns the served share; 1 if there were no attempts.
    pub fn share(&self) -> f64 {
        if self.sent == 0 { 1.0 } else { self.served as f64 / self.sent as f64 }
    }

    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.served += other.served;
    }
}

impl LinkResult {
    /// Returns whether the users' rule holds: from 3 s after the cut on, first attempts at cut
    /// processes are served at least two thirds as often as elsewhere, or at most 10 and one in 50
    /// of them fail.
    pub fn keeps_rule(&self) -> bool {
        let late = self.at_cut[2];
        let failed = late.sent - late.served;
        late.share() >= self.elsewhere.share() * 2.0 / 3.0 || failed <= 10 + late.sent / 50
    }

    fn add(&mut self, day: &Self) {
        for (sum, window) in self.at_cut.iter_mut().zip(day.at_cut) {
            sum.add(window);
        }
        self.elsewhere.add(day.elsewhere);
        self.unknown += day.unknown;
        self.held += day.held;
        self.relays += day.relays;
        self.peer_ms += day.peer_ms;
        self.busiest_peer = self.busiest_peer.max(day.busiest_peer);
        self.days += 1;
        self.peer_ms_per_relay = self.peer_ms / self.relays.max(1) as f64;
    }
}

impl fmt::Display for LinkResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, late] = self.at_cut.map(|window| window.share());
        write!(
            f,
            "{first:>6.3} {second:>6.3} {late:>6.3} {:>9} {:>9.3} {:>7} {:>6} {:>7.1} {:>7.2} {}",
            self.at_cut[2].sent,
            self.elsewhere.share(),
            self.unknown,
            self.held,
            self.busiest_peer,
            self.peer_ms_per_relay,
            if self.keeps_rule() { "kept" } else { "BROKEN" }
        )
    }
}

/// Time since the start of a cut at which its second and third counted window begin.
pub(crate) const WINDOWS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(3)];

/// Simulates `days` days of a pattern with a policy, one per seed from 0.
pub fn replay_links(
    pattern: &LinkPattern,
    policy: LinkPolicy,
    days: u64,
) -> Result<LinkResult, NameError> {
    let mut result = LinkResult::default();
    for seed in 0..days {
        result.add(&LinkSimulation::new(*pattern, policy, seed)?.run());
    }
    Ok(result)
}

/// Simulates all patterns with all policies and returns the results as a text table.
pub fn link_table(days: u64) -> Result<String, NameError> {
    let mut text = String::new();
    let columns = " <1 s  1-3 s  3 s on  attempts elsewhere unknown  held busiest peer_ms rule";
    let _ = writeln!(text, "{:<34} {:<18} {columns}", "pattern", "policy");
    for pattern in &LinkPattern::ALL {
        for policy in LinkPolicy::ALL {
            let result = replay_links(pattern, policy, days)?;
            let _ = writeln!(text, "{:<34} {:<18} {result}", pattern.name, policy.name());
        }
    }
    Ok(text)
}

impl LinkPolicy {
    /// Policies of the result table.
    pub const ALL: [Self; 4] =
        [Self::None, Self::Withdraw, Self::RelayRequests, Self::RelayConnections];

    /// Returns whether processes without links ask their peers for help.
    fn asks_peers(self) -> bool {
        matches!(self, Self::RelayRequests | Self::RelayConnections)
    }

    /// Returns the name of the policy in the result table.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Withdraw => "withdraw",
            Self::RelayRequests => "relay requests",
            Self::RelayConnections => "relay connections",
        }
    }
}

impl LinkPattern {
    /// Three of nine processes with silent links.
    pub const SILENT: Self = Self {
        name: "3 of 9, silent",
        processes: 9,
        shape: CutShape::Drawn(3),
        kind: CutKind::Silent,
        flaps: false,
        dead_target_share: 0.0,
        kills_helpers: false,
    };
    /// Patterns of the result table.
    pub const ALL: [Self; 12] = [
        Self::SILENT,
        Self { name: "3 of 9, accepts, never answers", kind: CutKind::Unanswered, ..Self::SILENT },
        Self { name: "3 of 9, refused", kind: CutKind::Refused, ..Self::SILENT },
        Self { name: "a hall of 15, silent", processes: 15, shape: CutShape::Hall, ..Self::SILENT },
        Self {
            name: "3 of 5 in each hall, silent",
            processes: 15,
            shape: CutShape::MostOfEachHall,
            ..Self::SILENT
        },
        Self {
            name: "12 of 13, silent",
            processes: 13,
            shape: CutShape::Drawn(12),
            ..Self::SILENT
        },
        Self { name: "all of 9, silent", shape: CutShape::All, ..Self::SILENT },
        Self { name: "3 of 9, flapping each second", flaps: true, ..Self::SILENT },
        Self {
            name: "3 of 9, a third of the targets end",
            dead_target_share: 0.34,
            ..Self::SILENT
        },
        Self { name: "3 of 9, peers killed", kills_helpers: true, ..Self::SILENT },
        Self {
            name: "200 of 587, silent",
            processes: 587,
            shape: CutShape::Drawn(200),
            ..Self::SILENT
        },
        Self {
            name: "1,000 of 2,300, peers killed",
            processes: 2_300,
            shape: CutShape::Drawn(1_000),
            kills_helpers: true,
            ..Self::SILENT
        },
    ];
}
