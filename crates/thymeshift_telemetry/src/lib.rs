//! Key=value logging and the list of metrics.
//!
//! * [`start_logging`] sends one line for each event to standard output, and never waits for
//!   its reader.
//! * [`metric`] names every metric, and [`start_metrics`] collects them for Prometheus.

mod format;
mod log_rate_limiter;
mod logging;
pub mod metric;
mod non_blocking_sink;

pub use format::KeyValueFormatter;
pub use log_rate_limiter::LogRateLimiter;
pub use logging::StartError;
pub use logging::start_logging;
pub use metric::MetricsText;
pub use metric::start_metrics;
pub use non_blocking_sink::take_dropped_lines;
