//! Test stand-ins, load generation and experiments; not part of the shipped product.
//!
//! * [`standin`]: a stand-in platform and a stand-in target, each with a control port through
//!   which tests and people inject faults.
//! * [`load`]: open-loop load generation that verifies every answer.
//! * [`experiment`]: the demo and the measurements, which run real processes together.
//! * [`replay`]: simulations in virtual time that compare policies.
//! * [`http_client`]: HTTP requests to stand-ins and entry processes.
//!
//! The tests of other crates use the library; the program `thymeshift-lab` runs each part as a
//! process.

pub mod experiment;
pub mod http_client;
pub mod load;
pub mod replay;
pub mod standin;
