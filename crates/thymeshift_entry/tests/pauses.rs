//! A VM that is suspended while a request is under way. The boot clock goes on then and the
//! runtime's timers stand still; here the first is moved by hand and the second one is paused.

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
/// Time left to the request when the VM is suspended.
const LEFT: Duration = Duration::from_secs(4);
/// How long after it has woken the process notices, at most.
const NOTICED_AFTER: Duration = Duration::from_millis(100);

/// Runs the clocks for `ran`, suspends for `suspended`, and wakes.
async fn suspend(clock: &ManualClock, gaps: &PauseNotifier, ran: Duration, suspended: Duration) {
    sleep(ran).await;
    clock.advance(ran + suspended);
    sleep(NOTICED_AFTER).await;
    clock.advance(NOTICED_AFTER);
    gaps.notify();
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_by_the_boot_clock_however_long_the_vm_was_suspended() {
    struct Case {
        suspended_s: u64,
        /// How long the wait takes while the process runs.
        waits: Duration,
    }
    let ran = Duration::from_secs(1);
    let cases = [
        Case { suspended_s: 0, waits: LEFT },
        Case { suspended_s: 1, waits: Duration::from_secs(3) },
        Case { suspended_s: 5, waits: ran + NOTICED_AFTER },
        Case { suspended_s: 60, waits: ran + NOTICED_AFTER },
    ];
    for Case { suspended_s, waits } in cases {
        let clock = ManualClock::new(START);
        let gaps = Arc::new(PauseNotifier::default());
        let begun = Instant::now();
        let (outcome, ()) = tokio::join!(
            gaps.timeout_at(&clock, START + LEFT, pending::<()>()),
            suspend(&clock, &gaps, ran, Duration::from_secs(suspended_s)),
        );
        assert_eq!(outcome, None, "suspended for {suspended_s} s");
        let waited = begun.elapsed();
        let off = waited.abs_diff(waits);
        assert!(off < Duration::from_millis(5), "suspended for {suspended_s} s: waited {waited:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_ready_when_the_vm_wakes_is_delivered() {
    let clock = ManualClock::new(START);
    let gaps = PauseNotifier::default();
    let (answer, answered) = oneshot::channel();
    let waking = async {
        clock.advance(Duration::from_mins(1));
        answer.send(7).expect("somebody waits");
        gaps.notify();
    };
    let (outcome, ()) = tokio::join!(gaps.timeout_at(&clock, START + LEFT, answered), waking);
    assert_eq!(outcome, Some(Ok(7)));
}

#[tokio::test(start_paused = true)]
async fn many_gaps_in_a_row_end_no_wait_early() {
    let clock = ManualClock::new(START);
    let gaps = PauseNotifier::default();
    let noticing = async {
        for _ in 0..20 {
            sleep(Duration::from_millis(100)).await;
            clock.advance(Duration::from_millis(100));
            gaps.notify();
        }
        clock.now()
    };
    let waiting = gaps.timeout_at(&clock, START + LEFT, pending::<()>());
    tokio::select! {
        _ = waiting => panic!("it ended with half of its time left"),
        at = noticing => assert_eq!(at, START + Duration::from_secs(2)),
    }
}
