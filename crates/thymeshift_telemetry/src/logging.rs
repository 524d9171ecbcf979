//! Setup of the process-wide logger.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::sink::StdStreamSink;
use thymeshift_config::LogLevel;

use crate::KeyValueFormatter;
use crate::non_blocking_sink::NonBlockingSink;

/// Error of setting up the logger.
#[derive(Debug, Display, Error, From)]
#[display("starting the log: {_0}")]
pub struct StartError(spdlog::Error);

/// Installs a logger that writes events of `level` and above to standard output.
/// Writing never blocks on the reader of the output.
pub fn start_logging(level: LogLevel) -> Result<(), StartError> {
    let sink = StdStreamSink::builder().stdout().formatter(KeyValueFormatter).build()?;
    let filter = LevelFilter::MoreSevereEqual(match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    });
    let logger = Logger::builder()
        .sink(Arc::new(NonBlockingSink::new(sink)))
        .level_filter(filter)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
