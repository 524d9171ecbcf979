//! HTTP/1.1 callers with pooled connections, which verify the answer to each request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thymeshift_types::Outcome;
use thymeshift_wire::headers;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::load::CallConnection;
use crate::load::CallResult;
use crate::load::KindLoad;
use crate::standin::CALLED_PROCESS_HEADER;
use crate::standin::expected_answer;

/// Open connection to an entry process.
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    connection: CallConnection,
}

/// Course of a call that the caller has not given up.
#[derive(Default)]
pub(crate) struct CallTrace {
    /// Connection that carried the request, once it is open.
    pub(crate) connection: Option<CallConnection>,
    /// Time at which the request was sent on the connection.
    pub(crate) sent_at: Option<Instant>,
    /// Error of the connection.
    pub(crate) error: String,
}

/// Maximum number of connections to one entry process, as the platform's balancer limits them.
/// Further requests wait for a free connection, and the wait counts towards their latency.
const CONNECTIONS_MAX: usize = 512;

/// Connection pool for one entry process.
struct ConnectionPool {
    idle: Mutex<Vec<Sender>>,
    permits: Semaphore,
}

/// Callers of entry processes, with one connection pool for each entry process.
pub(crate) struct Callers {
    pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    one_way: Duration,
}

impl Callers {
    pub(crate) fn new(one_way: Duration) -> Self {
        Self { pools: Mutex::default(), one_way }
    }

    fn pool(&self, entry: SocketAddr) -> Arc<ConnectionPool> {
        let new = || {
            let permits = Semaphore::new(CONNECTIONS_MAX);
            Arc::new(ConnectionPool { idle: Mutex::default(), permits })
        };
        self.pools.lock().entry(entry).or_insert_with(new).clone()
    }

    /// Opens `count` connections to each entry process, so that the first requests do not pay
    /// for connection setup.
    pub(crate) async fn warm(&self, entries: &[SocketAddr], count: usize) {
        for entry in entries {
            let pool = self.pool(*entry);
            for _ in 0..count {
                if let Ok(sender) = connect(*entry).await {
                    pool.return_idle(sender);
                }
            }
        }
    }

    /// Sends a request of this kind to `entry` and returns its verified result. The request and
    /// its answer are each delayed by the one-way network delay. Records its course in `trace`.
    pub(crate) async fn call(
        &self,
        entry: SocketAddr,
        kind: &KindLoad,
        nonce: &str,
        trace: &mut CallTrace,
    ) -> CallResult {
        let path = format!("{}?nonce={nonce}&bytes={}", kind.path, kind.answer_bytes);
        let body = Bytes::from(vec![b'x'; kind.request_bytes]);
        let request = Request::builder()
            .method(kind.method.clone())
            .uri(&path)
            .header(HOST, "callers.example")
            .header(CALLED_PROCESS_HEADER, entry.to_string())
            .body(Full::new(body.clone()));
        let Ok(request) = request else {
            return CallResult::NoAnswer;
        };
        if !self.one_way.is_zero() {
            sleep(self.one_way).await;
        }
        let result = self.exchange(entry, request, kind, (&path, &body), trace).await;
        if !self.one_way.is_zero() {
            sleep(self.one_way).await;
        }
        result.unwrap_or(CallResult::NoAnswer)
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
        kind: &KindLoad,
        (path, body): (&str, &[u8]),
        trace: &mut CallTrace,
    ) -> Option<CallResult> {
        let pool = self.pool(entry);
        let _permit = pool.permits.acquire().await.ok()?;
        let mut sender = match pool.sender(entry).await {
            Ok(sender) => sender,
            Err(error) => {
                trace.error = format!("connecting: {error}");
                return None;
            }
        };
        trace.connection = Some(sender.connection);
        trace.sent_at = Some(Instant::now());
        sender.connection.earlier_requests += 1;
        let response = match sender.requests.send_request(request).await {
            Ok(response) => response,
            Err(error) => {
                trace.error = format!("{error:?}");
                return None;
            }
        };
        let (parts, incoming) = response.into_parts();
        let body_result = incoming.collect().await;
        if let Some(outcome) = parts.headers.get(headers::OUTCOME) {
            pool.return_idle(sender);
            return Some(match outcome.to_str().ok()? {
                "not_run" => CallResult::Outcome(Outcome::NotRun),
                "unknown" => CallResult::Outcome(Outcome::Unknown),
                _ => CallResult::Outcome(Outcome::Failed),
            });
        }
        let body_result = match body_result {
            Ok(body_result) => body_result,
            Err(error) => {
                trace.error = format!("{error:?}");
                return Some(CallResult::BrokenAnswer);
            }
        };
        pool.return_idle(sender);
        if !parts.status.is_success() {
            return Some(CallResult::TargetError);
        }
        let is_own = body_result.to_bytes() == expected_answer(path, body, kind.answer_bytes);
        Some(if is_own { CallResult::Answered } else { CallResult::WrongAnswer })
    }
}

impl ConnectionPool {
    async fn sender(&self, entry: SocketAddr) -> io::Result<Sender> {
        loop {
            let idle = self.idle.lock().pop();
            let Some(mut sender) = idle else { break };
            if sender.requests.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(entry).await
    }

    fn return_idle(&self, sender: Sender) {
        self.idle.lock().push(sender);
    }
}

async fn connect(entry: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    let connection = CallConnection { local: stream.local_addr()?, earlier_requests: 0 };
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (requests, driver) = handshake.map_err(io::Error::other)?;
    tokio::spawn(driver);
    Ok(Sender { requests, connection })
}
