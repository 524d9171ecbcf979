//! RPC server for exchanges and document fetches of peers.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::Channel;
use thymeshift_fleet::GossipScope;
use thymeshift_fleet::Head;
use thymeshift_fleet::Transfer;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_wire::CALLS_PER_CONNECTION_MAX;
use thymeshift_wire::Document;
use thymeshift_wire::Exchange;
use thymeshift_wire::PeerLink;
use thymeshift_wire::peer_channel;
use tokio::net::TcpListener;

use crate::control_plane::accept::Port;
use crate::control_plane::accept::accept;
use crate::control_plane::peer_link::apply_summary;
use crate::control_plane::peer_link::exchange_once;
use crate::shared::Shared;

/// Maximum number of concurrent peer connections.
const PEER_CONNECTIONS_MAX: usize = 1_024;

/// Serves peer connections until the process stops.
pub(crate) async fn run_peer_server(
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
) -> Result<(), TaskError> {
    let port = Port { connections_max: PEER_CONNECTIONS_MAX, failed_event: "peer_accept_failed" };
    accept(&listener, port, &shared.port_stop, |stream| {
        let server = PeerServer { shared: shared.clone() };
        let channel = peer_channel(stream, server.shared.links.bytes());
        let calls = channel.execute(server.serve());
        calls.for_each_concurrent(CALLS_PER_CONNECTION_MAX, |call| call)
    })
    .await
}

#[derive(Clone)]
struct PeerServer {
    shared: Arc<Shared>,
}

impl PeerLink for PeerServer {
    async fn exchange(self, _: Context, summary: Exchange) -> Exchange {
        let wanted = apply_summary(&self.shared, &summary);
        if !wanted.is_empty()
            && let Some(sender) = summary.members.first()
        {
            self.fetch_from(sender.member.peer_address);
        }
        let now = BootClock.now();
        let mut answer = self.shared.fleet.lock().answer(&summary, now, &mut rand::rng());
        answer.rate_limits = self.shared.rate_limit_updates();
        answer
    }

    async fn fetch(self, _: Context, document: Document, have: Option<Head>) -> Transfer {
        let transfer = self.shared.fleet.lock().document(document).transfer(have);
        match transfer {
            Transfer::Whole(_) if !self.shared.links.try_begin_transfer(BootClock.now()) => {
                Transfer::Busy
            }
            transfer => transfer,
        }
    }
}

impl PeerServer {
    /// Starts an exchange with the calling peer to fetch the peer's newer documents.
    fn fetch_from(&self, address: SocketAddr) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            // `exchange_once` counts and logs a failure; the next exchange retries the fetch.
            let _ = exchange_once(&shared, address, GossipScope::SenderOnly).await;
        });
    }
}
