//! State dump of a dispatcher, for operators and tools.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::StrategyName;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;

use crate::CallerSharesDump;
use crate::ReportedState;
use crate::View;

/// Whether a target may get the next request, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Usability {
    /// The target may get the next request.
    #[display("open")]
    Open,
    /// The requests in flight have reached the target's concurrency limit.
    #[display("at_limit")]
    AtLimit,
    /// The target reports that work currently takes much longer:
    /// a request ends sooner if it waits than if it starts now.
    #[display("slow_spell")]
    SlowSpell,
    /// The target has requested a backoff from this process.
    #[display("backing_off")]
    BackingOff,
    /// The target failed several times in a row
    /// or could not be reached, and is ejected for a while.
    #[display("ejected")]
    Ejected,
    /// The target states a limit of requests per second, and no token is left for now.
    #[display("rate_limited")]
    RateLimited,
    /// The target is cold, and the interval since its last request is too short for another one.
    #[display("cold")]
    Cold,
    /// An operator's order stops new work for the target.
    #[display("stopped")]
    Stopped,
    /// The data hall of the target is drained.
    #[display("hall_drained")]
    HallDrained,
    /// The target is leaving and gets no new work.
    #[display("leaving")]
    Leaving,
    /// The target is no longer configured; its last requests may still be in flight.
    #[display("removed")]
    Removed,
}

/// State of one target at this VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetDump {
    /// Name of the target in the configuration.
    pub name: TargetName,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Incarnation of the target: the listed one, or a later one that the target stated itself.
    pub incarnation: Incarnation,
    /// Whether the target may get the next request, and if not, why.
    pub usability: Usability,
    /// This VM's requests in flight at the target.
    pub in_flight: u32,
    /// Adaptive limit on this VM's requests in flight at the target.
    pub limit: f64,
    /// This VM's share of the target's connections for requests.
    pub connection_share: u32,
    /// Mean latency of the target at this VM, in microseconds.
    pub latency_us: u64,
    /// Expected time until the target answers a request, in microseconds.
    pub expected_us: u64,
    /// Share of recent attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// Requests that the target ran when it made its last load report.
    pub reported_running: Option<u32>,
    /// Requests that the target queued when it made its last load report.
    pub reported_queued: Option<u32>,
    /// State in the target's last load report.
    pub reported_state: Option<ReportedState>,
    /// Age of the target's last load report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Limit of requests per second that the target states, if it states one.
    pub rate_limit: Option<RateLimitDump>,
    /// Remaining time of the ejection, in milliseconds.
    pub ejected_for_ms: Option<u64>,
    /// Remaining time of the backoff that the target requested from this process, in milliseconds.
    pub backoff_for_ms: Option<u64>,
}

/// State of a target's rate limit at this process.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimitDump {
    /// Requests per second that the target takes from all processes together.
    pub per_s: f64,
    /// Time since this process first received the limit, in milliseconds.
    pub limited_for_ms: u64,
    /// Time since the target last stated the limit, in milliseconds.
    pub age_ms: u64,
    /// Part of the limit that this process may grant, 0 to 1.
    pub share: f64,
    /// Requests granted here since the target has been rate-limited: those of the whole fleet at an
    /// allocator, otherwise those that this process sends.
    pub granted: u64,
}

/// Length of the queue of one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueDump {
    /// Priority of the waiting requests; 0 is served first.
    pub priority: u8,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of these that wait for a target in their own data hall.
    pub waiting_at_home: usize,
}

/// State of one service at this VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDump {
    /// Name of the service in the configuration.
    pub name: ServiceName,
    /// Strategy that chooses the target of a request.
    pub strategy: StrategyName,
    /// Processes whose requests the counts include.
    pub view: View,
    /// Retries that the retry budget currently allows.
    pub retry_reserve: f64,
    /// Expected wait of a new request of the lowest priority, in microseconds.
    pub expected_wait_us: u64,
    /// Queue lengths of all priorities with waiting requests.
    pub queues: Vec<QueueDump>,
    /// Recent requests by class of callers; `None` unless callers are served fairly.
    pub callers: Option<CallerSharesDump>,
    /// State of each target of the service, removed ones with requests in flight included.
    pub targets: Vec<TargetDump>,
}
