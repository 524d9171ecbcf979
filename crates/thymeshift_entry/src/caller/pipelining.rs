//! Starts pipelined requests while an earlier request of the same connection is still in progress.
//!
//! hyper serves the requests of an HTTP/1.1 connection one after the other.
//! The last of eight pipelined 100 ms requests was then answered after 806 ms, with idle targets.
//! With all eight requests started together, the last answer came within 300 ms.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::Version;
use http::request::Parts;
use http_body::Body;
use metrics::counter;
use parking_lot::Mutex;
use rustix::io::ioctl_fionread;
use rustix::net::RecvFlags;
use rustix::net::recv;
use spdlog::error;
use thymeshift_config::Repeat;
use thymeshift_pipeline::Pipeline;
use thymeshift_pipeline::RequestMatch;
use thymeshift_telemetry::metric;
use thymeshift_wire::Dialect;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::caller::activity::ConnectionActivity;
use crate::caller::activity::InProgressGuard;
use crate::caller::handler::handle;
use crate::caller::head::Head;
use crate::caller::response::GuardedBody;
use crate::caller::response::ResponseBody;
use crate::message_parts::MessageParts;
use crate::shared::Shared;
use crate::target_client::CallerBody;

/// Minimum time for which a connection must have been idle before a planned stop closes it. A caller
/// that has just connected or received an answer may be sending its next request.
const IDLE_MIN: Duration = Duration::from_millis(200);
/// Time without a read after which the kernel is asked for bytes that the runtime has not noticed. A
/// connection in use is read more often and is not asked.
const UNNOTICED_MIN: Duration = Duration::from_millis(20);
/// First bytes of an HTTP/2 connection (RFC 9113, 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";
/// Maximum number of bytes that are read from the socket before hyper asks for them.
/// Further bytes of pipelined requests stay in the receive buffer of the socket.
const READ_AHEAD_BYTES_MAX: usize = 16 * 1_024;
/// Maximum number of bytes of one read from the socket.
const READ_BYTES: usize = 4 * 1_024;
/// Value of [`PipelinedConnection::last_bytes`] while the connection is read without end.
const READS_ON: u64 = u64::MAX;
/// Maximum number of pipelined requests in progress in the whole process.
///
/// Responses to pipelined requests stay in memory until the earlier responses are sent.
/// At 256 KiB each, 128 responses need 32 MiB, on a VM that has at least 112 MiB.
const PIPELINED_REQUESTS_MAX: u64 = 128;

/// Caller connection whose pipelined requests are read while an earlier request is in progress.
pub(crate) struct PipelinedConnection {
    stream: Arc<TcpStream>,
    state: Mutex<State>,
    /// Notified when hyper has read bytes from the socket, which may hold pipelined requests.
    bytes_arrived: Notify,
    /// Number of bytes that are still read before the connection ends, or [`READS_ON`].
    last_bytes: AtomicU64,
    activity: Arc<ConnectionActivity>,
    /// Parts of the requests that hyper reads.
    parts: MessageParts,
}

struct State {
    pipeline: Pipeline,
    /// Bytes read from the socket that hyper has not read yet.
    buffered: BytesMut,
    is_eof: bool,
    /// Pipelined requests that were started and that hyper has not read yet, oldest first.
    started: VecDeque<StartedRequest>,
}

/// Pipelined request in progress; dropping it cancels the request.
struct StartedRequest {
    response: Option<JoinHandle<Response<ResponseBody>>>,
    shared: Arc<Shared>,
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.shared.metrics.pipelined_requests.fetch_sub(1, Ordering::Relaxed);
        if let Some(response) = &self.response {
            response.abort();
        }
    }
}

impl StartedRequest {
    /// Waits for the response; returns `None` if the request's task panicked or was cancelled.
    async fn into_response(mut self) -> Option<Response<ResponseBody>> {
        let response = self.response.as_mut()?.await;
        // The task has ended, so `drop` has nothing to abort.
        self.response = None;
        response.inspect_err(|error| error!("request_ahead_lost", kv: { error: = error })).ok()
    }
}

impl PipelinedConnection {
    pub(crate) fn new(stream: Arc<TcpStream>, header_bytes_max: usize) -> Arc<Self> {
        let state = State {
            pipeline: Pipeline::new(header_bytes_max + READ_AHEAD_BYTES_MAX),
            buffered: BytesMut::new(),
            is_eof: false,
            started: VecDeque::new(),
        };
        Arc::new(Self {
            stream,
            state: Mutex::new(state),
            bytes_arrived: Notify::new(),
            last_bytes: AtomicU64::new(READS_ON),
            activity: ConnectionActivity::new(),
            parts: MessageParts::new(header_bytes_max),
        })
    }

    pub(crate) fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    pub(crate) fn activity(&self) -> &ConnectionActivity {
        &self.activity
    }

    /// Makes the requests that have arrived the last ones of the connection. A caller that always has a
    /// further request on its connection would otherwise keep it until the process ends, and its last
    /// requests would be cut.
    pub(crate) fn end_reading(&self) {
        self.last_bytes.store(self.unread_bytes(), Ordering::Relaxed);
    }

    /// Returns whether nothing more is read, because the last requests have been read and not all of them
    /// are answered. A connection without such requests is read until it is idle.
    fn holds_back(&self) -> bool {
        if self.last_bytes.load(Ordering::Relaxed) > 0 {
            return false;
        }
        let pipeline = &self.state.lock().pipeline;
        let has_requests = self.activity.has_request_in_progress() || pipeline.has_more();
        has_requests && pipeline.ends_with_whole_request()
    }

    /// Records that bytes have been read from the socket.
    fn count_last_bytes(&self, length: usize) {
        let left = self.last_bytes.load(Ordering::Relaxed);
        if left != READS_ON {
            self.last_bytes.store(left.saturating_sub(length as u64), Ordering::Relaxed);
        }
    }

    /// Returns whether bytes of further requests have arrived, read or not. These requests are served
    /// before a planned stop closes the connection.
    pub(crate) fn has_pipelined_bytes(&self) -> bool {
        let state = self.state.lock();
        let is_unread_served = match self.last_bytes.load(Ordering::Relaxed) {
            READS_ON => state.pipeline.is_between_requests() && self.has_unread_bytes(),
            left => left > 0,
        };
        state.pipeline.has_more() || is_unread_served
    }

    /// Returns whether the caller has sent bytes that nobody has read from the socket yet. The async
    /// runtime may not have noticed them, so the kernel is asked.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        self.unread_bytes() > 0
    }

    /// Returns the number of bytes in the receive buffer of the socket.
    pub(crate) fn unread_bytes(&self) -> u64 {
        // An error means that the connection is broken, so that no request can be served on it.
        ioctl_fionread(&*self.stream).unwrap_or(0)
    }

    /// Returns whether a planned stop may close the connection: no request is in progress or has
    /// arrived, and none is to be expected, because the connection has been idle for a while.
    pub(crate) fn is_drained(&self) -> bool {
        self.activity.idle_time() >= IDLE_MIN
            && self.activity.is_idle()
            && !self.state.lock().pipeline.has_more()
            && !self.has_unread_bytes()
    }

    /// Returns whether a request head has begun to arrive that hyper has not read completely. An early
    /// start of the request does not count, as hyper reads its head later.
    pub(crate) fn has_partial_head(&self) -> bool {
        let state = self.state.lock();
        if state.pipeline.is_stopped() {
            self.activity.has_read_bytes()
        } else {
            state.pipeline.has_more()
        }
    }

    /// Returns whether the caller has ended its side of the connection.
    pub(crate) fn is_eof(&self) -> bool {
        self.state.lock().is_eof
    }

    /// Reads for hyper: first the buffered bytes, then from the socket. Fails if the bytes complete no part
    /// of a request.
    pub(crate) fn poll_read(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The frames of HTTP/2 also carry what is no part of a request, such as windows for long answers.
        if self.activity.is_http2() {
            return self.poll_read_unlimited(context, buffer);
        }
        ready!(self.parts.poll_turn(context));
        let filled = buffer.filled().len();
        ready!(self.poll_read_unlimited(context, buffer))?;
        Poll::Ready(self.parts.record_read(buffer.filled().len() - filled))
    }

    fn poll_read_unlimited(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.read_buffered(buffer) {
                return Poll::Ready(Ok(()));
            }
            if self.holds_back() {
                // The task of a connection that is being drained wakes up regularly.
                return Poll::Pending;
            }
            let read = match self.stream.poll_read_ready(context)? {
                Poll::Ready(()) => {
                    self.activity.record_read();
                    self.stream.try_read(buffer.initialize_unfilled())
                }
                Poll::Pending => ready!(self.read_unnoticed(buffer.initialize_unfilled())),
            };
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(length) => {
                    self.count_last_bytes(length);
                    let bytes = &buffer.initialize_unfilled()[..length];
                    let state = &mut *self.state.lock();
                    if bytes.starts_with(HTTP2_PREFACE) && !self.activity.has_received_request() {
                        self.activity.record_http2_preface();
                    }
                    state.pipeline.push_bytes(bytes);
                    state.is_eof |= length == 0;
                    self.activity.record_bytes(bytes);
                    buffer.advance(length);
                    self.bytes_arrived.notify_one();
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }

    /// Reads bytes that the async runtime has not noticed yet, if the connection has been idle for a
    /// while. Without this, the idle timeout of a process that had no processor for some time closes
    /// the connection before the request that has arrived on it is read.
    ///
    /// Such a read does not end the idle time, as a request may need several reads.
    fn read_unnoticed(&self, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.activity.idle_time() < UNNOTICED_MIN || !self.has_unread_bytes() {
            return Poll::Pending;
        }
        let received = recv(&*self.stream, bytes, RecvFlags::DONTWAIT);
        Poll::Ready(received.map(|(length, _)| length).map_err(io::Error::from))
    }

    /// Copies buffered bytes into `buffer`.
    /// Returns whether the read is complete: bytes were copied, or the stream has ended.
    fn read_buffered(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let state = &mut *self.state.lock();
        let length = state.buffered.len().min(buffer.remaining());
        buffer.put_slice(&state.buffered[..length]);
        state.buffered.advance(length);
        length > 0 || state.is_eof
    }

    /// Returns the response to a request that hyper has read, or `None` if the caller disconnected.
    /// While a request with a safe method is in progress, starts the pipelined requests behind it.
    pub(crate) async fn respond<D: Dialect>(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        caller: SocketAddr,
        request: Request<hyper::body::Incoming>,
    ) -> Option<Response<GuardedBody<InProgressGuard>>> {
        let guard = self.activity.begin_request(request.version() == Version::HTTP_2);
        if !*shared.is_accepting.borrow() {
            shared.metrics.served_late.fetch_add(1, Ordering::Relaxed);
            counter!(metric::REQUESTS_SERVED_LATE).increment(1);
        }
        self.parts.record_part();
        let (parts, incoming) = request.into_parts();
        let started = self.take_started(&parts);
        let is_safe = parts.method.is_safe();
        let body = (!incoming.is_end_stream())
            .then(|| Box::new(CallerBody::new(incoming, self.parts.clone())));
        let request = Request::from_parts(parts, body);
        let responding = async {
            let early_response = match started {
                Some(started) => started.into_response().await,
                None => None,
            };
            match early_response {
                Some(response) => response,
                None => handle::<D>(shared.clone(), caller, request).await,
            }
        };
        let response = tokio::select! {
            biased;
            response = responding => Some(response),
            () = self.start_pipelined_requests::<D>(shared, caller), if is_safe => None,
        };
        self.activity.record_answer();
        Some(response?.map(|body| GuardedBody::new(body, guard)))
    }

    /// Removes and returns the started request that hyper has now read.
    /// Cancels all started requests if hyper read a different request than expected.
    fn take_started(&self, parts: &Parts) -> Option<StartedRequest> {
        let state = &mut *self.state.lock();
        match state.pipeline.match_request(parts) {
            RequestMatch::NotYielded => None,
            RequestMatch::Yielded => state.started.pop_front(),
            RequestMatch::Mismatch => {
                state.started.clear();
                None
            }
        }
    }

    /// Reads further bytes from the socket and starts the pipelined requests that may be started.
    /// Returns only when the caller has closed the connection.
    async fn start_pipelined_requests<D: Dialect>(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        caller: SocketAddr,
    ) {
        loop {
            while let Some(parts) = self.next_startable(shared) {
                self.start::<D>(shared, caller, parts);
            }
            if !self.may_read_ahead() {
                return std::future::pending().await;
            }
            tokio::select! {
                () = self.bytes_arrived.notified() => {}
                _ = self.stream.readable() => {
                    if self.holds_back() {
                        return std::future::pending().await;
                    }
                    if self.read_ahead().is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Returns whether the buffer has capacity for another read and the pipeline is still parsed.
    fn may_read_ahead(&self) -> bool {
        let state = self.state.lock();
        !state.pipeline.is_stopped() && state.buffered.len() + READ_BYTES <= READ_AHEAD_BYTES_MAX
    }

    /// Reads the bytes that have arrived into the buffer.
    /// Returns an error if the caller has closed the connection.
    fn read_ahead(&self) -> io::Result<()> {
        let mut bytes = [0; READ_BYTES];
        match self.stream.try_read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => {
                self.state.lock().is_eof = true;
                Err(io::ErrorKind::UnexpectedEof.into())
            }
            Ok(length) => {
                self.count_last_bytes(length);
                let state = &mut *self.state.lock();
                state.pipeline.push_bytes(&bytes[..length]);
                self.activity.record_read();
                state.buffered.extend_from_slice(&bytes[..length]);
                Ok(())
            }
        }
    }

    /// Returns the head of the next pipelined request that may be started.
    /// Its method and kind must be safe to repeat, and no limit on pipelined requests is reached.
    fn next_startable(&self, shared: &Shared) -> Option<Parts> {
        if shared.is_stopping() {
            return None;
        }
        let routing = shared.routing()?;
        let pipelined_max = routing.configuration.limits.requests_ahead_max;
        let state = &mut *self.state.lock();
        let is_limit_reached = state.pipeline.pending_count() as u64 >= pipelined_max
            || shared.metrics.pipelined_requests.load(Ordering::Relaxed) >= PIPELINED_REQUESTS_MAX;
        if is_limit_reached {
            return None;
        }
        state.pipeline.next_request(|parts| {
            let kind = routing.kind_of(&Head::new(parts));
            parts.method.is_safe() && kind.is_some_and(|kind| kind.kind.repeat == Repeat::Safe)
        })
    }

    fn start<D: Dialect>(&self, shared: &Arc<Shared>, caller: SocketAddr, parts: Parts) {
        counter!(metric::PIPELINED_REQUESTS).increment(1);
        shared.metrics.pipelined_requests.fetch_add(1, Ordering::Relaxed);
        let request = Request::from_parts(parts, None);
        let response = tokio::spawn(handle::<D>(shared.clone(), caller, request));
        let started = StartedRequest { response: Some(response), shared: shared.clone() };
        self.state.lock().started.push_back(started);
    }
}
