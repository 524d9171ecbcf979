//! Simulation of callers that compete for the targets of one dispatcher: how evenly the callers of a
//! kind are served when demand exceeds the capacity.
//!
//! Some callers send more requests than others, or retry immediately after a refusal. The
//! evaluation compares the worst-served tenth of the callers with the mean of all callers, and
//! with the worst tenth that chance alone would produce.

mod evaluation;
mod policy;
mod simulation;

use std::fmt::Write;

use thymeshift_config::Mistakes;

use crate::replay::callers::simulation::CallerSimulation;

pub use evaluation::CallerCount;
pub use evaluation::CallerKindResult;
pub use policy::CallerPolicy;

/// Number of callers of a simulated day.
const CALLER_COUNT: usize = 100;
/// Number of kinds of a simulated day.
const KIND_COUNT: usize = 3;

/// Deviating behaviour of the first callers of a pattern.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerAbuse {
    /// Number of callers with the deviating behaviour; the others are patient.
    pub callers: usize,
    /// Number of requests of such a caller, as a multiple of those of a patient one.
    pub demand_factor: f64,
    /// Whether such a caller retries immediately instead of after the given time.
    pub retries_at_once: bool,
    /// Number of retries of a refused request of such a caller.
    pub retries_max: u32,
}

/// Demand of a simulated day. It exceeds the base load between second 2 and second 6.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Demand between second 2 and second 6 as a share of the capacity, without bursts and retries.
    pub load: f64,
    /// Factor on the demand for each kind between second 2 and second 6.
    pub burst_factors: [f64; KIND_COUNT],
    /// Behaviour of the callers that are not patient.
    pub abuse: CallerAbuse,
}

/// Result of a pattern over all simulated days. Counts the requests that were first sent between
/// second 2 and second 6; a request and its retries count as one.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResult {
    /// Counts of look-ups, orders and downloads.
    pub kinds: [CallerKindResult; KIND_COUNT],
}

/// Simulates `days` days of a pattern with a policy, one per seed from 0.
pub fn replay_callers(
    pattern: &CallerPattern,
    policy: CallerPolicy,
    days: u64,
) -> Result<CallerResult, Mistakes> {
    let abusive = pattern.abuse.callers;
    let kinds = std::array::from_fn(|_| CallerKindResult::new(CALLER_COUNT, abusive));
    let mut result = CallerResult { kinds };
    for seed in 0..days {
        CallerSimulation::new(*pattern, policy, seed)?.run(&mut result);
    }
    Ok(result)
}

/// Simulates all patterns with all policies and returns a text table.
pub fn caller_table(days: u64) -> Result<String, Mistakes> {
    let mut text = String::new();
    let columns = "   in obj  refused  tenth/mean  chance patient tenth  chance  patient mean  \
                   abusive in tenth";
    let _ = writeln!(text, "{:<34} {:<14} {:<10} {columns}", "pattern", "policy", "kind");
    for pattern in &CallerPattern::ALL {
        for policy in CallerPolicy::ALL {
            let result = replay_callers(pattern, policy, days)?;
            for (name, kind) in KIND_NAMES.iter().zip(&result.kinds) {
                let _ = writeln!(text, "{:<34} {policy:<14} {name:<10} {kind}", pattern.name);
            }
        }
    }
    Ok(text)
}

/// Names of the kinds in the result table, in order of their rank.
const KIND_NAMES: [&str; KIND_COUNT] = ["look-ups", "orders", "downloads"];

impl CallerAbuse {
    /// Number of retries of a patient caller.
    const PATIENT_RETRIES_MAX: u32 = 2;
    /// All callers are patient.
    const NONE: Self = Self {
        callers: 0,
        demand_factor: 1.0,
        retries_at_once: false,
        retries_max: Self::PATIENT_RETRIES_MAX,
    };
    /// Three callers in ten retry immediately, and three times as often as the others.
    const IMPATIENT: Self = Self {
        callers: 30,
        retries_at_once: true,
        retries_max: 3 * Self::PATIENT_RETRIES_MAX,
        ..Self::NONE
    };
}

impl CallerPattern {
    /// Pattern below the capacity.
    pub const CALM: Self = Self {
        name: "calm",
        load: 0.8,
        burst_factors: [1.0; KIND_COUNT],
        abuse: CallerAbuse::NONE,
    };
    /// Pattern with 1.3 times the capacity.
    pub const OVERLOAD: Self = Self { name: "overload 1.3", load: 1.3, ..Self::CALM };
    /// Pattern with 1.3 times the capacity and callers that retry immediately.
    pub const IMPATIENT: Self =
        Self { name: "overload 1.3, impatient", abuse: CallerAbuse::IMPATIENT, ..Self::OVERLOAD };
    /// Pattern as [`Self::IMPATIENT`], with callers who also send three times as many requests.
    pub const IMPATIENT_THREEFOLD: Self = Self {
        name: "overload 2.1, impatient threefold",
        load: 2.1,
        abuse: CallerAbuse { demand_factor: 3.0, ..CallerAbuse::IMPATIENT },
        ..Self::OVERLOAD
    };
    /// Pattern with a burst of the first kind.
    pub const BURST: Self =
        Self { name: "burst of look-ups", burst_factors: [2.4, 1.0, 1.0], ..Self::CALM };
    /// Pattern with a burst of the first kind and callers that retry immediately.
    pub const BURST_IMPATIENT: Self =
        Self { name: "burst of look-ups, impatient", abuse: CallerAbuse::IMPATIENT, ..Self::BURST };
    /// Pattern in which one caller in twenty sends ten times as many requests, at 1.3 times the
    /// capacity in total. The patient callers alone need 0.85 times the capacity.
    pub const TENFOLD: Self = Self {
        name: "overload 1.3, tenfold callers",
        abuse: CallerAbuse { callers: 5, demand_factor: 10.0, ..CallerAbuse::NONE },
        ..Self::OVERLOAD
    };
    /// Patterns of the result table.
    pub const ALL: [Self; 8] = [
        Self::CALM,
        Self::OVERLOAD,
        Self::IMPATIENT,
        Self::IMPATIENT_THREEFOLD,
        Self::BURST,
        Self::BURST_IMPATIENT,
        Self { name: "burst of orders", burst_factors: [1.0, 2.4, 1.0], ..Self::CALM },
        Self::TENFOLD,
    ];
}
