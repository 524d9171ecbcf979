//! Limit on the bytes of a connection that complete no part of an HTTP message.
//!
//! The HTTP library limits heads, but follows other bytes as long as they are ready, and without giving up
//! the processor: digits of a chunk's size, blanks behind it, interim answers. A single connection would stop
//! all others of the process, and the deadline of its own request.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use derive_more::Display;
use derive_more::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Maximum number of bytes that the HTTP library keeps of a connection to a server, and so the maximum
/// length of an answer's head.
pub(crate) const READ_BUFFER_BYTES: usize = 64 * 1_024;
/// Number of full read buffers of body that may be read before their reader records the first of them: one
/// that it has taken, on another thread, and the next.
const BUFFERS_AHEAD: usize = 2;
/// Number of bytes beyond these that may complete no part.
const PART_BYTES_MAX: usize = 32 * 1_024;

/// Maximum number of bytes of one read while a part is incomplete, after which other tasks run.
const INCOMPLETE_READ_BYTES: usize = 8 * 1_024;

/// Error of a connection whose bytes complete no part of a message.
#[derive(Debug, Display, Error)]
#[display("{bytes_max} bytes without the end of a head and without a byte of a body")]
pub(crate) struct EndlessPart {
    bytes_max: u64,
}

/// Counts the bytes of a connection since the last part of a message: a head, or bytes of a body.
#[derive(Debug, Clone)]
pub(crate) struct MessageParts(Arc<PartCount>);

#[derive(Debug)]
struct PartCount {
    bytes: AtomicU64,
    bytes_max: u64,
    /// Whether other tasks ran since the last read.
    has_given_way: AtomicBool,
}

impl MessageParts {
    /// Creates the count of a connection of which the HTTP library keeps at most `buffer_bytes`.
    pub(crate) fn new(buffer_bytes: usize) -> Self {
        let bytes_max = (buffer_bytes * BUFFERS_AHEAD + PART_BYTES_MAX) as u64;
        let (bytes, has_given_way) = (AtomicU64::new(0), AtomicBool::new(false));
        Self(Arc::new(PartCount { bytes, bytes_max, has_given_way }))
    }

    /// Records that a part is complete, or that a message begins.
    pub(crate) fn record_part(&self) {
        self.0.bytes.store(0, Ordering::Relaxed);
    }

    /// Returns whether a part has begun and is not complete.
    fn is_incomplete(&self) -> bool {
        self.0.bytes.load(Ordering::Relaxed) > 0
    }

    /// Lets other tasks run before each further read of an incomplete part.
    pub(crate) fn poll_turn(&self, context: &Context<'_>) -> Poll<()> {
        if !self.is_incomplete() || self.0.has_given_way.fetch_not(Ordering::Relaxed) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Records bytes that the HTTP library reads.
    ///
    /// # Errors
    ///
    /// Too many bytes have come since the last part.
    pub(crate) fn record_read(&self, length: usize) -> io::Result<()> {
        let bytes = self.0.bytes.fetch_add(length as u64, Ordering::Relaxed) + length as u64;
        if bytes > self.0.bytes_max {
            let error = EndlessPart { bytes_max: self.0.bytes_max };
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        Ok(())
    }
}

/// Stream whose reads fail once its bytes complete no part of a message.
pub(crate) struct PartLimitedStream<S> {
    stream: S,
    parts: MessageParts,
}

impl<S> PartLimitedStream<S> {
    pub(crate) fn new(stream: S, parts: MessageParts) -> Self {
        Self { stream, parts }
    }

    pub(crate) fn stream(&self) -> &S {
        &self.stream
    }

    pub(crate) fn parts(&self) -> &MessageParts {
        &self.parts
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PartLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.parts.poll_turn(context));
        if !self.parts.is_incomplete() {
            let filled = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            return Poll::Ready(self.parts.record_read(buffer.filled().len() - filled));
        }
        let length = buffer.remaining().min(INCOMPLETE_READ_BYTES);
        let mut start = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut start))?;
        let length = start.filled().len();
        buffer.advance(length);
        Poll::Ready(self.parts.record_read(length))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PartLimitedStream<S> {
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
        slices: &[IoSlice<'_>],
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
