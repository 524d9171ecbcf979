//! Parser for the pipelined requests of one connection.

use std::collections::VecDeque;

use bytes::Buf;
use bytes::BytesMut;
use http::header;
use http::request::Parts;

use crate::body::Body;
use crate::head::HeadParse;
use crate::head::allows_pipelining;
use crate::head::content_length;
use crate::head::is_same_head;
use crate::head::parse_head;

/// Relation of a request that hyper has parsed to the requests yielded before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestMatch {
    /// No yielded request is outstanding, so hyper has parsed a request that was not yielded.
    NotYielded,
    /// hyper has parsed the oldest outstanding yielded request.
    Yielded,
    /// hyper has parsed another request than the oldest outstanding yielded request. The results of
    /// all early starts must be discarded.
    Mismatch,
}

/// Parser state that finds the pipelined requests in the bytes of one connection.
#[derive(Debug)]
pub struct Pipeline {
    /// Bytes after the last request that hyper has parsed or that was yielded.
    buffer: BytesMut,
    buffer_bytes_max: usize,
    /// Body of the last request that hyper has parsed.
    body: Body,
    /// Yielded requests that hyper has not parsed yet.
    yielded: VecDeque<Parts>,
    /// Whether hyper must parse the next request before further requests are yielded.
    waits_for_hyper: bool,
    /// Whether parsing has stopped for the rest of the connection.
    is_stopped: bool,
}

impl Pipeline {
    /// Creates the parser of a new connection. Parsing stops if more than `buffer_bytes_max` bytes
    /// follow the current request.
    pub fn new(buffer_bytes_max: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            buffer_bytes_max,
            body: Body::EMPTY,
            yielded: VecDeque::new(),
            waits_for_hyper: true,
            is_stopped: false,
        }
    }

    /// Appends the next bytes that arrived from the caller.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        if self.is_stopped {
            return;
        }
        let Some(body_bytes) = self.body.skip(bytes) else {
            return self.stop();
        };
        let rest = &bytes[body_bytes..];
        if self.buffer.len() + rest.len() > self.buffer_bytes_max {
            self.stop();
            return;
        }
        self.buffer.extend_from_slice(rest);
    }

    /// Matches a request that hyper has parsed with the oldest outstanding yielded request.
    pub fn match_request(&mut self, parts: &Parts) -> RequestMatch {
        if let Some(yielded) = self.yielded.pop_front() {
            if is_same_head(&yielded, parts) {
                return RequestMatch::Yielded;
            }
            self.yielded.clear();
            self.stop();
            return RequestMatch::Mismatch;
        }
        if !self.is_stopped {
            self.skip_request(parts);
        }
        RequestMatch::NotYielded
    }

    /// Yields the next pipelined request if it is complete and `may_start` accepts it.
    pub fn next_request(&mut self, may_start: impl FnOnce(&Parts) -> bool) -> Option<Parts> {
        if self.is_stopped || self.waits_for_hyper || self.buffer.is_empty() {
            return None;
        }
        let head = match parse_head(&self.buffer) {
            HeadParse::Complete(head) => head,
            HeadParse::Partial => return None,
            HeadParse::Invalid => {
                self.stop();
                return None;
            }
        };
        let has_no_body = content_length(&head.parts.headers) == Some(0);
        let is_plain = has_no_body && !head.parts.headers.contains_key(header::EXPECT);
        if !is_plain || !allows_pipelining(&head.parts) || !may_start(&head.parts) {
            self.waits_for_hyper = true;
            return None;
        }
        self.buffer.advance(head.length);
        self.yielded.push_back(head.parts.clone());
        Some(head.parts)
    }

    /// Returns the number of yielded requests that hyper has not parsed yet.
    pub fn pending_count(&self) -> usize {
        self.yielded.len()
    }

    /// Whether bytes of requests after the current one have arrived. Empty lines before a request do not
    /// count, as some callers send one behind a body (RFC 9112, 2.2).
    pub fn has_more(&self) -> bool {
        let has_request_bytes = self.buffer.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        !self.yielded.is_empty() || has_request_bytes
    }

    /// Whether all bytes of the requests parsed so far have arrived, so that the next bytes from the
    /// caller belong to another request. `false` if parsing has stopped.
    pub fn is_between_requests(&self) -> bool {
        !self.is_stopped && self.body.is_complete()
    }

    /// Whether the bytes that have arrived end with a whole request, so that none is left incomplete if
    /// no further bytes are read. `false` if parsing has stopped.
    pub fn ends_with_whole_request(&self) -> bool {
        if !self.is_between_requests() {
            return false;
        }
        let mut rest = &self.buffer[..];
        loop {
            rest = skip_empty_lines(rest);
            if rest.is_empty() {
                return true;
            }
            match whole_request_length(rest) {
                Some(length) => rest = &rest[length..],
                None => return false,
            }
        }
    }

    /// Whether parsing has stopped for the rest of the connection.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Skips the head and body of a request that hyper has parsed and that was not yielded.
    fn skip_request(&mut self, parts: &Parts) {
        let length = match parse_head(&self.buffer) {
            HeadParse::Complete(head) if is_same_head(&head.parts, parts) => head.length,
            HeadParse::Complete(_) | HeadParse::Partial | HeadParse::Invalid => return self.stop(),
        };
        let Some(body) = Body::of_request(&parts.headers).filter(|_| allows_pipelining(parts))
        else {
            return self.stop();
        };
        // Behind a chunked body, hyper's next head must confirm that both parsers found the same end.
        self.waits_for_hyper = matches!(body, Body::Chunked(_));
        self.body = body;
        self.buffer.advance(length);
        match self.body.skip(&self.buffer) {
            Some(body_bytes) => self.buffer.advance(body_bytes),
            None => self.stop(),
        }
    }

    fn stop(&mut self) {
        self.is_stopped = true;
        self.buffer = BytesMut::new();
    }
}

/// Returns the bytes behind empty lines, which may precede a request (RFC 9112, 2.2).
fn skip_empty_lines(bytes: &[u8]) -> &[u8] {
    let start = bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n'));
    &bytes[start.unwrap_or(bytes.len())..]
}

/// Returns the length of the request at the start of `bytes`, or `None` if it is not complete.
fn whole_request_length(bytes: &[u8]) -> Option<usize> {
    let HeadParse::Complete(head) = parse_head(bytes) else {
        return None;
    };
    let mut body = Body::of_request(&head.parts.headers)?;
    let body_length = body.skip(&bytes[head.length..])?;
    body.is_complete().then_some(head.length + body_length)
}
