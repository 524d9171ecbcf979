//! Connections to targets that another entry process relays.
//!
//! A process that reaches no target opens a TCP connection to a peer and names a target. The peer
//! connects to the target and copies bytes. Towards the target they are copied as they are. Towards
//! the process they are divided into frames, so that the end of the target's bytes differs from
//! the end of the peer: an answer without a length must not look complete if the peer has ended.
//!
//! One relayed connection carries one request.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::VmName;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;

use crate::codec::Postcard;

/// Length of a frame's header, which holds the length of the frame's bytes.
const HEADER_BYTES: usize = 2;
/// Maximum length of a message, in bytes.
const MESSAGE_BYTES_MAX: usize = 1_024;
/// Maximum number of the target's bytes in one frame.
const RELAY_FRAME_BYTES_MAX: usize = 16 * 1_024;

/// Request to relay a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayOpen {
    /// VM of the process that asks.
    pub origin: VmName,
    /// Address of the target.
    pub target: SocketAddr,
    /// Maximum time for opening the connection to the target, in milliseconds.
    pub limit_ms: u64,
    /// Identifier of the request that the connection is for.
    pub request_id: String,
    /// Whether the process asks because targets do not answer it. Missing from earlier builds.
    #[serde(default)]
    pub is_about_silence: bool,
}

/// Answer to [`RelayOpen`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RelayReply {
    /// The connection to the target is open; its bytes follow.
    #[display("opened")]
    Opened,
    /// The target refused the connection.
    #[display("refused")]
    Refused,
    /// The target did not accept the connection in time.
    #[display("timed_out")]
    TimedOut,
    /// The peer reaches no target either.
    #[display("links_lost")]
    LinksLost,
    /// The peer relays as many connections as it may.
    #[display("busy")]
    Busy,
    /// The peer is stopping.
    #[display("stopping")]
    Stopping,
    /// The peer knows no target with this address.
    #[display("unknown_target")]
    UnknownTarget,
}

/// Writes one message of the start of a relayed connection.
pub async fn write_relay_message<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> io::Result<()> {
    let encoded = Postcard::encode(message)?;
    let length = u16::try_from(encoded.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + encoded.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&encoded);
    stream.write_all(&bytes).await
}

/// Reads one message of the start of a relayed connection.
///
/// # Errors
///
/// The stream ends, or its bytes are no such message.
pub async fn read_relay_message<T: for<'de> Deserialize<'de>>(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<T> {
    let length = usize::from(stream.read_u16().await?);
    if length > MESSAGE_BYTES_MAX {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(Postcard::decode(&bytes)?)
}

/// Copies the target's bytes to the process, as frames, until the target ends the connection.
///
/// # Errors
///
/// Either side breaks. The process then sees no end of the target's bytes.
pub async fn write_relay_frames(
    target: &mut (impl AsyncRead + Unpin),
    process: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    let mut buffer = vec![0; HEADER_BYTES + RELAY_FRAME_BYTES_MAX];
    loop {
        let length = target.read(&mut buffer[HEADER_BYTES..]).await?;
        // At most `RELAY_FRAME_BYTES_MAX`; an empty frame marks the end.
        buffer[..HEADER_BYTES].copy_from_slice(&(length as u16).to_be_bytes());
        process.write_all(&buffer[..HEADER_BYTES + length]).await?;
        if length == 0 {
            return process.flush().await;
        }
    }
}

/// Position in the frames that a peer sends.
#[derive(Debug, Clone, Default)]
struct RelayFrames {
    header: [u8; HEADER_BYTES],
    header_read: usize,
    /// Bytes left of the current frame.
    left: usize,
    has_ended: bool,
}

/// Connection to a target through a peer. Reads the target's bytes from the frames that the peer
/// sends; fails with [`io::ErrorKind::ConnectionReset`] if the peer ends before the target does.
pub struct RelayedStream<S> {
    stream: S,
    frames: RelayFrames,
}

impl<S> RelayedStream<S> {
    /// Creates a stream on a connection over which the peer has sent [`RelayReply::Opened`].
    pub fn new(stream: S) -> Self {
        Self { stream, frames: RelayFrames::default() }
    }
}

impl<S: AsyncRead + Unpin> RelayedStream<S> {
    /// Reads headers until a frame has bytes left or the target's bytes have ended.
    fn poll_header(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let frames = &mut self.frames;
        while !frames.has_ended && frames.left == 0 {
            let mut header = ReadBuf::new(&mut frames.header[frames.header_read..]);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut header))?;
            match header.filled().len() {
                0 => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
                length => frames.header_read += length,
            }
            if frames.header_read == HEADER_BYTES {
                frames.header_read = 0;
                frames.left = usize::from(u16::from_be_bytes(frames.header));
                frames.has_ended = frames.left == 0;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RelayedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        ready!(stream.poll_header(context))?;
        if stream.frames.has_ended || output.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let length_max = stream.frames.left.min(output.remaining());
        let mut part = ReadBuf::new(output.initialize_unfilled_to(length_max));
        ready!(Pin::new(&mut stream.stream).poll_read(context, &mut part))?;
        let length = part.filled().len();
        if length == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        output.advance(length);
        stream.frames.left -= length;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RelayedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
