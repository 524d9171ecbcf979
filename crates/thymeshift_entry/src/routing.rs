//! Routing table: the configuration in force with the runtimes of its services and kinds.
//!
//! A new configuration replaces the table as a whole.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use metrics::Counter;
use metrics::Histogram;
use metrics::counter;
use metrics::histogram;
use parking_lot::Mutex;
use thymeshift_config::Configuration;
use thymeshift_config::Kind;
use thymeshift_config::RequestHead;
use thymeshift_dispatch::ElapsedTimeEstimator;
use thymeshift_organisations::KeyRing;
use thymeshift_telemetry::metric;
use thymeshift_types::DataHallName;
use thymeshift_types::Outcome;
use thymeshift_types::ServiceName;
use thymeshift_wire::KindDump;

use crate::service::ServiceContext;
use crate::service::ServiceRuntime;

/// Number of answers over which the moving average of the answer length is taken.
const ANSWERS_AVERAGED: u64 = 8;

/// Counter that updates a metric and can also be read, which state dumps need.
pub(crate) struct ReadableCounter {
    count: AtomicU64,
    metric: Counter,
}

impl ReadableCounter {
    fn new(metric: Counter) -> Self {
        Self { count: AtomicU64::new(0), metric }
    }

    pub(crate) fn add_one(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.metric.increment(1);
    }

    pub(crate) fn get(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// Request metrics of one kind since the process started.
pub(crate) struct KindMetrics {
    pub(crate) accepted: AtomicU64,
    pub(crate) answered: ReadableCounter,
    not_run: ReadableCounter,
    unknown: ReadableCounter,
    failed: ReadableCounter,
    pub(crate) retries: ReadableCounter,
    pub(crate) waited: ReadableCounter,
    pub(crate) duration_seconds: Histogram,
    /// Moving average of the answer length in bytes; 0 before the first answer.
    answer_bytes: AtomicU64,
    /// Estimates the time since a caller's first attempt from the timeout in the request.
    pub(crate) elapsed_time_estimator: Mutex<ElapsedTimeEstimator>,
}

impl KindMetrics {
    fn new(kind: &Kind) -> Arc<Self> {
        let name = kind.name.as_str().to_owned();
        let result = |result: &'static str| {
            ReadableCounter::new(
                counter!(metric::REQUESTS, "kind" => name.clone(), "result" => result),
            )
        };
        Arc::new(Self {
            accepted: AtomicU64::new(0),
            answered: result("answered"),
            not_run: result("not_run"),
            unknown: result("unknown"),
            failed: result("failed"),
            retries: ReadableCounter::new(counter!(metric::RETRIES, "kind" => name.clone())),
            waited: ReadableCounter::new(counter!(metric::REQUESTS_WAITED, "kind" => name.clone())),
            duration_seconds: histogram!(metric::REQUEST_SECONDS, "kind" => name.clone()),
            answer_bytes: AtomicU64::new(0),
            elapsed_time_estimator: Mutex::default(),
        })
    }

    /// Adds the length of a forwarded answer to the moving average.
    pub(crate) fn record_answer_bytes(&self, bytes: u64) {
        let previous = self.answer_bytes.load(Ordering::Relaxed);
        let mean = if previous == 0 {
            bytes
        } else {
            previous - previous / ANSWERS_AVERAGED + bytes / ANSWERS_AVERAGED
        };
        self.answer_bytes.store(mean, Ordering::Relaxed);
    }

    /// Returns the average answer length in KiB, rounded up; 0 before the first answer.
    pub(crate) fn answer_kib(&self) -> u32 {
        let kib = self.answer_bytes.load(Ordering::Relaxed).div_ceil(1_024);
        u32::try_from(kib).unwrap_or(u32::MAX)
    }

    /// Returns the counter of failed requests with this outcome.
    pub(crate) fn failure_counter(&self, outcome: Outcome) -> &ReadableCounter {
        match outcome {
            Outcome::NotRun => &self.not_run,
            Outcome::Unknown => &self.unknown,
            Outcome::Failed => &self.failed,
        }
    }
}

/// Runtime of one kind: its settings, services and metrics.
pub(crate) struct KindRuntime {
    pub(crate) kind: Kind,
    pub(crate) service: Arc<ServiceRuntime>,
    /// Services of the kind's traffic split.
    split_services: Vec<Arc<ServiceRuntime>>,
    pub(crate) metrics: Arc<KindMetrics>,
}

impl KindRuntime {
    /// Returns the service that a request with the random number `draw` is routed to.
    pub(crate) fn service_for(&self, draw: u64) -> &Arc<ServiceRuntime> {
        let name = self.kind.service_for(draw);
        self.split_services.iter().find(|part| part.name() == name).unwrap_or(&self.service)
    }

    fn dump(&self) -> KindDump {
        let metrics = &self.metrics;
        KindDump {
            name: self.kind.name.clone(),
            service: self.kind.service.clone(),
            priority: self.kind.priority,
            accepted: metrics.accepted.load(Ordering::Relaxed),
            answered: metrics.answered.get(),
            not_run: metrics.not_run.get(),
            unknown: metrics.unknown.get(),
            failed: metrics.failed.get(),
            retries: metrics.retries.get(),
            waited: metrics.waited.get(),
        }
    }
}

/// Configuration in force with the runtimes that requests are routed to.
pub(crate) struct Routing {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) services: Vec<Arc<ServiceRuntime>>,
    kinds: Vec<Arc<KindRuntime>>,
    /// API keys of all organisations.
    pub(crate) keys: Arc<KeyRing>,
}

impl Routing {
    /// Builds the routing of a configuration.
    /// Service runtimes, metrics and an unchanged key ring are reused from the routing `previous`.
    pub(crate) fn new(
        configuration: Configuration,
        previous: Option<&Self>,
        own_data_hall: &DataHallName,
        context: &ServiceContext,
    ) -> Self {
        let configuration = Arc::new(configuration);
        let find = |name: &str| {
            let mut known = previous.into_iter().flat_map(|previous| previous.services.iter());
            known.find(|service| service.name().as_str() == name).cloned()
        };
        let mut services = Vec::new();
        for service in &configuration.services {
            let runtime = match find(service.name.as_str()) {
                Some(known) => {
                    known.update(&configuration, service, own_data_hall);
                    known
                }
                None => ServiceRuntime::new(&configuration, service, own_data_hall, context),
            };
            services.push(runtime);
        }
        let kinds = configuration.kinds.iter();
        let kinds = kinds.filter_map(|kind| kind_runtime(kind, &services, previous)).collect();
        let known = previous.map(|previous| &previous.keys);
        let known = known.filter(|known| *known.organisations() == configuration.organisations);
        let keys = known.cloned();
        let keys =
            keys.unwrap_or_else(|| Arc::new(KeyRing::new(configuration.organisations.clone())));
        Self { configuration, services, kinds, keys }
    }

    pub(crate) fn kind_of(&self, head: &impl RequestHead) -> Option<&Arc<KindRuntime>> {
        self.configuration.kind_of(head).and_then(|index| self.kinds.get(index))
    }

    pub(crate) fn service(&self, name: &str) -> Option<&Arc<ServiceRuntime>> {
        self.services.iter().find(|service| service.name().as_str() == name)
    }

    pub(crate) fn dump_kinds(&self) -> Vec<KindDump> {
        self.kinds.iter().map(|kind| kind.dump()).collect()
    }
}

/// Builds the runtime of a kind, or returns `None` if its service does not exist.
/// The configuration check ensures that the service of each kind exists.
fn kind_runtime(
    kind: &Kind,
    services: &[Arc<ServiceRuntime>],
    previous: Option<&Routing>,
) -> Option<Arc<KindRuntime>> {
    let find = |name: &ServiceName| services.iter().find(|service| service.name() == name).cloned();
    let service = find(&kind.service)?;
    let split_services = kind.split.iter().filter_map(|part| find(&part.service)).collect();
    let mut known = previous.into_iter().flat_map(|previous| previous.kinds.iter());
    let known = known.find(|known| known.kind.name == kind.name);
    let metrics = known.map_or_else(|| KindMetrics::new(kind), |known| known.metrics.clone());
    Some(Arc::new(KindRuntime { kind: kind.clone(), service, split_services, metrics }))
}
