//! Detection of bodies that stop making progress.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

/// Time for which a stall is confirmed after the limit has passed. A process that had no processor for
/// a while sees the end of the limit before the data that arrived meanwhile; within this time the
/// runtime looks at the sockets again, and the tasks of the connections run.
const CONFIRMATION: Duration = Duration::from_millis(50);

/// Timer that runs only while no data arrives.
pub(crate) struct StallTimer {
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    is_confirming: bool,
}

impl StallTimer {
    pub(crate) fn new(limit: Duration) -> Self {
        Self { limit, timer: None, is_confirming: false }
    }

    /// Stops the timer, because data arrived.
    pub(crate) fn reset(&mut self) {
        self.timer = None;
        self.is_confirming = false;
    }

    /// Starts the timer if it does not run; ready once no data has arrived for the limit and the
    /// confirmation after it.
    pub(crate) fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(timer.as_mut().poll(context));
        if self.is_confirming {
            return Poll::Ready(());
        }
        self.is_confirming = true;
        timer.as_mut().reset(Instant::now() + CONFIRMATION);
        timer.as_mut().poll(context)
    }
}
