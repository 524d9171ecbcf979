//! What became of the load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use thymeshift_types::Outcome;

/// Largest latency told apart, in microseconds.
const LATENCY_US_MAX: u64 = 120_000_000;
/// Digits of latency kept.
const LATENCY_DIGITS: u8 = 3;

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The complete answer to its own request.
    Answered,
    /// A failure with an outcome.
    Outcome(Outcome),
    /// A target's own error.
    TargetError,
    /// An answer that visibly broke off.
    BrokenAnswer,
    /// A complete answer that is not its own.
    WrongAnswer,
    /// Nothing: no connection, or it broke before any answer.
    NoAnswer,
}

/// Results of one kind.
#[derive(Debug, Clone)]
pub struct KindResult {
    /// Its name.
    pub name: String,
    /// Requests that were due.
    pub sent: u64,
    /// Complete own answers.
    pub answered: u64,
    /// Of these, in time.
    pub in_time: u64,
    /// Told that it did not run.
    pub not_run: u64,
    /// Told that nobody knows.
    pub unknown: u64,
    /// Told that a target failed, by the balancer or by the target itself.
    pub failed: u64,
    /// Answers that visibly broke off.
    pub broken: u64,
    /// Answers to other requests. Must be 0.
    pub wrong: u64,
    /// Told nothing.
    pub nothing: u64,
    latency_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    /// What each request was told, by its nonce.
    pub results_by_nonce: BTreeMap<String, CallResult>,
}

impl KindResult {
    /// Nothing sent yet.
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
        }
    }

    /// Takes in what became of the request with this nonce.
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

    /// Latency of complete answers at a quantile, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }

    /// Time until refusals were told, at a quantile, in microseconds.
    pub fn refusal_us(&self, quantile: f64) -> u64 {
        self.refusal_us.value_at_quantile(quantile)
    }

    /// Share of requests with a complete own answer in time.
    pub fn in_time_share(&self) -> f64 {
        if self.sent == 0 { 0.0 } else { self.in_time as f64 / self.sent as f64 }
    }

    /// Whether every request is accounted for.
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
        .expect("bound and digits are within what the library allows")
}

/// Results of all kinds.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// In the plan's order.
    pub kinds: Vec<KindResult>,
    /// From the first arrival to the last answer.
    pub elapsed: Duration,
}

impl LoadResult {
    /// The result for programs.
    pub fn to_json(&self) -> Value {
        let kinds: Vec<Value> = self.kinds.iter().map(KindResult::to_json).collect();
        json!({ "elapsed_ms": self.elapsed.as_millis() as u64, "kinds": kinds })
    }

    /// The kind called `name`.
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
