//! Limit of requests per second that a target states for all processes together.
//!
//! Keeps the limit that a target last stated, and a token bucket that fills at the limit times the
//! share that the deciding process may grant. The shares of all processes add up to little more
//! than 1, however they see the fleet. Tokens expire, because many processes
//! with small shares could otherwise use saved tokens at once.
//!
//! Every process receives the limit, while it applies to all of them together.
//! If each process granted the whole limit,
//! the target would get the limit times the number of processes.
//!
//! Answers arrive out of order and through several processes, so a statement counts only if it is
//! newer than the known one. A limit is dated at the arrival of its answer.
//! The end of a limit is dated at the sending of its request,
//! because the target cannot have ended the limit earlier.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::RequestRate;
use thymeshift_types::Timestamp;

use crate::RateLimitDump;

/// Limit in requests per second from which on a statement counts as no limit:
/// no target of the size served here gets as many requests.
const LIMIT_PER_S_MAX: f64 = 1_000.0;
/// Least rate of requests to a target, however low its limit is:
/// only its answers can state that the limit has ended.
const RATE_MIN_PER_S: f64 = 0.5;
/// Time for which missed tokens are kept,
/// because waiting requests are checked only every few milliseconds.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// Time after which an unused token expires.
const TOKEN_TTL: Duration = Duration::from_secs(1);

/// State of a target's rate limit, as sent from one process to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitUpdate {
    /// Limit in requests per 1,000 seconds, or `None` if the limit has ended.
    pub per_1000_s: Option<u64>,
    /// Age of the target's statement.
    pub age: Duration,
}

impl RateLimitUpdate {
    /// Whether the target states a limit.
    pub fn is_limited(&self) -> bool {
        self.per_1000_s.is_some()
    }
}

/// Share of the targets' rate limits that a dispatcher may grant, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateShare(f64);

impl Default for RateShare {
    fn default() -> Self {
        Self::WHOLE
    }
}

impl RateShare {
    /// No share, for a process that must assume that others grant the whole limit.
    pub const NONE: Self = Self(0.0);
    /// The whole limit, for a process that is the only one to grant.
    pub const WHOLE: Self = Self(1.0);

    /// Creates a share; `part` is clamped to 0 to 1.
    pub fn new(part: f64) -> Self {
        Self(part.clamp(0.0, 1.0))
    }

    /// Creates an equal share among `count` processes.
    pub fn equal(count: u64) -> Self {
        Self(1.0 / count.max(1) as f64)
    }

    /// Returns the share as a number from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.0
    }
}

/// Rate limit and token bucket of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateLimit {
    state: Option<LimitState>,
    /// Time at which the last token was taken.
    last_taken_at: Timestamp,
    /// Number of requests granted since the target has stated a limit.
    granted: u64,
}

/// Last statement of a target about its limit.
#[derive(Debug, Clone, Copy)]
struct LimitState {
    /// Stated limit, or `None` if the limit has ended.
    rate: Option<RequestRate>,
    /// Time of the target's statement.
    as_of: Timestamp,
    /// Time at which this process first received the limit, or its end.
    since: Timestamp,
}

impl RateLimit {
    /// Records the limit, or its absence, in the answer at `now` to a request sent at `sent_at`.
    /// Returns whether the limit changed.
    pub(crate) fn observe(
        &mut self,
        rate: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if rate.is_none() && self.state.is_none() {
            return false;
        }
        let as_of = if rate.is_some() { now } else { sent_at };
        self.apply(rate, as_of, now)
    }

    /// Merges the state that another process sent. Returns whether the limit changed.
    pub(crate) fn merge(&mut self, update: &RateLimitUpdate, now: Timestamp) -> bool {
        let rate = update.per_1000_s.map(RequestRate::per_1000_s);
        self.apply(rate, now.minus(update.age), now)
    }

    /// Returns the state to send to another process, or `None` if the target never stated a limit.
    pub(crate) fn latest_update(&self, now: Timestamp) -> Option<RateLimitUpdate> {
        let state = self.state?;
        let per_1000_s = state.rate.map(RequestRate::in_1000_s);
        Some(RateLimitUpdate { per_1000_s, age: now.since(state.as_of) })
    }

    fn apply(&mut self, rate: Option<RequestRate>, as_of: Timestamp, now: Timestamp) -> bool {
        let rate = rate.filter(|rate| per_s(*rate) < LIMIT_PER_S_MAX);
        if self.state.is_some_and(|state| state.as_of >= as_of) {
            return false;
        }
        let before = self.rate();
        let is_first = before.is_none() && rate.is_some();
        let since = match self.state {
            Some(state) if state.rate.is_some() == rate.is_some() => state.since,
            Some(_) | None => now,
        };
        if is_first {
            // Other processes may have used the current token already.
            self.last_taken_at = self.last_taken_at.max(now);
            self.granted = 0;
        }
        self.state = Some(LimitState { rate, as_of, since });
        before != rate
    }

    /// Returns the limit that the target states, if any.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.state?.rate
    }

    /// Returns the limit for the state dump, if the target states one.
    pub(crate) fn dump(&self, share: RateShare, now: Timestamp) -> Option<RateLimitDump> {
        let state = self.state?;
        Some(RateLimitDump {
            per_s: per_s(state.rate?),
            limited_for_ms: now.since(state.since).as_millis() as u64,
            age_ms: now.since(state.as_of).as_millis() as u64,
            share: share.fraction(),
            granted: self.granted,
        })
    }

    /// Returns the requests per second that may be granted here, or `None` without a limit.
    pub(crate) fn granted_per_s(&self, share: RateShare) -> Option<f64> {
        Some(per_s(self.rate()?).max(RATE_MIN_PER_S) * share.fraction())
    }

    /// Whether a token for a request is available now; always true without a limit.
    pub(crate) fn has_token(&self, share: RateShare, now: Timestamp) -> bool {
        let Some(per_s) = self.granted_per_s(share) else {
            return true;
        };
        let Some(interval) = token_interval(per_s) else {
            return false;
        };
        let waited = now.since(self.last_taken_at);
        if waited < interval {
            return false;
        }
        let since_token = waited.as_secs_f64() % interval.as_secs_f64();
        since_token <= TOKEN_TTL.as_secs_f64()
    }

    /// Returns the time until the next token, or `None` if there will never be one.
    pub(crate) fn next_token_in(&self, share: RateShare, now: Timestamp) -> Option<Duration> {
        if self.has_token(share, now) {
            return Some(Duration::ZERO);
        }
        let interval = token_interval(self.granted_per_s(share)?)?.as_secs_f64();
        let waited = now.since(self.last_taken_at).as_secs_f64();
        let remaining = interval - waited % interval;
        Some(Duration::from_secs_f64(remaining))
    }

    /// Counts a granted request, and takes its token if the target states a limit.
    pub(crate) fn record_grant(&mut self, share: RateShare, now: Timestamp) {
        self.granted += 1;
        let interval = self.granted_per_s(share).and_then(token_interval).unwrap_or_default();
        self.last_taken_at = (self.last_taken_at + interval).max(now.minus(BURST_WINDOW)).min(now);
    }
}

fn per_s(rate: RequestRate) -> f64 {
    rate.in_1000_s() as f64 / 1_000.0
}

/// Returns the time between two tokens, or `None` if the rate is zero.
fn token_interval(per_s: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(1.0 / per_s).ok()
}
