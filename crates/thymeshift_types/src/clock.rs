//! Monotonic clocks that keep counting while a VM is suspended.

use std::ops::Add;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;

/// Instant on the boot clock of one machine, in whole microseconds.
///
/// Timestamps of two machines are not comparable; messages between machines carry ages instead.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Returns the instant `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the instant `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `later`, or zero if `later` is earlier than `self`.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }

    /// Returns the instant `duration` before `self`, saturating at the start of the clock.
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

/// Source of the current [`Timestamp`].
pub trait Clock {
    /// Returns the current time.
    fn now(&self) -> Timestamp;
}

/// Boot clock of the machine (`CLOCK_BOOTTIME`).
///
/// `std::time::Instant` stops while a VM is suspended, so a deadline based on it would not have
/// expired after a long suspension. The boot clock also counts the suspended time.
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

/// Clock that only advances on request, for tests and simulations.
#[derive(Debug, Clone, Default)]
pub struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    /// Creates a clock whose current time is `start`.
    pub fn new(start: Timestamp) -> Self {
        Self(Arc::new(AtomicU64::new(start.as_micros())))
    }

    /// Advances the clock by `duration`.
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
