//! Serves one caller connection: HTTP/1.1 or cleartext HTTP/2.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Version;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use thymeshift_config::Limits;
use thymeshift_wire::Dialect;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::caller::connection_log::ConnectionLog;
use crate::caller::disconnect::caller_disconnected;
use crate::caller::linger::end_if_drained;
use crate::caller::linger::linger;
use crate::caller::pipelining::PipelinedConnection;
use crate::caller::rest_timers::Expired;
use crate::caller::rest_timers::RestTimers;
use crate::caller::write_timeout::WriteTimeoutStream;
use crate::shared::Shared;

/// Interval between two checks whether a connection that is being drained may close.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which further requests are read on a connection that is being drained and is never idle.
/// Later ones go to other processes, as the answer to the last one says so.
const DRAIN_READ_TIME: Duration = Duration::from_millis(500);
/// Maximum interval between two pings on an HTTP/2 connection, which detect callers that are gone.
const HTTP2_PING_INTERVAL_MAX: Duration = Duration::from_mins(1);
/// Maximum number of concurrent streams on an HTTP/2 connection.
const HTTP2_STREAMS_MAX: u32 = 256;

/// Serves a connection until it closes. Shuts it down gracefully once `closing` completes.
pub(crate) async fn serve<D: Dialect>(
    shared: Arc<Shared>,
    stream: TcpStream,
    caller: SocketAddr,
    limits: Limits,
    closing: impl Future<Output = ()>,
) {
    let write_timeout = Duration::from_millis(limits.body_stall_timeout_ms);
    let pipelined = PipelinedConnection::new(Arc::new(stream), limits.header_bytes_max as usize);
    let log = ConnectionLog { shared: shared.clone(), connection: pipelined.clone(), caller };
    let disconnect = Arc::new(Notify::new());
    let (service_pipelined, service_disconnect) = (pipelined.clone(), disconnect.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, pipelined, disconnect) =
            (shared.clone(), service_pipelined.clone(), service_disconnect.clone());
        async move {
            let version = request.version();
            let responding = pipelined.respond::<D>(&shared, caller, request);
            let mut response =
                unless_disconnected(pipelined.stream(), &disconnect, responding).await;
            if shared.is_stopping() && version < Version::HTTP_2 && !pipelined.has_pipelined_bytes()
            {
                // Asks the caller to reconnect, as this process is about to stop.
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let builder = builder(&limits);
    let stream = TokioIo::new(WriteTimeoutStream::new(pipelined.clone(), write_timeout));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut closing = pin!(closing);
    let mut disconnected = pin!(disconnect.notified());
    let mut rest_timers = RestTimers::new(&limits);
    let mut stage = ShutdownStage::Open;
    let mut last_read_at: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                // After an error, requests in progress are given up when the connection is dropped.
                let (cause, discarded_bytes) = match ended {
                    Ok(()) => ("completed".to_owned(), linger(&pipelined).await),
                    Err(error) => (format!("broken: {error}"), 0),
                };
                return log.write_end(&cause, stage, discarded_bytes);
            }
            // Dropping the connection cancels the requests in progress on it.
            () = &mut disconnected => return log.write_end("caller disconnected", stage, 0),
            () = &mut closing, if stage == ShutdownStage::Open => {
                stage = ShutdownStage::Draining;
                last_read_at = Some(Instant::now() + DRAIN_READ_TIME);
            }
            () = sleep(DRAIN_CHECK_INTERVAL), if stage == ShutdownStage::Draining => {}
            expired = poll_fn(|context| rest_timers.poll_expired(&pipelined, context)) => {
                match expired {
                    // This process may have had no processor while the rest of the head arrived.
                    Expired::Head if pipelined.has_unread_bytes() => rest_timers.restart(),
                    Expired::Head => return log.write_end("no request in time", stage, 0),
                    Expired::Idle if end_if_drained(&pipelined) => {
                        let discarded_bytes = linger(&pipelined).await;
                        return log.write_end("idle", stage, discarded_bytes);
                    }
                    Expired::Idle => rest_timers.restart(),
                }
            }
        }
        if stage != ShutdownStage::Draining {
            continue;
        }
        if last_read_at.take_if(|last_read_at| Instant::now() >= *last_read_at).is_some() {
            pipelined.end_reading();
        }
        if pipelined.activity().is_http2() {
            // HTTP/2 tells the caller which of the requests on their way are still served.
            stage = ShutdownStage::Closing;
            connection.as_mut().graceful_shutdown();
        } else if end_if_drained(&pipelined) {
            let discarded_bytes = linger(&pipelined).await;
            return log.write_end("drained", stage, discarded_bytes);
        }
    }
}

/// Stage of the graceful shutdown of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShutdownStage {
    /// The connection is not being shut down.
    Open,
    /// The connection closes once all requests that have arrived are answered.
    Draining,
    /// hyper has started its graceful shutdown of the connection.
    Closing,
}

/// Returns the response unless the caller disconnects before the response is available.
/// On a disconnect, notifies `disconnect` and never returns; the connection task drops this future.
async fn unless_disconnected<T>(
    stream: &TcpStream,
    disconnect: &Notify,
    responding: impl Future<Output = Option<T>>,
) -> T {
    let response = tokio::select! {
        biased;
        response = responding => response,
        () = caller_disconnected(stream) => None,
    };
    if let Some(response) = response {
        return response;
    }
    disconnect.notify_one();
    std::future::pending().await
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let head_bytes_max = limits.header_bytes_max as usize;
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    // hyper's timeout runs from the end of the previous request. It is a backstop: `RestTimers` tells a
    // head that arrives slowly from a connection that rests.
    let head_timeout = Duration::from_millis(limits.header_read_timeout_ms);
    let backstop = idle_timeout + head_timeout * 2;
    let http2_ping_interval = idle_timeout.min(HTTP2_PING_INTERVAL_MAX);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(backstop)
        .max_buf_size(head_bytes_max)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(HTTP2_STREAMS_MAX)
        .max_header_list_size(head_bytes_max as u32)
        .keep_alive_interval(http2_ping_interval)
        .keep_alive_timeout(http2_ping_interval);
    builder
}
