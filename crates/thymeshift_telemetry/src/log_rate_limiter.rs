//! A bound on log lines of one sort.
//!
//! What it does: up to a number of lines a second are allowed; further ones are counted, and
//! the count is handed out so that it can be logged itself.
//!
//! Why: requests fail by the thousand just when a process has no time to write about each.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Microseconds in the time for which lines are counted together.
const WINDOW_US: u64 = 1_000_000;

/// Counts lines; shared by all that write them.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines_per_s: u64,
    window: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LogRateLimiter {
    /// A budget of so many lines a second.
    pub const fn new(lines_per_s: u64) -> Self {
        Self {
            lines_per_s,
            window: AtomicU64::new(0),
            written: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Whether a line may be written at `now_us`, a moment of any steady clock in
    /// microseconds. At the turn of a second a few more may pass than allowed.
    pub fn allows(&self, now_us: u64) -> bool {
        let window = now_us / WINDOW_US;
        if self.window.swap(window, Ordering::Relaxed) != window {
            self.written.store(0, Ordering::Relaxed);
        }
        let is_allowed = self.written.fetch_add(1, Ordering::Relaxed) < self.lines_per_s;
        if !is_allowed {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }

    /// Lines left out since this was last asked.
    pub fn take_suppressed(&self) -> u64 {
        self.left_out.swap(0, Ordering::Relaxed)
    }
}
