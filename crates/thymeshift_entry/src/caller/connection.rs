//! One connection of a caller, HTTP/1.1 or cleartext HTTP/2.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
use spdlog::debug;
use thymeshift_config::Limits;
use thymeshift_wire::Dialect;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::caller::disconnect::caller_disconnected;
use crate::caller::pipelining::PipelinedConnection;
use crate::caller::write_timeout::WriteTimeoutStream;
use crate::shared::Shared;

/// Requests one HTTP/2 connection may have open.
const STREAMS_MAX: u32 = 256;

/// Serves a connection until it closes; `closing` begins its graceful end.
pub(crate) async fn serve<D: Dialect>(
    shared: Arc<Shared>,
    stream: TcpStream,
    caller: SocketAddr,
    limits: Limits,
    closing: impl Future<Output = ()>,
) {
    let head_limit = Duration::from_millis(limits.header_read_timeout_ms);
    let write_limit = Duration::from_millis(limits.body_stall_timeout_ms);
    let has_begun = Arc::new(AtomicBool::new(false));
    let has_begun_here = has_begun.clone();
    let ahead = PipelinedConnection::new(Arc::new(stream), limits.header_bytes_max as usize);
    let departure = Arc::new(Notify::new());
    let (ahead_here, departure_here) = (ahead.clone(), departure.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        has_begun.store(true, Ordering::Relaxed);
        let (shared, ahead, departure) =
            (shared.clone(), ahead_here.clone(), departure_here.clone());
        async move {
            let version = request.version();
            let answering = ahead.answer::<D>(&shared, caller, request);
            let mut answer = unless_departed(ahead.stream(), &departure, answering).await;
            if shared.is_stopping() && version < Version::HTTP_2 && !ahead.has_more() {
                // Callers keep no connection to a process that is about to stop.
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let builder = builder(&limits, head_limit);
    let stream = TokioIo::new(WriteTimeoutStream::new(ahead.clone(), write_limit));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut closing = pin!(closing);
    // Before the first request hyper only looks which protocol the caller speaks, and has
    // no time limit for that.
    let mut first_limit = pin!(sleep(head_limit));
    let mut caller_disconnected = pin!(departure.notified());
    let mut is_first_limited = true;
    let mut stage = Stage::Open;
    loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    let caller = caller.to_string();
                    debug!("caller_connection_broken", kv: { caller, error: = error });
                }
                return;
            }
            // Dropping the connection cancels what is under way on it.
            () = &mut caller_disconnected => return,
            () = &mut closing, if stage == Stage::Open => stage = Stage::Ending,
            () = ahead.until_answered(), if stage == Stage::Ending => {}
            () = &mut first_limit, if is_first_limited => {
                is_first_limited = false;
                if !has_begun_here.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
        // What the caller has sent already is answered first.
        if stage == Stage::Ending && !ahead.has_more() {
            stage = Stage::Shut;
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// How far a connection is towards its planned end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Open,
    /// It is to end once what has arrived is answered.
    Ending,
    /// hyper ends it.
    Shut,
}

/// The answer, unless the caller leaves before it is there; then the connection is told, which
/// drops this future.
async fn unless_departed<T>(
    stream: &TcpStream,
    departure: &Notify,
    answer: impl Future<Output = Option<T>>,
) -> T {
    let answered = tokio::select! {
        biased;
        answered = answer => answered,
        () = caller_disconnected(stream) => None,
    };
    if let Some(answer) = answered {
        return answer;
    }
    departure.notify_one();
    std::future::pending().await
}

fn builder(limits: &Limits, head_limit: Duration) -> auto::Builder<TokioExecutor> {
    let head_bytes_max = limits.header_bytes_max as usize;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(head_limit)
        .max_buf_size(head_bytes_max)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_MAX)
        .max_header_list_size(head_bytes_max as u32)
        .keep_alive_interval(head_limit)
        .keep_alive_timeout(head_limit);
    builder
}
