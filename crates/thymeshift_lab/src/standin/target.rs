//! Stand-in for a target, with slots, a queue, a service time, load reports and faults.
//!
//! Data port:
//! * Any request occupies a slot for a service time and is answered with [`expected_answer`].
//! * `bytes=N` in the query sets the answer's length, `nonce=X` the request's name in the ledger.
//! * `/probe` is answered after the configured probe time.
//!
//! Control port:
//! * `PUT /behaviour` with a [`Behaviour`] as JSON replaces the behaviour.
//! * `PUT /cuts` with source addresses and modes cuts these processes off from the data port.
//! * `GET /ledger` returns the ledger of the requests that the target ran.
//! * `PUT /limit` sets the limit that answers state, in requests per second, or null for no limit.
//! * `GET /limit` returns the maximum number of requests in a window over the allowed number.
//! * `GET /statements` returns the violations of the target's statements, by process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp1;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::ReportedState;
use thymeshift_dispatch::USUAL_PACE_PERCENT;
use thymeshift_types::Incarnation;
use thymeshift_wire::headers;
use thymeshift_wire::load_header;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::standin::Behaviour;
use crate::standin::Fault;
use crate::standin::Ledger;
use crate::standin::LinkCuts;
use crate::standin::ReportMode;
use crate::standin::answer::expected_answer;
use crate::standin::exact_sleep::exact_sleep;
use crate::standin::platform::bad_request;
use crate::standin::platform::query_number;
use crate::standin::platform::query_value;
use crate::standin::platform::status_response;
use crate::standin::platform::text_response;
use crate::standin::server::ServerHandle;
use crate::standin::server::serve;
use crate::standin::slots::Slots;
use crate::standin::stated_limit::StatedLimit;
use crate::standin::statements::CALLED_PROCESS_HEADER;
use crate::standin::statements::StatementLog;

/// Length of an answer if the request's query sets none, in bytes.
const ANSWER_BYTES: u64 = 64;
/// Maximum length of an answer, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 * 1_024 * 1_024;
/// Time after the first half of a truncated answer at which its connection is closed.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
/// Interval between two checks whether a frozen or stalled target may continue.
const FROZEN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Settings of a target that stay fixed while the target runs.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue_max: u32,
    /// Mean service time, in microseconds.
    pub service_us: u64,
    /// Whether service times are exponentially distributed instead of constant.
    pub has_random_service_time: bool,
    /// Seed of the random service times and stalls.
    pub seed: u64,
    /// Duration of a probe, in microseconds.
    pub probe_us: u64,
    /// One-way network delay between the entry VMs and the target, in microseconds.
    pub one_way_us: u64,
    /// Incarnation that load reports state.
    pub incarnation: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            slots: 3,
            queue_max: 100,
            service_us: 8_000,
            has_random_service_time: true,
            seed: 1,
            probe_us: 6_000,
            one_way_us: 0,
            incarnation: 1,
        }
    }
}

/// Target with its current behaviour and the records of its requests.
pub struct Target {
    settings: TargetSettings,
    behaviour: Mutex<Behaviour>,
    /// Record of the requests that the target ran.
    pub ledger: Ledger,
    stated_limit: StatedLimit,
    statements: StatementLog,
    /// Entry processes that are cut off from the target.
    cuts: Arc<LinkCuts>,
    slots: Arc<Slots>,
    rng: Mutex<SmallRng>,
    started: Instant,
    stall_until: Mutex<Instant>,
}

type Answer = Response<UnsyncBoxBody<Bytes, io::Error>>;

impl Target {
    /// Creates a target with the default behaviour, which has no fault.
    pub fn new(settings: TargetSettings) -> Arc<Self> {
        let rng = SmallRng::seed_from_u64(settings.seed);
        Arc::new(Self {
            slots: Slots::new(settings.slots, settings.queue_max),
            settings,
            behaviour: Mutex::default(),
            ledger: Ledger::default(),
            stated_limit: StatedLimit::default(),
            statements: StatementLog::default(),
            cuts: Arc::default(),
            rng: Mutex::new(rng),
            started: Instant::now(),
            stall_until: Mutex::new(Instant::now()),
        })
    }

    /// Serves on `address`, where port 0 selects a free port, and on a free control port.
    pub async fn start(self: &Arc<Self>, address: SocketAddr) -> io::Result<ServerHandle> {
        let data = TcpListener::bind(address).await?;
        let control = TcpListener::bind((address.ip(), 0)).await?;
        let (address, control_address) = (data.local_addr()?, control.local_addr()?);
        let mut tasks = JoinSet::new();
        let target = self.clone();
        tasks.spawn(serve(data, self.cuts.clone(), move |request| target.clone().answer(request)));
        let target = self.clone();
        tasks.spawn(serve(control, Arc::default(), move |request| {
            target.clone().control(request).map(Some)
        }));
        tasks.spawn(self.clone().run_random_stalls());
        Ok(ServerHandle { address, control: control_address, _tasks: tasks })
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock() = behaviour;
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().clone()
    }

    async fn control(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        match (&parts.method, parts.uri.path()) {
            (&Method::PUT, "/behaviour") => match serde_json::from_slice(&body.to_bytes()) {
                Ok(behaviour) => {
                    self.set_behaviour(behaviour);
                    status_response(StatusCode::OK)
                }
                Err(error) => bad_request(&error),
            },
            (&Method::PUT, "/cuts") => match serde_json::from_slice(&body.to_bytes()) {
                Ok(sources) => {
                    self.cuts.set(sources);
                    status_response(StatusCode::OK)
                }
                Err(error) => bad_request(&error),
            },
            (&Method::PUT, "/limit") => match serde_json::from_slice(&body.to_bytes()) {
                Ok(limit_per_s) => {
                    self.stated_limit.set_limit(limit_per_s);
                    status_response(StatusCode::OK)
                }
                Err(error) => bad_request(&error),
            },
            (&Method::GET, "/limit") => text_response(self.stated_limit.worst_window().to_string()),
            (&Method::GET, "/statements") => {
                text_response(serde_json::to_vec(&self.statements.violations()).unwrap_or_default())
            }
            (&Method::GET, "/ledger") => {
                text_response(serde_json::to_vec(&self.ledger.entries()).unwrap_or_default())
            }
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Option<Answer> {
        let one_way = Duration::from_micros(self.settings.one_way_us);
        exact_sleep(one_way).await;
        let (parts, body) = request.into_parts();
        let attempt = parts.headers.get(&headers::ATTEMPT).cloned();
        let process =
            parts.headers.get(&CALLED_PROCESS_HEADER).and_then(|value| value.to_str().ok());
        let process = process.map(str::to_owned);
        let mut answer = if parts.uri.path() == "/probe" {
            self.probe().await
        } else {
            self.stated_limit.record_request();
            if let Some(process) = &process {
                self.statements.record_request(process);
            }
            let body = body.collect().await.ok()?;
            let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
            self.run(path, &body.to_bytes()).await?
        };
        self.add_headers(answer.headers_mut(), attempt);
        if let Some(process) = &process {
            self.record_statements(process, &mut answer);
        }
        exact_sleep(one_way).await;
        Some(answer)
    }

    /// Records the statements of an answer, and adds a `retry-after` header to a 503 answer if the
    /// target's behaviour asks for a backoff.
    fn record_statements(&self, process: &str, answer: &mut Answer) {
        let behaviour = self.behaviour();
        if behaviour.is_draining {
            self.statements.record_leaving(process);
        }
        let is_refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(backoff_s) = behaviour.backoff_s.filter(|_| is_refused) {
            answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(backoff_s));
            self.statements.record_backoff(process, Duration::from_secs(backoff_s));
        }
    }

    async fn probe(&self) -> Answer {
        exact_sleep(Duration::from_micros(self.settings.probe_us)).await;
        boxed(text_response("probed"))
    }

    /// Runs a request. Returns `None` if the connection is to be closed without an answer.
    async fn run(&self, path: &str, body: &[u8]) -> Option<Answer> {
        let behaviour = self.behaviour();
        if behaviour.fault == Fault::Failing {
            return Some(boxed(status_response(StatusCode::INTERNAL_SERVER_ERROR)));
        }
        let slot =
            if behaviour.fault == Fault::Shedding { None } else { self.slots.acquire().await };
        let Some(slot) = slot else {
            exact_sleep(Duration::from_millis(behaviour.late_ms)).await;
            return Some(boxed(status_response(StatusCode::SERVICE_UNAVAILABLE)));
        };
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let nonce = query_value(query, "nonce").unwrap_or_default();
        self.ledger.begin(nonce);
        self.simulate_work().await;
        self.ledger.finish(nonce);
        drop(slot);
        let behaviour = self.behaviour();
        exact_sleep(Duration::from_millis(behaviour.late_ms)).await;
        let length = query_number(query, "bytes").unwrap_or(ANSWER_BYTES).min(ANSWER_BYTES_MAX);
        let bytes = expected_answer(path, body, usize::try_from(length).unwrap_or(0));
        match behaviour.fault {
            Fault::Closing => None,
            Fault::Cutting => Some(truncated(bytes)),
            _ => Some(boxed(text_response(bytes))),
        }
    }

    async fn simulate_work(&self) {
        let behaviour = self.behaviour();
        while self.behaviour.lock().fault == Fault::Frozen
            || Instant::now() < *self.stall_until.lock()
        {
            sleep(FROZEN_CHECK_INTERVAL).await;
        }
        let is_cold = self.started.elapsed() < Duration::from_millis(behaviour.cold_ms);
        let factor = if is_cold { behaviour.cold_slowness } else { 1.0 } * behaviour.slowness;
        let variation =
            if self.settings.has_random_service_time { self.exponential() } else { 1.0 };
        exact_sleep(Duration::from_micros(self.settings.service_us).mul_f64(factor * variation))
            .await;
    }

    fn exponential(&self) -> f64 {
        let sample: f64 = Exp1.sample(&mut *self.rng.lock());
        sample
    }

    /// Stalls the target at random times, as a noisy neighbour does.
    async fn run_random_stalls(self: Arc<Self>) {
        loop {
            let behaviour = self.behaviour();
            if behaviour.stall_every_ms == 0 {
                sleep(Duration::from_millis(20)).await;
                continue;
            }
            let gap = Duration::from_millis(behaviour.stall_every_ms);
            let spread = self.rng.lock().random_range(0.5..1.5);
            sleep(gap.mul_f64(spread)).await;
            *self.stall_until.lock() = Instant::now() + Duration::from_millis(behaviour.stall_ms);
        }
    }

    /// Adds the attempt's identity, the stated limit and the load report to an answer's headers.
    fn add_headers(&self, map: &mut HeaderMap, attempt: Option<HeaderValue>) {
        let behaviour = self.behaviour();
        if let Some(attempt) = attempt {
            let wrong_attempt = HeaderValue::from_static("0000000000000000");
            map.insert(
                headers::ATTEMPT,
                if behaviour.fault == Fault::Confusing { wrong_attempt } else { attempt },
            );
        }
        let limit =
            self.stated_limit.limit_per_s().map(|limit| HeaderValue::try_from(limit.to_string()));
        if let Some(Ok(limit)) = limit {
            map.insert(headers::RATE_LIMIT, limit);
        }
        let report = match behaviour.reports {
            ReportMode::None => return,
            ReportMode::True => self.slots.report(Duration::ZERO),
            ReportMode::Stale => self.slots.report(Duration::from_millis(behaviour.stale_ms)),
            ReportMode::Idle => LoadReport {
                running: 0,
                queued: 0,
                incarnation: None,
                state: ReportedState::Serving,
                pace_percent: USUAL_PACE_PERCENT,
                cold_for_ms: None,
            },
        };
        let state =
            if behaviour.is_draining { ReportedState::Draining } else { ReportedState::Serving };
        let incarnation = Some(Incarnation::new(self.settings.incarnation));
        map.insert(headers::LOAD, load_header::write(&LoadReport { state, incarnation, ..report }));
    }
}

fn boxed(response: Response<Full<Bytes>>) -> Answer {
    response.map(|body| body.map_err(|never| match never {}).boxed_unsync())
}

/// Returns an answer that sends the first half of the bytes and then closes the connection.
fn truncated(mut bytes: Vec<u8>) -> Answer {
    let length = bytes.len();
    bytes.truncate(length / 2);
    let first = stream::iter([Ok(Frame::data(Bytes::from(bytes)))]);
    let broken = stream::once(async {
        sleep(TRUNCATION_DELAY).await;
        Err(io::ErrorKind::ConnectionAborted.into())
    });
    let body = StreamBody::new(first.chain(broken));
    let mut response = Response::new(body.boxed_unsync());
    response.headers_mut().insert(http::header::CONTENT_LENGTH, length.into());
    response
}
