//! Timeouts that follow the boot clock, which also runs while the VM is suspended.
//!
//! The timers of the async runtime stop while the VM is suspended.
//! Without a check after the resume, a request in progress would be held past its deadline,
//! for as much time as it had left before the suspension.

use std::pin::pin;

use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Wakes pending timeouts when the process detects that it was paused.
#[derive(Debug, Default)]
pub struct PauseNotifier(Notify);

impl PauseNotifier {
    /// Makes all pending timeouts check the clock again after a pause of the process.
    pub fn notify(&self) {
        self.0.notify_waiters();
    }

    /// Returns the output of `work`, or `None` once `deadline` has passed.
    /// Output that is already available is returned even if the deadline has passed.
    pub async fn timeout_at<C: Clock, W: Future>(
        &self,
        clock: &C,
        deadline: Timestamp,
        work: W,
    ) -> Option<W::Output> {
        let mut work = pin!(work);
        loop {
            let mut pause = pin!(self.0.notified());
            // Registered before the clock is read, so that no pause is missed in between.
            pause.as_mut().enable();
            let left = clock.now().until(deadline);
            tokio::select! {
                biased;
                outcome = &mut work => return Some(outcome),
                () = sleep(left) => return None,
                () = pause => {}
            }
        }
    }
}
