//! Headers and remote calls between callers, targets, entry processes and operators.
//!
//! * [`headers`]: the names of the product's own HTTP headers.
//! * [`CallContext`]: deadline, attempts and depth that travel with a call.
//! * [`load_header`]: load reports on answers.
//! * [`PeerLink`] and [`Control`]: `tarpc` services; [`connect_peer`],
//!   [`connect_control`], [`peer_channel`] and [`control_channel`] carry them over TCP with
//!   the `postcard` codec and a bound on every frame.
//! * [`StateDump`]: what a process says of its whole state.

mod call_context;
mod codec;
mod control;
mod counted;
mod dump;
pub mod headers;
pub mod load_header;
mod peer;
mod transport;

pub use call_context::CallContext;
pub use call_context::HeaderMistake;
pub use codec::CodecError;
pub use codec::Postcard;
pub use control::Control;
pub use control::ControlClient;
pub use control::ExplainHeader;
pub use control::ExplainRequest;
pub use control::Explanation;
pub use control::OrderAnswer;
pub use control::OrderRequest;
pub use counted::CountedStream;
pub use counted::LinkBytes;
pub use dump::ConfigurationDump;
pub use dump::KindDump;
pub use dump::PlatformDump;
pub use dump::StateDump;
pub use dump::TaskDump;
pub use peer::Document;
pub use peer::Exchange;
pub use peer::PeerLink;
pub use peer::PeerLinkClient;
pub use transport::CALLS_PER_CONNECTION_MAX;
pub use transport::ControlChannel;
pub use transport::LinkError;
pub use transport::PeerChannel;
pub use transport::connect_control;
pub use transport::connect_peer;
pub use transport::control_channel;
pub use transport::peer_channel;
