//! HTTP server for callers: from an accepted connection to the response.

mod activity;
mod answer_head;
mod connection;
mod connection_log;
mod disconnect;
mod fingerprint;
mod forward;
mod handler;
mod head;
mod hop_by_hop;
mod linger;
mod listener;
mod pipelining;
mod quarantine;
mod read_body;
mod response;
mod rest_timers;
mod write_timeout;

pub(crate) use listener::run_listener;
