//! Starting the log.

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

/// The log could not be started.
#[derive(Debug, Display, Error, From)]
#[display("starting the log: {_0}")]
pub struct StartError(spdlog::Error);

/// Sends events of `level` and above to standard output from now on. Nobody waits for whoever
/// reads it.
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
