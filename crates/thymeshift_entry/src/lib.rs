//! The entry process: listeners, proxying, platform and peer links, control port.
//!
//! The decisions are made in `thymeshift_dispatch` and `thymeshift_fleet`; this crate
//! gives them sockets, clocks and random numbers.
//!
//! * [`caller`]: from an accepted connection to the answer.
//! * [`target`]: connections to targets, one attempt of a request, probes.
//! * [`control_plane`]: platform, peers, operators, readiness and metrics.
//! * [`process`]: the supervisor tree, start and planned stop.

mod caller;
mod control_plane;
mod fleet;
mod process;
mod routing;
mod service;
mod shared;
mod target;

pub use process::Bound;
pub use process::Exit;
pub use process::StartError;
pub use process::run;
