//! Bodies of requests and answers in transit: bounded, checked for stalls and truncation.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;

use crate::service::GrantGuard;
use crate::target_client::CallerBody;
use crate::target_client::StallTimer;
use crate::target_client::answer_expiry::AnswerExpiry;
use crate::target_client::answer_expiry::AnswerOrigin;
use crate::target_client::pool::Connection;

/// Reason why a body ended early.
#[derive(Debug, Display, Error)]
pub(crate) enum BodyError {
    /// The body is longer than allowed.
    #[display("body longer than {limit_bytes} bytes")]
    TooLong { limit_bytes: u64 },
    /// No data arrived for the stall limit.
    #[display("body stalled for {limit:?}")]
    Stalled { limit: Duration },
    /// The deadline of the request passed.
    #[display("body not complete at the deadline")]
    Expired,
    /// The connection broke, or the body ended before its stated length.
    #[display("body broken: {source}")]
    Broken { source: hyper::Error },
}

impl BodyError {
    /// Returns the value of the metric label `reason`.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::TooLong { .. } => "too_long",
            Self::Stalled { .. } => "stalled",
            Self::Expired => "deadline",
            Self::Broken { .. } => "broken",
        }
    }
}

/// Limits on the length of one body and on its stalls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    pub(crate) bytes_max: u64,
    pub(crate) stall: Duration,
}

/// Body of a caller's request on its way to a target.
pub(crate) enum RequestBody {
    /// Completely received body, which can be sent repeatedly.
    Whole(Bytes),
    /// Body that is forwarded as it arrives and can be sent only once.
    Streaming(Box<StreamingBody>),
}

pub(crate) struct StreamingBody {
    /// Start of the body, which was read before; empty once it is sent.
    start: Bytes,
    incoming: Box<CallerBody>,
    limits: BodyLimits,
    remaining_bytes: u64,
    stall: StallTimer,
}

impl RequestBody {
    /// Returns the body that starts with `start` and goes on with `incoming`.
    pub(crate) fn streaming(start: Bytes, incoming: Box<CallerBody>, limits: BodyLimits) -> Self {
        let remaining_bytes = limits.bytes_max.saturating_sub(start.len() as u64);
        let stall = StallTimer::new(limits.stall);
        Self::Streaming(Box::new(StreamingBody { start, incoming, limits, remaining_bytes, stall }))
    }

    /// Returns whether the length is unknown, so that the body must be sent in chunks.
    pub(crate) fn is_of_unknown_length(&self) -> bool {
        self.size_hint().exact().is_none()
    }

    /// Returns a copy for another attempt, or `None` if the body can be sent only once.
    pub(crate) fn try_copy(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Streaming(_) => None,
        }
    }
}

impl StreamingBody {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.start.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.start)))));
        }
        let frame = match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(self.stall.poll_stalled(context));
                return Poll::Ready(Some(Err(BodyError::Stalled { limit: self.limits.stall })));
            }
        };
        self.stall.reset();
        let frame = match frame {
            None => return Poll::Ready(None),
            Some(Err(source)) => return Poll::Ready(Some(Err(BodyError::Broken { source }))),
            Some(Ok(frame)) => frame,
        };
        if frame.is_trailers() {
            // Trailers are dropped: they could carry headers that must not reach targets,
            // such as the name of an organisation.
            return Poll::Ready(None);
        }
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(remaining_bytes) = self.remaining_bytes.checked_sub(length) else {
            let limit_bytes = self.limits.bytes_max;
            return Poll::Ready(Some(Err(BodyError::TooLong { limit_bytes })));
        };
        self.remaining_bytes = remaining_bytes;
        Poll::Ready(Some(Ok(frame)))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streaming(streaming) => streaming.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Streaming(streaming) => {
                streaming.start.is_empty() && streaming.incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streaming(streaming) => {
                let rest = streaming.incoming.size_hint();
                let start_bytes = streaming.start.len() as u64;
                let mut hint = SizeHint::new();
                hint.set_lower(rest.lower() + start_bytes);
                if let Some(upper) = rest.upper() {
                    hint.set_upper(upper + start_bytes);
                }
                hint
            }
        }
    }
}

/// Connection and grant that an answer holds until its body has ended.
pub(crate) struct AnswerResources {
    connection: Connection,
    grant: GrantGuard,
}

impl AnswerResources {
    pub(crate) fn new(connection: Connection, grant: GrantGuard) -> Self {
        Self { connection, grant }
    }

    /// Records that bytes of the answer's body arrived.
    pub(crate) fn record_body(&self) {
        self.connection.record_body();
    }

    /// Releases the grant and returns the connection to the pool, after a complete answer.
    pub(crate) fn finish(self) {
        self.connection.put_back();
        drop(self.grant);
    }
}

/// Body of a target's answer on its way to the caller.
///
/// Dropping the body before its end closes the connection to the target.
/// An error in the body aborts the answer to the caller.
pub(crate) struct TargetBody {
    /// Data buffered before forwarding started; sent to the caller first.
    prefix: Option<Bytes>,
    /// Rest of the body, which is still arriving; `None` if the whole body was buffered.
    incoming: Option<Incoming>,
    held: Held,
    stall: StallTimer,
    stall_limit: Duration,
}

/// Resources that a body holds until its end. At most one of the fields is set.
#[derive(Default)]
struct Held {
    resources: Option<AnswerResources>,
    /// Resources that are released at the deadline, too.
    expiry: Option<AnswerExpiry>,
}

impl Held {
    /// Releases the resources after a complete answer.
    fn finish(&mut self) {
        let watched = self.expiry.take().and_then(AnswerExpiry::into_resources);
        if let Some(resources) = self.resources.take().or(watched) {
            resources.finish();
        }
    }

    fn record_body(&self) {
        if let Some(resources) = &self.resources {
            resources.record_body();
        }
        if let Some(expiry) = &self.expiry {
            expiry.record_body();
        }
    }

    fn is_expired(&self) -> bool {
        self.expiry.as_ref().is_some_and(AnswerExpiry::is_expired)
    }
}

impl TargetBody {
    pub(crate) fn new(
        incoming: Incoming,
        resources: AnswerResources,
        stall_limit: Duration,
    ) -> Self {
        let stall = StallTimer::new(stall_limit);
        let is_complete = incoming.is_end_stream();
        let (incoming, held) = (Some(incoming), Held { resources: Some(resources), expiry: None });
        let mut body = Self { prefix: None, incoming, held, stall, stall_limit };
        if is_complete {
            body.held.finish();
        }
        body
    }

    /// Returns this body, which fails if it has not ended by its deadline.
    pub(crate) fn until_deadline(mut self, origin: &AnswerOrigin<'_>) -> Self {
        if let Some(resources) = self.held.resources.take() {
            self.held.expiry = Some(AnswerExpiry::start(origin, resources));
        }
        self
    }

    /// Returns a completely buffered body, whose connection and grant are already released.
    pub(crate) fn from_buffered(bytes: Bytes) -> Self {
        let stall_limit = Duration::ZERO;
        let stall = StallTimer::new(stall_limit);
        Self { prefix: Some(bytes), incoming: None, held: Held::default(), stall, stall_limit }
    }

    /// Returns this body with the already buffered data `prefix` put in front.
    pub(crate) fn with_prefix(mut self, prefix: Bytes) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// Ends the body with an error, and closes the connection to the target.
    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(expiry) = &self.held.expiry
            && !expiry.is_expired()
        {
            expiry.record_broken(&error);
        }
        self.held = Held::default();
        self.incoming = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        if let Some(prefix) = body.prefix.take().filter(|prefix| !prefix.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let Some(incoming) = &mut body.incoming else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(&mut *incoming).poll_frame(context);
        // Checked after the poll: the connection ends at the deadline, which may look like the end of the body.
        if body.held.is_expired() {
            return body.fail(BodyError::Expired);
        }
        let Poll::Ready(frame) = frame else {
            if let Some(expiry) = &body.held.expiry
                && expiry.wait_for_target(context)
            {
                return body.fail(BodyError::Expired);
            }
            ready!(body.stall.poll_stalled(context));
            return body.fail(BodyError::Stalled { limit: body.stall_limit });
        };
        body.stall.reset();
        match frame {
            None => {
                body.held.finish();
                Poll::Ready(None)
            }
            // Trailers are dropped, as those of buffered answers are.
            Some(Ok(frame)) if frame.is_trailers() => {
                body.held.finish();
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                body.held.record_body();
                if incoming.is_end_stream() {
                    body.held.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(source)) => body.fail(BodyError::Broken { source }),
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_prefix_sent = self.prefix.as_ref().is_none_or(Bytes::is_empty);
        is_prefix_sent && self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let rest = self.incoming.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint);
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix_bytes);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix_bytes);
        }
        hint
    }
}
