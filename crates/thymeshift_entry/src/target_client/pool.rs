//! Connections to the targets of one service, within this VM's share.
//!
//! A connection is in the pool only while it is idle and its last answer was complete.
//! Whatever else happens to it (an error, a cancelled request, an answer cut off), it is
//! closed, so that late bytes cannot become another request's answer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderName;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use metrics::Counter;
use metrics::counter;
use parking_lot::Mutex;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_types::Timestamp;
use thymeshift_wire::end_if_silent;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::target_client::RequestBody;

/// Longest wait for an idle connection to finish what it was doing.
const READY_LIMIT: Duration = Duration::from_millis(5);

/// A connection that could not be opened. No byte of a request was sent.
#[derive(Debug, Display, Error)]
pub(crate) enum ConnectError {
    #[display("not open within {limit:?}")]
    TimedOut { limit: Duration },
    #[display("{source}")]
    Refused { source: io::Error },
    #[display("{source}")]
    Handshake { source: hyper::Error },
    #[display("the share of {share} connections is in use")]
    ShareInUse { share: u32 },
}

/// The header in which a target tells how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Part of that time for which a connection is used: the target may close it at the very
/// moment in which the next request is sent.
const IDLE_SHARE: f64 = 0.8;

/// The seconds in `timeout=5, max=100`.
fn keep_alive_seconds(text: &str) -> Option<u64> {
    let mut fields = text.split(',');
    fields.find_map(|field| field.trim().strip_prefix("timeout=")?.parse().ok())
}

#[derive(Default)]
struct PerTarget {
    idle: Vec<Idle>,
    open: u32,
}

struct Idle {
    connection: RawConnection,
    since: Timestamp,
    /// When the target may close it, as far as it told.
    until: Option<Timestamp>,
}

struct RawConnection {
    sender: SendRequest<RequestBody>,
    driver: AbortHandle,
}

/// The pool of one service.
pub(crate) struct Pool {
    share: Mutex<u32>,
    targets: Mutex<HashMap<SocketAddr, PerTarget>>,
    opened: Counter,
}

/// A connection in use. Dropped, it is closed; [`Connection::put_back`] keeps it.
pub(crate) struct Connection {
    pool: Arc<Pool>,
    address: SocketAddr,
    raw: Option<RawConnection>,
    /// How long the target says that it keeps the connection while it is idle.
    idle_max: Option<Duration>,
    /// Whether the drop of this value ends the connection.
    is_in_use: bool,
}

impl Pool {
    pub(crate) fn new(service: &ServiceName, share: u32) -> Arc<Self> {
        let name = service.as_str().to_owned();
        let opened = counter!(metric::TARGET_CONNECTIONS_OPENED, "service" => name);
        let targets = Mutex::new(HashMap::new());
        Arc::new(Self { share: Mutex::new(share), targets, opened })
    }

    pub(crate) fn set_share(&self, share: u32) {
        *self.share.lock() = share;
    }

    /// An idle connection that is still open, the most recently used first.
    pub(crate) async fn idle(self: &Arc<Self>, address: SocketAddr) -> Option<Connection> {
        loop {
            let idle = self.targets.lock().get_mut(&address)?.idle.pop()?;
            let is_old = idle.until.is_some_and(|until| BootClock.now() >= until);
            let mut connection = self.in_use(address, idle.connection);
            if !is_old && connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    /// A new connection. Beyond the share an idle one is closed first.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ConnectError> {
        let mut connection = self.reserve(address)?;
        let opening = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            end_if_silent(&stream)?;
            io::Result::Ok(stream)
        };
        let Ok(opened) = timeout(limit, opening).await else {
            return Err(ConnectError::TimedOut { limit });
        };
        let stream = opened.map_err(|source| ConnectError::Refused { source })?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, driving) = handshake.map_err(|source| ConnectError::Handshake { source })?;
        let driver = tokio::spawn(async move {
            // Its errors reach whoever uses the connection.
            let _ = driving.await;
        });
        connection.raw = Some(RawConnection { sender, driver: driver.abort_handle() });
        self.opened.increment(1);
        Ok(connection)
    }

    /// Counts a connection before it is opened, so that the share holds at every moment.
    fn reserve(self: &Arc<Self>, address: SocketAddr) -> Result<Connection, ConnectError> {
        let share = *self.share.lock();
        let mut targets = self.targets.lock();
        let target = targets.entry(address).or_default();
        let closed = if target.open >= share { target.idle.pop() } else { None };
        if target.open >= share && closed.is_none() {
            return Err(ConnectError::ShareInUse { share });
        }
        if let Some(idle) = closed {
            idle.connection.driver.abort();
            target.open -= 1;
        }
        target.open += 1;
        Ok(Connection { pool: self.clone(), address, raw: None, idle_max: None, is_in_use: true })
    }

    fn in_use(self: &Arc<Self>, address: SocketAddr, raw: RawConnection) -> Connection {
        Connection { pool: self.clone(), address, raw: Some(raw), idle_max: None, is_in_use: true }
    }

    /// Closes connections that were idle for longer than `idle_max`, or that are broken.
    pub(crate) fn sweep(&self, idle_max: Duration, now: Timestamp) {
        let mut targets = self.targets.lock();
        for target in targets.values_mut() {
            let before = target.idle.len();
            target.idle.retain(|idle| {
                let is_kept =
                    now.since(idle.since) < idle_max && !idle.connection.sender.is_closed();
                if !is_kept {
                    idle.connection.driver.abort();
                }
                is_kept
            });
            target.open -= (before - target.idle.len()) as u32;
        }
        targets.retain(|_, target| target.open > 0);
    }

    fn closed(&self, address: SocketAddr) {
        if let Some(target) = self.targets.lock().get_mut(&address) {
            target.open -= 1;
        }
    }
}

impl Connection {
    /// The sender of a request on this connection.
    pub(crate) fn sender(&mut self) -> Option<&mut SendRequest<RequestBody>> {
        self.raw.as_mut().map(|raw| &mut raw.sender)
    }

    /// Notes how long the target says that it keeps the connection while it is idle.
    pub(crate) fn record_keep_alive(&mut self, map: &HeaderMap) {
        let told = map.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
        let seconds = told.and_then(keep_alive_seconds);
        self.idle_max = seconds.map(|seconds| Duration::from_secs(seconds).mul_f64(IDLE_SHARE));
    }

    async fn is_usable(&mut self) -> bool {
        let Some(sender) = self.sender() else {
            return false;
        };
        if sender.is_closed() {
            return false;
        }
        // The connection's task may not yet have seen the end of the last answer; it also
        // looks for bytes beyond it, which close the connection.
        matches!(timeout(READY_LIMIT, sender.ready()).await, Ok(Ok(())))
    }

    /// Keeps the connection for another request. Only after a complete answer.
    pub(crate) fn put_back(mut self) {
        let Some(raw) = self.raw.take() else {
            return;
        };
        if raw.sender.is_closed() {
            self.raw = Some(raw);
            return;
        }
        let mut targets = self.pool.targets.lock();
        let target = targets.entry(self.address).or_default();
        let since = BootClock.now();
        let until = self.idle_max.map(|idle_max| since + idle_max);
        target.idle.push(Idle { connection: raw, since, until });
        drop(targets);
        self.is_in_use = false;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.is_in_use {
            return;
        }
        if let Some(raw) = &self.raw {
            raw.driver.abort();
        }
        self.pool.closed(self.address);
    }
}
