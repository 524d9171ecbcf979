//! Connection whose input ends at a planned stop after the bytes that have arrived.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use rustix::net::Shutdown;
use rustix::net::shutdown;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::control_plane::port_stop::PortStop;

/// Connection of a peer, operator or collector.
///
/// When the ports close, its server reads what the kernel has received and then the end of the
/// input, so that it answers every call that has arrived and closes the connection.
pub(crate) struct PortStream {
    stream: TcpStream,
    stop: Arc<PortStop>,
    /// Completes when the ports close; `None` after that.
    closing: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
    has_answered_while_closing: bool,
}

impl PortStream {
    pub(super) fn new(stream: TcpStream, stop: &Arc<PortStop>) -> Self {
        let closing = Some(Box::pin(stop.closing().clone().cancelled_owned()));
        Self { stream, stop: stop.clone(), closing, has_answered_while_closing: false }
    }

    fn poll_closing(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(closing) = &mut self.closing {
            ready!(closing.as_mut().poll(context));
            self.closing = None;
            // Linux lets the received bytes be read before the end. An error means that the
            // connection is broken, which the next read reports.
            let _ = shutdown(&self.stream, Shutdown::Read);
        }
        Poll::Ready(())
    }
}

impl AsyncRead for PortStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Registers the task to be woken; a pending result leaves the connection open.
        let _ = self.poll_closing(context);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PortStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if self.closing.is_none() && matches!(written, Poll::Ready(Ok(1..))) {
            self.has_answered_while_closing = true;
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for PortStream {
    fn drop(&mut self) {
        if self.has_answered_while_closing {
            self.stop.count_answered_connection();
        }
    }
}
