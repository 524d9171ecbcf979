//! Sleep with a finer resolution than the runtime's timer.
//!
//! The runtime's timer rounds up to whole milliseconds: a service time of 8 ms would become 9 ms,
//! and the target's capacity a ninth smaller than configured.

use std::io;
use std::time::Duration;

use rustix::time::Itimerspec;
use rustix::time::TimerfdClockId;
use rustix::time::TimerfdFlags;
use rustix::time::TimerfdTimerFlags;
use rustix::time::Timespec;
use rustix::time::timerfd_create;
use rustix::time::timerfd_settime;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::time::sleep;

/// Sleeps for `duration`; uses the runtime's timer if no timer descriptor can be created.
pub(crate) async fn exact_sleep(duration: Duration) {
    if duration.is_zero() {
        return;
    }
    if try_sleep(duration).await.is_err() {
        sleep(duration).await;
    }
}

async fn try_sleep(duration: Duration) -> io::Result<()> {
    let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
    let timer = timerfd_create(TimerfdClockId::Monotonic, flags)?;
    let value = Timespec {
        tv_sec: duration.as_secs().cast_signed(),
        tv_nsec: i64::from(duration.subsec_nanos()),
    };
    let never = Timespec { tv_sec: 0, tv_nsec: 0 };
    let once = Itimerspec { it_interval: never, it_value: value };
    timerfd_settime(&timer, TimerfdTimerFlags::empty(), &once)?;
    #[expect(deprecated, reason = "its successor is unsafe; an owned descriptor is sound here")]
    let timer = AsyncFd::with_interest(timer, Interest::READABLE)?;
    let _fired = timer.readable().await?;
    Ok(())
}
