//! Detection of bodies that stop making progress.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

/// Timer that runs only while no data arrives.
pub(crate) struct StallTimer {
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallTimer {
    pub(crate) fn new(limit: Duration) -> Self {
        Self { limit, timer: None }
    }

    /// Stops the timer, because data arrived.
    pub(crate) fn reset(&mut self) {
        self.timer = None;
    }

    /// Starts the timer if it does not run; ready once no data has arrived for the limit.
    pub(crate) fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        timer.as_mut().poll(context)
    }
}
