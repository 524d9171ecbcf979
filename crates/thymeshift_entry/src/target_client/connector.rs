//! Opens connections to targets: over this process's own links, or through a peer.
//!
//! A target that accepts no connection is tried through a peer before it counts as unreachable.
//! While this process has lost its links, only peers are asked.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use futures::future::Either;
use futures::future::select;
use parking_lot::Mutex;
use thymeshift_links::ConnectFailure;
use thymeshift_links::FailedConnect;
use thymeshift_links::PeerAnswer;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_types::Timestamp;
use thymeshift_wire::set_dead_peer_timeouts;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::target_client::link_monitor::LinkMonitor;
use crate::target_client::relay_client::RelayClient;
use crate::target_client::relay_client::RelayFailure;
use crate::target_client::relay_client::RelayOpened;

/// Time after which a peer is asked while the own connection is still being opened. Several times
/// the round trip to a target, so that a slow target is rarely asked for twice.
const RELAY_AFTER: Duration = Duration::from_millis(15);

/// Time for which a connection must last that checks whether its target still listens.
const CHECK_LASTS_MIN: Duration = Duration::from_millis(10);
/// Time for which a connection must last to prove that lost links work again. Longer than a check,
/// because no request waits for it and a wrong proof costs requests.
const TRIAL_LASTS_MIN: Duration = Duration::from_millis(100);

/// Reason why a connection could not be opened. No byte of a request was sent.
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
    #[display("this process has lost its links, and its peers do not reach the target either")]
    DeniedByPeers,
    #[display("this process has lost its links, and no peer relays a connection")]
    NoPath,
}

impl ConnectError {
    /// Returns the value of the metric label `reason`.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::TimedOut { .. } => "timed_out",
            Self::Refused { source } => match source.kind() {
                io::ErrorKind::ConnectionRefused => "refused",
                io::ErrorKind::ConnectionReset => "reset",
                _ => "failed",
            },
            Self::Handshake { .. } => "handshake",
            Self::ShareInUse { .. } => "share_in_use",
            Self::DeniedByPeers => "denied_by_peers",
            Self::NoPath => "no_path",
        }
    }

    /// Returns what the error proves about the links. Of the errors of the system, only refusals and
    /// resets come from the other end of the path.
    fn failure(&self) -> ConnectFailure {
        let is_refused = |kind: io::ErrorKind| {
            matches!(kind, io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
        };
        match self {
            Self::Refused { source } if is_refused(source.kind()) => ConnectFailure::Refused,
            _ => ConnectFailure::Slow,
        }
    }

    /// Returns whether the error says that the target is out of reach, and not only for this process.
    pub(crate) fn blames_target(&self) -> bool {
        !matches!(self, Self::ShareInUse { .. } | Self::NoPath)
    }
}

/// Path of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Path {
    /// Over this process's own links.
    Direct,
    /// Through a peer.
    Relayed,
}

/// Open connection to a target.
pub(crate) struct OpenedConnection {
    pub(crate) stream: TcpStream,
    pub(crate) path: Path,
}

impl OpenedConnection {
    pub(super) fn direct(stream: TcpStream) -> Self {
        Self { stream, path: Path::Direct }
    }

    fn relayed(stream: TcpStream) -> Self {
        Self { stream, path: Path::Relayed }
    }
}

/// Connection to open.
#[derive(Clone, Copy)]
pub(crate) struct Connect<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) target: SocketAddr,
    /// Maximum time for opening the connection over one path.
    pub(crate) limit: Duration,
    /// Identifier of the request that the connection is for.
    pub(crate) request_id: &'a str,
    /// Whether peers are asked because targets do not answer.
    pub(crate) is_about_silence: bool,
}

/// Opens connections to the targets of all services and records how they fare.
pub(crate) struct Connector {
    source_address: Option<IpAddr>,
    links: LinkMonitor,
    relays: RelayClient,
}

impl Connector {
    /// Creates a connector whose connections have `source_address`, or one that the system chooses.
    pub(crate) fn new(source_address: Option<IpAddr>, fleet: &Arc<Mutex<Fleet>>) -> Self {
        let relays = RelayClient::new(fleet.clone());
        Self { source_address, links: LinkMonitor::default(), relays }
    }

    pub(crate) fn links(&self) -> &LinkMonitor {
        &self.links
    }

    /// Opens a connection to a target, through a peer if the own links fail.
    pub(crate) async fn open(
        &self,
        connect: Connect<'_>,
    ) -> Result<OpenedConnection, ConnectError> {
        if self.links.is_lost() {
            return self.open_relayed(connect).await;
        }
        let began_at = BootClock.now();
        let own_ended = Notify::new();
        let direct = async {
            let opened = self.open_direct(connect.service, connect.target, connect.limit).await;
            own_ended.notify_one();
            opened
        };
        let relayed = async {
            // The own connection has a head start, which its failure ends.
            let _ = timeout(RELAY_AFTER, own_ended.notified()).await;
            self.relays.verify(connect, &self.links).await
        };
        let (relayed, error) = match select(pin!(direct), pin!(relayed)).await {
            Either::Left((Ok(stream), _)) => return Ok(OpenedConnection::direct(stream)),
            Either::Left((Err(error), relayed)) => (relayed.await, error),
            Either::Right((Ok(relayed), _)) => {
                self.record_reached_by_peer(connect, began_at, ConnectFailure::Slow, &relayed);
                return Ok(OpenedConnection::relayed(relayed.stream));
            }
            Either::Right((Err(failure), direct)) => match direct.await {
                Ok(stream) => return Ok(OpenedConnection::direct(stream)),
                Err(error) => (Err(failure), error),
            },
        };
        match relayed {
            Ok(relayed) => {
                self.record_reached_by_peer(connect, began_at, error.failure(), &relayed);
                Ok(OpenedConnection::relayed(relayed.stream))
            }
            Err(_) => Err(error),
        }
    }

    /// Records that a peer opened a connection that this process, from `began_at` on, did not.
    fn record_reached_by_peer(
        &self,
        connect: Connect<'_>,
        began_at: Timestamp,
        failure: ConnectFailure,
        relayed: &RelayOpened,
    ) {
        let failed = FailedConnect { target: connect.target, began_at, failure };
        let answer = PeerAnswer { took: relayed.took, limit: connect.limit };
        self.links.record_reached_by_peer(&failed, answer);
    }

    /// Opens a connection through a peer, while the own links are lost.
    async fn open_relayed(&self, connect: Connect<'_>) -> Result<OpenedConnection, ConnectError> {
        match self.relays.open(connect, &self.links).await {
            Ok(relayed) => {
                self.links.record_path();
                Ok(OpenedConnection::relayed(relayed.stream))
            }
            Err(RelayFailure::Denied) => Err(ConnectError::DeniedByPeers),
            Err(RelayFailure::NoHelp | RelayFailure::NoPeers) => {
                self.links.record_no_path();
                Err(ConnectError::NoPath)
            }
        }
    }

    /// Checks whether a target accepts connections, of this process or of a peer. Without an answer
    /// of the peers there are, the check is inconclusive and fails with [`ConnectError::NoPath`].
    pub(crate) async fn check(&self, connect: Connect<'_>) -> Result<(), ConnectError> {
        if self.links.is_lost() {
            return self.open_relayed(connect).await.map(drop);
        }
        let began_at = BootClock.now();
        let Err(error) = self.open_lasting(connect, CHECK_LASTS_MIN).await else {
            return Ok(());
        };
        match self.relays.open(connect, &self.links).await {
            Ok(relayed) => {
                self.record_reached_by_peer(connect, began_at, error.failure(), &relayed);
                Ok(())
            }
            Err(RelayFailure::Denied | RelayFailure::NoPeers) => Err(error),
            Err(RelayFailure::NoHelp) => Err(ConnectError::NoPath),
        }
    }

    /// Tries the own links to a target while they are lost.
    pub(crate) async fn try_direct(&self, connect: Connect<'_>) -> Result<TcpStream, ConnectError> {
        self.open_lasting(connect, TRIAL_LASTS_MIN).await
    }

    /// Opens a connection over this process's own links and waits until it has lasted for `lasts_min`.
    /// A device on the way may accept connections and then reset them.
    async fn open_lasting(
        &self,
        connect: Connect<'_>,
        lasts_min: Duration,
    ) -> Result<TcpStream, ConnectError> {
        let Connect { service, target, limit, .. } = connect;
        let began_at = BootClock.now();
        let stream = self.open_direct(service, target, limit).await?;
        if timeout(lasts_min, stream.readable()).await.is_err() {
            self.record_connected();
            return Ok(stream);
        }
        let error = ConnectError::Refused { source: io::ErrorKind::ConnectionReset.into() };
        self.record_missed(service, target, began_at, &error);
        Err(error)
    }

    fn record_missed(
        &self,
        service: &ServiceName,
        target: SocketAddr,
        began_at: Timestamp,
        error: &ConnectError,
    ) {
        let failed = FailedConnect { target, began_at, failure: error.failure() };
        self.links.record_missed(service, &failed, error);
    }

    /// Records an answer over one of this process's own connections, whether it is the first one over
    /// a new connection, and the time that it took, if it answers a caller's request.
    pub(crate) fn record_answer(&self, is_new: bool, took: Option<Duration>) {
        if self.links.record_answer(took) {
            self.relays.forget();
        }
        if is_new {
            self.record_connected();
        }
    }

    /// Records bytes of an answer's body over one of this process's own connections.
    pub(crate) fn record_body(&self) {
        if self.links.record_body() {
            self.relays.forget();
        }
    }

    /// Asks peers whether they reach a target that does not answer this process. Returns the answer of
    /// a peer that does, with its connection to the target.
    pub(crate) async fn ask_about_silence(
        &self,
        connect: Connect<'_>,
    ) -> Option<(PeerAnswer, OpenedConnection)> {
        let relayed = self.relays.open(connect, &self.links).await.ok()?;
        let answer = PeerAnswer { took: relayed.took, limit: connect.limit };
        Some((answer, OpenedConnection::relayed(relayed.stream)))
    }

    fn record_connected(&self) {
        if self.links.record_connected() {
            self.relays.forget();
        }
    }

    /// Opens a connection over this process's own links within `limit`. It counts as proof that the
    /// links work only once an answer arrives over it.
    pub(crate) async fn open_direct(
        &self,
        service: &ServiceName,
        target: SocketAddr,
        limit: Duration,
    ) -> Result<TcpStream, ConnectError> {
        let began_at = BootClock.now();
        let opened = match timeout(limit, self.connect(target)).await {
            Ok(connected) => connected.map_err(|source| ConnectError::Refused { source }),
            Err(_) => Err(ConnectError::TimedOut { limit }),
        };
        if let Err(error) = &opened {
            self.record_missed(service, target, began_at, error);
        }
        opened
    }

    /// Returns whether neither this process nor a peer has reached a target lately, so that a
    /// request can be refused at once.
    pub(crate) fn has_no_path(&self, now: Timestamp) -> bool {
        self.links.has_no_path(now)
    }

    async fn connect(&self, target: SocketAddr) -> io::Result<TcpStream> {
        let stream = match self.source_address {
            None => TcpStream::connect(target).await?,
            Some(source) => {
                let socket = match target {
                    SocketAddr::V4(_) => TcpSocket::new_v4()?,
                    SocketAddr::V6(_) => TcpSocket::new_v6()?,
                };
                socket.bind(SocketAddr::new(source, 0))?;
                socket.connect(target).await?
            }
        };
        stream.set_nodelay(true)?;
        set_dead_peer_timeouts(&stream)?;
        Ok(stream)
    }
}
