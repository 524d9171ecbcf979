//! Admission of an organisation's requests at one process, with tokens granted by the counter.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::TOKEN_TTL;
use crate::TokenDemand;
use crate::TokenGrant;
use crate::demand::Demand;
use crate::limit::QuotaLimit;
use crate::token_bucket::TokenBucket;

/// Period whose expected demand one batch of tokens covers.
pub const BATCH_DURATION: Duration = Duration::from_millis(200);
/// Maximum number of tokens requested in one batch.
const BATCH_MAX: u32 = 1_000;
/// Time constant of the demand estimate that determines the batch size.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time after which a token request counts as unanswered, in case the request task that sent it was
/// cancelled and does not handle the response.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Period after a grant without tokens in which requests are refused without asking the counter.
const REFUSAL_DURATION: Duration = Duration::from_millis(50);
/// Period in which a process that reached no counter admits its own share before it asks again.
const FALLBACK_DURATION: Duration = Duration::from_millis(500);
/// Burst of the own share in fallback, in seconds of its rate.
const OWN_BURST_S: f64 = 0.25;

/// Admission decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted.
    Admitted,
    /// The request exceeds the quota; the caller may retry after this time.
    Refused(Duration),
    /// The process holds no tokens and must request tokens from the counter.
    Ask(TokenDemand),
    /// A token request is already in flight; the decision depends on its response.
    AnswerPending,
}

/// State after a grant without tokens.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// End of the period in which requests are refused without asking the counter.
    until: Timestamp,
    /// Time at which callers may retry.
    retry_at: Timestamp,
}

/// Tokens of one organisation at one process.
#[derive(Debug)]
pub struct QuotaHolder {
    limit: QuotaLimit,
    tokens: u32,
    tokens_expire_at: Timestamp,
    refusal: Option<Refusal>,
    requested_at: Option<Timestamp>,
    /// End of the fallback period, in which no counter is asked.
    fallback_until: Option<Timestamp>,
    /// Own share of the quota, admitted while no counter is reachable.
    own_share: TokenBucket,
    demand: Demand,
    /// Arrivals that are not yet reported to the counter.
    arrived: u32,
    /// Requests admitted in fallback since a counter last answered.
    own_admitted: u32,
}

impl QuotaHolder {
    /// Creates a holder without tokens. Until the counter assigns a share, the own share is the
    /// limit divided by `vms_max`; it also begins empty, because many processes may start together.
    pub fn new(limit: QuotaLimit, vms_max: u64, now: Timestamp) -> Self {
        let own_rate_per_s = limit.rate_per_s / vms_max.max(1) as f64;
        Self {
            limit,
            tokens: 0,
            tokens_expire_at: now,
            refusal: None,
            requested_at: None,
            fallback_until: None,
            own_share: TokenBucket::new(own_rate_per_s, 1.0, 0.0, now),
            demand: Demand::new(DEMAND_TIME_CONSTANT, now),
            arrived: 0,
            own_admitted: 0,
        }
    }

    /// Changes the quota, and scales the own share with it.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Timestamp) {
        if self.limit == limit {
            return;
        }
        let ratio = limit.rate_per_s / self.limit.rate_per_s;
        self.limit = limit;
        self.set_own_share_rate(self.own_share.rate_per_s() * ratio, now);
        self.refusal = None;
    }

    /// Records the arrival of a request. Must be called once per request.
    pub fn record_arrival(&mut self, now: Timestamp) {
        self.demand.add(1, now);
        self.arrived = self.arrived.saturating_add(1);
    }

    /// Decides whether a recorded request is admitted now.
    pub fn admit(&mut self, now: Timestamp) -> Admission {
        if now >= self.tokens_expire_at {
            self.tokens = 0;
        }
        if self.tokens > 0 {
            self.tokens -= 1;
            return Admission::Admitted;
        }
        if self.fallback_until.is_some_and(|until| now < until) {
            return self.admit_in_fallback(now);
        }
        if let Some(refusal) = self.refusal.filter(|refusal| now < refusal.until) {
            return Admission::Refused(now.until(refusal.retry_at));
        }
        if self.requested_at.is_some_and(|at| now.since(at) < ANSWER_TIMEOUT) {
            return Admission::AnswerPending;
        }
        self.requested_at = Some(now);
        Admission::Ask(TokenDemand {
            wanted: self.batch_size(now),
            arrived: std::mem::take(&mut self.arrived),
            own_admitted: self.own_admitted,
        })
    }

    /// Applies a response of the counter.
    pub fn apply_grant(&mut self, grant: &TokenGrant, now: Timestamp) {
        self.requested_at = None;
        self.fallback_until = None;
        self.own_admitted = 0;
        if let Some(rate_per_s) = grant.own_rate_per_s {
            self.set_own_share_rate(rate_per_s, now);
        }
        if grant.tokens > 0 {
            self.tokens = grant.tokens;
            self.tokens_expire_at = now + TOKEN_TTL;
            self.refusal = None;
        } else {
            let until = now + REFUSAL_DURATION.min(grant.retry_after);
            self.refusal = Some(Refusal { until, retry_at: now + grant.retry_after });
        }
    }

    /// Starts the fallback period, because no counter has responded.
    pub fn start_fallback(&mut self, now: Timestamp) {
        self.requested_at = None;
        self.fallback_until = Some(now + FALLBACK_DURATION);
    }

    /// Returns the token of an admitted request that was not executed.
    pub fn return_token(&mut self, now: Timestamp) {
        if now < self.tokens_expire_at {
            self.tokens += 1;
        }
    }

    /// Returns the number of unexpired tokens.
    pub fn tokens(&self, now: Timestamp) -> u32 {
        if now < self.tokens_expire_at { self.tokens } else { 0 }
    }

    /// Returns the recent arrival rate at this process, in requests per second.
    pub fn demand_per_s(&self, now: Timestamp) -> f64 {
        self.demand.per_s(now)
    }

    /// Returns the rate that this process admits while it reaches no counter, in requests per
    /// second.
    pub fn own_rate_per_s(&self) -> f64 {
        self.own_share.rate_per_s()
    }

    fn admit_in_fallback(&mut self, now: Timestamp) -> Admission {
        if self.own_share.take(1, now) == 0 {
            return Admission::Refused(self.own_share.time_to(1.0));
        }
        self.own_admitted = self.own_admitted.saturating_add(1);
        Admission::Admitted
    }

    fn batch_size(&self, now: Timestamp) -> u32 {
        let expected = self.demand.per_s(now) * BATCH_DURATION.as_secs_f64();
        (expected.ceil() as u32).clamp(1, BATCH_MAX)
    }

    fn set_own_share_rate(&mut self, rate_per_s: f64, now: Timestamp) {
        self.own_share.set_limit(rate_per_s, (rate_per_s * OWN_BURST_S).max(1.0), now);
    }
}
