//! Requests that a caller sends behind another one, before that is answered (RFC 9112, 9.3.2).
//!
//! hyper serves the requests of a connection one after the other. A caller that sends eight at
//! once, each of 100 ms of work, has the last answer after 800 ms, although targets are free. Here
//! the bytes of a connection are followed on their way to hyper, and the heads that stand behind
//! the request under way are read early, so that their work can begin. hyper still reads each
//! request, and answers them in order; what was begun early is used only for a request that hyper
//! reads the same.
//!
//! [`Pipeline`] begins nothing itself. It names a request only if
//!
//! * the end of the request before is certain: its length is stated once, in bytes;
//! * it has no body;
//! * it may be repeated, and so may all before it that are not answered: a caller that leaves, or
//!   an answer that ends the connection, takes back what was begun.
//!
//! Wherever the bytes could be read in two ways, it stops for the rest of the connection.

mod head;
mod pipeline;

pub use pipeline::Pipeline;
pub use pipeline::RequestMatch;
