//! Services and their targets.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;
use serde::Serializer;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;

use crate::Mistakes;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::TIME_MS_MAX;
use crate::decode::decode_keyword;
use crate::tree::Node;

/// One second in microseconds. Upper bound of measuring budgets and probe costs,
/// because a target slot provides no more time per second.
const SECOND_US: u64 = 1_000_000;

/// Upper bound of the configured rate of requests to a cold target, in requests per second.
const COLD_REQUESTS_PER_S_MAX: f64 = 1_000_000.0;

/// Load balancing strategy of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StrategyName {
    /// Chooses a target uniformly at random.
    #[display("random")]
    Random,
    /// Chooses the targets in turn.
    #[display("round_robin")]
    RoundRobin,
    /// Chooses the target with the fewest requests in flight from this VM.
    #[display("least_in_flight")]
    LeastInFlight,
    /// Chooses the better of two random targets by the requests in flight from this VM.
    #[display("two_choices")]
    TwoChoices,
    /// Chooses the better of two random targets by observed
    /// latency and the requests in flight from this VM.
    #[display("latency_two_choices")]
    LatencyTwoChoices,
    /// Chooses the target with the lowest expected response time, estimated from load reports
    /// and their age, requests in flight from this VM, observed latency and network distance.
    #[display("expected_time")]
    ExpectedTime,
}

decode_keyword!(StrategyName {
    "random" => Random,
    "round_robin" => RoundRobin,
    "least_in_flight" => LeastInFlight,
    "two_choices" => TwoChoices,
    "latency_two_choices" => LatencyTwoChoices,
    "expected_time" => ExpectedTime,
});

/// Whether a target may receive new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target may receive new requests.
    #[display("serving")]
    Serving,
    /// This incarnation of the target receives no new requests and never returns to serving.
    #[display("leaving")]
    Leaving,
}

decode_keyword!(TargetState { "serving" => Serving, "leaving" => Leaving });

/// Target (back end) of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Name of the target, unique in its service.
    pub name: TargetName,
    /// Listen address of the target.
    pub address: SocketAddr,
    /// Data hall that the target is located in.
    pub data_hall: DataHallName,
    /// Incarnation number, which increases with every restart of the target.
    pub incarnation: Incarnation,
    /// Whether the target may receive new requests.
    pub state: TargetState,
    /// Time after being listed during which the target works more slowly than usual,
    /// in milliseconds; `None` if the list does not state it.
    pub cold_for_ms: Option<u64>,
}

/// Probe configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Probe {
    /// Path of the probe request.
    pub path: String,
    /// Time that one probe costs the target, in microseconds.
    pub cost_us: u64,
    /// Maximum time to wait for the answer to a probe, in milliseconds.
    pub timeout_ms: u64,
}

/// Ejection policy for failing targets (outlier detection).
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Ejection {
    /// Number of consecutive failures after which a target is ejected.
    pub failures: u64,
    /// Duration of the first ejection, in milliseconds; doubled with each consecutive ejection.
    pub base_ms: u64,
    /// Maximum share of targets that are ejected at one time, in percent (panic threshold).
    pub share_max_percent: u64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { failures: 5, base_ms: 1_000, share_max_percent: 34 }
    }
}

/// Request rate with a resolution of 0.001 requests per second. Serialized as requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestRate {
    per_1000_s: u64,
}

impl RequestRate {
    /// Creates a rate from a number of requests per 1,000 seconds.
    pub fn per_1000_s(requests: u64) -> Self {
        Self { per_1000_s: requests }
    }

    /// Returns the rate in requests per 1,000 seconds.
    pub fn in_1000_s(self) -> u64 {
        self.per_1000_s
    }
}

impl Serialize for RequestRate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.per_1000_s as f64 / 1_000.0)
    }
}

/// Group of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name of the service, unique in the configuration.
    pub name: ServiceName,
    /// Load balancing strategy.
    pub strategy: StrategyName,
    /// Number of requests that one target runs concurrently.
    pub slots_per_target: u64,
    /// Maximum number of connections to one target from all VMs together.
    pub connections_per_target: u64,
    /// Maximum time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time for which an idle connection is kept open, in milliseconds.
    pub idle_connection_ms: u64,
    /// Whether an answer by which a target sheds a request proves that the request did not run.
    pub shed_means_not_run: bool,
    /// Maximum backoff that a target can request, in milliseconds.
    /// Without this limit, a target that requests an endless backoff would never be used again.
    pub backoff_max_ms: u64,
    /// Target time that all VMs together may spend on measuring one target,
    /// in microseconds per second. A budget of 0 disables probes.
    pub measuring_budget_us_per_s: u64,
    /// Probe configuration; without it, no probes are sent.
    pub probe: Option<Probe>,
    /// Ejection policy for failing targets.
    pub ejection: Ejection,
    /// Time over which the traffic to a new target is increased
    /// to its full share (slow start), in milliseconds.
    pub cold_start_ramp_ms: u64,
    /// Maximum rate of requests to a cold target from all VMs together,
    /// in requests per second; `None` if unlimited.
    pub cold_requests_per_s: Option<RequestRate>,
    /// Maximum rate of requests to a cold target in any second, from all VMs together.
    /// Derived from `cold_requests_per_s` and the settings by [`crate::Configuration::capped`].
    #[serde(skip)]
    pub cold_bound_per_s: RequestRate,
    /// Budget for retries and hedges, in percent of requests.
    pub retry_budget_percent: u64,
    /// Maximum number of unused retries that one VM accumulates.
    pub retry_reserve: u64,
    /// Targets of the service.
    pub targets: Vec<Target>,
}

impl Target {
    /// Reads the fields of a target from a map that may contain further fields.
    pub(crate) fn read(map: &mut MapReader<'_, '_>) -> Option<Self> {
        let name = map.required("name");
        let address = map.required("address");
        let data_hall = map.required("data_hall");
        let incarnation = map.value_or("incarnation", Incarnation::new(1));
        let state = map.value_or("state", TargetState::Serving);
        let cold_for_ms = map.optional_number("cold_for_ms", 0..=TIME_MS_MAX);
        Some(Self {
            name: name?,
            address: address?,
            data_hall: data_hall?,
            incarnation: incarnation?,
            state: state?,
            cold_for_ms: cold_for_ms?,
        })
    }
}

impl Decode for Target {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let target = Self::read(&mut map);
        map.finish();
        target
    }
}

impl Decode for Probe {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let probe_path = map.value_or("path", "/probe".to_owned());
        let cost_us = map.number("cost_us", 1..=SECOND_US);
        let timeout_ms = map.number_or("timeout_ms", 1..=60_000, 100);
        map.finish();
        Some(Self { path: probe_path?, cost_us: cost_us?, timeout_ms: timeout_ms? })
    }
}

impl Decode for Ejection {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let defaults = Self::default();
        let mut map = MapReader::new(node, path, mistakes)?;
        let failures = map.number_or("failures", 1..=1_000, defaults.failures);
        let base_ms = map.number_or("base_ms", 1..=600_000, defaults.base_ms);
        let share_max_percent =
            map.number_or("share_max_percent", 0..=100, defaults.share_max_percent);
        map.finish();
        Some(Self { failures: failures?, base_ms: base_ms?, share_max_percent: share_max_percent? })
    }
}

impl Service {
    /// Returns the maximum backoff that a target can request.
    pub fn backoff_max(&self) -> Duration {
        Duration::from_millis(self.backoff_max_ms)
    }
}

impl Decode for Service {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let name = map.required("name");
        let strategy = map.value_or("strategy", StrategyName::ExpectedTime);
        let slots_per_target = map.number_or("slots_per_target", 1..=100_000, 1);
        let connections_per_target = map.number("connections_per_target", 1..=1_000_000);
        let connect_timeout_ms = map.number_or("connect_timeout_ms", 1..=60_000, 50);
        let idle_connection_ms = map.number_or("idle_connection_ms", 1..=TIME_MS_MAX, 30_000);
        let shed_means_not_run = map.value_or("shed_means_not_run", false);
        let backoff_max_ms = map.number_or("backoff_max_ms", 0..=86_400_000, 3_600_000);
        let measuring_budget_us_per_s =
            map.number_or("measuring_budget_us_per_s", 0..=SECOND_US, 0);
        let probe = map.optional("probe");
        let ejection = map.value_or("ejection", Ejection::default());
        let cold_start_ramp_ms = map.number_or("cold_start_ramp_ms", 0..=TIME_MS_MAX, 2_000);
        let cold_requests_per_s =
            map.optional_decimal("cold_requests_per_s", 0.0..=COLD_REQUESTS_PER_S_MAX, 1_000.0);
        let retry_budget_percent = map.number_or("retry_budget_percent", 0..=100, 10);
        let retry_reserve = map.number_or("retry_reserve", 1..=1_000, 10);
        let targets = map.value_or("targets", Vec::new());
        map.finish();
        Some(Self {
            name: name?,
            strategy: strategy?,
            slots_per_target: slots_per_target?,
            connections_per_target: connections_per_target?,
            connect_timeout_ms: connect_timeout_ms?,
            idle_connection_ms: idle_connection_ms?,
            shed_means_not_run: shed_means_not_run?,
            backoff_max_ms: backoff_max_ms?,
            measuring_budget_us_per_s: measuring_budget_us_per_s?,
            probe: probe?,
            ejection: ejection?,
            cold_start_ramp_ms: cold_start_ramp_ms?,
            cold_requests_per_s: cold_requests_per_s?.map(RequestRate::per_1000_s),
            cold_bound_per_s: RequestRate::per_1000_s(cold_requests_per_s?.unwrap_or(0)),
            retry_budget_percent: retry_budget_percent?,
            retry_reserve: retry_reserve?,
            targets: targets?,
        })
    }
}
