//! Bodies on their way through: bounded, watched for stalls, never cut silently.

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
use crate::target_client::StallTimer;
use crate::target_client::pool::Connection;

/// Why a body broke off.
#[derive(Debug, Display, Error)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    #[display("body longer than {limit_bytes} bytes")]
    TooLong { limit_bytes: u64 },
    /// Nothing arrived for too long.
    #[display("body stalled for {limit:?}")]
    Stalled { limit: Duration },
    /// Its connection broke, or it ended too early.
    #[display("body broken: {source}")]
    Broken { source: hyper::Error },
}

/// Limits on one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    pub(crate) bytes_max: u64,
    pub(crate) stall: Duration,
}

/// A caller's body on its way to a target.
pub(crate) enum RequestBody {
    /// All of it is here; it can be sent again.
    Whole(Bytes),
    /// It is passed on as it arrives; it can be sent once.
    Streaming(Box<StreamingBody>),
}

pub(crate) struct StreamingBody {
    incoming: Incoming,
    limits: BodyLimits,
    left_bytes: u64,
    stall: StallTimer,
}

impl RequestBody {
    pub(crate) fn streaming(incoming: Incoming, limits: BodyLimits) -> Self {
        let left_bytes = limits.bytes_max;
        let stall = StallTimer::new(limits.stall);
        Self::Streaming(Box::new(StreamingBody { incoming, limits, left_bytes, stall }))
    }

    /// A copy to send again, if that is possible.
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
            // They may carry what a head may not, such as the name of an organisation.
            return Poll::Ready(None);
        }
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(left_bytes) = self.left_bytes.checked_sub(length) else {
            let limit_bytes = self.limits.bytes_max;
            return Poll::Ready(Some(Err(BodyError::TooLong { limit_bytes })));
        };
        self.left_bytes = left_bytes;
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
            Self::Streaming(streaming) => streaming.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streaming(streaming) => streaming.incoming.size_hint(),
        }
    }
}

/// What an answer holds until its body has ended: the connection and the grant.
pub(crate) struct AnswerResources {
    connection: Connection,
    grant: GrantGuard,
}

impl AnswerResources {
    pub(crate) fn new(connection: Connection, grant: GrantGuard) -> Self {
        Self { connection, grant }
    }

    /// The answer is complete: the connection may serve another request.
    pub(crate) fn finish(self) {
        self.connection.put_back();
        drop(self.grant);
    }
}

/// A target's body on its way to the caller. Dropped before its end, it takes the
/// connection to the target with it; an error in it breaks the answer to the caller off.
pub(crate) struct TargetBody {
    /// What was taken in before; it comes first.
    taken: Option<Bytes>,
    /// None if all of it was taken in.
    incoming: Option<Incoming>,
    lease: Option<AnswerResources>,
    stall: StallTimer,
    stall_limit: Duration,
}

impl TargetBody {
    pub(crate) fn new(incoming: Incoming, lease: AnswerResources, stall_limit: Duration) -> Self {
        let stall = StallTimer::new(stall_limit);
        let is_over = incoming.is_end_stream();
        let (incoming, lease) = (Some(incoming), Some(lease));
        let mut body = Self { taken: None, incoming, lease, stall, stall_limit };
        if is_over {
            body.finish();
        }
        body
    }

    /// A body that is complete; its connection and grant are given back already.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let stall_limit = Duration::ZERO;
        let stall = StallTimer::new(stall_limit);
        Self { taken: Some(bytes), incoming: None, lease: None, stall, stall_limit }
    }

    /// The same body with what was already taken of it put back in front.
    pub(crate) fn after(mut self, taken: Bytes) -> Self {
        self.taken = Some(taken);
        self
    }

    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.finish();
        }
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
        if let Some(taken) = body.taken.take().filter(|taken| !taken.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(taken))));
        }
        let Some(incoming) = &mut body.incoming else {
            return Poll::Ready(None);
        };
        let frame = match Pin::new(&mut *incoming).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(body.stall.poll_stalled(context));
                body.lease = None;
                return Poll::Ready(Some(Err(BodyError::Stalled { limit: body.stall_limit })));
            }
        };
        body.stall.reset();
        match frame {
            None => {
                body.finish();
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                if incoming.is_end_stream() {
                    body.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(source)) => {
                body.lease = None;
                Poll::Ready(Some(Err(BodyError::Broken { source })))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_taken_over = self.taken.as_ref().is_none_or(Bytes::is_empty);
        is_taken_over && self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let taken = self.taken.as_ref().map_or(0, |taken| taken.len() as u64);
        let rest = self.incoming.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint);
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + taken);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + taken);
        }
        hint
    }
}
