//! Structured logging in key=value format, and the metrics of the entry process.
//!
//! * [`start_logging`]: writes one line per event to standard output without ever blocking.
//! * [`metric`]: names of all metrics.
//! * [`start_metrics`]: collects the metrics for Prometheus.

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
