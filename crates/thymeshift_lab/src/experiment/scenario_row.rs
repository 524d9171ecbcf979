//! Result of one run of a strategy under a scenario, as a row of a table.

use std::fmt;

use serde_json::Value;
use serde_json::json;
use thymeshift_config::StrategyName;

use crate::experiment::scenario::Scenario;
use crate::load::KindResult;

/// Result of one run of a strategy under a scenario.
pub struct ScenarioRow {
    pub(crate) scenario: Scenario,
    pub(crate) load_percent: u64,
    pub(crate) strategy: StrategyName,
    pub(crate) seed: u64,
    pub(crate) kind: KindResult,
    pub(crate) ideal_p99_us: u64,
    /// Requests that target 0 began plus requests that failed, as a share of all requests. Target
    /// 0 is the faulty target in scenarios with a single faulty target.
    pub(crate) faulty_target_share: f64,
    pub(crate) retries: u64,
    pub(crate) waited: u64,
}

impl ScenarioRow {
    /// Returns the row as JSON, with latencies in microseconds.
    pub fn to_json(&self) -> Value {
        let kind = &self.kind;
        json!({
            "scenario": self.scenario.to_string(), "load_percent": self.load_percent,
            "strategy": self.strategy.to_string(), "seed": self.seed, "sent": kind.sent,
            "answered": kind.answered, "in_time_share": kind.in_time_share(),
            "not_run": kind.not_run, "unknown": kind.unknown, "failed": kind.failed,
            "p50_us": kind.latency_us(0.5), "p99_us": kind.latency_us(0.99),
            "p999_us": kind.latency_us(0.999), "ideal_p99_us": self.ideal_p99_us,
            "odd_share": self.faulty_target_share, "retries": self.retries, "waited": self.waited,
            "attempts_per_request": self.attempts_per_request(),
        })
    }

    /// Returns the mean number of attempts for each request.
    fn attempts_per_request(&self) -> f64 {
        1.0 + self.retries as f64 / (self.kind.sent as f64).max(1.0)
    }

    /// Returns the column headings of the table.
    pub fn table_header() -> String {
        format!(
            "{:<17}{:>5} {:<20}{:>5}{:>8}{:>8}{:>8}{:>8}{:>7}{:>8}{:>9}{:>8}{:>8}{:>8}{:>9}",
            "scenario",
            "load",
            "strategy",
            "seed",
            "p50 ms",
            "p99 ms",
            "p99.9",
            "ideal",
            "ratio",
            "in time",
            "refused",
            "failed",
            "waited",
            "odd",
            "attempts"
        )
    }
}

impl fmt::Display for ScenarioRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = &self.kind;
        let ms = |us: u64| us as f64 / 1_000.0;
        let p99 = kind.latency_us(0.99);
        write!(
            f,
            "{:<17}{:>4}% {:<20}{:>5}{:>8.1}{:>8.1}{:>8.1}{:>8.1}{:>7.2}{:>7.1}%{:>9}{:>8}{:>8}{:>7.1}%{:>9.3}",
            self.scenario.to_string(),
            self.load_percent,
            self.strategy.to_string(),
            self.seed,
            ms(kind.latency_us(0.5)),
            ms(p99),
            ms(kind.latency_us(0.999)),
            ms(self.ideal_p99_us),
            p99 as f64 / self.ideal_p99_us.max(1) as f64,
            kind.in_time_share() * 100.0,
            kind.not_run,
            kind.failed + kind.unknown,
            self.waited,
            self.faulty_target_share * 100.0,
            self.attempts_per_request()
        )
    }
}
