//! A rate-limited target takes only so many requests a second, from all processes together.
//!
//! What it does: keeps the limit that a target last stated, and a token bucket that fills at the
//! limit times the share that whoever decides may grant; the shares of all processes add up to
//! little more than 1 however they see the fleet. A token expires: were it kept, many processes with
//! small shares could use theirs at one moment.
//!
//! Why: each process learns the number, and it is meant for all of them. Kept by each process, it
//! is exceeded as many times as there are processes.
//!
//! Answers arrive out of order, and through several processes. What one says counts only if it is
//! newer than what is known: a limit as of the moment at which its answer came, the end of one as
//! of the moment at which its request was sent, which is before the target can have said so.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::RequestRate;
use thymeshift_types::Timestamp;

use crate::RateLimitDump;

/// Limits from here on are none: no target of the size served here gets as much.
const LIMIT_PER_S_MAX: f64 = 1_000.0;
/// A target gets a request this often however low its limit is: only its answers can say that its
/// need is over.
const RATE_MIN_PER_S: f64 = 0.5;
/// Tokens missed within this time are made up for, since waiting requests are looked at every few
/// milliseconds only.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// A token expires if it is not used within this time.
const TOKEN_TTL: Duration = Duration::from_secs(1);

/// What a process knows of a target's limit, as it tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitUpdate {
    /// The limit in requests in 1,000 seconds; none if the target's need is over.
    pub per_1000_s: Option<u64>,
    /// How old this is.
    pub age: Duration,
}

impl RateLimitUpdate {
    /// Whether the target is in need.
    pub fn is_limited(&self) -> bool {
        self.per_1000_s.is_some()
    }
}

/// The part of targets' limits that a dispatcher may grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateShare(f64);

impl Default for RateShare {
    fn default() -> Self {
        Self::WHOLE
    }
}

impl RateShare {
    /// Nothing: others may be granting all of it.
    pub const NONE: Self = Self(0.0);
    /// All of it.
    pub const WHOLE: Self = Self(1.0);

    /// A part from 0 to 1.
    pub fn new(part: f64) -> Self {
        Self(part.clamp(0.0, 1.0))
    }

    /// An equal part among so many.
    pub fn equal(count: u64) -> Self {
        Self(1.0 / count.max(1) as f64)
    }

    /// The part, from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.0
    }
}

/// The limit of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateLimit {
    known: Option<Known>,
    /// When the last token was taken.
    last_taken_at: Timestamp,
    /// Requests granted since the target has been in need.
    granted: u64,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    /// None if the need is over.
    rate: Option<RequestRate>,
    as_of: Timestamp,
    /// When this process first learnt of the limit, or of its end.
    since: Timestamp,
}

impl RateLimit {
    /// An answer came at `now` to a request that was sent at `sent_at`; it states a limit or none.
    /// Returns whether that is another one than before.
    pub(crate) fn observe(
        &mut self,
        rate: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if rate.is_none() && self.known.is_none() {
            return false;
        }
        let as_of = if rate.is_some() { now } else { sent_at };
        self.take(rate, as_of, now)
    }

    /// Takes in what another process knows. Returns whether that is another limit than before.
    pub(crate) fn merge(&mut self, update: &RateLimitUpdate, now: Timestamp) -> bool {
        let rate = update.per_1000_s.map(RequestRate::per_1000_s);
        self.take(rate, now.minus(update.age), now)
    }

    /// What is known, for another process.
    pub(crate) fn latest_update(&self, now: Timestamp) -> Option<RateLimitUpdate> {
        let known = self.known?;
        let per_1000_s = known.rate.map(RequestRate::in_1000_s);
        Some(RateLimitUpdate { per_1000_s, age: now.since(known.as_of) })
    }

    fn take(&mut self, rate: Option<RequestRate>, as_of: Timestamp, now: Timestamp) -> bool {
        let rate = rate.filter(|rate| per_s(*rate) < LIMIT_PER_S_MAX);
        if self.known.is_some_and(|known| known.as_of >= as_of) {
            return false;
        }
        let before = self.rate();
        let is_first = before.is_none() && rate.is_some();
        let since = match self.known {
            Some(known) if known.rate.is_some() == rate.is_some() => known.since,
            Some(_) | None => now,
        };
        if is_first {
            // Others may have used the token of this moment.
            self.last_taken_at = self.last_taken_at.max(now);
            self.granted = 0;
        }
        self.known = Some(Known { rate, as_of, since });
        before != rate
    }

    /// The limit, if the target is in need.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.known?.rate
    }

    /// The limit, for people and programs to read.
    pub(crate) fn dump(&self, share: RateShare, now: Timestamp) -> Option<RateLimitDump> {
        let known = self.known?;
        Some(RateLimitDump {
            per_s: per_s(known.rate?),
            limited_for_ms: now.since(known.since).as_millis() as u64,
            age_ms: now.since(known.as_of).as_millis() as u64,
            share: share.fraction(),
            granted: self.granted,
        })
    }

    /// Requests a second that may be granted here; none if the target is not in need.
    pub(crate) fn granted_per_s(&self, share: RateShare) -> Option<f64> {
        Some(per_s(self.rate()?).max(RATE_MIN_PER_S) * share.fraction())
    }

    /// Whether a request may be granted now.
    pub(crate) fn has_token(&self, share: RateShare, now: Timestamp) -> bool {
        let Some(per_s) = self.granted_per_s(share) else {
            return true;
        };
        let Some(between) = between(per_s) else {
            return false;
        };
        let waited = now.since(self.last_taken_at);
        if waited < between {
            return false;
        }
        let since_token = waited.as_secs_f64() % between.as_secs_f64();
        since_token <= TOKEN_TTL.as_secs_f64()
    }

    /// Time until a request may be granted; none if it is never.
    pub(crate) fn next_token_in(&self, share: RateShare, now: Timestamp) -> Option<Duration> {
        if self.has_token(share, now) {
            return Some(Duration::ZERO);
        }
        let between = between(self.granted_per_s(share)?)?.as_secs_f64();
        let waited = now.since(self.last_taken_at).as_secs_f64();
        let left = between - waited % between;
        Some(Duration::from_secs_f64(left))
    }

    /// A request was granted.
    pub(crate) fn record_grant(&mut self, share: RateShare, now: Timestamp) {
        self.granted += 1;
        let between = self.granted_per_s(share).and_then(between).unwrap_or_default();
        self.last_taken_at = (self.last_taken_at + between).max(now.minus(BURST_WINDOW)).min(now);
    }
}

fn per_s(rate: RequestRate) -> f64 {
    rate.in_1000_s() as f64 / 1_000.0
}

/// Time between two turns; none if there are none.
fn between(per_s: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(1.0 / per_s).ok()
}
