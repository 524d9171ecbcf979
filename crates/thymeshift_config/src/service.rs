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
use crate::decode::decode_keyword;
use crate::tree::Node;

/// One second in microseconds: a budget above this would be more than a target's slot.
const SECOND_US: u64 = 1_000_000;

/// Longest time for which a target may be cold, in milliseconds.
const COLD_FOR_MS_MAX: u64 = 600_000;
/// Largest rate of requests that a cold target may be said to bear, a second.
const COLD_PER_S_MAX: f64 = 1_000_000.0;

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StrategyName {
    /// Any target, evenly.
    #[display("random")]
    Random,
    /// One after the other.
    #[display("round_robin")]
    RoundRobin,
    /// The target with the fewest requests in flight from this VM.
    #[display("least_in_flight")]
    LeastInFlight,
    /// The better of two random targets by own requests in flight.
    #[display("two_choices")]
    TwoChoices,
    /// The better of two random targets by latency seen and own requests in flight.
    #[display("latency_two_choices")]
    LatencyTwoChoices,
    /// The target with the smallest expected time, from reports, age, own requests in
    /// flight, latency seen and distance.
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

/// Whether a target may receive new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It may.
    #[display("serving")]
    Serving,
    /// It may not, and this incarnation never will again.
    #[display("leaving")]
    Leaving,
}

decode_keyword!(TargetState { "serving" => Serving, "leaving" => Leaving });

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Name, unique in its service.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data hall it stands in.
    pub data_hall: DataHallName,
    /// Raised each time it starts anew.
    pub incarnation: Incarnation,
    /// Whether it may receive new work.
    pub state: TargetState,
    /// How long it works slower than usual after it was listed, in milliseconds; none if that is
    /// not told.
    pub cold_for_ms: Option<u64>,
}

/// How a service's targets may be probed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Probe {
    /// Path of the probe request.
    pub path: String,
    /// Target time that one probe costs, in microseconds.
    pub cost_us: u64,
    /// Longest wait for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// When a failing target is set aside for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Ejection {
    /// Failures in a row that eject.
    pub failures: u64,
    /// First time aside, in milliseconds; it doubles with each ejection in a row.
    pub base_ms: u64,
    /// Largest share of targets set aside at one time, in percent (panic bound).
    pub share_max_percent: u64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { failures: 5, base_ms: 1_000, share_max_percent: 34 }
    }
}

/// A rate of requests, exact to a thousandth of one a second. Written as requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestRate {
    per_1000_s: u64,
}

impl RequestRate {
    /// A rate of so many requests in 1,000 seconds.
    pub fn per_1000_s(requests: u64) -> Self {
        Self { per_1000_s: requests }
    }

    /// Requests in 1,000 seconds.
    pub fn in_1000_s(self) -> u64 {
        self.per_1000_s
    }
}

impl Serialize for RequestRate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.per_1000_s as f64 / 1_000.0)
    }
}

/// A group of targets that do the same work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: ServiceName,
    /// How a target is chosen.
    pub strategy: StrategyName,
    /// Requests that one target runs at a time.
    pub slots_per_target: u64,
    /// Connections that one target accepts from all VMs together.
    pub connections_per_target: u64,
    /// Longest time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long an unused connection is kept, in milliseconds.
    pub idle_connection_ms: u64,
    /// Whether a target's answer "shed" proves that the request did not run.
    pub shed_means_not_run: bool,
    /// Longest backoff that a target can ask for, in milliseconds: one that asks for ever must not
    /// be lost for ever.
    pub backoff_max_ms: u64,
    /// Target time that all VMs together may spend measuring one target, in
    /// microseconds each second. 0 forbids probes.
    pub measuring_budget_us_per_s: u64,
    /// How to probe; without it nothing is probed.
    pub probe: Option<Probe>,
    /// When a failing target is set aside.
    pub ejection: Ejection,
    /// Time over which a new target is brought to its full share, in milliseconds.
    pub cold_start_ramp_ms: u64,
    /// Requests a second that a cold target bears, from all VMs together; none if that is not
    /// limited.
    pub cold_requests_per_s: Option<RequestRate>,
    /// The rate that must not be exceeded in any second, from all VMs together; worked out from
    /// the rate above and the settings, see [`crate::Configuration::capped`].
    #[serde(skip)]
    pub cold_bound_per_s: RequestRate,
    /// Retries and hedges allowed, in percent of requests.
    pub retry_budget_percent: u64,
    /// Most retries that one VM may save up.
    pub retry_reserve: u64,
    /// The targets.
    pub targets: Vec<Target>,
}

impl Target {
    /// Reads a target's fields, which may stand beside others.
    pub(crate) fn read(map: &mut MapReader<'_, '_>) -> Option<Self> {
        let name = map.required("name");
        let address = map.required("address");
        let data_hall = map.required("data_hall");
        let incarnation = map.value_or("incarnation", Incarnation::new(1));
        let state = map.value_or("state", TargetState::Serving);
        let cold_for_ms = map.optional_number("cold_for_ms", 0..=COLD_FOR_MS_MAX);
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
        let base = Self::default();
        let mut map = MapReader::new(node, path, mistakes)?;
        let failures = map.number_or("failures", 1..=1_000, base.failures);
        let base_ms = map.number_or("base_ms", 1..=600_000, base.base_ms);
        let share_max_percent = map.number_or("share_max_percent", 0..=100, base.share_max_percent);
        map.finish();
        Some(Self { failures: failures?, base_ms: base_ms?, share_max_percent: share_max_percent? })
    }
}

impl Service {
    /// Longest backoff that a target can ask for.
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
        let idle_connection_ms = map.number_or("idle_connection_ms", 1..=3_600_000, 30_000);
        let shed_means_not_run = map.value_or("shed_means_not_run", false);
        let backoff_max_ms = map.number_or("backoff_max_ms", 0..=86_400_000, 3_600_000);
        let measuring_budget_us_per_s =
            map.number_or("measuring_budget_us_per_s", 0..=SECOND_US, 0);
        let probe = map.optional("probe");
        let ejection = map.value_or("ejection", Ejection::default());
        let cold_start_ramp_ms = map.number_or("cold_start_ramp_ms", 0..=600_000, 2_000);
        let cold_requests_per_s =
            map.optional_decimal("cold_requests_per_s", 0.0..=COLD_PER_S_MAX, 1_000.0);
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
