//! Results of a load: counts and latencies for each request kind.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use thymeshift_types::Outcome;

use crate::load::FailedCall;

/// Largest latency that the histograms record, in microseconds; larger ones count as this value.
const LATENCY_US_MAX: u64 = 120_000_000;
/// Significant decimal digits that the latency histograms keep.
const LATENCY_DIGITS: u8 = 3;

/// Result of a request as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The caller received the complete answer to its own request.
    Answered,
    /// The balancer reported a failure and whether the request ran.
    Outcome(Outcome),
    /// The caller received an error status that the target itself produced.
    TargetError,
    /// The connection broke before the announced end of the answer.
    BrokenAnswer,
    /// The caller received a complete answer that does not match its request.
    WrongAnswer,
    /// The connection could not be opened or broke before any byte of an answer, or the caller
    /// gave up waiting.
    NoAnswer,
}

/// Results of the requests of one kind.
#[derive(Debug, Clone)]
pub struct KindResult {
    /// Name of the request kind.
    pub name: String,
    /// Number of recorded requests, answered or not.
    pub sent: u64,
    /// Requests whose caller received the complete, correct answer.
    pub answered: u64,
    /// Answered requests whose latency is within the time limit of the kind.
    pub in_time: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests for which the balancer reported that they may have run.
    pub unknown: u64,
    /// Requests for which the balancer or the target itself reported a failure of the target.
    pub failed: u64,
    /// Requests whose answer broke off.
    pub broken: u64,
    /// Requests that were given another request's answer; any other count than 0 is a fault.
    pub wrong: u64,
    /// Requests without any answer.
    pub nothing: u64,
    latency_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    /// Result of each request, by its nonce.
    pub results_by_nonce: BTreeMap<String, CallResult>,
    /// Requests without a complete answer, in the order of their results.
    pub failed_calls: Vec<FailedCall>,
}

impl KindResult {
    /// Creates an empty result for the kind called `name`.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            sent: 0,
            answered: 0,
            in_time: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            broken: 0,
            wrong: 0,
            nothing: 0,
            latency_us: histogram(),
            refusal_us: histogram(),
            results_by_nonce: BTreeMap::new(),
            failed_calls: Vec::new(),
        }
    }

    /// Records the result of the request with this nonce. `taken` is the time since the request
    /// was due; an answer that took longer than `in_time_ms` counts as late.
    pub fn record(&mut self, nonce: String, result: CallResult, taken: Duration, in_time_ms: u64) {
        self.sent += 1;
        let taken_us = (taken.as_micros() as u64).clamp(1, LATENCY_US_MAX);
        match result {
            CallResult::Answered => {
                self.answered += 1;
                self.in_time += u64::from(taken.as_millis() as u64 <= in_time_ms);
                self.latency_us.saturating_record(taken_us);
            }
            CallResult::Outcome(Outcome::NotRun) => {
                self.not_run += 1;
                self.refusal_us.saturating_record(taken_us);
            }
            CallResult::Outcome(Outcome::Unknown) => self.unknown += 1,
            CallResult::Outcome(Outcome::Failed) | CallResult::TargetError => self.failed += 1,
            CallResult::BrokenAnswer => self.broken += 1,
            CallResult::WrongAnswer => self.wrong += 1,
            CallResult::NoAnswer => self.nothing += 1,
        }
        self.results_by_nonce.insert(nonce, result);
    }

    /// Returns a quantile (0 to 1) of the latency of complete answers, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }

    /// Returns a quantile (0 to 1) of the time until a refusal arrived, in microseconds.
    pub fn refusal_us(&self, quantile: f64) -> u64 {
        self.refusal_us.value_at_quantile(quantile)
    }

    /// Returns the share of requests, from 0 to 1, that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        if self.sent == 0 { 0.0 } else { self.in_time as f64 / self.sent as f64 }
    }

    /// Returns whether each sent request has exactly one recorded result.
    pub fn is_accounted(&self) -> bool {
        let sum = self.answered + self.not_run + self.unknown + self.failed + self.broken;
        sum + self.wrong + self.nothing == self.sent
            && self.results_by_nonce.len() as u64 == self.sent
    }

    fn to_json(&self) -> Value {
        json!({
            "kind": self.name, "sent": self.sent, "answered": self.answered,
            "in_time": self.in_time, "not_run": self.not_run, "unknown": self.unknown,
            "failed": self.failed, "broken": self.broken, "wrong": self.wrong,
            "nothing": self.nothing, "p50_us": self.latency_us(0.5),
            "p99_us": self.latency_us(0.99), "p999_us": self.latency_us(0.999),
            "max_us": self.latency_us.max(), "refusal_p99_us": self.refusal_us(0.99),
        })
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_US_MAX, LATENCY_DIGITS)
        .expect("maximum and digits are valid for a histogram")
}

/// Results of a load over all request kinds.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// Result of each request kind, in the order of the load plan.
    pub kinds: Vec<KindResult>,
    /// Time from the start of the load to the last answer.
    pub elapsed: Duration,
}

impl LoadResult {
    /// Returns the result as JSON, with latencies in microseconds.
    pub fn to_json(&self) -> Value {
        let kinds: Vec<Value> = self.kinds.iter().map(KindResult::to_json).collect();
        json!({ "elapsed_ms": self.elapsed.as_millis() as u64, "kinds": kinds })
    }

    /// Returns the result of the kind called `name`, if the load had one.
    pub fn kind(&self, name: &str) -> Option<&KindResult> {
        self.kinds.iter().find(|kind| kind.name == name)
    }
}

impl fmt::Display for LoadResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<18}{:>8}{:>9}{:>9}{:>8}{:>8}{:>7}{:>7}{:>6}{:>8}{:>9}{:>9}{:>9}",
            "kind",
            "sent",
            "answered",
            "in time",
            "not run",
            "unknown",
            "failed",
            "broken",
            "wrong",
            "nothing",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        for kind in &self.kinds {
            let ms = |quantile| kind.latency_us(quantile) as f64 / 1_000.0;
            writeln!(
                f,
                "{:<18}{:>8}{:>9}{:>9}{:>8}{:>8}{:>7}{:>7}{:>6}{:>8}{:>9.2}{:>9.2}{:>9.2}",
                kind.name,
                kind.sent,
                kind.answered,
                kind.in_time,
                kind.not_run,
                kind.unknown,
                kind.failed,
                kind.broken,
                kind.wrong,
                kind.nothing,
                ms(0.5),
                ms(0.99),
                ms(0.999)
            )?;
        }
        Ok(())
    }
}
