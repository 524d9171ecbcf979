//! Beginning the work of requests that a caller has sent behind the one under way.
//!
//! Load pattern: callers that send several requests on a connection at once. One after the other,
//! the last of eight requests of 100 ms was answered after 806 ms, with targets free all the time;
//! begun together, within 300 ms (real processes on one machine).

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::request::Parts;
use metrics::counter;
use parking_lot::Mutex;
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

use crate::caller::answer::AnswerBody;
use crate::caller::handler::handle;
use crate::caller::head::Head;
use crate::shared::Shared;

/// Bytes of further requests taken from the socket at most; beyond it, the caller must wait.
const BYTES_AHEAD_MAX: usize = 16 * 1_024;
/// Bytes taken from the socket at a time.
const READ_BYTES: usize = 4 * 1_024;
/// Requests begun ahead in the whole process at most. Their answers are held until it is their
/// turn: with 256 KiB each, 32 MiB of a VM that has 112 or more.
const AHEAD_IN_PROCESS_MAX: u64 = 128;

/// The connection of a caller, read further than the request under way.
pub(crate) struct Ahead {
    stream: Arc<TcpStream>,
    state: Mutex<State>,
    /// Rings when bytes have arrived while a request is under way.
    arrived: Notify,
    /// Rings when a request has been answered.
    answered: Notify,
}

struct State {
    pipeline: Pipeline,
    /// Bytes taken from the socket that hyper has not read.
    taken: BytesMut,
    is_at_end: bool,
    begun: VecDeque<Begun>,
}

/// A request that was begun early; dropped, it is cancelled.
struct Begun {
    answer: Option<JoinHandle<Response<AnswerBody>>>,
    shared: Arc<Shared>,
}

impl Drop for Begun {
    fn drop(&mut self) {
        self.shared.metrics.pipelined_requests.fetch_sub(1, Ordering::Relaxed);
        if let Some(answer) = &self.answer {
            answer.abort();
        }
    }
}

impl Begun {
    async fn answered(mut self) -> Option<Response<AnswerBody>> {
        let answer = self.answer.as_mut()?.await;
        // It has ended, so that there is nothing to cancel.
        self.answer = None;
        answer.inspect_err(|error| error!("request_ahead_lost", kv: { error: = error })).ok()
    }
}

impl Ahead {
    pub(crate) fn new(stream: Arc<TcpStream>, header_bytes_max: usize) -> Arc<Self> {
        let state = State {
            pipeline: Pipeline::new(header_bytes_max + BYTES_AHEAD_MAX),
            taken: BytesMut::new(),
            is_at_end: false,
            begun: VecDeque::new(),
        };
        Arc::new(Self {
            stream,
            state: Mutex::new(state),
            arrived: Notify::new(),
            answered: Notify::new(),
        })
    }

    pub(crate) fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Whether bytes of further requests are here: they are served before a planned stop ends the
    /// connection.
    pub(crate) fn has_more(&self) -> bool {
        self.state.lock().pipeline.has_more()
    }

    /// Waits until a request has been answered.
    pub(crate) async fn until_answered(&self) {
        self.answered.notified().await;
    }

    /// hyper reads.
    pub(crate) fn poll_read(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.read_taken(buffer) {
                return Poll::Ready(Ok(()));
            }
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(length) => {
                    let bytes = &buffer.initialize_unfilled()[..length];
                    self.state.lock().pipeline.push_bytes(bytes);
                    buffer.advance(length);
                    self.arrived.notify_one();
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }

    /// Hands on what was taken from the socket before. Returns whether that answers a read.
    fn read_taken(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let state = &mut *self.state.lock();
        let length = state.taken.len().min(buffer.remaining());
        buffer.put_slice(&state.taken[..length]);
        state.taken.advance(length);
        length > 0 || state.is_at_end
    }

    /// The answer to a request that hyper has read. Meanwhile those behind it are begun, if it is
    /// one of a method that may be repeated. None if the caller has left.
    pub(crate) async fn answer<D: Dialect>(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        caller: SocketAddr,
        request: Request<hyper::body::Incoming>,
    ) -> Option<Response<AnswerBody>> {
        let (parts, incoming) = request.into_parts();
        let begun = self.delivered(&parts);
        let is_safe = parts.method.is_safe();
        let request = Request::from_parts(parts, Some(incoming));
        let answering = async {
            let early = match begun {
                Some(begun) => begun.answered().await,
                None => None,
            };
            match early {
                Some(answer) => answer,
                None => handle::<D>(shared.clone(), caller, request).await,
            }
        };
        let answer = tokio::select! {
            biased;
            answer = answering => Some(answer),
            () = self.read_on::<D>(shared, caller), if is_safe => None,
        };
        self.answered.notify_one();
        answer
    }

    /// The work on a request that was begun early.
    fn delivered(&self, parts: &Parts) -> Option<Begun> {
        let state = &mut *self.state.lock();
        match state.pipeline.match_request(parts) {
            RequestMatch::NotYielded => None,
            RequestMatch::Yielded => state.begun.pop_front(),
            RequestMatch::Mismatch => {
                state.begun.clear();
                None
            }
        }
    }

    /// Begins what may be begun, and takes further bytes from the socket. Returns once the caller
    /// has left.
    async fn read_on<D: Dialect>(self: &Arc<Self>, shared: &Arc<Shared>, caller: SocketAddr) {
        loop {
            while let Some(parts) = self.next(shared) {
                self.begin::<D>(shared, caller, parts);
            }
            if !self.may_take() {
                return std::future::pending().await;
            }
            tokio::select! {
                () = self.arrived.notified() => {}
                _ = self.stream.readable() => {
                    if self.take().is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn may_take(&self) -> bool {
        let state = self.state.lock();
        !state.pipeline.is_stopped() && state.taken.len() + READ_BYTES <= BYTES_AHEAD_MAX
    }

    /// Takes what has arrived; an error means that the caller has left.
    fn take(&self) -> io::Result<()> {
        let mut bytes = [0; READ_BYTES];
        match self.stream.try_read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => {
                self.state.lock().is_at_end = true;
                Err(io::ErrorKind::UnexpectedEof.into())
            }
            Ok(length) => {
                let state = &mut *self.state.lock();
                state.pipeline.push_bytes(&bytes[..length]);
                state.taken.extend_from_slice(&bytes[..length]);
                Ok(())
            }
        }
    }

    /// The next request that may be begun.
    fn next(&self, shared: &Shared) -> Option<Parts> {
        if shared.is_stopping() {
            return None;
        }
        let routing = shared.routing()?;
        let ahead_max = routing.configuration.limits.requests_ahead_max;
        let state = &mut *self.state.lock();
        let is_full = state.pipeline.pending_count() as u64 >= ahead_max
            || shared.metrics.pipelined_requests.load(Ordering::Relaxed) >= AHEAD_IN_PROCESS_MAX;
        if is_full {
            return None;
        }
        state.pipeline.next_request(|parts| {
            let kind = routing.kind_of(&Head::new(parts));
            parts.method.is_safe() && kind.is_some_and(|kind| kind.kind.repeat == Repeat::Safe)
        })
    }

    fn begin<D: Dialect>(&self, shared: &Arc<Shared>, caller: SocketAddr, parts: Parts) {
        counter!(metric::REQUESTS_AHEAD).increment(1);
        shared.metrics.pipelined_requests.fetch_add(1, Ordering::Relaxed);
        let request = Request::from_parts(parts, None);
        let answer = tokio::spawn(handle::<D>(shared.clone(), caller, request));
        let begun = Begun { answer: Some(answer), shared: shared.clone() };
        self.state.lock().begun.push_back(begun);
    }
}
