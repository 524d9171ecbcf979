//! Restart policies of supervised tasks.

use std::time::Duration;

/// Decides whether a task is restarted after it ends, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartPolicy {
    pub(crate) may_finish: bool,
    pub(crate) restarts_max: usize,
    pub(crate) window: Duration,
    pub(crate) delay: Duration,
}

impl RestartPolicy {
    /// Policy of a task that runs until shutdown: every end counts as a failure,
    /// and at most ten restarts are allowed in ten seconds.
    pub const fn always() -> Self {
        Self {
            may_finish: false,
            restarts_max: 10,
            window: Duration::from_secs(10),
            delay: Duration::from_millis(100),
        }
    }

    /// Policy of a task that may finish successfully; only a failed run is restarted.
    pub const fn on_failure() -> Self {
        Self { may_finish: true, ..Self::always() }
    }

    /// Allows `restarts_max` restarts within `window` before the supervisor gives up on the task.
    #[must_use]
    pub const fn with_limit(mut self, restarts_max: usize, window: Duration) -> Self {
        self.restarts_max = restarts_max;
        self.window = window;
        self
    }

    /// Waits `delay` before each restart.
    #[must_use]
    pub const fn with_delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }
}
