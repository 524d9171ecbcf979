//! Rate limit for log lines of one type.
//!
//! Up to a fixed number of lines per second is allowed.
//! Further lines are suppressed and counted, so that the count can be logged.
//!
//! During an overload, thousands of requests fail, and the process has no time to log each one.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Length of the counting window, in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// Rate limiter for log lines, shared by all threads that write them.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines_per_s: u64,
    window: AtomicU64,
    written: AtomicU64,
    suppressed: AtomicU64,
}

impl LogRateLimiter {
    /// Creates a limiter that allows `lines_per_s` lines per second.
    pub const fn new(lines_per_s: u64) -> Self {
        Self {
            lines_per_s,
            window: AtomicU64::new(0),
            written: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Returns whether a line may be written at `now_us`, a monotonic time in microseconds.
    ///
    /// A few lines above the limit may pass when a new window begins, as threads race to reset it.
    pub fn allows(&self, now_us: u64) -> bool {
        let window = now_us / WINDOW_US;
        if self.window.swap(window, Ordering::Relaxed) != window {
            self.written.store(0, Ordering::Relaxed);
        }
        let is_allowed = self.written.fetch_add(1, Ordering::Relaxed) < self.lines_per_s;
        if !is_allowed {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }

    /// Returns the number of lines suppressed since the last call and resets it.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.swap(0, Ordering::Relaxed)
    }
}
