//! What one VM knows about itself, from a local YAML file.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::VmName;

use crate::Mistakes;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::decode_keyword;
use crate::decode::parse;
use crate::tree::Node;

/// Longest time a planned stop may be given, in milliseconds.
const STOP_MS_MAX: u64 = 3_600_000;
/// The same for the time until the platform kills a process, in seconds.
const STOP_S_MAX: f64 = 3_600.0;
/// Time between the end of the wait for work in flight and the moment at which the platform kills
/// the process, in milliseconds: for telling peers, and for a VM that is slow.
const STOP_MARGIN_MS: u64 = 700;
/// Probes of one target a second that may be allowed at most.
const PROBES_PER_S_MAX: u64 = 10_000;

/// Largest overshoot of a cold target's rate that may be allowed.
const COLD_OVERSHOOT_MAX: f64 = 100.0;
/// Most requests beyond it that may be allowed.
const COLD_SLACK_REQUESTS_MAX: u64 = 1_000_000;

/// How much is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what an operator must act on.
    Error,
    /// Also what may become a failure.
    Warn,
    /// Also one line for each change of state and each failed request.
    Info,
    /// Also one line for each request.
    Debug,
}

decode_keyword!(LogLevel {
    "error" => Error,
    "warn" => Warn,
    "info" => Info,
    "debug" => Debug,
});

/// Settings of one entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// This VM's name, unique in the fleet.
    pub vm: VmName,
    /// The data hall it stands in.
    pub data_hall: DataHallName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other entry processes connect.
    pub peer_address: SocketAddr,
    /// Where the operators' program connects. Keep it apart from callers.
    pub control_address: SocketAddr,
    /// Where `/live`, `/ready` and `/metrics` are served.
    pub observe_address: SocketAddr,
    /// The platform's configuration service.
    pub platform_address: SocketAddr,
    /// Peer addresses of other entry processes; the platform's list adds to them.
    pub peers: Vec<SocketAddr>,
    /// Where datagrams of other entry processes arrive; without it none are sent, and every
    /// process decides alone.
    pub datagram_address: Option<SocketAddr>,
    /// Whether the whole fleet starts for the first time: then nobody is served yet, and most
    /// processes can wait for those that read the platform.
    pub is_first_start: bool,
    /// The part of a processor that this VM may use. Work for the whole fleet goes to VMs
    /// with more of it.
    pub processor_share: Capacity,
    /// Worker threads; 0 takes one for each processor.
    pub worker_threads: u64,
    /// How long a stopping process goes on accepting after `/ready` has begun to fail,
    /// in milliseconds, so that the platform's balancer can notice.
    pub stop_readiness_lag_ms: u64,
    /// How long a stopping process waits for work in flight, in milliseconds.
    pub stop_bound_ms: u64,
    /// How long the platform waits between asking a process to stop and killing it, in
    /// milliseconds: the wait for work in flight ends before. None if it waits for ever.
    pub stop_grace_ms: Option<u64>,
    /// Most retries in 100 requests that the platform bears, whatever the configuration says.
    pub retry_percent_max: u64,
    /// Most probes of one target a second that the platform bears, whatever the configuration
    /// says.
    pub probes_per_target_s_max: u64,
    /// By how much requests to a cold target may exceed the rate that it bears: in any second the
    /// platform bears that rate times this many percent, and
    /// [`Settings::cold_slack_requests`] more.
    pub cold_overshoot_percent: u64,
    /// As [`Settings::cold_overshoot_percent`], in requests.
    pub cold_slack_requests: u64,
    /// How much is logged.
    pub log_level: LogLevel,
}

impl Settings {
    /// Reads settings from YAML.
    pub fn parse(text: &str) -> Result<Self, Mistakes> {
        parse(text, "")
    }

    /// How long a stopping process waits for work in flight once it no longer accepts callers.
    pub fn stop_wait(&self) -> Duration {
        let before_kill = self.stop_grace_ms.map(|grace_ms| {
            grace_ms.saturating_sub(self.stop_readiness_lag_ms).saturating_sub(STOP_MARGIN_MS)
        });
        let wait_ms = before_kill.map_or(self.stop_bound_ms, |ms| ms.min(self.stop_bound_ms));
        Duration::from_millis(wait_ms)
    }
}

impl Decode for Settings {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let vm = map.required("vm");
        let data_hall = map.required("data_hall");
        let caller_address = map.required("caller_address");
        let peer_address = map.required("peer_address");
        let control_address = map.required("control_address");
        let observe_address = map.required("observe_address");
        let platform_address = map.required("platform_address");
        let peers = map.value_or("peers", Vec::new());
        let datagram_address = map.optional("datagram_address");
        let is_first_start = map.value_or("is_first_start", false);
        let processor_share = map.value_or("processor_share", Capacity::default());
        let worker_threads = map.number_or("worker_threads", 0..=1_024, 0);
        let stop_readiness_lag_ms = map.number_or("stop_readiness_lag_ms", 0..=STOP_MS_MAX, 3_000);
        let stop_bound_ms = map.number_or("stop_bound_ms", 0..=STOP_MS_MAX, 60_000);
        let stop_grace_ms = map.optional_decimal("stop_grace_s", 0.0..=STOP_S_MAX, 1_000.0);
        let retry_percent_max = map.optional_decimal("retry_ratio_max", 0.0..=1.0, 100.0);
        let probes_per_target_s_max =
            map.number_or("probes_per_target_s_max", 0..=PROBES_PER_S_MAX, PROBES_PER_S_MAX);
        let cold_overshoot_percent =
            map.optional_decimal("cold_overshoot_ratio", 1.0..=COLD_OVERSHOOT_MAX, 100.0);
        let cold_slack_requests =
            map.number_or("cold_slack_requests", 0..=COLD_SLACK_REQUESTS_MAX, 0);
        let log_level = map.value_or("log_level", LogLevel::Info);
        map.finish();
        Some(Self {
            vm: vm?,
            data_hall: data_hall?,
            caller_address: caller_address?,
            peer_address: peer_address?,
            control_address: control_address?,
            observe_address: observe_address?,
            platform_address: platform_address?,
            peers: peers?,
            datagram_address: datagram_address?,
            is_first_start: is_first_start?,
            processor_share: processor_share?,
            worker_threads: worker_threads?,
            stop_readiness_lag_ms: stop_readiness_lag_ms?,
            stop_bound_ms: stop_bound_ms?,
            stop_grace_ms: stop_grace_ms?,
            retry_percent_max: retry_percent_max?.unwrap_or(100),
            probes_per_target_s_max: probes_per_target_s_max?,
            cold_overshoot_percent: cold_overshoot_percent?.unwrap_or(100),
            cold_slack_requests: cold_slack_requests?,
            log_level: log_level?,
        })
    }
}
