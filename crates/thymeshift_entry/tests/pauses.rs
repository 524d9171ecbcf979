//! Timeouts of requests that are in progress while the VM is suspended.
//!
//! While the VM is suspended, the boot clock runs on and the timers of the async runtime stop.
//! The tests simulate a suspension with a manual boot clock and a paused runtime clock.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use thymeshift_entry::PauseNotifier;
use thymeshift_types::Clock;
use thymeshift_types::ManualClock;
use thymeshift_types::Timestamp;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Time until the deadline when the wait starts.
const REMAINING: Duration = Duration::from_secs(4);
/// Time between the resume of the VM and the detection of the pause by the process.
const DETECTION_DELAY: Duration = Duration::from_millis(100);

/// Simulates a suspension: both clocks run for `ran`, then only the boot clock for `suspended`.
/// Reports the pause after [`DETECTION_DELAY`].
async fn suspend(
    clock: &ManualClock,
    notifier: &PauseNotifier,
    ran: Duration,
    suspended: Duration,
) {
    sleep(ran).await;
    clock.advance(ran + suspended);
    sleep(DETECTION_DELAY).await;
    clock.advance(DETECTION_DELAY);
    notifier.notify();
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_by_the_boot_clock_however_long_the_vm_was_suspended() {
    struct Case {
        suspended_s: u64,
        /// Duration of the wait, without the time of the suspension.
        expected_wait: Duration,
    }
    let ran = Duration::from_secs(1);
    let cases = [
        Case { suspended_s: 0, expected_wait: REMAINING },
        Case { suspended_s: 1, expected_wait: Duration::from_secs(3) },
        Case { suspended_s: 5, expected_wait: ran + DETECTION_DELAY },
        Case { suspended_s: 60, expected_wait: ran + DETECTION_DELAY },
    ];
    for Case { suspended_s, expected_wait } in cases {
        let clock = ManualClock::new(START);
        let notifier = Arc::new(PauseNotifier::default());
        let started_at = Instant::now();
        let (outcome, ()) = tokio::join!(
            notifier.timeout_at(&clock, START + REMAINING, pending::<()>()),
            suspend(&clock, &notifier, ran, Duration::from_secs(suspended_s)),
        );
        assert_eq!(outcome, None, "suspended for {suspended_s} s");
        let waited = started_at.elapsed();
        let deviation = waited.abs_diff(expected_wait);
        assert!(
            deviation < Duration::from_millis(5),
            "suspended for {suspended_s} s: waited {waited:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_ready_when_the_vm_wakes_is_delivered() {
    let clock = ManualClock::new(START);
    let notifier = PauseNotifier::default();
    let (answer, answered) = oneshot::channel();
    let waking = async {
        clock.advance(Duration::from_mins(1));
        answer.send(7).expect("the receiver is waiting");
        notifier.notify();
    };
    let (outcome, ()) =
        tokio::join!(notifier.timeout_at(&clock, START + REMAINING, answered), waking);
    assert_eq!(outcome, Some(Ok(7)));
}

#[tokio::test(start_paused = true)]
async fn many_pauses_in_a_row_end_no_wait_early() {
    let clock = ManualClock::new(START);
    let notifier = PauseNotifier::default();
    let pausing = async {
        for _ in 0..20 {
            sleep(Duration::from_millis(100)).await;
            clock.advance(Duration::from_millis(100));
            notifier.notify();
        }
        clock.now()
    };
    let waiting = notifier.timeout_at(&clock, START + REMAINING, pending::<()>());
    tokio::select! {
        _ = waiting => panic!("the wait ended with half of its time left"),
        at = pausing => assert_eq!(at, START + Duration::from_secs(2)),
    }
}
