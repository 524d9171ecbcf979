//! The entry process: listeners, proxying, platform and peer links, control port.
//!
//! `thymeshift_dispatch` and `thymeshift_fleet` contain the decision logic without I/O.
//! This crate provides sockets, clocks and random numbers.
//!
//! * `caller`: HTTP server for callers, from an accepted connection to the response.
//! * `target_client`: connections to targets, attempts of requests, and probes.
//! * `service`: obtains a target, from an allocator or from the local dispatcher.
//! * `allocation_client`: datagrams to other entry processes, and leases held by this process.
//! * `control_plane`: platform, peers, operators, readiness and metrics.
//! * `environment`: interfaces for the dialect and the configuration source.
//! * `fresh_check`: acts on a check only while its result is fresh.
//! * `pauses`: timeouts that follow the boot clock.
//! * `organisations`: identifies the organisation of a request and enforces its rate limit.
//! * `process`: supervisor tree, start and planned stop of the entry process.

mod accept_queue;
mod allocation_client;
mod caller;
mod control_plane;
mod discovered;
mod environment;
mod fleet;
mod fresh_check;
mod message_parts;
mod native;
mod organisations;
mod pauses;
mod ports;
mod process;
mod reload;
mod routing;
mod service;
mod shared;
mod target_client;

pub use control_plane::GetError;
pub use control_plane::http_get;
pub use environment::Environment;
pub use environment::FirstPage;
pub use environment::Source;
pub use environment::SourceError;
pub use fresh_check::act_if_fresh;
pub use native::NativeEnvironment;
pub use native::NativeSource;
pub use pauses::PauseNotifier;
pub use ports::StartError;
pub use process::BoundAddresses;
pub use process::Exit;
pub use process::run;
