//! Relays connections to targets for peers that have lost their own links.
//!
//! A relay uses only this process's own links and is never relayed again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use spdlog::debug;
use spdlog::info;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::ServiceName;
use thymeshift_wire::RelayOpen;
use thymeshift_wire::RelayReply;
use thymeshift_wire::read_relay_message;
use thymeshift_wire::write_relay_frames;
use thymeshift_wire::write_relay_message;
use tokio::io::AsyncWriteExt;
use tokio::io::copy;
use tokio::io::split;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::control_plane::accept::Port;
use crate::control_plane::accept::accept;
use crate::control_plane::port_stream::PortStream;
use crate::shared::Shared;
use crate::target_client::ConnectError;

/// Maximum number of relayed connections at a time. Each takes two descriptors and up to 32 KiB, and
/// the requests of this process's own callers must not suffer.
const RELAYS_MAX: u64 = 128;
/// Maximum number of connections of peers, some of which are only refused.
const CONNECTIONS_MAX: usize = 256;
/// Maximum time for a peer to name the target after it has connected.
const OPEN_LIMIT: Duration = Duration::from_secs(1);
/// Upper bound of the time that a peer may ask for, for opening the connection to the target.
const CONNECT_LIMIT_MAX: Duration = Duration::from_secs(1);

/// Counts a relay as in progress until the guard is dropped.
struct RelayGuard(Arc<Shared>);

impl RelayGuard {
    /// Returns `None` if the maximum number of relays is in progress.
    fn new(shared: &Arc<Shared>) -> Option<Self> {
        let in_progress = shared.metrics.relays_in_progress.fetch_add(1, Ordering::Relaxed);
        let guard = Self(shared.clone());
        (in_progress < RELAYS_MAX).then_some(guard)
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.0.metrics.relays_in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves the relay port until the process stops; waits forever if there is no such port.
pub(crate) async fn run_target_relay(
    shared: Arc<Shared>,
    listener: Option<Arc<TcpListener>>,
) -> Result<(), TaskError> {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    let port = Port { connections_max: CONNECTIONS_MAX, failed_event: "relay_accept_failed" };
    accept(&listener, port, &shared.port_stop, |stream| {
        let shared = shared.clone();
        async move {
            if let Err(error) = relay(&shared, stream).await {
                // The peer sees the same end and decides what it means for its request.
                debug!("relay_broken", kv: { error: = error });
            }
        }
    })
    .await
}

async fn relay(shared: &Arc<Shared>, mut stream: PortStream) -> std::io::Result<()> {
    let open: RelayOpen = timeout(OPEN_LIMIT, read_relay_message(&mut stream)).await??;
    let guard = RelayGuard::new(shared);
    let connected = match &guard {
        Some(_) => connect(shared, &open).await,
        None => Err(RelayReply::Busy),
    };
    let reply = connected.as_ref().map_or_else(|reply| *reply, |_| RelayReply::Opened);
    counter!(metric::RELAYS_SERVED, "result" => reply.to_string()).increment(1);
    if shared.allows_request_log_line() {
        info!("relay_served", kv: {
            request_id = open.request_id, origin: = open.origin, target: = open.target,
            result: = reply
        });
    }
    write_relay_message(&mut stream, &reply).await?;
    match connected {
        Ok(target) => copy_both_ways(stream, target).await,
        Err(_) => Ok(()),
    }
}

async fn connect(shared: &Shared, open: &RelayOpen) -> Result<TcpStream, RelayReply> {
    if shared.is_stopping() {
        return Err(RelayReply::Stopping);
    }
    let links = shared.connector.links();
    // Targets that answer nobody accept connections of every process.
    if links.is_lost() || (open.is_about_silence && links.may_be_unanswered()) {
        return Err(RelayReply::LinksLost);
    }
    let service = service_of(shared, open.target).ok_or(RelayReply::UnknownTarget)?;
    let limit = Duration::from_millis(open.limit_ms).min(CONNECT_LIMIT_MAX);
    let opened = shared.connector.open_direct(&service, open.target, limit).await;
    opened.map_err(|error| match error {
        ConnectError::TimedOut { .. } => RelayReply::TimedOut,
        _ => RelayReply::Refused,
    })
}

/// Returns a service that has a target with this address.
fn service_of(shared: &Shared, address: SocketAddr) -> Option<ServiceName> {
    let routing = shared.routing()?;
    let has_target = |service: &&thymeshift_config::Service| {
        service.targets.iter().any(|target| target.address == address)
    };
    let services = &routing.configuration.services;
    services.iter().find(has_target).map(|service| service.name.clone())
}

/// Copies bytes until either side ends, and then closes both connections.
async fn copy_both_ways(stream: PortStream, mut target: TcpStream) -> std::io::Result<()> {
    let (mut from_peer, mut to_peer) = split(stream);
    let (mut from_target, mut to_target) = target.split();
    tokio::select! {
        // The peer closes its connection after the answer, or when its caller has left.
        sent = copy(&mut from_peer, &mut to_target) => sent.map(drop),
        answered = write_relay_frames(&mut from_target, &mut to_peer) => {
            answered?;
            to_peer.shutdown().await
        }
    }
}
