//! Stand-in for the platform's configuration service.
//!
//! Data port: `GET /v1/configuration?after=R&wait_ms=W` and the same for `/v1/vms`.
//!
//! Control port: `PUT /documents/configuration?revision=R` (or `vms`) publishes a document.
//! `PUT /mode` with a [`PlatformMode`] as JSON injects a fault.
//! `GET /calls` returns the number of calls at the data port.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_wire::headers;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::standin::server::ServerHandle;
use crate::standin::server::serve;

/// Document that the platform serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DocumentName {
    /// Configuration document of the load balancer.
    Configuration,
    /// List of entry VMs.
    Vms,
}

impl DocumentName {
    fn of(path: &str) -> Option<Self> {
        match path.rsplit('/').next()? {
            "configuration" => Some(Self::Configuration),
            "vms" => Some(Self::Vms),
            _ => None,
        }
    }
}

/// Fault of the platform's data port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// The platform answers without a fault.
    #[default]
    Normal,
    /// The platform accepts calls and never answers.
    Silent,
    /// The platform delays each answer by the given number of milliseconds.
    Slow(u64),
    /// The platform answers with the documents as of the start of this mode, even to callers that
    /// already have a newer revision.
    Stale,
    /// The platform answers with the first revision that was ever published.
    Backwards,
    /// The platform answers with bytes that are not a valid document.
    Rubbish,
    /// The platform answers with status 500.
    Failing,
}

#[derive(Debug, Clone)]
struct PublishedDocument {
    revision: u64,
    text: Bytes,
}

#[derive(Debug, Default)]
struct History {
    first: Option<PublishedDocument>,
    frozen: Option<PublishedDocument>,
    last: Option<PublishedDocument>,
}

/// Platform with its published documents and current fault.
pub struct Platform {
    documents: Mutex<BTreeMap<DocumentName, History>>,
    mode: Mutex<PlatformMode>,
    calls: AtomicU64,
    changed: watch::Sender<u64>,
}

impl Platform {
    /// Creates a platform without documents.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            documents: Mutex::default(),
            mode: Mutex::default(),
            calls: AtomicU64::new(0),
            changed: watch::Sender::new(0),
        })
    }

    /// Serves on `address`, where port 0 selects a free port, and on a free control port.
    pub async fn start(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let data = TcpListener::bind(address).await?;
        let control = TcpListener::bind((address.ip(), 0)).await?;
        let (address, control_address) = (data.local_addr()?, control.local_addr()?);
        let mut tasks = JoinSet::new();
        let platform = self.clone();
        tasks.spawn(serve(data, Arc::default(), move |request| {
            platform.clone().answer(request).map(Some)
        }));
        let platform = self.clone();
        tasks.spawn(serve(control, Arc::default(), move |request| {
            platform.clone().control(request).map(Some)
        }));
        Ok(ServerHandle { address, control: control_address, _tasks: tasks })
    }

    /// Publishes a document.
    pub fn publish(&self, name: DocumentName, revision: u64, text: impl Into<Bytes>) {
        let document = PublishedDocument { revision, text: text.into() };
        let mut documents = self.documents.lock();
        let history = documents.entry(name).or_default();
        history.first.get_or_insert_with(|| document.clone());
        history.last = Some(document);
        drop(documents);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Starts a fault, or ends it with [`PlatformMode::Normal`].
    pub fn set_mode(&self, mode: PlatformMode) {
        for history in self.documents.lock().values_mut() {
            history.frozen.clone_from(&history.last);
        }
        *self.mode.lock() = mode;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the number of calls at the data port, including calls that still wait.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mode = *self.mode.lock();
        match mode {
            PlatformMode::Silent => std::future::pending().await,
            PlatformMode::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            PlatformMode::Failing => return status_response(StatusCode::INTERNAL_SERVER_ERROR),
            PlatformMode::Rubbish => return document_response(&invalid_document()),
            PlatformMode::Normal | PlatformMode::Stale | PlatformMode::Backwards => {}
        }
        let Some(name) = DocumentName::of(request.uri().path()) else {
            return status_response(StatusCode::NOT_FOUND);
        };
        let query = request.uri().query().unwrap_or_default();
        let after = query_number(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        match timeout(wait, self.wait_for_newer(name, after)).await {
            Ok(document) => document_response(&document),
            Err(_) => self.document_newer_than(name, after).map_or_else(
                || status_response(StatusCode::NO_CONTENT),
                |document| document_response(&document),
            ),
        }
    }

    async fn wait_for_newer(&self, name: DocumentName, after: u64) -> PublishedDocument {
        let mut changes = self.changed.subscribe();
        loop {
            if let Some(document) = self.document_newer_than(name, after) {
                return document;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the document for a caller that has revision `after`; `None` if the caller must wait.
    fn document_newer_than(&self, name: DocumentName, after: u64) -> Option<PublishedDocument> {
        let documents = self.documents.lock();
        let history = documents.get(&name)?;
        match *self.mode.lock() {
            PlatformMode::Stale => {
                history.frozen.clone().filter(|document| document.revision != after)
            }
            PlatformMode::Backwards => history.first.clone(),
            _ => history.last.clone().filter(|document| document.revision > after),
        }
    }

    async fn control(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let query = parts.uri.query().unwrap_or_default();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/calls") => text_response(self.calls().to_string()),
            (&Method::PUT, "/mode") => match serde_json::from_slice(&body) {
                Ok(mode) => {
                    self.set_mode(mode);
                    status_response(StatusCode::OK)
                }
                Err(error) => bad_request(&error),
            },
            (&Method::PUT, path) => match (DocumentName::of(path), query_number(query, "revision"))
            {
                (Some(name), Some(revision)) => {
                    self.publish(name, revision, body);
                    status_response(StatusCode::OK)
                }
                _ => status_response(StatusCode::NOT_FOUND),
            },
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }
}

fn invalid_document() -> PublishedDocument {
    PublishedDocument { revision: u64::MAX, text: Bytes::from_static(b"\xff\xfe{{{") }
}

fn document_response(document: &PublishedDocument) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(document.text.clone()));
    response.headers_mut().insert(headers::REVISION, document.revision.into());
    response
}

pub(crate) fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

pub(crate) fn text_response(text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    Response::new(Full::new(text.into()))
}

pub(crate) fn bad_request(error: &serde_json::Error) -> Response<Full<Bytes>> {
    let mut response = text_response(format!("{error}\n"));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

pub(crate) fn query_value<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}
