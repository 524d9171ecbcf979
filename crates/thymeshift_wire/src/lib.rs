//! HTTP headers and remote calls between callers, targets, entry processes and operators.
//!
//! * [`headers`]: names of the HTTP headers that Thymeshift defines.
//! * [`CallContext`]: deadline, remaining attempts and depth that are propagated with a call.
//! * [`load_header`]: load reports in response headers.
//! * [`Dialect`]: wire format of calls, attempts and answers.
//! * [`Native`]: implementation of [`Dialect`] for Thymeshift's own headers.
//! * [`PeerLink`] and [`Control`]: `tarpc` services over TCP, encoded with `postcard`.
//! * [`connect_peer`] and [`connect_control`]: client side of these services.
//! * [`peer_channel`] and [`control_channel`]: server side, with a size limit for every frame.
//! * [`RelayOpen`]: connections to targets that another entry process relays.
//! * [`StateDump`]: snapshot of the state of an entry process.

mod answer_headers;
mod call_context;
mod codec;
mod control;
mod counted;
mod datagram;
mod dead_peer;
mod dialect;
mod dump;
mod framing;
pub mod headers;
mod key_header;
pub mod load_header;
mod native;
mod peer;
mod rate_header;
mod request_id;
mod retry_after;
mod target_relay;
mod transport;

pub use answer_headers::HeaderAudience;
pub use answer_headers::standard_audience;
pub use call_context::CallContext;
pub use call_context::HeaderError;
pub use codec::CodecError;
pub use codec::Postcard;
pub use control::Control;
pub use control::ControlClient;
pub use control::ExplainHeader;
pub use control::ExplainRequest;
pub use control::Explanation;
pub use control::OrderAnswer;
pub use control::OrderRequest;
pub use counted::ByteCountingStream;
pub use counted::LinkBytes;
pub use datagram::Acquire;
pub use datagram::AllocatorAddress;
pub use datagram::DATAGRAM_BYTES_MAX;
pub use datagram::Datagram;
pub use datagram::DatagramError;
pub use datagram::GroupHeadroomReport;
pub use datagram::Heads;
pub use datagram::LeaseNumber;
pub use datagram::Message;
pub use datagram::QuotaAsk;
pub use datagram::QuotaGrant;
pub use datagram::QuotaRequestNumber;
pub use datagram::Release;
pub use datagram::SourceHeartbeat;
pub use dead_peer::KEEPALIVE_INTERVAL;
pub use dead_peer::KEEPALIVE_PROBES_MAX;
pub use dead_peer::UNACKNOWLEDGED_DATA_TIMEOUT;
pub use dead_peer::set_dead_peer_timeouts;
pub use dialect::AnswerClass;
pub use dialect::AttemptHead;
pub use dialect::Dialect;
pub use dump::ConfigurationDump;
pub use dump::HallDump;
pub use dump::KindDump;
pub use dump::LeftOutDump;
pub use dump::LinksDump;
pub use dump::OrganisationDump;
pub use dump::PlatformDump;
pub use dump::SpilloverDump;
pub use dump::StateDump;
pub use dump::TaskDump;
pub use framing::has_known_coding;
pub use framing::stated_length;
pub use key_header::take_bearer_key;
pub use native::Native;
pub use native::challenge;
pub use native::failure_status;
pub use peer::Document;
pub use peer::Exchange;
pub use peer::PeerLink;
pub use peer::PeerLinkClient;
pub use peer::TargetRateLimit;
pub use rate_header::RateLimitError;
pub use rate_header::read_rate_limit;
pub use request_id::loggable_id;
pub use retry_after::RetryAfterError;
pub use retry_after::read_retry_after;
pub use target_relay::RelayOpen;
pub use target_relay::RelayReply;
pub use target_relay::RelayedStream;
pub use target_relay::read_relay_message;
pub use target_relay::write_relay_frames;
pub use target_relay::write_relay_message;
pub use transport::CALLS_PER_CONNECTION_MAX;
pub use transport::ControlChannel;
pub use transport::LinkError;
pub use transport::PeerChannel;
pub use transport::connect_control;
pub use transport::connect_peer;
pub use transport::control_channel;
pub use transport::peer_channel;
