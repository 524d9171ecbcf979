//! Byte counters for the connections between entry processes, whose bandwidth is limited.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Byte counters over all peer connections of a process, without TCP and IP headers.
#[derive(Debug, Default)]
pub struct LinkBytes {
    received: AtomicU64,
    sent: AtomicU64,
}

impl LinkBytes {
    /// Returns the number of bytes received since the process started.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent since the process started.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Stream that adds the transferred bytes to shared counters.
#[derive(Debug)]
pub struct ByteCountingStream<S> {
    stream: S,
    bytes: Arc<LinkBytes>,
}

impl<S> ByteCountingStream<S> {
    pub(crate) fn new(stream: S, bytes: Arc<LinkBytes>) -> Self {
        Self { stream, bytes }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ByteCountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = (buffer.filled().len() - filled_before) as u64;
        self.bytes.received.fetch_add(count, Ordering::Relaxed);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ByteCountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = written {
            self.bytes.sent.fetch_add(count as u64, Ordering::Relaxed);
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
