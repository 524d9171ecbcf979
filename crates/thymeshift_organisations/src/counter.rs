//! Counting an organisation's requests for all processes.
//!
//! What it does: hands out tokens at the rate of the limit, and tells each process the part of the
//! limit that is its own should it reach no counter.
//!
//! Load pattern: one organisation sends many times its usual, by a few callers that sit on a few
//! processes; meanwhile processes are cut off, killed and replaced. Parts that are equal would
//! refuse what is within the limit: eleven callers on 117 processes use 11 parts of 117.

use std::collections::BTreeMap;
use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::demand::Demand;
use crate::limit::QuotaLimit;
use crate::token_bucket::TokenBucket;

/// How long tokens may be used after they were handed out: longer than a batch lasts, and so short
/// that what a lost counter handed out adds at most a tenth to a window of five seconds.
pub const TOKEN_TTL: Duration = Duration::from_millis(500);
/// Tokens with which a counter begins, as seconds of the rate: another one may have handed out
/// all until this moment.
const FRESH_LEVEL_S: f64 = 0.25;
/// Over how long the demand of a process is measured.
const DEMAND_MEMORY: Duration = Duration::from_secs(5);
/// Memory of the demand of all processes that arrives now, and over how long its peak is forgotten.
/// Only what is missing from the peak may be admitted elsewhere; callers that have moved to other
/// processes are not missing.
const NOW_MEMORY: Duration = Duration::from_secs(1);
const PEAK_MEMORY: Duration = Duration::from_secs(20);
/// Time between two looks at the parts of all processes.
const PARTS_EVERY: Duration = Duration::from_millis(250);
/// A process is silent if nothing was heard for this long, and for so many usual gaps between its
/// requests: then it may be cut off, and admit its part by itself. It is not silent any more once
/// its demand of before is nearly forgotten.
const SILENT_AFTER: Duration = Duration::from_millis(600);
const SILENT_AFTER_GAPS: f64 = 3.0;
/// A process whose demand was below this part of all is forgotten.
const FORGOTTEN_BELOW: f64 = 0.001;
/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// What a process asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRequest {
    /// Counted by the process.
    pub number: u64,
    /// Tokens wanted.
    pub wanted: u32,
    /// Requests that arrived since the last question.
    pub arrived: u32,
}

/// What a counter answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenGrant {
    /// Tokens handed out.
    pub tokens: u32,
    /// When there are tokens again, if there was none.
    pub retry_after: Duration,
    /// The part of the limit that is the asking process's own, in requests a second; none while
    /// the counter is too young to know the demand of all.
    pub own_rate_per_s: Option<f64>,
}

/// A process that asked.
#[derive(Debug)]
struct Holder {
    demand: Demand,
    /// Its last question, and the answer.
    last: Option<(u64, TokenGrant)>,
    /// The part of the limit that it was told to be its own.
    own_part: f64,
}

/// Counts one organisation's requests.
#[derive(Debug)]
pub struct QuotaCounter<H> {
    limit: QuotaLimit,
    bucket: TokenBucket,
    holders: BTreeMap<H, Holder>,
    /// Demand of all processes, in requests a second.
    demand_per_s: f64,
    /// Part of the limit that this counter may hand out: others may take themselves for it.
    share: f64,
    /// Part of the limit that silent processes may use by themselves.
    withheld: f64,
    looked_at: Timestamp,
    began_at: Timestamp,
    /// Requests refused lately.
    refused: Demand,
    /// Demand of all processes now, and its peak.
    now_all: Demand,
    peak_per_s: f64,
}

impl<H: Ord + Clone> QuotaCounter<H> {
    /// A counter that begins now.
    pub fn new(limit: QuotaLimit, now: Timestamp) -> Self {
        let level = limit.rate_per_s * FRESH_LEVEL_S;
        Self {
            limit,
            bucket: TokenBucket::new(limit.rate_per_s, limit.burst, level, now),
            holders: BTreeMap::new(),
            demand_per_s: 0.0,
            share: 1.0,
            withheld: 0.0,
            looked_at: now,
            began_at: now,
            refused: Demand::new(NOW_MEMORY, now),
            now_all: Demand::new(NOW_MEMORY, now),
            peak_per_s: 0.0,
        }
    }

    /// Another limit holds from now on.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Timestamp) {
        if self.limit != limit {
            self.limit = limit;
            self.set_rate(now);
        }
    }

    /// Says which part of the limit this counter may hand out, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        if (self.share - share).abs() > f64::EPSILON {
            self.share = share;
            self.set_rate(now);
        }
    }

    /// A process wants tokens. A question that arrives twice is answered twice and counted once.
    pub fn grant_tokens(&mut self, holder: &H, asked: TokenRequest, now: Timestamp) -> TokenGrant {
        let new = || Holder { demand: Demand::new(DEMAND_MEMORY, now), last: None, own_part: 0.0 };
        let known = self.holders.entry(holder.clone()).or_insert_with(new);
        if let Some((_, counted)) = known.last.filter(|(number, _)| *number == asked.number) {
            return counted;
        }
        known.demand.add(asked.arrived, now);
        // Until the next look at all of them.
        self.demand_per_s += f64::from(asked.arrived) / DEMAND_MEMORY.as_secs_f64();
        self.now_all.add(asked.arrived, now);
        let holder_per_s = known.demand.per_s(now);
        let counted = self.hand_out(asked.wanted, holder_per_s, now);
        if let Some(known) = self.holders.get_mut(holder) {
            known.last = Some((asked.number, counted));
            let own_rate_per_s = counted.own_rate_per_s.unwrap_or_default();
            known.own_part = own_rate_per_s / self.limit.rate_per_s;
        }
        counted
    }

    fn hand_out(&mut self, wanted: u32, holder_per_s: f64, now: Timestamp) -> TokenGrant {
        if now.since(self.looked_at) >= PARTS_EVERY {
            self.look(now);
        }
        let tokens = self.bucket.take(wanted, now);
        if tokens == 0 {
            self.refused.add(1, now);
        }
        let share = holder_per_s / self.demand_per_s.max(holder_per_s).max(f64::MIN_POSITIVE);
        let knows_demand = now.since(self.began_at) >= DEMAND_MEMORY;
        TokenGrant {
            tokens,
            retry_after: if tokens == 0 { self.retry_after(now) } else { Duration::ZERO },
            own_rate_per_s: knows_demand.then_some(self.limit.rate_per_s * share),
        }
    }

    /// Requests a second that arrive at all processes.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Tokens there are now.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.bucket.level(now)
    }

    /// Tokens come for those who are refused one after the other.
    fn retry_after(&self, now: Timestamp) -> Duration {
        let ahead = 1.0 + self.refused.per_s(now) / 2.0;
        self.bucket.time_to(ahead).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    fn look(&mut self, now: Timestamp) {
        let passed = now.since(self.looked_at).as_secs_f64() / PEAK_MEMORY.as_secs_f64();
        self.looked_at = now;
        self.peak_per_s = self.now_all.per_s(now).max(self.peak_per_s * (-passed).exp());
        let all: f64 = self.holders.values().map(|known| known.demand.per_s(now)).sum();
        self.holders.retain(|_, known| known.demand.per_s(now) >= all * FORGOTTEN_BELOW);
        let silent = self.holders.values().filter(|known| is_silent(&known.demand, now));
        let withheld: f64 = silent.map(|known| known.own_part).sum();
        self.demand_per_s = all;
        self.withheld = withheld.min(self.missing(now));
        self.set_rate(now);
    }

    /// The part of the peak of demand that does not arrive now, from 0 to 1.
    fn missing(&self, now: Timestamp) -> f64 {
        if self.peak_per_s <= 0.0 {
            return 0.0;
        }
        (1.0 - self.now_all.per_s(now) / self.peak_per_s).max(0.0)
    }

    fn set_rate(&mut self, now: Timestamp) {
        let rate_per_s = self.limit.rate_per_s * self.share * (1.0 - self.withheld);
        self.bucket.set_limit(rate_per_s, self.limit.burst * self.share, now);
    }
}

fn is_silent(demand: &Demand, now: Timestamp) -> bool {
    let silent = demand.silent_for(now);
    let gaps = silent.as_secs_f64() * demand.per_s(now);
    silent > SILENT_AFTER && gaps > SILENT_AFTER_GAPS
}
