//! Waits for parts of an answer until the deadline of their attempt.

use std::pin::pin;

use futures::FutureExt;
use thymeshift_types::BootClock;
use thymeshift_types::Timestamp;

use crate::pauses::PauseNotifier;
use crate::target_client::connection_task::ConnectionTask;

/// Wait for the parts of an answer.
pub(crate) struct Arrival<'a> {
    pub(crate) notifier: &'a PauseNotifier,
    /// Task of the connection that the answer arrives on.
    pub(crate) task: Option<ConnectionTask>,
    pub(crate) deadline: Timestamp,
}

impl Arrival<'_> {
    /// Returns the output of `part`, or `None` if it had not arrived when the deadline passed.
    /// A part that is in the socket at that time is returned, however late its task runs.
    pub(crate) async fn of<F: Future>(&self, part: F) -> Option<F::Output> {
        let mut part = pin!(part);
        let arrived = self.notifier.timeout_at(&BootClock, self.deadline, part.as_mut()).await;
        if arrived.is_some() {
            return arrived;
        }
        self.task.as_ref()?.catch_up().await;
        part.now_or_never()
    }
}
