//! Pool of connections to the targets of one service, within this VM's share of connections.
//!
//! A connection is in the pool only while it is idle and its last answer was complete.
//! A connection is closed after an error, a cancelled request or an incomplete answer.
//! Otherwise, late bytes on the connection could become another request's answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use metrics::Counter;
use metrics::counter;
use parking_lot::Mutex;
use thymeshift_links::AnswerTrial;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_types::Timestamp;
use tokio::time::timeout;

use crate::message_parts::MessageParts;
use crate::message_parts::READ_BUFFER_BYTES;
use crate::target_client::Connector;
use crate::target_client::RequestBody;
use crate::target_client::connection_task::ConnectionTask;
use crate::target_client::connector::Connect;
use crate::target_client::connector::ConnectError;
use crate::target_client::connector::OpenedConnection;
use crate::target_client::connector::Path;
use crate::target_client::target_stream::DirectReads;
use crate::target_client::target_stream::TargetStream;

/// Maximum wait for an idle connection to become ready for the next request.
const READY_LIMIT: Duration = Duration::from_millis(5);

/// Header in which a target states how long it keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Fraction of the target's keep-alive timeout for which an idle connection is used.
/// At the end of the timeout, the target may close the connection just as a request is sent.
const IDLE_FRACTION: f64 = 0.8;

/// Returns the timeout in seconds of a `keep-alive` value such as `timeout=5, max=100`.
fn keep_alive_seconds(text: &str) -> Option<u64> {
    let mut fields = text.split(',');
    fields.find_map(|field| field.trim().strip_prefix("timeout=")?.parse().ok())
}

#[derive(Default)]
struct TargetConnections {
    idle: Vec<IdleConnection>,
    open: u32,
}

struct IdleConnection {
    connection: RawConnection,
    since: Timestamp,
    /// Time from which the target may close the connection, if the target stated one.
    until: Option<Timestamp>,
}

struct RawConnection {
    sender: SendRequest<RequestBody>,
    task: ConnectionTask,
    parts: MessageParts,
}

/// Connection pool of one service.
pub(crate) struct Pool {
    service: ServiceName,
    connector: Arc<Connector>,
    share: Mutex<u32>,
    targets: Mutex<HashMap<SocketAddr, TargetConnections>>,
    opened: Counter,
}

/// Connection in use, which is closed on drop unless [`Connection::put_back`] returns it.
pub(crate) struct Connection {
    pool: Arc<Pool>,
    address: SocketAddr,
    raw: Option<RawConnection>,
    path: Path,
    /// Whether no request has been sent on the connection before.
    is_new: bool,
    /// Time for which the connection may stay idle in the pool, if the target stated a timeout.
    idle_max: Option<Duration>,
    /// Whether dropping this value closes the connection.
    is_in_use: bool,
}

impl Pool {
    pub(crate) fn new(service: &ServiceName, share: u32, connector: &Arc<Connector>) -> Arc<Self> {
        let name = service.as_str().to_owned();
        let opened = counter!(metric::TARGET_CONNECTIONS_OPENED, "service" => name);
        let targets = Mutex::new(HashMap::new());
        Arc::new(Self {
            service: service.clone(),
            connector: connector.clone(),
            share: Mutex::new(share),
            targets,
            opened,
        })
    }

    pub(crate) fn set_share(&self, share: u32) {
        *self.share.lock() = share;
    }

    /// Returns the most recently used idle connection that is still usable, if there is one.
    pub(crate) async fn idle(self: &Arc<Self>, address: SocketAddr) -> Option<Connection> {
        loop {
            let idle = self.targets.lock().get_mut(&address)?.idle.pop()?;
            let is_old = idle.until.is_some_and(|until| BootClock.now() >= until);
            let is_dead = self.connector.links().is_silent();
            let mut connection = self.activate(address, idle.connection);
            if !is_old && !is_dead && connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    /// Opens a connection within `limit`, through a peer if this process's own links fail. If the
    /// share is in use, closes an idle connection first.
    ///
    /// Returns a [`ConnectError`] if the whole share is in use, or if the connection fails to open.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: Duration,
        request_id: &str,
    ) -> Result<Connection, ConnectError> {
        let connection = self.reserve(address)?;
        let connect = self.connect_to(address, limit, request_id);
        let opened = self.connector.open(connect).await?;
        self.handshake(connection, opened).await
    }

    /// Opens a connection within `limit`, over this process's own links only.
    pub(crate) async fn connect_direct(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ConnectError> {
        let connection = self.reserve(address)?;
        let stream = self.connector.open_direct(&self.service, address, limit).await?;
        self.handshake(connection, OpenedConnection::direct(stream)).await
    }

    /// Uses a connection to a target that was opened through a peer.
    pub(crate) async fn relayed(
        self: &Arc<Self>,
        address: SocketAddr,
        opened: OpenedConnection,
    ) -> Result<Connection, ConnectError> {
        let connection = self.reserve(address)?;
        self.handshake(connection, opened).await
    }

    /// Tries this process's own links to a target, and keeps the connection if it lasts.
    pub(crate) async fn try_links(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<(), ConnectError> {
        let connection = self.reserve(address)?;
        let connect = self.connect_to(address, limit, "trial");
        let stream = self.connector.try_direct(connect).await?;
        self.handshake(connection, OpenedConnection::direct(stream)).await?.put_back();
        Ok(())
    }

    /// Checks within `limit` whether a target accepts connections, of this process or of a peer.
    pub(crate) async fn check(
        &self,
        address: SocketAddr,
        limit: Duration,
        request_id: &str,
    ) -> Result<(), ConnectError> {
        let connect = self.connect_to(address, limit, request_id);
        self.connector.check(connect).await
    }

    fn connect_to<'a>(
        &'a self,
        target: SocketAddr,
        limit: Duration,
        request_id: &'a str,
    ) -> Connect<'a> {
        Connect { service: &self.service, target, limit, request_id, is_about_silence: false }
    }

    /// Records an answer over a connection of this pool, and the time that it took, if it answers a
    /// caller's request.
    pub(crate) fn record_answer(&self, connection: &Connection, took: Option<Duration>) {
        connection.record_part();
        if connection.path == Path::Direct {
            self.connector.record_answer(connection.is_new, took);
        }
    }

    /// Records bytes of an answer's body over a connection of this pool.
    fn record_body(&self, connection: &Connection) {
        if connection.path == Path::Direct {
            self.connector.record_body();
        }
    }

    async fn handshake(
        &self,
        mut connection: Connection,
        opened: OpenedConnection,
    ) -> Result<Connection, ConnectError> {
        connection.path = opened.path;
        let direct_reads = DirectReads::default();
        let parts = MessageParts::new(READ_BUFFER_BYTES);
        let stream = TargetStream::new(opened, direct_reads.clone(), parts.clone());
        let mut builder = http1::Builder::new();
        let builder = builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|source| ConnectError::Handshake { source })?;
        let task = ConnectionTask::spawn(driver, direct_reads);
        connection.raw = Some(RawConnection { sender, task, parts });
        self.opened.increment(1);
        Ok(connection)
    }

    /// Returns whether a probe may be sent: the own links work, or the probe should try them.
    pub(crate) fn may_probe(&self) -> bool {
        let links = self.connector.links();
        !links.is_lost() || links.take_answer_trial(AnswerTrial::Preferred)
    }

    /// Counts a connection before it is opened, so that the share is never exceeded.
    fn reserve(self: &Arc<Self>, address: SocketAddr) -> Result<Connection, ConnectError> {
        let share = *self.share.lock();
        let mut targets = self.targets.lock();
        let target = targets.entry(address).or_default();
        let evicted = if target.open >= share { target.idle.pop() } else { None };
        if target.open >= share && evicted.is_none() {
            return Err(ConnectError::ShareInUse { share });
        }
        if let Some(idle) = evicted {
            idle.connection.task.abort();
            target.open -= 1;
        }
        target.open += 1;
        Ok(self.connection(address, None))
    }

    fn activate(self: &Arc<Self>, address: SocketAddr, raw: RawConnection) -> Connection {
        self.connection(address, Some(raw))
    }

    fn connection(self: &Arc<Self>, address: SocketAddr, raw: Option<RawConnection>) -> Connection {
        Connection {
            pool: self.clone(),
            address,
            is_new: raw.is_none(),
            raw,
            path: Path::Direct,
            idle_max: None,
            is_in_use: true,
        }
    }

    /// Closes idle connections that have been idle for at least `idle_max` or are broken.
    pub(crate) fn sweep(&self, idle_max: Duration, now: Timestamp) {
        let mut targets = self.targets.lock();
        for target in targets.values_mut() {
            let idle_count = target.idle.len();
            target.idle.retain(|idle| {
                let is_kept =
                    now.since(idle.since) < idle_max && !idle.connection.sender.is_closed();
                if !is_kept {
                    idle.connection.task.abort();
                }
                is_kept
            });
            target.open -= (idle_count - target.idle.len()) as u32;
        }
        targets.retain(|_, target| target.open > 0);
    }

    fn record_closed(&self, address: SocketAddr) {
        if let Some(target) = self.targets.lock().get_mut(&address) {
            target.open -= 1;
        }
    }
}

impl Connection {
    /// Returns hyper's handle for sending a request on this connection.
    pub(crate) fn sender(&mut self) -> Option<&mut SendRequest<RequestBody>> {
        self.record_part();
        self.raw.as_mut().map(|raw| &mut raw.sender)
    }

    /// Returns the task that reads and writes the connection.
    pub(crate) fn task(&self) -> Option<ConnectionTask> {
        self.raw.as_ref().map(|raw| raw.task.clone())
    }

    /// Limits the connection's idle time according to the `keep-alive` header of an answer.
    pub(crate) fn record_keep_alive(&mut self, headers: &HeaderMap) {
        let header = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
        let seconds = header.and_then(keep_alive_seconds);
        self.idle_max = seconds.map(|seconds| Duration::from_secs(seconds).mul_f64(IDLE_FRACTION));
    }

    async fn is_usable(&mut self) -> bool {
        let Some(sender) = self.sender() else {
            return false;
        };
        if sender.is_closed() {
            return false;
        }
        // The connection's task may not yet have read the end of the last answer.
        // The task also closes the connection if further bytes follow the last answer.
        matches!(timeout(READY_LIMIT, sender.ready()).await, Ok(Ok(())))
    }

    /// Records that bytes of an answer's body arrived.
    pub(crate) fn record_body(&self) {
        self.record_part();
        self.pool.record_body(self);
    }

    /// Records that a part of an answer is complete, or that one begins.
    fn record_part(&self) {
        if let Some(raw) = &self.raw {
            raw.parts.record_part();
        }
    }

    /// Returns the path over which the connection reaches the target.
    pub(crate) fn path(&self) -> Path {
        self.path
    }

    /// Returns the connection to the pool. Must be called only after a complete answer.
    ///
    /// A relayed connection is closed: the peer counts it as a request in progress, which a planned
    /// stop of the peer waits for.
    pub(crate) fn put_back(mut self) {
        if self.path == Path::Relayed {
            return;
        }
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
        target.idle.push(IdleConnection { connection: raw, since, until });
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
            raw.task.abort();
        }
        self.pool.record_closed(self.address);
    }
}
