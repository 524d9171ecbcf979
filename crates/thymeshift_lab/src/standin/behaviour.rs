//! Adjustable behaviour of a target. A JSON object sent to the control port replaces all of the
//! behaviour; omitted fields get their defaults.

use serde::Deserialize;
use serde::Serialize;

/// Content of a target's load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportMode {
    /// Reports state the current load.
    #[default]
    True,
    /// Reports state the load of `stale_ms` ago.
    Stale,
    /// Reports state an idle target, whatever the load is.
    Idle,
    /// Answers carry no load report.
    None,
}

/// Fault in a target's handling of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The target handles requests without a fault.
    #[default]
    None,
    /// The target sheds every request with status 503.
    Shedding,
    /// The target fails every request at once with status 500.
    Failing,
    /// The target starts requests and does not continue them while the fault lasts.
    Frozen,
    /// The target closes the connection in the middle of each answer.
    Cutting,
    /// The target reads and runs each request, and closes the connection without an answer.
    Closing,
    /// The target returns the identity of another attempt in its answers.
    Confusing,
}

/// Behaviour of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Whether answers state that the target is leaving. The target still serves requests.
    pub is_draining: bool,
    /// Fault in the handling of requests.
    pub fault: Fault,
    /// Backoff that a 503 answer asks for in its `retry-after` header, in seconds.
    pub backoff_s: Option<u64>,
    /// Factor by which each service time is multiplied.
    pub slowness: f64,
    /// Delay of the answer to each served or shed request, in milliseconds.
    pub late_ms: u64,
    /// Content of the load reports.
    pub reports: ReportMode,
    /// Age of the load reports under [`ReportMode::Stale`], in milliseconds.
    pub stale_ms: u64,
    /// Length of the cold phase after the start of the target, in milliseconds.
    pub cold_ms: u64,
    /// Factor by which each service time is multiplied during the cold phase.
    pub cold_slowness: f64,
    /// Mean interval between stalls as of a noisy neighbour, in milliseconds; 0 disables stalls.
    pub stall_every_ms: u64,
    /// Time for which a stall delays the work of starting requests, in milliseconds.
    pub stall_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            is_draining: false,
            fault: Fault::None,
            backoff_s: None,
            slowness: 1.0,
            late_ms: 0,
            reports: ReportMode::True,
            stale_ms: 0,
            cold_ms: 0,
            cold_slowness: 1.0,
            stall_every_ms: 0,
            stall_ms: 0,
        }
    }
}
