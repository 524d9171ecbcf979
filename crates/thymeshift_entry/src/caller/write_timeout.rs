//! Socket whose writes fail when the caller accepts no bytes for too long.
//!
//! Without this timeout, a caller that reads no response bytes would hold a target's slot forever.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use rustix::net::Shutdown;
use rustix::net::shutdown;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::caller::pipelining::PipelinedConnection;
use crate::target_client::StallTimer;

/// Caller connection with a timeout on stalled writes.
pub(crate) struct WriteTimeoutStream {
    connection: Arc<PipelinedConnection>,
    stall: StallTimer,
}

impl WriteTimeoutStream {
    pub(crate) fn new(connection: Arc<PipelinedConnection>, limit: Duration) -> Self {
        Self { connection, stall: StallTimer::new(limit) }
    }

    fn apply_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall.reset();
            self.connection.activity().record_write(false);
            return result;
        }
        self.connection.activity().record_write(true);
        match self.stall.poll_stalled(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.poll_read(context, buffer)
    }
}

impl WriteTimeoutStream {
    /// Calls `write` once the socket is writable, and applies the stall timeout.
    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let result = loop {
            match self.connection.stream().poll_write_ready(context) {
                Poll::Pending => break Poll::Pending,
                Poll::Ready(Err(error)) => break Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) => {}
            }
            match write(self.connection.stream()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break Poll::Ready(result),
            }
        };
        self.apply_timeout(context, result)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP socket has no user-space buffer to flush.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&**self.connection.stream(), Shutdown::Write).map_err(io::Error::from))
    }
}
