//! TCP transport of the remote calls.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::client;
use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::server::Config;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use crate::ByteCountingStream;
use crate::ControlClient;
use crate::LinkBytes;
use crate::PeerLinkClient;
use crate::codec::MESSAGE_BYTES_MAX;
use crate::codec::Postcard;
use crate::control::ControlRequest;
use crate::control::ControlResponse;
use crate::dead_peer::set_dead_peer_timeouts;
use crate::peer::PeerLinkRequest;
use crate::peer::PeerLinkResponse;

/// Maximum length of a frame, in bytes; checked before memory is allocated for the frame.
const FRAME_BYTES_MAX: usize = MESSAGE_BYTES_MAX;

/// Error of opening a connection to another process.
#[derive(Debug, Display, Error)]
pub enum LinkError {
    /// The connection was not established within the time limit.
    #[display("{address} did not accept a connection within {limit:?}")]
    TimedOut {
        /// Address of the other process.
        address: SocketAddr,
        /// Time limit for the connection attempt.
        limit: Duration,
    },
    /// The connection was refused or could not be configured.
    #[display("{address}: {source}")]
    Refused {
        /// Address of the other process.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}

fn transport<Item, SinkItem, S>(stream: S) -> Transport<S, Item, SinkItem, Postcard>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
    S: AsyncRead + AsyncWrite,
{
    let framed = tokio_util::codec::Framed::new(stream, codec());
    serde_transport::new(framed, Postcard)
}

async fn open(address: SocketAddr, limit: Duration) -> Result<TcpStream, LinkError> {
    let Ok(opened) = timeout(limit, TcpStream::connect(address)).await else {
        return Err(LinkError::TimedOut { address, limit });
    };
    let stream = opened.map_err(|source| LinkError::Refused { address, source })?;
    stream.set_nodelay(true).map_err(|source| LinkError::Refused { address, source })?;
    set_dead_peer_timeouts(&stream).map_err(|source| LinkError::Refused { address, source })?;
    Ok(stream)
}

/// Connects to another entry process. The bytes transferred are added to `bytes`.
pub async fn connect_peer(
    address: SocketAddr,
    limit: Duration,
    bytes: &Arc<LinkBytes>,
) -> Result<PeerLinkClient, LinkError> {
    let stream = ByteCountingStream::new(open(address, limit).await?, bytes.clone());
    Ok(PeerLinkClient::new(client::Config::default(), transport(stream)).spawn())
}

/// Connects the operators' program to an entry process.
pub async fn connect_control(
    address: SocketAddr,
    limit: Duration,
) -> Result<ControlClient, LinkError> {
    let stream = open(address, limit).await?;
    Ok(ControlClient::new(client::Config::default(), transport(stream)).spawn())
}

/// Maximum number of concurrent calls on one connection.
pub const CALLS_PER_CONNECTION_MAX: usize = 32;

fn server_config() -> Config {
    Config { pending_response_buffer: CALLS_PER_CONNECTION_MAX }
}

/// Returns the server side of a peer connection, to be served by a [`crate::PeerLink`].
/// The bytes transferred are added to `bytes`.
pub fn peer_channel<S>(stream: S, bytes: &Arc<LinkBytes>) -> PeerChannel<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let stream = ByteCountingStream::new(stream, bytes.clone());
    BaseChannel::new(server_config(), transport(stream))
}

/// Returns the server side of an operator's connection, to be served by a [`crate::Control`].
pub fn control_channel<S>(stream: S) -> ControlChannel<S>
where
    S: AsyncRead + AsyncWrite,
{
    BaseChannel::new(server_config(), transport(stream))
}

/// Type of the server side of a peer connection, see [`peer_channel`].
pub type PeerChannel<S> = ServerChannel<PeerLinkRequest, PeerLinkResponse, ByteCountingStream<S>>;
/// Type of the server side of an operator's connection, see [`control_channel`].
pub type ControlChannel<S> = ServerChannel<ControlRequest, ControlResponse, S>;

type ServerChannel<Req, Resp, S> =
    BaseChannel<Req, Resp, Transport<S, ClientMessage<Req>, Response<Resp>, Postcard>>;
