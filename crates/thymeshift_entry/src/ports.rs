//! Ports that an entry process listens on.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use thymeshift_config::Settings;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;

/// Number of free UDP ports that are tried until the TCP port of the same number is free, too.
const FREE_PORT_TRIES_MAX: u32 = 16;

/// Maximum number of connections that wait to be accepted.
/// If the backlog is full, the TCP stack of a caller retries the connection only after a second.
const ACCEPT_BACKLOG: u32 = 4_096;

/// Error that prevents the start of the process.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[display("listening for {purpose} on {address}: {source}")]
    Listen {
        /// Purpose of the address, such as `callers`.
        purpose: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// I/O error of binding or listening.
        source: io::Error,
    },
    /// Handlers for SIGTERM and SIGINT cannot be installed.
    #[display("receiving signals: {source}")]
    Signals {
        /// I/O error of the signal registration.
        source: io::Error,
    },
}

/// Listeners of the ports that every process has.
pub(crate) struct Listeners {
    pub(crate) caller: Arc<TcpListener>,
    pub(crate) peer: Arc<TcpListener>,
    pub(crate) control: Arc<TcpListener>,
    pub(crate) observe: Arc<TcpListener>,
}

impl Listeners {
    /// Binds all addresses and writes the bound addresses back into the settings.
    pub(crate) fn bind(settings: &mut Settings) -> Result<Self, StartError> {
        Ok(Self {
            caller: bind("callers", &mut settings.caller_address)?,
            peer: bind("peers", &mut settings.peer_address)?,
            control: bind("operators", &mut settings.control_address)?,
            observe: bind("readiness and metrics", &mut settings.observe_address)?,
        })
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Ports for datagrams and for relayed connections, which have the same number.
pub(crate) struct PeerPorts {
    pub(crate) datagrams: Arc<UdpSocket>,
    pub(crate) relays: Arc<TcpListener>,
}

/// Binds the ports for datagrams and for relayed connections, which peers find by the same address.
pub(crate) fn bind_datagrams(settings: &mut Settings) -> Result<Option<PeerPorts>, StartError> {
    let Some(address) = settings.datagram_address else {
        return Ok(None);
    };
    let mut tries_left = if address.port() == 0 { FREE_PORT_TRIES_MAX } else { 1 };
    loop {
        tries_left -= 1;
        let socket = bind_udp(address)?;
        let bound = socket.local_addr().map_err(|source| datagram_error(address, source))?;
        match listen(bound) {
            Ok(listener) => {
                settings.datagram_address = Some(bound);
                return Ok(Some(PeerPorts {
                    datagrams: Arc::new(socket),
                    relays: Arc::new(listener),
                }));
            }
            // The free UDP port may be a TCP port in use.
            Err(_) if tries_left > 0 => {}
            Err(source) => {
                let purpose = "relayed connections";
                return Err(StartError::Listen { purpose, address: bound, source });
            }
        }
    }
}

fn bind_udp(address: SocketAddr) -> Result<UdpSocket, StartError> {
    let to_start_error = |source| datagram_error(address, source);
    let socket = std::net::UdpSocket::bind(address).map_err(to_start_error)?;
    socket.set_nonblocking(true).map_err(to_start_error)?;
    UdpSocket::from_std(socket).map_err(to_start_error)
}

fn datagram_error(address: SocketAddr, source: io::Error) -> StartError {
    StartError::Listen { purpose: "datagrams", address, source }
}

fn bind(purpose: &'static str, address: &mut SocketAddr) -> Result<Arc<TcpListener>, StartError> {
    let requested = *address;
    let to_start_error = |source| StartError::Listen { purpose, address: requested, source };
    let listener = listen(requested).map_err(to_start_error)?;
    *address = listener.local_addr().map_err(to_start_error)?;
    Ok(Arc::new(listener))
}
