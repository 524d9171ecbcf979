//! Log sink for standard output that never blocks on the reader of the output.
//!
//! Before a line is written, the sink polls whether standard output is writable.
//! A line is dropped and counted if standard output is not writable.
//!
//! A program that reads the log through a pipe may stop reading.
//! A line is shorter than the free space of a writable pipe, so writing the line cannot block.

use std::io::stdout;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use spdlog::Error;
use spdlog::ErrorHandler;
use spdlog::LevelFilter;
use spdlog::Record;
use spdlog::formatter::Formatter;
use spdlog::sink::Sink;
use spdlog::sink::SinkPropAccess;
use spdlog::sink::StdStreamSink;

/// Number of lines dropped since the last call of [`take_dropped_lines`].
/// One counter per process, because a process has one standard output.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns and resets the number of lines dropped because standard output was not writable.
pub fn take_dropped_lines() -> u64 {
    DROPPED_LINES.swap(0, Ordering::Relaxed)
}

/// Sink for standard output that drops a line if writing it would block.
pub(crate) struct NonBlockingSink {
    stream: StdStreamSink,
}

impl NonBlockingSink {
    pub(crate) fn new(stream: StdStreamSink) -> Self {
        Self { stream }
    }
}

impl Sink for NonBlockingSink {
    fn log(&self, record: &Record) -> Result<(), Error> {
        if is_writable() {
            return self.stream.log(record);
        }
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        if is_writable() { self.stream.flush() } else { Ok(()) }
    }
}

impl SinkPropAccess for NonBlockingSink {
    fn level_filter(&self) -> LevelFilter {
        self.stream.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.stream.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.stream.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.stream.set_error_handler(handler);
    }
}

/// Returns whether standard output is writable now.
/// If polling fails, the sink writes the line and reports any error from the write.
fn is_writable() -> bool {
    let stream = stdout();
    let mut poll_fds = [PollFd::new(&stream, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    !matches!(poll(&mut poll_fds, Some(&no_wait)), Ok(0))
}
