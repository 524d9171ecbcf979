//! Load generation and its results.
//!
//! The load is open loop: requests arrive at a fixed mean rate, independent of earlier answers.
//! Latency counts from the time at which a request was due, so that a stalled system cannot hide
//! its latency by slowing the load down (coordinated omission).

mod arrivals;
mod caller;
mod closed;
mod failed_call;
mod plan;
mod plot;
mod result;
mod run;

pub use arrivals::arrival_times;
pub use closed::run_closed;
pub use failed_call::CallConnection;
pub use failed_call::FailedCall;
pub(crate) use failed_call::unix_ms;
pub use plan::EntryAddresses;
pub use plan::KindLoad;
pub use plan::LoadPlan;
pub use plan::PlanError;
pub use plot::PlotError;
pub use plot::Series;
pub use plot::draw;
pub use result::CallResult;
pub use result::KindResult;
pub use result::LoadResult;
pub use run::run;
