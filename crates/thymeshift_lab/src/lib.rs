//! Stand-ins, load generation and experiments; not shipped.
//!
//! * [`standin`]: a platform and a target, each with a control port through which tests
//!   and people cause faults.
//! * [`load`]: open-loop load whose every answer is checked.
//! * [`experiment`]: real processes put together: the demo and the measurements.
//!
//! The library is used by the tests of other crates; the program `thymeshift-lab` runs
//! each part as a process.

pub mod experiment;
pub mod http_client;
pub mod load;
pub mod replay;
pub mod standin;
