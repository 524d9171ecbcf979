//! Counter of an organisation's requests over all processes.
//!
//! The counter grants tokens at the rate of the quota. It also assigns each process its own share
//! of the quota, which the process admits while it reaches no counter.
//!
//! The design covers an organisation that sends many times its usual load from a few callers that
//! are connected to a few processes, while processes are partitioned, killed and replaced. Equal
//! shares would refuse requests within the quota: 11 callers connected to 11 of 117 processes could
//! use only 11/117 of the quota.

use std::collections::BTreeMap;
use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::demand::Demand;
use crate::limit::QuotaLimit;
use crate::token_bucket::TokenBucket;

/// Time for which granted tokens are valid. The value is longer than a batch lasts, and short
/// enough that tokens granted by a lost counter add at most 10% to the requests in a 5 s window.
pub const TOKEN_TTL: Duration = Duration::from_millis(500);
/// Initial number of tokens of a counter, in seconds of the rate. The value is small because
/// another counter may have granted all available tokens just before.
const INITIAL_LEVEL_S: f64 = 0.25;
/// Time constant of the demand estimate of one process.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Time constants of the current total demand, and of the decay of its peak.
///
/// Silent processes can admit at most the demand that is missing from the peak. Demand of callers
/// that have moved to other processes is not missing.
const CURRENT_DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
const PEAK_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Interval between two updates of the total demand and the withheld share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum silence, as a duration and in average gaps between requests, after which a process
/// counts as silent. A silent process may be partitioned and admit its own share. It no longer
/// counts as silent once its demand estimate has decayed to almost zero.
const SILENT_AFTER: Duration = Duration::from_millis(600);
const SILENT_AFTER_GAPS: f64 = 3.0;
/// Share of the total demand below which a process is removed from the counter.
const DEMAND_SHARE_MIN: f64 = 0.001;
/// Minimum and maximum retry time for callers whose requests are refused.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Demand of a process for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenDemand {
    /// Number of tokens requested.
    pub wanted: u32,
    /// Number of requests that arrived at the process since its last token request.
    pub arrived: u32,
    /// Number of requests that the process admitted on its own since a counter last answered.
    pub own_admitted: u32,
}

/// Token request of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRequest {
    /// Start of the process. A process that starts again assigns the same numbers again.
    pub start: u64,
    /// Request number, assigned by the process.
    pub number: u64,
    /// Tokens that the process needs, and what it has admitted.
    pub demand: TokenDemand,
}

impl TokenRequest {
    fn id(self) -> (u64, u64) {
        (self.start, self.number)
    }
}

/// Response of the counter to a token request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenGrant {
    /// Number of tokens granted.
    pub tokens: u32,
    /// Time until tokens are available again if `tokens` is zero, otherwise zero.
    pub retry_after: Duration,
    /// Own share of the quota for the requesting process, in requests per second. `None` while the
    /// counter has not run long enough to know the total demand.
    pub own_rate_per_s: Option<f64>,
}

/// Process that has requested tokens.
#[derive(Debug)]
struct Holder {
    demand: Demand,
    /// Start and number of the last token request, and the response to it.
    last: Option<((u64, u64), TokenGrant)>,
    /// Share of the quota assigned to the process, from 0 to 1.
    own_share: f64,
}

/// Counter of one organisation's requests.
#[derive(Debug)]
pub struct QuotaCounter<H> {
    limit: QuotaLimit,
    bucket: TokenBucket,
    holders: BTreeMap<H, Holder>,
    /// Demand of all processes, in requests per second.
    demand_per_s: f64,
    /// Share of the quota that this counter may grant. It is below 1 if other processes may act as
    /// the counter too.
    share: f64,
    /// Share of the quota withheld for silent processes, which may admit it on their own.
    withheld: f64,
    updated_at: Timestamp,
    created_at: Timestamp,
    /// Recent rate of token requests that got no tokens.
    refusals: Demand,
    /// Current demand of all processes, and its decaying peak in requests per second.
    current_demand: Demand,
    peak_per_s: f64,
}

impl<H: Ord + Clone> QuotaCounter<H> {
    /// Creates a counter that starts now. It may grant the whole quota.
    pub fn new(limit: QuotaLimit, now: Timestamp) -> Self {
        Self::with_level(limit, limit.rate_per_s * INITIAL_LEVEL_S, now)
    }

    /// Creates a counter without tokens, for a process that does not know yet how many other
    /// processes start as counters at the same time.
    pub fn with_empty_bucket(limit: QuotaLimit, now: Timestamp) -> Self {
        Self::with_level(limit, 0.0, now)
    }

    fn with_level(limit: QuotaLimit, level: f64, now: Timestamp) -> Self {
        Self {
            limit,
            bucket: TokenBucket::new(limit.rate_per_s, capacity(limit, 1.0), level, now),
            holders: BTreeMap::new(),
            demand_per_s: 0.0,
            share: 1.0,
            withheld: 0.0,
            updated_at: now,
            created_at: now,
            refusals: Demand::new(CURRENT_DEMAND_TIME_CONSTANT, now),
            current_demand: Demand::new(CURRENT_DEMAND_TIME_CONSTANT, now),
            peak_per_s: 0.0,
        }
    }

    /// Changes the quota from `now` on.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Timestamp) {
        if self.limit != limit {
            self.limit = limit;
            self.set_rate(now);
        }
    }

    /// Sets the share of the quota that this counter may grant, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        if (self.share - share).abs() > f64::EPSILON {
            self.share = share;
            self.set_rate(now);
        }
    }

    /// Handles a token request of a process. A duplicate request gets the same response and is
    /// counted once.
    pub fn grant_tokens(
        &mut self,
        holder: &H,
        request: TokenRequest,
        now: Timestamp,
    ) -> TokenGrant {
        let new = || Holder {
            demand: Demand::new(DEMAND_TIME_CONSTANT, now),
            last: None,
            own_share: 0.0,
        };
        let known = self.holders.entry(holder.clone()).or_insert_with(new);
        if let Some((_, grant)) = known.last.filter(|(id, _)| *id == request.id()) {
            return grant;
        }
        let TokenDemand { wanted, arrived, own_admitted } = request.demand;
        let own_per_s = known.own_share * self.limit.rate_per_s;
        self.bucket.charge(uncounted(own_admitted, own_per_s, &known.demand, now), now);
        known.demand.add(arrived, now);
        // An approximation until the next update sums the demand of all processes.
        self.demand_per_s += f64::from(arrived) / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.current_demand.add(arrived, now);
        let holder_per_s = known.demand.per_s(now);
        let grant = self.grant(wanted, holder_per_s, now);
        if let Some(known) = self.holders.get_mut(holder) {
            known.last = Some((request.id(), grant));
            let own_rate_per_s = grant.own_rate_per_s.unwrap_or_default();
            known.own_share = own_rate_per_s / self.limit.rate_per_s;
        }
        grant
    }

    /// Returns whether the token request is the last one of the process.
    pub fn is_duplicate(&self, holder: &H, request: TokenRequest) -> bool {
        let last = self.holders.get(holder).and_then(|known| known.last);
        last.is_some_and(|(id, _)| id == request.id())
    }

    fn grant(&mut self, wanted: u32, holder_per_s: f64, now: Timestamp) -> TokenGrant {
        if now.since(self.updated_at) >= UPDATE_INTERVAL {
            self.update(now);
        }
        let tokens = self.bucket.take(wanted, now);
        if tokens == 0 {
            self.refusals.add(1, now);
        }
        let share = holder_per_s / self.demand_per_s.max(holder_per_s).max(f64::MIN_POSITIVE);
        let knows_demand = now.since(self.created_at) >= DEMAND_TIME_CONSTANT;
        TokenGrant {
            tokens,
            retry_after: if tokens == 0 { self.retry_after(now) } else { Duration::ZERO },
            own_rate_per_s: knows_demand.then_some(self.limit.rate_per_s * share),
        }
    }

    /// Returns the demand of all processes, in requests per second.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Returns the number of tokens that can be granted now.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.bucket.level(now)
    }

    /// Returns the retry time of a refused request. Refused callers get tokens one after the other,
    /// so that the time grows with the recent refusal rate.
    fn retry_after(&self, now: Timestamp) -> Duration {
        let tokens_needed = 1.0 + self.refusals.per_s(now) / 2.0;
        self.bucket.time_to(tokens_needed).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Updates the total demand, its peak and the withheld share, and removes processes whose
    /// demand has decayed.
    fn update(&mut self, now: Timestamp) {
        let passed = now.since(self.updated_at).as_secs_f64() / PEAK_TIME_CONSTANT.as_secs_f64();
        self.updated_at = now;
        self.peak_per_s = self.current_demand.per_s(now).max(self.peak_per_s * (-passed).exp());
        let total_per_s: f64 = self.holders.values().map(|known| known.demand.per_s(now)).sum();
        self.holders.retain(|_, known| known.demand.per_s(now) >= total_per_s * DEMAND_SHARE_MIN);
        let silent = self.holders.values().filter(|known| is_silent(&known.demand, now));
        let withheld: f64 = silent.map(|known| known.own_share).sum();
        self.demand_per_s = total_per_s;
        self.withheld = withheld.min(self.missing_share(now));
        self.set_rate(now);
    }

    /// Returns the share of the peak demand that is currently missing, from 0 to 1.
    fn missing_share(&self, now: Timestamp) -> f64 {
        if self.peak_per_s <= 0.0 {
            return 0.0;
        }
        (1.0 - self.current_demand.per_s(now) / self.peak_per_s).max(0.0)
    }

    fn set_rate(&mut self, now: Timestamp) {
        let rate_per_s = self.limit.rate_per_s * self.share * (1.0 - self.withheld);
        self.bucket.set_limit(rate_per_s, capacity(self.limit, self.share), now);
    }
}

/// Returns the number of tokens that a counter with `share` of the quota may accumulate: at least
/// one, as it could grant nothing otherwise.
fn capacity(limit: QuotaLimit, share: f64) -> f64 {
    (limit.burst * share).max(1.0)
}

/// Returns how many of the requests that a process admitted on its own no withheld share covers.
/// The share of a process whose requests arrive is not withheld, although the process admits it on
/// its own while the replies are late.
fn uncounted(own_admitted: u32, own_per_s: f64, demand: &Demand, now: Timestamp) -> f64 {
    let own_admitted = f64::from(own_admitted);
    if is_silent(demand, now) {
        own_admitted.min(own_per_s * SILENT_AFTER.as_secs_f64())
    } else {
        own_admitted
    }
}

fn is_silent(demand: &Demand, now: Timestamp) -> bool {
    let silent = demand.silent_for(now);
    let gaps = silent.as_secs_f64() * demand.per_s(now);
    silent > SILENT_AFTER && gaps > SILENT_AFTER_GAPS
}
