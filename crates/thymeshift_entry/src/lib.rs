//! The entry process: listeners, proxying, platform and peer links, control port.
//!
//! The decisions are made in `thymeshift_dispatch` and `thymeshift_fleet`; this crate
//! gives them sockets, clocks and random numbers.
//!
//! * [`caller`]: from an accepted connection to the answer.
//! * [`target_client`]: connections to targets, one attempt of a request, probes.
//! * [`service`]: obtaining a target, from an allocator or from the own dispatcher.
//! * [`allocation_client`]: datagrams to other entry processes, and the leases held here.
//! * [`control_plane`]: platform, peers, operators, readiness and metrics.
//! * [`environment`]: what may be put in place of the product's own dialect and source.
//! * [`pauses`]: waits that end by the boot clock.
//! * [`organisations`]: whose requests these are, and how many are admitted.
//! * [`process`]: the supervisor tree, start and planned stop.

mod allocation_client;
mod caller;
mod control_plane;
mod environment;
mod fleet;
mod native;
mod organisations;
mod pauses;
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
pub use native::NativeEnvironment;
pub use native::NativeSource;
pub use pauses::PauseNotifier;
pub use process::BoundAddresses;
pub use process::Exit;
pub use process::StartError;
pub use process::run;
