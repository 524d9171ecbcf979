//! One request of a caller.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use http::header;
use http::request::Parts;
use http_body::Body;
use hyper::body::Incoming;
use metrics::counter;
use rand::Rng;
use spdlog::debug;
use spdlog::info;
use thymeshift_config::Limits;
use thymeshift_organisations::KeyRing;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Failure;
use thymeshift_types::Fingerprint;
use thymeshift_types::Outcome;
use thymeshift_types::Peer;
use thymeshift_types::Reason;
use thymeshift_types::Step;
use thymeshift_types::Timestamp;
use thymeshift_wire::CallContext;
use thymeshift_wire::Dialect;
use thymeshift_wire::headers;

use crate::caller::answer::AnswerBody;
use crate::caller::answer::failure_answer;
use crate::caller::fingerprint::fingerprint_of;
use crate::caller::forward::Forward;
use crate::caller::head::Head;
use crate::caller::hop::remove_hop_by_hop;
use crate::caller::read_body::read_body;
use crate::caller::suspicion::Suspicion;
use crate::organisations::Identity;
use crate::organisations::identify;
use crate::routing::KindRuntime;
use crate::shared::Shared;
use crate::target_client::BodyLimits;

/// Longest request id taken from a caller, in bytes.
const REQUEST_ID_BYTES_MAX: usize = 64;
/// When a caller may come back to a process that is starting or stopping.
const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Callers that are told to come back do so spread over up to this times the time they are told.
const RETRY_SPREAD_MAX: f64 = 2.0;

/// Counts a request as in flight until it is dropped.
struct InFlight(Arc<Shared>);

impl InFlight {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.metrics.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.metrics.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request on its way, as far as it is known.
struct Progress {
    shared: Arc<Shared>,
    caller: SocketAddr,
    accepted_at: Timestamp,
    kind: Option<Arc<KindRuntime>>,
    request_id: HeaderValue,
    /// None until it is known, and for kinds that need no key.
    identity: Option<Identity>,
    /// None until the request has been read.
    fingerprint: Option<Fingerprint>,
    is_recorded: bool,
}

impl Drop for Progress {
    /// The caller left before there was an answer.
    fn drop(&mut self) {
        if self.is_recorded || !self.shared.allows_request_log_line() {
            return;
        }
        let taken_us = BootClock.now().since(self.accepted_at).as_micros() as u64;
        let request_id = self.request_id.to_str().unwrap_or_default();
        let kind = self.kind.as_ref().map_or("", |kind| kind.kind.name.as_str());
        let fingerprint = self.fingerprint_text();
        let organisation = self.organisation();
        info!("request_abandoned", kv: {
            request_id, fingerprint, kind, organisation, taken_us
        });
    }
}

/// Answers a request; without a body if it is known to have none.
pub(crate) async fn handle<D: Dialect>(
    shared: Arc<Shared>,
    caller: SocketAddr,
    request: Request<Option<Incoming>>,
) -> Response<AnswerBody> {
    let _in_flight = InFlight::new(&shared);
    let request_id = request_id(request.headers());
    let accepted_at = BootClock.now();
    let mut progress = Progress {
        shared,
        caller,
        accepted_at,
        kind: None,
        request_id: request_id.clone(),
        identity: None,
        fingerprint: None,
        is_recorded: false,
    };
    let answered = progress.answer::<D>(request).await;
    progress.record(&answered);
    let mut response =
        answered.unwrap_or_else(|failure| failure_answer::<D>(&failure, &request_id));
    response.headers_mut().insert(headers::REQUEST_ID, request_id);
    response
}

impl Progress {
    async fn answer<D: Dialect>(
        &mut self,
        request: Request<Option<Incoming>>,
    ) -> Result<Response<AnswerBody>, Failure> {
        let Some(routing) = self.shared.routing() else {
            let failure = self.refused(Reason::NotReady, Step::Match);
            return Err(failure.with_retry_after(ELSEWHERE_RETRY_AFTER));
        };
        let limits = &routing.configuration.limits;
        let (mut parts, incoming) = request.into_parts();
        let context = D::read_call(&parts.headers)
            .map_err(|_| self.refused(Reason::BadHeader, Step::ReadHead))?;
        if !has_one_host(&parts) {
            return Err(self.refused(Reason::BadHeader, Step::ReadHead));
        }
        if context.depth >= limits.depth_max {
            return Err(self.refused(Reason::TooDeep, Step::ReadHead));
        }
        if parts.method == Method::CONNECT {
            return Err(self.refused(Reason::UnknownKind, Step::Match));
        }
        let kind = routing.kind_of(&Head::new(&parts));
        let kind = kind.ok_or_else(|| self.refused(Reason::UnknownKind, Step::Match))?.clone();
        kind.metrics.accepted.fetch_add(1, Ordering::Relaxed);
        self.kind = Some(kind.clone());
        let identity = self.admitted::<D>(&mut parts, &routing.keys, &kind).await?;
        self.identity.clone_from(&identity);
        let body = read_body(incoming, body_limits(limits), self.caller).await?;
        let key = identity.as_ref().map(|identity| identity.digest);
        let fingerprint = fingerprint_of(&parts, key, &body);
        self.fingerprint = Some(fingerprint);
        let forward: Forward<D> = self.forward(kind, parts, context, limits, fingerprint);
        let forwarded = forward.run(body).await;
        if let (Some(identity), Err(failure)) = (&identity, &forwarded)
            && failure.outcome == Outcome::NotRun
        {
            self.shared.quotas.give_back(identity.name());
        }
        let response = forwarded?;
        if response.status().is_success() {
            forward.kind.metrics.record_answer_bytes(response.body().size_hint().lower());
        }
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        D::clean_answer(&mut parts.headers);
        Ok(Response::from_parts(parts, AnswerBody::Target(Box::new(body))))
    }

    /// Finds out who sent the request, and counts it towards the limit of its organisation. Nothing
    /// further of it has been read.
    async fn admitted<D: Dialect>(
        &self,
        parts: &mut Parts,
        keys: &KeyRing,
        kind: &KindRuntime,
    ) -> Result<Option<Identity>, Failure> {
        let identity = identify::<D>(&mut parts.headers, keys, &kind.kind).map_err(|_| {
            counter!(metric::UNKNOWN_KEYS).increment(1);
            self.refused(Reason::UnknownKey, Step::Match)
        })?;
        if let Some(identity) = &identity {
            let admitted = self.shared.quotas.admit(&self.shared, &identity.organisation).await;
            admitted.map_err(|after| {
                let spread = after.mul_f64(rand::rng().random_range(1.0..RETRY_SPREAD_MAX));
                self.refused(Reason::OverQuota, Step::Match).with_retry_after(spread)
            })?;
        }
        Ok(identity)
    }

    fn forward<D: Dialect>(
        &self,
        kind: Arc<KindRuntime>,
        parts: Parts,
        context: CallContext,
        limits: &Limits,
        fingerprint: Fingerprint,
    ) -> Forward<D> {
        let longest = Duration::from_millis(kind.kind.deadline_ms);
        let timeout = context.timeout.map_or(longest, |asked| asked.min(longest));
        let deadline = self.accepted_at + timeout;
        let objective = objective_left(&kind, context.timeout)
            .map_or(deadline, |objective| deadline.min(self.accepted_at + objective));
        let attempts_max = kind.kind.attempts_max;
        let attempts_max =
            context.attempts_left.map_or(attempts_max, |left| left.min(attempts_max));
        Forward {
            dialect: PhantomData,
            service: kind.service_for(rand::rng().random()).clone(),
            request_id: self.request_id.clone(),
            suspicion: Suspicion::new(&self.shared, fingerprint),
            identity: self.identity.clone(),
            answer_buffer_bytes: limits.answer_buffer_bytes,
            shared: self.shared.clone(),
            head: onward_head(parts, self.caller, &self.request_id),
            deadline,
            objective,
            attempts_max: attempts_max.max(1),
            depth: context.depth,
            body_stall: body_limits(limits).stall,
            kind,
        }
    }

    /// A refusal before anything was sent.
    fn refused(&self, reason: Reason, step: Step) -> Failure {
        let peer = match reason {
            Reason::NotReady | Reason::Stopping => Peer::Entry,
            _ => Peer::Caller(self.caller),
        };
        Failure::new(Outcome::NotRun, reason, step, peer)
    }

    /// The organisation as it is logged; empty if it is not known or not asked for.
    fn organisation(&self) -> &str {
        self.identity.as_ref().map_or("", |identity| identity.name().as_str())
    }

    /// The fingerprint as it is logged; empty until the request has been read.
    fn fingerprint_text(&self) -> String {
        self.fingerprint.map_or_else(String::new, |fingerprint| fingerprint.to_string())
    }

    /// Counts and logs what became of the request.
    fn record(&mut self, answered: &Result<Response<AnswerBody>, Failure>) {
        self.is_recorded = true;
        let taken = BootClock.now().since(self.accepted_at);
        let request_id = self.request_id.to_str().unwrap_or_default();
        let kind = self.kind.as_ref().map_or("", |kind| kind.kind.name.as_str());
        if let Some(kind) = &self.kind {
            kind.metrics.duration_seconds.record(taken);
            match answered {
                Ok(_) => kind.metrics.answered.add_one(),
                Err(failure) => kind.metrics.failure_counter(failure.outcome).add_one(),
            }
        }
        let taken_us = taken.as_micros() as u64;
        match answered {
            Ok(response) => {
                let status = response.status().as_u16();
                debug!("request_answered", kv: { request_id, kind, status, taken_us });
            }
            Err(_) if !self.shared.allows_request_log_line() => {}
            Err(failure) => info!("request_failed", kv: {
                request_id, fingerprint = self.fingerprint_text(), kind,
                organisation = self.organisation(), taken_us,
                outcome: = failure.outcome, reason: = failure.reason,
                step: = failure.step, peer: = failure.peer
            }),
        }
    }
}

/// Time left in which an answer is worth most, if the kind states one: it counts from the
/// caller's first attempt.
fn objective_left(kind: &KindRuntime, caller_waits: Option<Duration>) -> Option<Duration> {
    let objective_ms = kind.kind.objective_ms;
    let objective = (objective_ms > 0).then(|| Duration::from_millis(objective_ms))?;
    let tried_for =
        caller_waits.map_or(Duration::ZERO, |told| kind.metrics.patience.lock().estimate(told));
    Some(objective.saturating_sub(tried_for))
}

fn body_limits(limits: &Limits) -> BodyLimits {
    BodyLimits {
        bytes_max: limits.body_bytes_max,
        stall: Duration::from_millis(limits.body_stall_timeout_ms),
    }
}

/// RFC 9112, 3.2: an HTTP/1.1 request has one `Host`. Two could be read differently here
/// and at the target.
fn has_one_host(parts: &Parts) -> bool {
    match parts.headers.get_all(header::HOST).iter().count() {
        0 => parts.version != Version::HTTP_11,
        1 => true,
        _ => false,
    }
}

/// The caller's id if it is plain text of bounded length, else a new one.
fn request_id(map: &HeaderMap) -> HeaderValue {
    let given = map.get(headers::REQUEST_ID);
    let is_usable = |value: &&HeaderValue| {
        let bytes = value.as_bytes();
        let is_short = (1..=REQUEST_ID_BYTES_MAX).contains(&bytes.len());
        is_short && bytes.iter().all(u8::is_ascii_graphic)
    };
    if let Some(value) = given.filter(is_usable) {
        return value.clone();
    }
    let id = rand::rng().random::<u64>();
    HeaderValue::try_from(format!("{id:016x}")).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

/// The head as the target receives it.
fn onward_head(mut parts: Parts, caller: SocketAddr, request_id: &HeaderValue) -> Parts {
    remove_hop_by_hop(&mut parts.headers);
    // The process answers it itself when it reads the body.
    parts.headers.remove(header::EXPECT);
    if !parts.headers.contains_key(header::HOST)
        && let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(header::HOST, host);
    }
    parts.headers.insert(headers::REQUEST_ID, request_id.clone());
    parts.headers.append(header::VIA, HeaderValue::from_static("1.1 thymeshift"));
    if let Ok(address) = HeaderValue::try_from(caller.ip().to_string()) {
        parts.headers.append("x-forwarded-for", address);
    }
    // Targets get the path alone; a caller that sent a whole URI meant a proxy.
    if let Some(path) = parts.uri.path_and_query().cloned() {
        parts.uri = Uri::from(path);
    }
    parts.version = Version::HTTP_11;
    parts
}
