//! How a target behaves. The control port replaces any of it with a JSON object.

use serde::Deserialize;
use serde::Serialize;

/// What a target reports of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportMode {
    /// What is true now.
    #[default]
    True,
    /// What was true `stale_ms` ago.
    Stale,
    /// That it is idle, whatever it does.
    Idle,
    /// Nothing.
    None,
}

/// What is wrong with a target's handling of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It sheds every request.
    Shedding,
    /// It fails every request at once.
    Failing,
    /// It begins requests and does not go on with them.
    Frozen,
    /// It closes the connection in the middle of each answer.
    Cutting,
    /// It reads each request, runs it and closes without an answer.
    Closing,
    /// It sends back another attempt's identity.
    Confusing,
}

/// A target's behaviour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// It says that it is leaving. It still serves what it gets.
    pub is_draining: bool,
    /// What is wrong with it.
    pub fault: Fault,
    /// For how long it asks whom it sheds to send nothing, in seconds.
    pub backoff_s: Option<u64>,
    /// Factor on its service time.
    pub slowness: f64,
    /// It holds each answer back for this long, in milliseconds.
    pub late_ms: u64,
    /// What it reports.
    pub reports: ReportMode,
    /// Age of its reports if they are stale, in milliseconds.
    pub stale_ms: u64,
    /// For so long after its start it is slower, in milliseconds.
    pub cold_ms: u64,
    /// Factor on its service time while it is cold.
    pub cold_slowness: f64,
    /// It stalls for `stall_ms` about every `stall_every_ms`, like a noisy neighbour.
    pub stall_every_ms: u64,
    /// Length of a stall, in milliseconds.
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
