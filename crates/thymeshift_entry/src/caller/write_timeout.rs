//! A socket whose writes fail when its other side takes nothing for too long, so that a
//! caller that does not read its answer does not hold a target's slot for ever.

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
use crate::target_client::Stall;

pub(crate) struct WriteTimeoutStream {
    ahead: Arc<PipelinedConnection>,
    stall: Stall,
}

impl WriteTimeoutStream {
    pub(crate) fn new(ahead: Arc<PipelinedConnection>, limit: Duration) -> Self {
        Self { ahead, stall: Stall::new(limit) }
    }

    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall.moved();
            return written;
        }
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
        self.ahead.poll_read(context, buffer)
    }
}

impl WriteTimeoutStream {
    /// Writes once the socket takes something.
    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = loop {
            match self.ahead.stream().poll_write_ready(context) {
                Poll::Pending => break Poll::Pending,
                Poll::Ready(Err(error)) => break Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) => {}
            }
            match write(self.ahead.stream()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => break Poll::Ready(written),
            }
        };
        self.watch(context, written)
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
        // A socket holds nothing back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&**self.ahead.stream(), Shutdown::Write).map_err(io::Error::from))
    }
}
