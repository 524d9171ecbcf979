//! HTTP server for the platform's load balancer and for metric collectors.
//!
//! * `/live` succeeds while the process runs.
//! * `/ready` succeeds while the process has a configuration and is not stopping.
//! * `/metrics` returns the process's metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use thymeshift_fleet::Phase;
use thymeshift_supervisor::TaskError;
use tokio::net::TcpListener;

use crate::control_plane::accept::Port;
use crate::control_plane::accept::accept;
use crate::message_parts::MessageParts;
use crate::message_parts::PartLimitedStream;
use crate::message_parts::READ_BUFFER_BYTES;
use crate::shared::Shared;

/// Maximum number of concurrent connections to the observe port.
const CONNECTIONS_MAX: usize = 64;
/// Maximum time for a client to send a request head; also closes idle connections.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the observe port until the process stops.
pub(crate) async fn run_observe(
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
) -> Result<(), TaskError> {
    let port = Port { connections_max: CONNECTIONS_MAX, failed_event: "observe_accept_failed" };
    accept(&listener, port, &shared.port_stop, |stream| {
        let shared = shared.clone();
        async move {
            let parts = MessageParts::new(READ_BUFFER_BYTES);
            let stream = TokioIo::new(PartLimitedStream::new(stream, parts.clone()));
            let service = service_fn(move |request| {
                parts.record_part();
                let answer = answer(&shared, &request);
                async { Ok::<_, Infallible>(answer) }
            });
            let mut builder = http1::Builder::new();
            let builder = builder.timer(TokioTimer::new()).header_read_timeout(HEAD_READ_TIMEOUT);
            let builder = builder.max_buf_size(READ_BUFFER_BYTES);
            // The input may end while a request is unanswered, see `PortStream`.
            let builder = builder.half_close(true);
            // A connection error concerns only the collector and needs no handling here.
            let _ = builder.serve_connection(stream, service).await;
        }
    })
    .await
}

fn answer(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/live" => text(StatusCode::OK, "live\n"),
        "/ready" => match shared.phase() {
            Phase::Serving => text(StatusCode::OK, "ready\n"),
            phase => text(StatusCode::SERVICE_UNAVAILABLE, format!("{phase}\n")),
        },
        "/metrics" => text(StatusCode::OK, shared.metrics_text.render()),
        _ => text(StatusCode::NOT_FOUND, "known: /live /ready /metrics\n"),
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
