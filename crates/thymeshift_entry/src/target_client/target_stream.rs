//! Socket of a connection to a target, which can be read although the runtime has not yet seen that
//! bytes arrived.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use rustix::io::Errno;
use thymeshift_wire::RelayedStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::message_parts::MessageParts;
use crate::message_parts::PartLimitedStream;
use crate::target_client::connector::OpenedConnection;
use crate::target_client::connector::Path;

/// Whether reads go to the socket at once, without waiting for the runtime's readiness.
#[derive(Clone, Default)]
pub(crate) struct DirectReads(Arc<AtomicBool>);

impl DirectReads {
    pub(crate) fn set(&self, is_direct: bool) {
        self.0.store(is_direct, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Connection to a target.
pub(crate) enum TargetStream {
    /// Connection to the target itself.
    Direct(TargetSocket),
    /// Connection through a peer.
    Relayed(RelayedStream<TargetSocket>),
}

impl TargetStream {
    pub(crate) fn new(
        opened: OpenedConnection,
        direct_reads: DirectReads,
        parts: MessageParts,
    ) -> Self {
        let OpenedConnection { stream, path } = opened;
        let stream = PartLimitedStream::new(stream, parts);
        let socket = TargetSocket { stream, direct_reads };
        match path {
            Path::Direct => Self::Direct(socket),
            Path::Relayed => Self::Relayed(RelayedStream::new(socket)),
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(socket) => Pin::new(socket).poll_read(context, buffer),
            Self::Relayed(relayed) => Pin::new(relayed).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(socket) => Pin::new(socket).poll_write(context, bytes),
            Self::Relayed(relayed) => Pin::new(relayed).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(socket) => Pin::new(socket).poll_write_vectored(context, slices),
            Self::Relayed(relayed) => Pin::new(relayed).poll_write_vectored(context, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Direct(socket) => socket.is_write_vectored(),
            Self::Relayed(relayed) => relayed.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(socket) => Pin::new(socket).poll_flush(context),
            Self::Relayed(relayed) => Pin::new(relayed).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(socket) => Pin::new(socket).poll_shutdown(context),
            Self::Relayed(relayed) => Pin::new(relayed).poll_shutdown(context),
        }
    }
}

/// Socket of a connection to a target or to the peer that relays it.
pub(crate) struct TargetSocket {
    stream: PartLimitedStream<TcpStream>,
    direct_reads: DirectReads,
}

impl AsyncRead for TargetSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.direct_reads.is_set() {
            let (stream, parts) = (self.stream.stream(), self.stream.parts());
            match rustix::io::read(stream, buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(parts.record_read(count));
                }
                Err(Errno::AGAIN | Errno::INTR) => {}
                Err(error) => return Poll::Ready(Err(error.into())),
            }
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TargetSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
