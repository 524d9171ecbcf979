//! Share of the requests that each class of callers asks for.
//!
//! A caller belongs to one of [`CLASS_COUNT`] classes by a salted hash. The counter of a class is
//! the number of its requests, refused ones and retries included, and is halved every
//! [`HALVING_INTERVAL`]. In an overloaded priority, requests of the class with the smallest counter
//! are served first, so that a caller gains nothing by retrying immediately.
//!
//! Counting granted requests instead would not show an immediate retry, which is refused most of
//! the time. The salt changes every [`SALT_INTERVAL`], so that a caller does not stay in a class
//! with a caller who asks for much. The state is a fixed number of counters, whatever callers send.

use std::net::IpAddr;
use std::num::NonZeroU16;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::OrganisationName;
use thymeshift_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of classes. A hundred callers share a class with another one in a third of the cases.
const CLASS_COUNT: usize = 256;
/// Interval at which all counters are halved. A caller who stops retrying counts like the others
/// after about a second.
const HALVING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the salt changes and all counters start again from zero.
const SALT_INTERVAL: Duration = Duration::from_secs(2);
/// Length of the network part of an IPv6 address, which a single host may have for itself.
const NETWORK_BYTES: usize = 8;
/// Multiple of the mean above which a class is refused first when the queue is full.
/// With a few requests a second, the counters of equal callers differ by a factor of two to three.
const OVER_SHARE_FACTOR: f32 = 4.0;

/// Caller of a request, as far as a dispatcher tells callers apart. The default is an unknown one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallerClass(Option<NonZeroU16>);

impl CallerClass {
    /// Returns the class of a caller that is known by its address only. Addresses of one IPv6
    /// network of 64 bits are one caller, because a single host may use all of them.
    pub fn of_address(address: IpAddr) -> Self {
        match address.to_canonical() {
            IpAddr::V4(address) => Self::of_bytes(&address.octets()),
            IpAddr::V6(address) => Self::of_bytes(&address.octets()[..NETWORK_BYTES]),
        }
    }

    /// Returns the class of the callers of an organisation.
    pub fn of_organisation(name: &OrganisationName) -> Self {
        Self::of_bytes(name.as_str().as_bytes())
    }

    /// Returns the class that was sent as a number; 0 is an unknown caller.
    pub fn from_number(number: u16) -> Self {
        Self(NonZeroU16::new(number))
    }

    /// Returns the number of the class, which [`Self::from_number`] reads.
    pub fn number(self) -> u16 {
        self.0.map_or(0, NonZeroU16::get)
    }

    fn of_bytes(bytes: &[u8]) -> Self {
        // A hash of zero is mapped to another class, because zero stands for an unknown caller.
        Self(Some(NonZeroU16::new(xxh3_64(bytes) as u16).unwrap_or(NonZeroU16::MAX)))
    }
}

/// State of the caller shares of one dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerSharesDump {
    /// Number of classes with requests in the last seconds.
    pub classes: usize,
    /// Share of the class with the most requests, 0 to 1.
    pub largest_share: f64,
    /// Number of classes with more than four times the mean.
    pub over_share: usize,
    /// Number of waiting requests that were refused in favour of a caller who asks for less.
    pub refused_first: u64,
}

impl CallerSharesDump {
    /// Returns the state of two dispatchers of one service: the larger values, and the sum of the
    /// refused requests. The classes of two dispatchers are unrelated.
    pub fn merged(self, other: Self) -> Self {
        Self {
            classes: self.classes.max(other.classes),
            largest_share: self.largest_share.max(other.largest_share),
            over_share: self.over_share.max(other.over_share),
            refused_first: self.refused_first + other.refused_first,
        }
    }
}

/// Recent requests by class of callers, of one dispatcher.
#[derive(Debug, Clone)]
pub struct CallerShares {
    counters: [f32; CLASS_COUNT],
    /// Sum of the counters.
    total: f32,
    /// Number of classes with requests since the salt changed.
    active: usize,
    salt: u64,
    /// Time of the last change of the salt; `None` before the first request.
    salted_at: Option<Timestamp>,
    halved_at: Timestamp,
    refused_first: u64,
}

impl Default for CallerShares {
    fn default() -> Self {
        Self {
            counters: [0.0; CLASS_COUNT],
            total: 0.0,
            active: 0,
            salt: 0,
            salted_at: None,
            halved_at: Timestamp::default(),
            refused_first: 0,
        }
    }
}

impl CallerShares {
    /// Counts a request of `caller`, after the counters have been brought up to date.
    pub fn record<R: Rng>(&mut self, caller: CallerClass, now: Timestamp, rng: &mut R) {
        self.advance(now, rng);
        if let Some(index) = self.index(caller) {
            self.active += usize::from(self.counters[index] == 0.0);
            self.counters[index] += 1.0;
            self.total += 1.0;
        }
    }

    /// Returns the recent requests of the class of `caller`; the mean for an unknown caller, which
    /// is thus neither preferred nor refused first.
    pub fn count(&self, caller: CallerClass) -> f32 {
        self.index(caller).map_or_else(|| self.mean(), |index| self.counters[index])
    }

    /// Whether the class of `caller` has more than four times the mean requests of all classes
    /// that have any.
    pub fn is_over_share(&self, caller: CallerClass) -> bool {
        self.index(caller).is_some_and(|index| self.counters[index] > self.over_share_bound())
    }

    /// Counts a waiting request that is refused because its class is over its share.
    pub(crate) fn record_refused_first(&mut self) {
        self.refused_first += 1;
    }

    /// Returns the state for operators and tools.
    pub fn dump(&self) -> CallerSharesDump {
        let largest = self.counters.iter().copied().fold(0.0, f32::max);
        let bound = self.over_share_bound();
        CallerSharesDump {
            classes: self.active,
            largest_share: f64::from(largest / self.total.max(f32::MIN_POSITIVE)),
            over_share: self.counters.iter().filter(|counter| **counter > bound).count(),
            refused_first: self.refused_first,
        }
    }

    /// Halves the counters, or starts again with a new salt, when the time for it has come.
    fn advance<R: Rng>(&mut self, now: Timestamp, rng: &mut R) {
        if self.salted_at.is_none_or(|at| now.since(at) >= SALT_INTERVAL) {
            self.salt = rng.random();
            self.salted_at = Some(now);
            self.halved_at = now;
            self.counters = [0.0; CLASS_COUNT];
            self.total = 0.0;
            self.active = 0;
        }
        // At most four rounds, because the counters start again after four intervals.
        while now.since(self.halved_at) >= HALVING_INTERVAL {
            self.halved_at = self.halved_at + HALVING_INTERVAL;
            for counter in &mut self.counters {
                *counter /= 2.0;
            }
            self.total /= 2.0;
        }
    }

    fn index(&self, caller: CallerClass) -> Option<usize> {
        let number = caller.0?.get();
        Some(xxh3_64_with_seed(&number.to_le_bytes(), self.salt) as usize % CLASS_COUNT)
    }

    fn mean(&self) -> f32 {
        self.total / self.active.max(1) as f32
    }

    fn over_share_bound(&self) -> f32 {
        self.mean() * OVER_SHARE_FACTOR
    }
}
