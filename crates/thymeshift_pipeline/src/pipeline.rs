//! The bytes of one connection, followed.

use std::collections::VecDeque;

use bytes::Buf;
use bytes::BytesMut;
use http::header;
use http::request::Parts;

use crate::head::Reading;
use crate::head::body_bytes;
use crate::head::is_followed;
use crate::head::is_same;
use crate::head::read;

/// What is known of a request that hyper has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestMatch {
    /// It was not named before.
    NotYielded,
    /// It is the first of those that were named.
    Yielded,
    /// It is another one than the first that was named: nothing that was begun may be used.
    Mismatch,
}

/// The bytes of one connection, as far as they are needed to find the requests in it.
#[derive(Debug)]
pub struct Pipeline {
    /// Bytes behind the last request that hyper has read or that was named.
    unread: BytesMut,
    unread_bytes_max: usize,
    /// Bytes of a body that are still to come before the next head.
    body_left: u64,
    /// Requests that were named, and that hyper has not read.
    named: VecDeque<Parts>,
    /// Whether the next request is to be read by hyper first.
    is_held: bool,
    /// Whether nothing more is followed.
    is_stopped: bool,
}

impl Pipeline {
    /// A connection from its beginning. If more bytes than these stand behind the request under
    /// way, they are not followed.
    pub fn new(unread_bytes_max: usize) -> Self {
        Self {
            unread: BytesMut::new(),
            unread_bytes_max,
            body_left: 0,
            named: VecDeque::new(),
            is_held: true,
            is_stopped: false,
        }
    }

    /// Bytes came from the caller, in their order.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        if self.is_stopped {
            return;
        }
        let body = usize::try_from(self.body_left).unwrap_or(usize::MAX).min(bytes.len());
        self.body_left -= body as u64;
        let rest = &bytes[body..];
        if self.unread.len() + rest.len() > self.unread_bytes_max {
            self.end();
            return;
        }
        self.unread.extend_from_slice(rest);
    }

    /// hyper has read a request.
    pub fn match_request(&mut self, parts: &Parts) -> RequestMatch {
        if let Some(named) = self.named.pop_front() {
            if is_same(&named, parts) {
                return RequestMatch::Yielded;
            }
            self.named.clear();
            self.end();
            return RequestMatch::Mismatch;
        }
        if !self.is_stopped {
            self.pass(parts);
        }
        RequestMatch::NotYielded
    }

    /// Names the next request behind the one under way, if its work may begin.
    pub fn next_request(&mut self, may_begin: impl FnOnce(&Parts) -> bool) -> Option<Parts> {
        if self.is_stopped || self.is_held || self.body_left > 0 || self.unread.is_empty() {
            return None;
        }
        let head = match read(&self.unread) {
            Reading::Whole(head) => head,
            Reading::Partial => return None,
            Reading::Other => {
                self.end();
                return None;
            }
        };
        let has_no_body = body_bytes(&head.parts.headers) == Some(0);
        let is_plain = has_no_body && !head.parts.headers.contains_key(header::EXPECT);
        if !is_plain || !is_followed(&head.parts) || !may_begin(&head.parts) {
            self.is_held = true;
            return None;
        }
        self.unread.advance(head.length);
        self.named.push_back(head.parts.clone());
        Some(head.parts)
    }

    /// Requests that were named, and that hyper has not read.
    pub fn pending_count(&self) -> usize {
        self.named.len()
    }

    /// Whether bytes of further requests have arrived.
    pub fn has_more(&self) -> bool {
        !self.named.is_empty() || !self.unread.is_empty()
    }

    /// Whether nothing more is followed.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Goes on behind a request that was not named.
    fn pass(&mut self, parts: &Parts) {
        let length = match read(&self.unread) {
            Reading::Whole(head) if is_same(&head.parts, parts) => head.length,
            Reading::Whole(_) | Reading::Partial | Reading::Other => return self.end(),
        };
        let Some(body_bytes) = body_bytes(&parts.headers).filter(|_| is_followed(parts)) else {
            return self.end();
        };
        self.unread.advance(length);
        let body = usize::try_from(body_bytes).unwrap_or(usize::MAX).min(self.unread.len());
        self.unread.advance(body);
        self.body_left = body_bytes - body as u64;
        self.is_held = false;
    }

    fn end(&mut self) {
        self.is_stopped = true;
        self.unread = BytesMut::new();
    }
}
