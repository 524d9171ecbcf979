//! Settings of one VM, read from a local YAML file.

use std::net::IpAddr;
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

/// Upper bound of the configured durations of a planned stop, in milliseconds.
const STOP_MS_MAX: u64 = 3_600_000;
/// Upper bound of the grace period before the platform kills a stopping process, in seconds.
const STOP_GRACE_S_MAX: f64 = 3_600.0;
/// Time between the end of the wait for requests in flight
/// and the time at which the platform kills the process, in milliseconds.
/// The process notifies its peers during this time; the margin also allows for a slow VM.
const STOP_MARGIN_MS: u64 = 700;
/// Upper bound of the configured probe rate, in probes per second and target.
const PROBES_PER_S_MAX: u64 = 10_000;

/// Upper bound of the configured overshoot ratio for cold targets.
const COLD_OVERSHOOT_MAX: f64 = 100.0;
/// Upper bound of the configured request slack for cold targets.
const COLD_SLACK_REQUESTS_MAX: u64 = 1_000_000;

/// Minimum severity of logged events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Logs only events that require action by an operator.
    Error,
    /// Additionally logs events that may lead to a failure.
    Warn,
    /// Additionally logs one line for each state change and each failed request.
    Info,
    /// Additionally logs one line for each request.
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
    /// Name of this VM, unique in the fleet.
    pub vm: VmName,
    /// Data hall that this VM is located in.
    pub data_hall: DataHallName,
    /// Names of all data halls with entry VMs; empty if unknown.
    /// Bounds the number of processes that a process assumes until it knows the others.
    pub data_halls: Vec<DataHallName>,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other entry processes.
    pub peer_address: SocketAddr,
    /// Listen address for the operators' program. Callers must not be able to reach it.
    pub control_address: SocketAddr,
    /// Listen address that serves `/live`, `/ready` and `/metrics`.
    pub observe_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Peer addresses of other entry processes, in addition to those in the platform's VM list.
    pub peers: Vec<SocketAddr>,
    /// Listen address for datagrams of other entry processes.
    /// Without a datagram address, the process sends no datagrams and decides without its peers.
    pub datagram_address: Option<SocketAddr>,
    /// Source address of connections to targets; `None` lets the system choose.
    /// For VMs with several addresses, of which the targets accept one.
    pub target_source_address: Option<IpAddr>,
    /// Whether the whole fleet starts for the first time. During a first start no callers are
    /// served yet, so most processes can wait for the few that read the platform's documents.
    pub is_first_start: bool,
    /// Number of CPUs that this VM may use.
    /// Fleet-wide work is assigned to VMs with more CPUs.
    pub processor_share: Capacity,
    /// Number of worker threads; 0 uses one per CPU.
    pub worker_threads: u64,
    /// Time for which a stopping process keeps accepting requests after `/ready` has begun to fail,
    /// in milliseconds. This delay lets the platform's load balancer detect the change.
    pub stop_readiness_lag_ms: u64,
    /// Maximum time for which a stopping process waits for requests in flight, in milliseconds.
    pub stop_bound_ms: u64,
    /// Time between the platform's stop signal and its kill, in milliseconds. The wait for requests
    /// in flight ends before the kill. `None` if the platform never kills a stopping process.
    pub stop_grace_ms: Option<u64>,
    /// Upper limit of the platform for retries, in percent of requests.
    /// This limit overrides the retry budget of the configuration.
    pub retry_percent_max: u64,
    /// Upper limit of the platform for probes, per second and target.
    /// This limit overrides the measuring budget of the configuration.
    pub probes_per_target_s_max: u64,
    /// Factor by which the requests to a cold target may exceed the target's cold rate, in percent.
    /// The platform tolerates the cold rate times this factor
    /// in any second, plus [`Settings::cold_slack_requests`].
    pub cold_overshoot_percent: u64,
    /// Number of requests to a cold target that the platform tolerates
    /// in any second above the limit from [`Settings::cold_overshoot_percent`].
    pub cold_slack_requests: u64,
    /// Whether the callers of a kind who ask for less are served first when requests wait.
    /// Callers who share an address, such as a proxy, count as one caller unless organisations are
    /// configured.
    pub fair_callers: bool,
    /// Minimum severity of logged events.
    pub log_level: LogLevel,
}

impl Settings {
    /// Parses settings from YAML; returns all mistakes if the text is invalid.
    pub fn parse(text: &str) -> Result<Self, Mistakes> {
        parse(text, "")
    }

    /// Returns how long a stopping process waits for requests
    /// in flight after it has stopped accepting callers.
    pub fn stop_wait(&self) -> Duration {
        let wait_before_kill_ms = self.stop_grace_ms.map(|grace_ms| {
            grace_ms.saturating_sub(self.stop_readiness_lag_ms).saturating_sub(STOP_MARGIN_MS)
        });
        let wait_ms =
            wait_before_kill_ms.map_or(self.stop_bound_ms, |ms| ms.min(self.stop_bound_ms));
        Duration::from_millis(wait_ms)
    }
}

impl Decode for Settings {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let vm = map.required("vm");
        let data_hall = map.required("data_hall");
        let data_halls = map.value_or("data_halls", Vec::new());
        let caller_address = map.required("caller_address");
        let peer_address = map.required("peer_address");
        let control_address = map.required("control_address");
        let observe_address = map.required("observe_address");
        let platform_address = map.required("platform_address");
        let peers = map.value_or("peers", Vec::new());
        let datagram_address = map.optional("datagram_address");
        let target_source_address = map.optional("target_source_address");
        let is_first_start = map.value_or("is_first_start", false);
        let processor_share = map.value_or("processor_share", Capacity::default());
        let worker_threads = map.number_or("worker_threads", 0..=1_024, 0);
        let stop_readiness_lag_ms = map.number_or("stop_readiness_lag_ms", 0..=STOP_MS_MAX, 3_000);
        let stop_bound_ms = map.number_or("stop_bound_ms", 0..=STOP_MS_MAX, 60_000);
        let stop_grace_ms = map.optional_decimal("stop_grace_s", 0.0..=STOP_GRACE_S_MAX, 1_000.0);
        let retry_percent_max = map.optional_decimal("retry_ratio_max", 0.0..=1.0, 100.0);
        let probes_per_target_s_max =
            map.number_or("probes_per_target_s_max", 0..=PROBES_PER_S_MAX, PROBES_PER_S_MAX);
        let cold_overshoot_percent =
            map.optional_decimal("cold_overshoot_ratio", 1.0..=COLD_OVERSHOOT_MAX, 100.0);
        let cold_slack_requests =
            map.number_or("cold_slack_requests", 0..=COLD_SLACK_REQUESTS_MAX, 0);
        let fair_callers = map.value_or("fair_callers", false);
        let log_level = map.value_or("log_level", LogLevel::Info);
        map.finish();
        Some(Self {
            vm: vm?,
            data_hall: data_hall?,
            data_halls: data_halls?,
            caller_address: caller_address?,
            peer_address: peer_address?,
            control_address: control_address?,
            observe_address: observe_address?,
            platform_address: platform_address?,
            peers: peers?,
            datagram_address: datagram_address?,
            target_source_address: target_source_address?,
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
            fair_callers: fair_callers?,
            log_level: log_level?,
        })
    }
}
