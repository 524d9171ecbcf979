//! Monotonic time that keeps counting while a VM is suspended.

use std::ops::Add;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;

/// A moment on one machine's boot clock, in whole microseconds.
///
/// Timestamps of two machines cannot be compared; send ages between machines instead.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The moment `micros` microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The moment `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, zero if `earlier` lies in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time left until `later`, zero if `later` has passed.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }

    /// This moment moved back by `duration`, stopping at the clock's start.
    pub const fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// A source of the current [`Timestamp`].
pub trait Clock {
    /// The current moment.
    fn now(&self) -> Timestamp;
}

/// The machine's boot clock (`CLOCK_BOOTTIME`).
///
/// `std::time::Instant` stops while a VM is suspended, so a deadline kept with it would
/// still look open after a long suspension. The boot clock goes on.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Timestamp {
        let time = rustix::time::clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Timestamp(seconds * 1_000_000 + nanos / 1_000)
    }
}

/// A clock moved by hand, for tests and for driving decisions directly.
#[derive(Debug, Clone, Default)]
pub struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    /// A clock that stands at `start`.
    pub fn new(start: Timestamp) -> Self {
        Self(Arc::new(AtomicU64::new(start.as_micros())))
    }

    /// Moves the clock forward by `duration`.
    pub fn advance(&self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.0.fetch_add(micros, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::Relaxed))
    }
}
