//! What a target has said of itself to each process, and what reached it all the same.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use http::HeaderName;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// The process that a request was sent to, as its caller names it.
pub const CALLED_PROCESS_HEADER: HeaderName = HeaderName::from_static("lab-called-process");
/// After this time without a new request a target may end that leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Until an answer has reached the process, and requests under way have arrived.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// What reached a target against what it had said.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementViolations {
    /// Requests of processes that had known for longer than the drain time that it leaves.
    pub after_leaving: usize,
    /// Most requests of one process within a backoff.
    pub in_backoff: usize,
}

impl StatementViolations {
    /// The worse of two targets.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            after_leaving: self.after_leaving.max(other.after_leaving),
            in_backoff: self.in_backoff.max(other.in_backoff),
        }
    }
}

#[derive(Default)]
struct ProcessStatements {
    leaving_since: Option<Instant>,
    /// Beginning, end, and requests within.
    backoffs: Vec<(Instant, Instant, usize)>,
    violations: StatementViolations,
}

/// The statements of one target, by process.
#[derive(Default)]
pub(super) struct StatementLog {
    processes: Mutex<HashMap<String, ProcessStatements>>,
}

impl StatementLog {
    /// A request of a process arrives.
    pub(super) fn record_request(&self, process: &str) {
        let now = Instant::now();
        let mut processes = self.processes.lock();
        let statements = processes.entry(process.to_owned()).or_default();
        let ProcessStatements { leaving_since, backoffs, violations } = statements;
        let is_late = leaving_since.is_some_and(|at| now > at + IN_FLIGHT_GRACE + DRAIN_TIME);
        violations.after_leaving += usize::from(is_late);
        backoffs.retain(|(_, end, _)| now < *end);
        for (begin, _, count) in backoffs {
            *count += usize::from(now > *begin + IN_FLIGHT_GRACE);
            violations.in_backoff = violations.in_backoff.max(*count);
        }
    }

    /// A process is answered that the target leaves.
    pub(super) fn record_leaving(&self, process: &str) {
        let mut processes = self.processes.lock();
        let statements = processes.entry(process.to_owned()).or_default();
        statements.leaving_since.get_or_insert_with(Instant::now);
    }

    /// A process is asked for a backoff.
    pub(super) fn record_backoff(&self, process: &str, wait: Duration) {
        let now = Instant::now();
        let mut processes = self.processes.lock();
        let statements = processes.entry(process.to_owned()).or_default();
        statements.backoffs.push((now, now + wait, 0));
    }

    /// What each process disregarded.
    pub(super) fn violations(&self) -> HashMap<String, StatementViolations> {
        let processes = self.processes.lock();
        processes.iter().map(|(name, statements)| (name.clone(), statements.violations)).collect()
    }
}
