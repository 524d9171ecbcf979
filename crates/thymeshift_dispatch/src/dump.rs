//! What a dispatcher believes, for people and programs to read.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::StrategyName;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;

use crate::ReportedState;
use crate::View;

/// Whether a target may get the next request, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Usability {
    /// It may.
    #[display("open")]
    Open,
    /// As many requests as the adaptive limit allows are in flight.
    #[display("at_limit")]
    AtLimit,
    /// It reports that work takes much longer there for the moment: a request ends sooner if
    /// it waits.
    #[display("slow_spell")]
    SlowSpell,
    /// It has asked this process for a backoff.
    #[display("backing_off")]
    BackingOff,
    /// It failed several times in a row and is set aside for a while.
    #[display("ejected")]
    Ejected,
    /// It takes only so many requests a second, and has got them for the moment.
    #[display("rate_limited")]
    RateLimited,
    /// It is cold, and bears no further request for the moment.
    #[display("cold")]
    Cold,
    /// An operator's order stops it for a while.
    #[display("stopped")]
    Stopped,
    /// Its data hall is drained.
    #[display("hall_drained")]
    HallDrained,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
    /// It is no longer configured; its last requests are still in flight.
    #[display("removed")]
    Removed,
}

/// One target as this VM sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetDump {
    /// Its name.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it may get the next request.
    pub usability: Usability,
    /// This VM's requests in flight.
    pub in_flight: u32,
    /// Adaptive limit on them.
    pub limit: f64,
    /// This VM's share of its connections.
    pub connection_share: u32,
    /// Mean latency seen, in microseconds.
    pub latency_us: u64,
    /// Expected time to an answer, in microseconds.
    pub expected_us: u64,
    /// Share of recent attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// Requests running, from the last report.
    pub reported_running: Option<u32>,
    /// Requests queued, from the last report.
    pub reported_queued: Option<u32>,
    /// State, from the last report.
    pub reported_state: Option<ReportedState>,
    /// Age of the last report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// The limit of requests a second that it has named, if it is in need.
    pub rate_limit: Option<RateLimitDump>,
    /// Time until it is no longer set aside, in milliseconds.
    pub ejected_for_ms: Option<u64>,
    /// Time until the end of the backoff that it asked this process for, in milliseconds.
    pub backoff_for_ms: Option<u64>,
}

/// The limit of a target in need as a process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimitDump {
    /// Requests a second that the target takes from all processes together.
    pub per_s: f64,
    /// For how long it has been in need, as far as this process knows, in milliseconds.
    pub limited_for_ms: u64,
    /// Time since it last named the limit, in milliseconds.
    pub age_ms: u64,
    /// Part of the limit that this process may grant, 0 to 1.
    pub share: f64,
    /// Requests granted here since it has been in need: for the fleet by an allocator, else those
    /// that this process sends.
    pub granted: u64,
}

/// Requests of one rank that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueDump {
    /// The rank.
    pub priority: u8,
    /// How many wait.
    pub waiting: usize,
}

/// One service as this VM sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDump {
    /// Its name.
    pub name: ServiceName,
    /// How a target is chosen.
    pub strategy: StrategyName,
    /// Whose requests the counts hold.
    pub view: View,
    /// Retries that the budget allows now.
    pub retry_reserve: f64,
    /// Expected wait of a new request of the lowest rank, in microseconds.
    pub expected_wait_us: u64,
    /// Ranks with waiting requests.
    pub queues: Vec<QueueDump>,
    /// The targets.
    pub targets: Vec<TargetDump>,
}
