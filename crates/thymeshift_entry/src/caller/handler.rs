//! Handles one request of a caller: checks and admits it, forwards it, and records the outcome.

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
use metrics::counter;
use rand::Rng;
use spdlog::debug;
use spdlog::info;
use thymeshift_config::Limits;
use thymeshift_dispatch::CallerClass;
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
use thymeshift_wire::has_known_coding;
use thymeshift_wire::headers;
use thymeshift_wire::loggable_id;

use crate::caller::answer_head::forwarded_answer_head;
use crate::caller::fingerprint::fingerprint_of;
use crate::caller::forward::Forward;
use crate::caller::head::Head;
use crate::caller::hop_by_hop::remove_hop_by_hop;
use crate::caller::quarantine::RequestQuarantine;
use crate::caller::read_body::read_body;
use crate::caller::response::ResponseBody;
use crate::caller::response::failure_response;
use crate::organisations::Identity;
use crate::organisations::identify;
use crate::routing::KindRuntime;
use crate::shared::Shared;
use crate::target_client::BodyLimits;
use crate::target_client::CallerBody;

/// Retry delay of callers that are refused because this process has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Upper limit of the random factor on the retry delay of callers over their quota.
/// The jitter spreads the retries of these callers over time.
const RETRY_JITTER_MAX: f64 = 2.0;

/// Counts a request as in flight until the guard is dropped.
struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.metrics.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State of a request that is being handled, as far as it has been read.
struct RequestProgress {
    shared: Arc<Shared>,
    caller: SocketAddr,
    accepted_at: Timestamp,
    kind: Option<Arc<KindRuntime>>,
    request_id: HeaderValue,
    /// Organisation and key of the caller; `None` before the key check and for kinds without keys.
    identity: Option<Identity>,
    /// Hash that identifies the request; `None` until the request has been read.
    fingerprint: Option<Fingerprint>,
    /// Whether the outcome was counted and logged.
    is_recorded: bool,
}

impl Drop for RequestProgress {
    /// Logs an abandoned request if the caller disconnected before the response.
    fn drop(&mut self) {
        if self.is_recorded || !self.shared.allows_request_log_line() {
            return;
        }
        let taken_us = BootClock.now().since(self.accepted_at).as_micros() as u64;
        let request_id = loggable_id(&self.request_id);
        let kind = self.kind.as_ref().map_or("", |kind| kind.kind.name.as_str());
        let fingerprint = self.fingerprint_text();
        let organisation = self.organisation();
        info!("request_abandoned", kv: {
            request_id, fingerprint, kind, organisation, taken_us
        });
    }
}

/// Returns the response to a request. The body of `request` is `None` if it is known to be empty.
pub(crate) async fn handle<D: Dialect>(
    shared: Arc<Shared>,
    caller: SocketAddr,
    request: Request<Option<Box<CallerBody>>>,
) -> Response<ResponseBody> {
    let _in_flight = InFlightGuard::new(&shared);
    let request_id = request_id(request.headers());
    let accepted_at = BootClock.now();
    let mut progress = RequestProgress {
        shared,
        caller,
        accepted_at,
        kind: None,
        request_id: request_id.clone(),
        identity: None,
        fingerprint: None,
        is_recorded: false,
    };
    let result = progress.respond::<D>(request).await;
    progress.record(&result);
    let mut response =
        result.unwrap_or_else(|failure| failure_response::<D>(&failure, &request_id));
    response.headers_mut().insert(headers::REQUEST_ID, request_id);
    response
}

impl RequestProgress {
    async fn respond<D: Dialect>(
        &mut self,
        request: Request<Option<Box<CallerBody>>>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let Some(routing) = self.shared.routing() else {
            let failure = self.refused(Reason::NotReady, Step::Match);
            return Err(failure.with_retry_after(NOT_READY_RETRY_AFTER));
        };
        let limits = &routing.configuration.limits;
        let (mut parts, incoming) = request.into_parts();
        let method = parts.method.clone();
        let context = D::read_call(&parts.headers)
            .map_err(|_| self.refused(Reason::BadHeader, Step::ReadHead))?;
        if !has_one_host(&parts) || !has_known_coding(&parts.headers) {
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
        let identity = self.identify::<D>(&mut parts, &routing.keys, &kind)?;
        self.identity.clone_from(&identity);
        self.admit().await?;
        if has_unknown_length(incoming.as_deref()) {
            // The coding decides about the length (RFC 9112, 6.3), and the body may be sent without it.
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        let body = read_body(incoming, body_limits(limits), self.caller).await?;
        let key = identity.as_ref().map(|identity| identity.digest);
        let fingerprint = fingerprint_of(&parts, key, &body);
        self.fingerprint = Some(fingerprint);
        let forward: Forward<D> = self.forward(kind, parts, context, limits, fingerprint);
        let forwarded = forward.run(body).await;
        if let (Some(identity), Err(failure)) = (&identity, &forwarded)
            && failure.outcome == Outcome::NotRun
        {
            self.shared.quotas.return_token(identity.name());
        }
        let response = forwarded?;
        if response.status().is_success() {
            forward.kind.metrics.record_answer_bytes(response.body().size_hint().lower());
        }
        let (parts, body) = response.into_parts();
        let parts = forwarded_answer_head::<D>(parts, &method);
        Ok(Response::from_parts(parts, ResponseBody::Target(Box::new(body))))
    }

    /// Identifies the organisation that sent the request.
    fn identify<D: Dialect>(
        &self,
        parts: &mut Parts,
        keys: &KeyRing,
        kind: &KindRuntime,
    ) -> Result<Option<Identity>, Failure> {
        identify::<D>(&mut parts.headers, keys, &kind.kind).map_err(|_| {
            counter!(metric::UNKNOWN_KEYS).increment(1);
            self.refused(Reason::UnknownKey, Step::Match)
        })
    }

    /// Applies the rate limit of the organisation that sent the request.
    /// Only the head of the request has been read at this point.
    async fn admit(&self) -> Result<(), Failure> {
        let Some(identity) = &self.identity else { return Ok(()) };
        let admission = self.shared.quotas.admit(&self.shared, &identity.organisation).await;
        admission.map_err(|retry_after| {
            let jittered = retry_after.mul_f64(rand::rng().random_range(1.0..RETRY_JITTER_MAX));
            self.refused(Reason::OverQuota, Step::Match).with_retry_after(jittered)
        })
    }

    /// Prepares forwarding with the deadline and attempt limit that remain for the request.
    fn forward<D: Dialect>(
        &self,
        kind: Arc<KindRuntime>,
        parts: Parts,
        context: CallContext,
        limits: &Limits,
        fingerprint: Fingerprint,
    ) -> Forward<D> {
        let timeout_max = Duration::from_millis(kind.kind.deadline_ms);
        let timeout = context.timeout.map_or(timeout_max, |requested| requested.min(timeout_max));
        let deadline = self.accepted_at + timeout;
        let objective = remaining_objective(&kind, context.timeout)
            .map_or(deadline, |objective| deadline.min(self.accepted_at + objective));
        let attempts_max = kind.kind.attempts_max;
        let attempts_max =
            context.attempts_left.map_or(attempts_max, |remaining| remaining.min(attempts_max));
        Forward {
            dialect: PhantomData,
            service: kind.service_for(rand::rng().random()).clone(),
            request_id: self.request_id.clone(),
            quarantine: RequestQuarantine::new(&self.shared, fingerprint),
            identity: self.identity.clone(),
            caller: self.caller_class(),
            answer_buffer_bytes: limits.answer_buffer_bytes,
            shared: self.shared.clone(),
            head: forwarded_head(parts, self.caller, &self.request_id),
            accepted_at: self.accepted_at,
            deadline,
            objective,
            attempts_max: attempts_max.max(1),
            depth: context.depth,
            body_stall: body_limits(limits).stall,
            kind,
        }
    }

    /// Returns the caller as allocators tell callers apart: the organisation if there is one, else
    /// the address.
    fn caller_class(&self) -> CallerClass {
        if !self.shared.has_fair_callers {
            return CallerClass::default();
        }
        self.identity.as_ref().map_or_else(
            || CallerClass::of_address(self.caller.ip()),
            |identity| CallerClass::of_organisation(identity.name()),
        )
    }

    /// Returns the failure of a request that is refused before anything was sent to a target.
    fn refused(&self, reason: Reason, step: Step) -> Failure {
        let peer = match reason {
            Reason::NotReady | Reason::Stopping => Peer::Entry,
            _ => Peer::Caller(self.caller),
        };
        Failure::new(Outcome::NotRun, reason, step, peer)
    }

    /// Returns the organisation name for log lines; empty if it is unknown or no key is needed.
    fn organisation(&self) -> &str {
        self.identity.as_ref().map_or("", |identity| identity.name().as_str())
    }

    /// Returns the fingerprint for log lines; empty until the request has been read.
    fn fingerprint_text(&self) -> String {
        self.fingerprint.map_or_else(String::new, |fingerprint| fingerprint.to_string())
    }

    /// Counts and logs the outcome of the request.
    fn record(&mut self, result: &Result<Response<ResponseBody>, Failure>) {
        self.is_recorded = true;
        let taken = BootClock.now().since(self.accepted_at);
        let request_id = loggable_id(&self.request_id);
        let kind = self.kind.as_ref().map_or("", |kind| kind.kind.name.as_str());
        if let Some(kind) = &self.kind {
            kind.metrics.duration_seconds.record(taken);
            match result {
                Ok(_) => kind.metrics.answered.add_one(),
                Err(failure) => kind.metrics.failure_counter(failure.outcome).add_one(),
            }
        }
        let taken_us = taken.as_micros() as u64;
        match result {
            Ok(response) => {
                let status = response.status().as_u16();
                debug!("request_answered", kv: {
                    request_id, caller: = self.caller, kind, status, taken_us
                });
            }
            Err(_) if !self.shared.allows_request_log_line() => {}
            Err(failure) => info!("request_failed", kv: {
                request_id, fingerprint = self.fingerprint_text(), kind,
                organisation = self.organisation(), taken_us,
                outcome: = failure.outcome, reason: = failure.reason,
                step: = failure.step, peer: = failure.peer,
                retry_after_ms = failure.retry_after.map_or(0, |after| after.as_millis() as u64)
            }),
        }
    }
}

/// Returns the time left of the kind's latency objective, or `None` if the kind has no objective.
/// The objective counts from the caller's first attempt, whose age is estimated from its timeout.
fn remaining_objective(kind: &KindRuntime, caller_timeout: Option<Duration>) -> Option<Duration> {
    let objective_ms = kind.kind.objective_ms;
    let objective = (objective_ms > 0).then(|| Duration::from_millis(objective_ms))?;
    let elapsed = caller_timeout.map_or(Duration::ZERO, |timeout| {
        kind.metrics.elapsed_time_estimator.lock().estimate(timeout)
    });
    Some(objective.saturating_sub(elapsed))
}

fn body_limits(limits: &Limits) -> BodyLimits {
    BodyLimits {
        bytes_max: limits.body_bytes_max,
        stall: Duration::from_millis(limits.body_stall_timeout_ms),
    }
}

fn has_unknown_length(body: Option<&CallerBody>) -> bool {
    body.is_some_and(|body| body.size_hint().exact().is_none())
}

/// Returns whether the number of `Host` headers is valid: exactly one in HTTP/1.1 (RFC 9112, 3.2).
/// With two `Host` headers, this process and the target might use different ones.
fn has_one_host(parts: &Parts) -> bool {
    match parts.headers.get_all(header::HOST).iter().count() {
        0 => parts.version != Version::HTTP_11,
        1 => true,
        _ => false,
    }
}

/// Returns the caller's request id as it was sent, or a random one if the request has none.
fn request_id(map: &HeaderMap) -> HeaderValue {
    let given = map.get(headers::REQUEST_ID);
    if let Some(value) = given.filter(|value| !value.is_empty()) {
        return value.clone();
    }
    let id = rand::rng().random::<u64>();
    HeaderValue::try_from(format!("{id:016x}")).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

/// Returns the request head that is forwarded to the target.
fn forwarded_head(mut parts: Parts, caller: SocketAddr, request_id: &HeaderValue) -> Parts {
    remove_hop_by_hop(&mut parts.headers);
    // hyper sends `100 Continue` itself when the body is read.
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
    // Callers that address a proxy send an absolute URI; targets receive only path and query.
    if let Some(path) = parts.uri.path_and_query().cloned() {
        parts.uri = Uri::from(path);
    }
    parts.version = Version::HTTP_11;
    parts
}
