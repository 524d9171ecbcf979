//! Communication with the platform, peers and operators, and the readiness and metrics server.

mod accept;
mod bootstrap;
mod datagrams;
mod dump;
mod explain;
mod http_get;
mod observe;
mod operators;
mod peer_link;
mod peer_server;
mod platform;
mod port_stop;
mod port_stream;
mod relay;
mod source;
mod spare_capacity;
mod suspects;
mod ticker;

pub(crate) use bootstrap::bootstrap;
pub(crate) use datagrams::run_datagrams;
pub use http_get::GetError;
pub use http_get::http_get;
pub(crate) use observe::run_observe;
pub(crate) use operators::run_operators;
pub(crate) use peer_link::PeerLinks;
pub(crate) use peer_link::announce_shutdown;
pub(crate) use peer_link::run_peer_link;
pub(crate) use peer_server::run_peer_server;
pub(crate) use platform::run_platform;
pub(crate) use port_stop::PortStop;
pub(crate) use relay::notify_relay_children;
pub(crate) use source::run_source;
pub(crate) use spare_capacity::run_spare_capacity_reports;
pub(crate) use suspects::report_answered;
pub(crate) use suspects::report_crash;
pub(crate) use ticker::run_ticker;
