//! When a task is started anew.

use std::time::Duration;

/// Restart rule of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartPolicy {
    pub(crate) is_ending_expected: bool,
    pub(crate) starts_max: usize,
    pub(crate) window: Duration,
    pub(crate) pause: Duration,
}

impl RestartPolicy {
    /// A task that runs for ever: any end is a failure. At most ten restarts in ten
    /// seconds.
    pub const fn always() -> Self {
        Self {
            is_ending_expected: false,
            starts_max: 10,
            window: Duration::from_secs(10),
            pause: Duration::from_millis(100),
        }
    }

    /// A task that may end well; it is started anew only after a failure.
    pub const fn on_failure() -> Self {
        Self { is_ending_expected: true, ..Self::always() }
    }

    /// Allows `starts_max` restarts within `window`.
    #[must_use]
    pub const fn with_limit(mut self, starts_max: usize, window: Duration) -> Self {
        self.starts_max = starts_max;
        self.window = window;
        self
    }

    /// Waits `pause` before each restart.
    #[must_use]
    pub const fn with_delay(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }
}
