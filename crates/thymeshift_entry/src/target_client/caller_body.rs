//! Body of a caller's request as it arrives.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;

use crate::message_parts::MessageParts;

/// Body of a request that records its parts as they arrive.
pub(crate) struct CallerBody {
    incoming: Incoming,
    parts: MessageParts,
}

impl CallerBody {
    pub(crate) fn new(incoming: Incoming, parts: MessageParts) -> Self {
        Self { incoming, parts }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        self.parts.record_part();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
