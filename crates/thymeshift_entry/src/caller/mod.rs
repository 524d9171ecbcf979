//! From an accepted connection to the answer.

mod pipelining;
mod response;
mod connection;
mod disconnect;
mod fingerprint;
mod forward;
mod handler;
mod head;
mod hop_by_hop;
mod listener;
mod read_body;
mod quarantine;
mod write_timeout;

pub(crate) use listener::run_listener;
