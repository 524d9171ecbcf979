//! Whether requests are served again once all faults have ended.

use thymeshift_config::Kind;

use crate::load::KindResult;
use crate::load::LoadResult;

/// Part of the requests that must be answered.
const ANSWERED_MIN: f64 = 0.98;
/// Part of the time for which the processes could have run, and waited for a processor, from which
/// on the machine was starved. Measured under this load on 8 processors: 0.40 to 0.53 beside a load
/// of 10 to 15, where all was answered; 0.80 to 0.82 beside 28 more busy processes, 0.86 to 0.88 beside
/// 48, where now and then look-ups were refused.
const STARVED_FROM: f64 = 0.7;
/// On a starved machine the kinds with this deadline or a longer one must be answered, in
/// milliseconds: a shorter one passes while a process waits for a processor.
const PATIENT_FROM_MS: u64 = 1_000;

/// The load after the faults, and what processes waited for a processor under it.
#[derive(Debug, Clone)]
pub struct PostFaultLoad {
    /// What became of it.
    pub result: LoadResult,
    /// [`crate::experiment::ProcessorTime::pressure_since`] of entry processes and targets.
    pub pressure: f64,
    /// Kinds that can wait for a processor.
    patient_kinds: Vec<String>,
}

impl PostFaultLoad {
    /// The result of a load of these kinds.
    pub fn new(result: LoadResult, kinds: &[Kind], pressure: f64) -> Self {
        let patient = kinds.iter().filter(|kind| kind.deadline_ms >= PATIENT_FROM_MS);
        let patient_kinds = patient.map(|kind| kind.name.to_string()).collect();
        Self { result, pressure, patient_kinds }
    }

    /// Whether requests are served again. On a machine that had no processor to spare, those that
    /// cannot wait for one may have been refused in so many words, and nothing else.
    pub fn is_served(&self) -> bool {
        if self.answered() >= ANSWERED_MIN {
            return true;
        }
        self.pressure >= STARVED_FROM && self.result.kinds.iter().all(|kind| self.is_excused(kind))
    }

    fn is_excused(&self, kind: &KindResult) -> bool {
        let is_told = kind.answered + kind.not_run == kind.sent;
        let is_patient = self.patient_kinds.contains(&kind.name);
        is_told && (!is_patient || answered_share(std::slice::from_ref(kind)) >= ANSWERED_MIN)
    }

    /// Part of the requests that were answered.
    pub fn answered(&self) -> f64 {
        answered_share(&self.result.kinds)
    }
}

fn answered_share(kinds: &[KindResult]) -> f64 {
    let sent: u64 = kinds.iter().map(|kind| kind.sent).sum();
    let answered: u64 = kinds.iter().map(|kind| kind.answered).sum();
    answered as f64 / sent.max(1) as f64
}
