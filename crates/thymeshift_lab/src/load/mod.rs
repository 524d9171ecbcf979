//! Open-loop load: arrivals at a set rate, whatever became of the ones before. Latency is
//! counted from the moment at which a request was due, so that a stall of the system is
//! not hidden by a load that waits for it (coordinated omission).

mod arrivals;
mod caller;
mod closed;
mod plan;
mod plot;
mod result;
mod run;

pub use arrivals::arrival_times;
pub use closed::run_closed;
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
