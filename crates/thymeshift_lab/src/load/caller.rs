//! One caller's request and the check of its answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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

use crate::load::CallResult;
use crate::load::KindLoad;
use crate::standin::CALLED_PROCESS;
use crate::standin::expected_answer;

type Sender = SendRequest<Full<Bytes>>;

/// Connections to one entry process at most, as the platform's balancer bounds them.
/// Beyond it requests wait for one; that time counts.
const CONNECTIONS_MAX: usize = 512;

/// Connections to one entry process.
struct Link {
    idle: Mutex<Vec<Sender>>,
    places: Semaphore,
}

/// Callers with their open connections.
pub(crate) struct Callers {
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    one_way: Duration,
}

impl Callers {
    pub(crate) fn new(one_way: Duration) -> Self {
        Self { links: Mutex::default(), one_way }
    }

    fn link(&self, entry: SocketAddr) -> Arc<Link> {
        let new = || {
            let places = Semaphore::new(CONNECTIONS_MAX);
            Arc::new(Link { idle: Mutex::default(), places })
        };
        self.links.lock().entry(entry).or_insert_with(new).clone()
    }

    /// Opens connections before they are needed.
    pub(crate) async fn warm(&self, entries: &[SocketAddr], count: usize) {
        for entry in entries {
            let link = self.link(*entry);
            for _ in 0..count {
                if let Some(sender) = connect(*entry).await {
                    link.put_back(sender);
                }
            }
        }
    }

    /// Sends a request and says what the caller was told.
    pub(crate) async fn call(&self, entry: SocketAddr, kind: &KindLoad, nonce: &str) -> CallResult {
        let path = format!("{}?nonce={nonce}&bytes={}", kind.path, kind.answer_bytes);
        let body = Bytes::from(vec![b'x'; kind.request_bytes]);
        let request = Request::builder()
            .method(kind.method.clone())
            .uri(&path)
            .header(HOST, "callers.example")
            .header(CALLED_PROCESS, entry.to_string())
            .body(Full::new(body.clone()));
        let Ok(request) = request else {
            return CallResult::NoAnswer;
        };
        if !self.one_way.is_zero() {
            sleep(self.one_way).await;
        }
        let told = self.exchange(entry, request, kind, &path, &body).await;
        if !self.one_way.is_zero() {
            sleep(self.one_way).await;
        }
        told.unwrap_or(CallResult::NoAnswer)
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
        kind: &KindLoad,
        path: &str,
        body: &[u8],
    ) -> Option<CallResult> {
        let link = self.link(entry);
        let _place = link.places.acquire().await.ok()?;
        let mut sender = link.sender(entry).await?;
        let response = sender.send_request(request).await.ok()?;
        let (parts, incoming) = response.into_parts();
        let collected = incoming.collect().await;
        if let Some(outcome) = parts.headers.get(headers::OUTCOME) {
            link.put_back(sender);
            return Some(match outcome.to_str().ok()? {
                "not_run" => CallResult::Outcome(Outcome::NotRun),
                "unknown" => CallResult::Outcome(Outcome::Unknown),
                _ => CallResult::Outcome(Outcome::Failed),
            });
        }
        let Ok(collected) = collected else {
            return Some(CallResult::BrokenAnswer);
        };
        link.put_back(sender);
        if !parts.status.is_success() {
            return Some(CallResult::TargetError);
        }
        let is_own = collected.to_bytes() == expected_answer(path, body, kind.answer_bytes);
        Some(if is_own { CallResult::Answered } else { CallResult::WrongAnswer })
    }
}

impl Link {
    async fn sender(&self, entry: SocketAddr) -> Option<Sender> {
        loop {
            let idle = self.idle.lock().pop();
            let Some(mut sender) = idle else { break };
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        connect(entry).await
    }

    fn put_back(&self, sender: Sender) {
        self.idle.lock().push(sender);
    }
}

async fn connect(entry: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(entry).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, driving) = handshake.ok()?;
    tokio::spawn(driving);
    Some(sender)
}
