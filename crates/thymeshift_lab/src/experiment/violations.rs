//! Checks the promises of the load balancer: compares the results that callers received with the
//! requests that targets ran.

use std::collections::BTreeMap;
use std::fmt;

use thymeshift_types::Outcome;

use crate::load::CallResult;
use crate::load::LoadResult;
use crate::standin::LedgerEntry;

/// Counts of broken promises. Each count other than 0 is a fault of the load balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Violations {
    /// Requests reported to their callers as not run although a target began them.
    pub ran_although_not_run: u64,
    /// Requests of unsafe kinds that targets began more than once.
    pub unsafe_run_twice: u64,
    /// Requests whose callers received the answer to another request.
    pub wrong_answers: u64,
    /// Requests that were answered although no target finished them.
    pub answered_without_run: u64,
    /// Request kinds for which the number of results differs from the number of sent requests.
    pub unaccounted: u64,
}

impl Violations {
    /// Returns whether every promise held.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

impl fmt::Display for Violations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "promises broken: told not run but ran {}, unsafe run twice {}, wrong answers {}, \
             answered without run {}, unaccounted {}",
            self.ran_although_not_run,
            self.unsafe_run_twice,
            self.wrong_answers,
            self.answered_without_run,
            self.unaccounted
        )
    }
}

/// Counts the promises broken under a load, from the results of the load and the targets' ledgers.
/// `unsafe_kinds` are the names of the kinds whose requests must not run twice.
pub fn count_violations(
    result: &LoadResult,
    ledgers: &[BTreeMap<String, LedgerEntry>],
    unsafe_kinds: &[&str],
) -> Violations {
    let mut violations = Violations::default();
    for kind in &result.kinds {
        let is_unsafe = unsafe_kinds.contains(&kind.name.as_str());
        violations.wrong_answers += kind.wrong;
        violations.unaccounted += u64::from(!kind.is_accounted());
        for (nonce, call_result) in &kind.results_by_nonce {
            let entries = ledgers.iter().filter_map(|ledger| ledger.get(nonce));
            let (begun, finished) = entries.fold((0, 0), |(begun, finished), entry| {
                (begun + entry.begun, finished + entry.finished)
            });
            let is_not_run = *call_result == CallResult::Outcome(Outcome::NotRun);
            violations.ran_although_not_run += u64::from(is_not_run && begun > 0);
            violations.unsafe_run_twice += u64::from(is_unsafe && begun > 1);
            violations.answered_without_run +=
                u64::from(*call_result == CallResult::Answered && finished == 0);
        }
    }
    violations
}
