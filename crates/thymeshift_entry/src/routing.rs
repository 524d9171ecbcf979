//! Routing table: the configuration in force with the runtimes of its services and kinds.
//!
//! A new configuration replaces the table as a whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use derive_more::Display;
use metrics::Counter;
use metrics::Histogram;
use metrics::counter;
use metrics::histogram;
use parking_lot::Mutex;
use thymeshift_config::Configuration;
use thymeshift_config::Kind;
use thymeshift_config::RequestHead;
use thymeshift_dispatch::CrossingCause;
use thymeshift_dispatch::ElapsedTimeEstimator;
use thymeshift_dispatch::LocalityInput;
use thymeshift_dispatch::local_wait;
use thymeshift_organisations::KeyRing;
use thymeshift_telemetry::metric;
use thymeshift_types::DataHallName;
use thymeshift_types::KindName;
use thymeshift_types::Outcome;
use thymeshift_types::ServiceName;
use thymeshift_types::Timestamp;
use thymeshift_wire::KindDump;

use crate::service::HallCrossing;
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

/// How a request that asked for a target with a local wait ended its search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum LocalWaitResult {
    /// The request got a target in its own data hall.
    #[display("home")]
    Home,
    /// The request got a target in another data hall.
    #[display("crossed")]
    Crossed,
    /// The request got no target.
    #[display("refused")]
    Refused,
}

/// Counters of the requests of one kind with a local wait, by their result.
struct LocalWaitCounters {
    home: Counter,
    crossed: Counter,
    refused: Counter,
}

impl LocalWaitCounters {
    fn new(kind: &str) -> Self {
        let counter = |result: LocalWaitResult| counter!(metric::LOCAL_WAITS, "kind" => kind.to_owned(), "result" => result.to_string());
        Self {
            home: counter(LocalWaitResult::Home),
            crossed: counter(LocalWaitResult::Crossed),
            refused: counter(LocalWaitResult::Refused),
        }
    }

    fn of(&self, result: LocalWaitResult) -> &Counter {
        match result {
            LocalWaitResult::Home => &self.home,
            LocalWaitResult::Crossed => &self.crossed,
            LocalWaitResult::Refused => &self.refused,
        }
    }
}

/// Counters of the answer bytes of one kind that came from another data hall, by cause.
struct HallCrossingCounters {
    local_wait_ended: Counter,
    no_home_target: Counter,
    no_wait: Counter,
}

impl HallCrossingCounters {
    fn new(kind: &str) -> Self {
        let counter = |cause: CrossingCause| {
            counter!(
                metric::HALL_CROSSING_BYTES,
                "kind" => kind.to_owned(), "cause" => cause.to_string()
            )
        };
        Self {
            local_wait_ended: counter(CrossingCause::LocalWaitEnded),
            no_home_target: counter(CrossingCause::NoHomeTarget),
            no_wait: counter(CrossingCause::NoWait),
        }
    }

    fn of(&self, cause: CrossingCause) -> &Counter {
        match cause {
            CrossingCause::LocalWaitEnded => &self.local_wait_ended,
            CrossingCause::NoHomeTarget => &self.no_home_target,
            CrossingCause::NoWait => &self.no_wait,
        }
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
    /// Moving average of the time from sending an attempt to its answer, in microseconds;
    /// 0 before the first answer.
    attempt_us: AtomicU64,
    local_waits: LocalWaitCounters,
    hall_crossing_bytes: HallCrossingCounters,
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
            attempt_us: AtomicU64::new(0),
            local_waits: LocalWaitCounters::new(&name),
            hall_crossing_bytes: HallCrossingCounters::new(&name),
            elapsed_time_estimator: Mutex::default(),
        })
    }

    /// Adds the length of a forwarded answer to the moving average.
    pub(crate) fn record_answer_bytes(&self, bytes: u64) {
        update_mean(&self.answer_bytes, bytes);
    }

    /// Adds the time of an answered attempt to the moving average.
    pub(crate) fn record_attempt_time(&self, taken: Duration) {
        update_mean(&self.attempt_us, taken.as_micros() as u64);
    }

    /// Counts the bytes of an answer that came from another data hall.
    pub(crate) fn record_hall_crossing(&self, cause: CrossingCause, bytes: u64) {
        self.hall_crossing_bytes.of(cause).increment(bytes);
    }

    /// Counts a request that asked for a target with a local wait.
    pub(crate) fn record_local_wait(&self, result: LocalWaitResult) {
        self.local_waits.of(result).increment(1);
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

/// Adds a value to a moving average over [`ANSWERS_AVERAGED`] answers.
fn update_mean(mean: &AtomicU64, value: u64) {
    let previous = mean.load(Ordering::Relaxed);
    let next = if previous == 0 {
        value
    } else {
        previous - previous / ANSWERS_AVERAGED + value / ANSWERS_AVERAGED
    };
    mean.store(next, Ordering::Relaxed);
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

    /// Returns how long a request that first asks for a target waits for one in this data hall.
    /// `objective` is the end of its latency objective, if its kind has one.
    pub(crate) fn local_wait(
        &self,
        now: Timestamp,
        objective: Timestamp,
        wait_until: Timestamp,
    ) -> Duration {
        let HallCrossing { us_per_kib, round_trip } = self.service.hall_crossing();
        let attempt = Duration::from_micros(self.metrics.attempt_us.load(Ordering::Relaxed));
        local_wait(LocalityInput {
            now,
            objective: (self.kind.objective_ms > 0).then_some(objective),
            wait_until,
            expected: attempt + round_trip,
            answer_kib: self.metrics.answer_kib(),
            us_per_kib,
        })
    }

    /// Returns the local wait of a request that arrives now.
    pub(crate) fn current_local_wait(&self, now: Timestamp) -> Duration {
        let after = |millis| now + Duration::from_millis(millis);
        let Kind { objective_ms, wait_max_ms, deadline_ms, .. } = self.kind;
        self.local_wait(now, after(objective_ms), after(wait_max_ms.min(deadline_ms)))
    }

    fn dump(&self, now: Timestamp) -> KindDump {
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
            local_wait_ms: self.current_local_wait(now).as_millis() as u64,
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
        let known = previous.map_or(&[][..], |previous| &previous.kinds);
        let kinds = kind_runtimes(&configuration.kinds, &services, known);
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

    pub(crate) fn dump_kinds(&self, now: Timestamp) -> Vec<KindDump> {
        self.kinds.iter().map(|kind| kind.dump(now)).collect()
    }
}

/// Builds the runtimes of a configuration's kinds. Metrics are reused from the previous runtimes, and so are
/// runtimes of which nothing has changed.
///
/// A configuration may have thousands of kinds, and is built anew for each change of a target.
fn kind_runtimes(
    kinds: &[Kind],
    services: &[Arc<ServiceRuntime>],
    previous: &[Arc<KindRuntime>],
) -> Vec<Arc<KindRuntime>> {
    let services: HashMap<&ServiceName, &Arc<ServiceRuntime>> =
        services.iter().map(|service| (service.name(), service)).collect();
    let previous: HashMap<&KindName, &Arc<KindRuntime>> =
        previous.iter().map(|known| (&known.kind.name, known)).collect();
    let runtime = |kind| kind_runtime(kind, &services, &previous);
    kinds.iter().filter_map(runtime).collect()
}

/// Returns the runtime of a kind, or `None` if its service does not exist.
/// The configuration check ensures that the service of each kind exists.
fn kind_runtime(
    kind: &Kind,
    services: &HashMap<&ServiceName, &Arc<ServiceRuntime>>,
    previous: &HashMap<&KindName, &Arc<KindRuntime>>,
) -> Option<Arc<KindRuntime>> {
    let find = |name: &ServiceName| services.get(name).copied();
    let service = find(&kind.service)?;
    let split_services = kind.split.iter().filter_map(|part| find(&part.service));
    let known = previous.get(&kind.name).copied();
    let is_same = |known: &&Arc<KindRuntime>| {
        known.kind == *kind
            && Arc::ptr_eq(&known.service, service)
            && known
                .split_services
                .iter()
                .map(Arc::as_ptr)
                .eq(split_services.clone().map(Arc::as_ptr))
    };
    if let Some(same) = known.filter(is_same) {
        return Some(same.clone());
    }
    let metrics = known.map_or_else(|| KindMetrics::new(kind), |known| known.metrics.clone());
    let (service, split_services) = (service.clone(), split_services.cloned().collect());
    Some(Arc::new(KindRuntime { kind: kind.clone(), service, split_services, metrics }))
}
