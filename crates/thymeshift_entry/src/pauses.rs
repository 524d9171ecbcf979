//! Waits that end by the boot clock.
//!
//! The runtime's timers stand still while a VM is suspended. Without more, a request that was under
//! way then would be held for as long after the VM has woken as it had left before, although its
//! deadline is over.

use std::pin::pin;

use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Tells those that wait when the process notices that it did not run for a while.
#[derive(Debug, Default)]
pub struct PauseNotifier(Notify);

impl PauseNotifier {
    /// The process did not run for a while: whoever waits looks at the clock again.
    pub fn notify(&self) {
        self.0.notify_waiters();
    }

    /// The outcome of `work`, or none once `deadline` has passed. What is ready counts, also late.
    pub async fn timeout_at<C: Clock, W: Future>(
        &self,
        clock: &C,
        deadline: Timestamp,
        work: W,
    ) -> Option<W::Output> {
        let mut work = pin!(work);
        loop {
            let mut gap = pin!(self.0.notified());
            // Before the look at the clock, so that no gap is missed in between.
            gap.as_mut().enable();
            let left = clock.now().until(deadline);
            tokio::select! {
                biased;
                outcome = &mut work => return Some(outcome),
                () = sleep(left) => return None,
                () = gap => {}
            }
        }
    }
}
