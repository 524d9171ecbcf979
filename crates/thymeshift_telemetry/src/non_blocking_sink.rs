//! Writing to standard output without ever waiting for its reader.
//!
//! What it does: before a line is written, it asks whether standard output takes more. If not,
//! the line is left out and counted.
//!
//! Why: whoever reads the log through a pipe may stop reading. A line is shorter than what a
//! pipe that takes more takes at once, so that writing it does not wait.

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

/// Lines left out since they were last asked for. One for the process, as standard output is.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines that were left out, since the last call, because standard output took no more.
pub fn take_dropped_lines() -> u64 {
    LEFT_OUT.swap(0, Ordering::Relaxed)
}

/// A sink to standard output that drops what would have to wait.
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
        if takes_more() {
            return self.stream.log(record);
        }
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        if takes_more() { self.stream.flush() } else { Ok(()) }
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

/// Whether standard output takes a line now. An error is left to the write to report.
fn takes_more() -> bool {
    let stream = stdout();
    let mut asked = [PollFd::new(&stream, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    !matches!(poll(&mut asked, Some(&at_once)), Ok(0))
}
