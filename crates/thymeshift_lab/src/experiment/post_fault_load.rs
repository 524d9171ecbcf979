//! Load after the end of all faults of a soak, and the check that requests are served again.

use thymeshift_config::Kind;

use crate::load::KindResult;
use crate::load::LoadResult;

/// Minimum share of the requests that must be answered.
const ANSWERED_SHARE_MIN: f64 = 0.98;
/// CPU pressure from which the machine counts as starved of processors. Under this load on 8
/// processors, the pressure is 0.40 to 0.53 at a system load of 10 to 15, where all requests are
/// answered. It is 0.80 to 0.82 with 28 further busy processes and 0.86 to 0.88 with 48, where
/// look-ups are occasionally refused.
pub(super) const STARVED_PRESSURE_MIN: f64 = 0.7;
/// Shortest deadline, in milliseconds, of the kinds whose requests must be answered on a starved
/// machine too. A shorter deadline can pass while a process waits for a processor.
pub(super) const LONG_DEADLINE_MIN_MS: u64 = 1_000;

/// Load after the end of all faults, with the CPU pressure during that load.
#[derive(Debug, Clone)]
pub struct PostFaultLoad {
    /// Results of the load.
    pub result: LoadResult,
    /// CPU pressure of the entry processes and targets during the load, as
    /// [`crate::experiment::ProcessorTime::pressure_since`] returns it.
    pub pressure: f64,
    /// Names of the kinds whose deadline is long enough to wait for a processor.
    long_deadline_kinds: Vec<String>,
}

impl PostFaultLoad {
    /// Combines the result of a load over `kinds` with the CPU pressure during that load.
    pub fn new(result: LoadResult, kinds: &[Kind], pressure: f64) -> Self {
        let long_deadline = kinds.iter().filter(|kind| kind.deadline_ms >= LONG_DEADLINE_MIN_MS);
        let long_deadline_kinds = long_deadline.map(|kind| kind.name.to_string()).collect();
        Self { result, pressure, long_deadline_kinds }
    }

    /// Returns whether requests are served again. On a machine starved of processors, requests of
    /// kinds with short deadlines may instead have been refused as not run; any other failure
    /// counts.
    pub fn is_served(&self) -> bool {
        if self.answered_share() >= ANSWERED_SHARE_MIN {
            return true;
        }
        self.pressure >= STARVED_PRESSURE_MIN
            && self.result.kinds.iter().all(|kind| self.is_excused(kind))
    }

    fn is_excused(&self, kind: &KindResult) -> bool {
        let has_definite_result = kind.answered + kind.not_run == kind.sent;
        let has_long_deadline = self.long_deadline_kinds.contains(&kind.name);
        has_definite_result
            && (!has_long_deadline
                || answered_share(std::slice::from_ref(kind)) >= ANSWERED_SHARE_MIN)
    }

    /// Returns the share of the requests, from 0 to 1, that were answered.
    pub fn answered_share(&self) -> f64 {
        answered_share(&self.result.kinds)
    }
}

/// Returns the share of the requests of these kinds, from 0 to 1, that were answered.
pub(super) fn answered_share<'a>(kinds: impl IntoIterator<Item = &'a KindResult> + Clone) -> f64 {
    let sent: u64 = kinds.clone().into_iter().map(|kind| kind.sent).sum();
    let answered: u64 = kinds.into_iter().map(|kind| kind.answered).sum();
    answered as f64 / sent.max(1) as f64
}
