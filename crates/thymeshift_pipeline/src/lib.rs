//! Detection of pipelined HTTP/1.1 requests (RFC 9112, 9.3.2).
//!
//! hyper handles the requests of a connection one after the other. A caller that pipelines eight
//! requests of 100 ms each gets the last response after 800 ms, even if targets are idle. This
//! crate parses a copy of the bytes that hyper reads, and finds the pipelined requests after the
//! current one, so that their processing can start early. hyper still parses every request and
//! sends the responses in order. The result of an early start is used only if hyper parses the same
//! request.
//!
//! [`Pipeline`] does not process requests itself. It yields a request only if
//!
//! * the end of the preceding request is unambiguous: its body length is stated exactly once, in
//!   bytes;
//! * the request has no body;
//! * the request and all unanswered requests before it are safe to repeat, because early work is
//!   discarded if the caller disconnects or if a response closes the connection.
//!
//! A chunked body is followed up to its end, so that the bytes behind it are known to belong to
//! another request. Nothing is yielded behind it until hyper has parsed the next request itself.
//!
//! If the bytes can be parsed in more than one way, the pipeline stops for the rest of the
//! connection. This includes a malformed chunked body, other transfer codings, and a request that
//! states both a coding and a length.

mod body;
mod chunked;
mod head;
mod pipeline;

pub use pipeline::Pipeline;
pub use pipeline::RequestMatch;
