//! Asks peers to relay a connection to a target.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use parking_lot::Mutex;
use spdlog::debug;
use thymeshift_links::Helpers;
use thymeshift_links::Unusable;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;
use thymeshift_wire::RelayOpen;
use thymeshift_wire::RelayReply;
use thymeshift_wire::read_relay_message;
use thymeshift_wire::set_dead_peer_timeouts;
use thymeshift_wire::write_relay_message;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::target_client::connector::Connect;
use crate::target_client::link_monitor::LinkMonitor;

/// Number of peers that must not reach a target either until it counts as out of reach. One peer
/// may have lost its links without knowing it yet.
const DENIALS_MIN: usize = 2;

/// Minimum interval between two requests to peers while the own links do not count as lost. Two
/// are enough to find them lost.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why no peer relays a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayFailure {
    /// Peers do not reach the target.
    Denied,
    /// No peer that was asked reaches targets and has room for a relay.
    NoHelp,
    /// This process knows no peer that relays connections.
    NoPeers,
}

/// Connection that a peer opened.
pub(super) struct RelayOpened {
    pub(super) stream: TcpStream,
    /// Time from the question to this peer until its answer.
    pub(super) took: Duration,
}

/// Asks peers, and remembers which of them help.
pub(super) struct RelayClient {
    fleet: Arc<Mutex<Fleet>>,
    helpers: Mutex<Helpers>,
    verification_due_at: Mutex<Timestamp>,
}

impl RelayClient {
    pub(super) fn new(fleet: Arc<Mutex<Fleet>>) -> Self {
        Self { fleet, helpers: Mutex::default(), verification_due_at: Mutex::default() }
    }

    /// Asks peers for a connection to a target that accepted none of this process, while the own
    /// links do not count as lost. Asks at most once per [`VERIFICATION_INTERVAL`], because many
    /// targets may refuse connections under overload, and peers would add to it.
    pub(super) async fn verify(
        &self,
        connect: Connect<'_>,
        links: &LinkMonitor,
    ) -> Result<RelayOpened, RelayFailure> {
        let now = BootClock.now();
        let is_due = {
            let mut due_at = self.verification_due_at.lock();
            let is_due = now >= *due_at;
            if is_due {
                *due_at = now + VERIFICATION_INTERVAL;
            }
            is_due
        };
        if is_due { self.open(connect, links).await } else { Err(RelayFailure::NoHelp) }
    }

    /// Opens a connection to a target through one of a few peers, which are asked in turn. Late
    /// answers are recorded in `links`.
    pub(super) async fn open(
        &self,
        connect: Connect<'_>,
        links: &LinkMonitor,
    ) -> Result<RelayOpened, RelayFailure> {
        let (origin, candidates) = self.candidates();
        if candidates.is_empty() {
            return Err(RelayFailure::NoPeers);
        }
        let denials_min = DENIALS_MIN.min(candidates.len());
        let mut denials = 0;
        let mut has_relaying_peer = false;
        for (vm, address) in candidates {
            let asked_at = BootClock.now();
            let asking = ask(&origin, address, connect);
            // The peer has the whole limit for its own connection, and the same time to answer.
            let asked = timeout(connect.limit * 2, asking).await;
            let asked = asked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
            has_relaying_peer |= !has_refused(&asked);
            let result = match &asked {
                Ok((_, reply)) => reply.to_string(),
                Err(_) => "no_answer".to_owned(),
            };
            debug!("relay_asked", kv: {
                request_id = connect.request_id, target: = connect.target, peer: = vm, result
            });
            counter!(metric::RELAYS_ASKED, "result" => result).increment(1);
            let now = BootClock.now();
            let mut helpers = self.helpers.lock();
            match asked {
                Ok((stream, RelayReply::Opened)) => {
                    helpers.record_helped(&vm);
                    return Ok(RelayOpened { stream, took: now.since(asked_at) });
                }
                Ok((_, RelayReply::Refused | RelayReply::TimedOut)) => {
                    denials += 1;
                    if denials >= denials_min {
                        return Err(RelayFailure::Denied);
                    }
                }
                // The peer's list of targets is older or newer than this process's.
                Ok((_, RelayReply::UnknownTarget)) => {}
                Ok((_, RelayReply::Busy)) => helpers.record_unusable(&vm, Unusable::Busy, now),
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    links.record_late_peer();
                    helpers.record_unusable(&vm, Unusable::Busy, now);
                }
                Ok((_, RelayReply::LinksLost | RelayReply::Stopping)) | Err(_) => {
                    helpers.record_unusable(&vm, Unusable::CannotHelp, now);
                }
            }
        }
        Err(if has_relaying_peer { RelayFailure::NoHelp } else { RelayFailure::NoPeers })
    }

    /// Forgets which peers helped, once this process reaches the targets again.
    pub(super) fn forget(&self) {
        self.helpers.lock().clear();
    }

    /// Returns this process's VM and the peers to ask, with their addresses.
    fn candidates(&self) -> (VmName, Vec<(VmName, SocketAddr)>) {
        let now = BootClock.now();
        let fleet = self.fleet.lock();
        let own = fleet.members.own();
        let serving = fleet.members.serving(now).filter(|member| member.datagram_address.is_some());
        let (near, far): (Vec<_>, Vec<_>) = serving
            .map(|member| (&member.vm, &member.data_hall))
            .partition(|(_, hall)| **hall == own.data_hall);
        let names =
            |members: Vec<(_, _)>| members.into_iter().map(|(vm, _)| vm).collect::<Vec<_>>();
        let (near, far) = (names(near), names(far));
        let candidates = self.helpers.lock().candidates(&near, &far, now, &mut rand::rng());
        let addressed = candidates.into_iter().filter_map(|vm| {
            let address = fleet.members.find(&vm)?.datagram_address?;
            Some((vm, address))
        });
        (own.vm.clone(), addressed.collect())
    }
}

/// Returns whether a peer refused the connection: it has ended, or its build relays no connections.
fn has_refused<T>(asked: &io::Result<T>) -> bool {
    asked.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Asks the peer at `address` for a connection and returns its reply.
async fn ask(
    origin: &VmName,
    address: SocketAddr,
    connect: Connect<'_>,
) -> io::Result<(TcpStream, RelayReply)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    set_dead_peer_timeouts(&stream)?;
    let open = RelayOpen {
        origin: origin.clone(),
        target: connect.target,
        limit_ms: connect.limit.as_millis() as u64,
        request_id: connect.request_id.to_owned(),
        is_about_silence: connect.is_about_silence,
    };
    write_relay_message(&mut stream, &open).await?;
    let reply = read_relay_message(&mut stream).await?;
    Ok((stream, reply))
}
