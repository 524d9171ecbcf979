//! Admitting an organisation's requests at one process, by tokens of the process that counts.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::TOKEN_TTL;
use crate::TokenGrant;
use crate::demand::Demand;
use crate::limit::QuotaLimit;
use crate::token_bucket::TokenBucket;

/// A process asks for as many tokens as it needs for this long.
pub const BATCH_DURATION: Duration = Duration::from_millis(200);
/// Most tokens asked for at a time.
const BATCH_MAX: u32 = 1_000;
/// Over how long the demand is measured that the batch follows.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);
/// Time after which a question counts as unanswered, should whoever asked it have left.
const ASKED_FOR_MAX: Duration = Duration::from_millis(250);
/// How long requests are refused without a question, after the counter had no tokens.
const REFUSED_FOR: Duration = Duration::from_millis(50);
/// How long a process that found no counter admits by itself before it asks again.
const ALONE_FOR: Duration = Duration::from_millis(500);
/// What a process keeps of its own part after a rest, in seconds of its rate.
const OWN_BURST_S: f64 = 0.25;

/// What holds for a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted,
    /// It is beyond the limit; its caller may come back after this time.
    Refused(Duration),
    /// The counter is to be asked for `wanted` tokens, and told of `arrived` requests.
    Ask {
        /// Tokens wanted.
        wanted: u32,
        /// Requests that arrived since the last question.
        arrived: u32,
    },
    /// Another request has asked, and waits for the answer.
    AnswerPending,
}

/// The counter had no tokens.
#[derive(Debug, Clone, Copy)]
struct Refused {
    /// Until when it is not asked again.
    until: Timestamp,
    /// When callers may come back.
    retry_at: Timestamp,
}

/// The tokens of one organisation at one process.
#[derive(Debug)]
pub struct QuotaHolder {
    limit: QuotaLimit,
    tokens: u32,
    tokens_end: Timestamp,
    refused: Option<Refused>,
    asked_at: Option<Timestamp>,
    /// Until when no counter is asked.
    alone_until: Option<Timestamp>,
    /// What this process admits while it reaches no counter.
    own: TokenBucket,
    demand: Demand,
    arrived: u32,
}

impl QuotaHolder {
    /// A process without tokens; at most `vms_max` admit by themselves at a time.
    pub fn new(limit: QuotaLimit, vms_max: u64, now: Timestamp) -> Self {
        let own_rate_per_s = limit.rate_per_s / vms_max.max(1) as f64;
        Self {
            limit,
            tokens: 0,
            tokens_end: now,
            refused: None,
            asked_at: None,
            alone_until: None,
            own: TokenBucket::new(own_rate_per_s, 1.0, 1.0, now),
            demand: Demand::new(DEMAND_MEMORY, now),
            arrived: 0,
        }
    }

    /// Another limit holds from now on.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Timestamp) {
        if self.limit == limit {
            return;
        }
        let ratio = limit.rate_per_s / self.limit.rate_per_s;
        self.limit = limit;
        self.set_own_rate(self.own.rate_per_s() * ratio, now);
        self.refused = None;
    }

    /// A request arrives; to be told once for each.
    pub fn record_arrival(&mut self, now: Timestamp) {
        self.demand.add(1, now);
        self.arrived = self.arrived.saturating_add(1);
    }

    /// Whether a request that has arrived may pass now.
    pub fn admit(&mut self, now: Timestamp) -> Admission {
        if now >= self.tokens_end {
            self.tokens = 0;
        }
        if self.tokens > 0 {
            self.tokens -= 1;
            return Admission::Admitted;
        }
        if self.alone_until.is_some_and(|until| now < until) {
            return self.pass_alone(now);
        }
        if let Some(refused) = self.refused.filter(|refused| now < refused.until) {
            return Admission::Refused(now.until(refused.retry_at));
        }
        if self.asked_at.is_some_and(|at| now.since(at) < ASKED_FOR_MAX) {
            return Admission::AnswerPending;
        }
        self.asked_at = Some(now);
        Admission::Ask { wanted: self.batch(now), arrived: std::mem::take(&mut self.arrived) }
    }

    /// The counter answered.
    pub fn apply_grant(&mut self, counted: &TokenGrant, now: Timestamp) {
        self.asked_at = None;
        self.alone_until = None;
        if let Some(rate_per_s) = counted.own_rate_per_s {
            self.set_own_rate(rate_per_s, now);
        }
        if counted.tokens > 0 {
            self.tokens = counted.tokens;
            self.tokens_end = now + TOKEN_TTL;
            self.refused = None;
        } else {
            let until = now + REFUSED_FOR.min(counted.retry_after);
            self.refused = Some(Refused { until, retry_at: now + counted.retry_after });
        }
    }

    /// No counter answered.
    pub fn start_fallback(&mut self, now: Timestamp) {
        self.asked_at = None;
        self.alone_until = Some(now + ALONE_FOR);
    }

    /// A request that was admitted has provably not run.
    pub fn return_token(&mut self, now: Timestamp) {
        if now < self.tokens_end {
            self.tokens += 1;
        }
    }

    /// Tokens held now.
    pub fn tokens(&self, now: Timestamp) -> u32 {
        if now < self.tokens_end { self.tokens } else { 0 }
    }

    /// Requests a second that arrive here.
    pub fn demand_per_s(&self, now: Timestamp) -> f64 {
        self.demand.per_s(now)
    }

    fn pass_alone(&mut self, now: Timestamp) -> Admission {
        match self.own.take(1, now) {
            0 => Admission::Refused(self.own.time_to(1.0)),
            _ => Admission::Admitted,
        }
    }

    fn batch(&self, now: Timestamp) -> u32 {
        let expected = self.demand.per_s(now) * BATCH_DURATION.as_secs_f64();
        (expected.ceil() as u32).clamp(1, BATCH_MAX)
    }

    fn set_own_rate(&mut self, rate_per_s: f64, now: Timestamp) {
        self.own.set_limit(rate_per_s, (rate_per_s * OWN_BURST_S).max(1.0), now);
    }
}
