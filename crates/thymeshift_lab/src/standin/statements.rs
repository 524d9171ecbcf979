//! Statements that a target sent to each process, and the requests that arrived in spite of them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use http::HeaderName;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// Header in which a caller names the process that it sends the request to.
pub const CALLED_PROCESS_HEADER: HeaderName = HeaderName::from_static("lab-called-process");
/// Time without new requests after which a leaving target may exit.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a statement in which requests already in flight may still arrive.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// Numbers of requests that reached a target in violation of its statements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementViolations {
    /// Number of requests from processes that had received a leaving statement. Requests within the
    /// drain time and the grace time for requests in flight are not counted.
    pub after_leaving: usize,
    /// Maximum number of requests of one process within a backoff.
    pub in_backoff: usize,
}

impl StatementViolations {
    /// Returns the maximum of each number, to combine the violations at several targets.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            after_leaving: self.after_leaving.max(other.after_leaving),
            in_backoff: self.in_backoff.max(other.in_backoff),
        }
    }
}

/// Statements that one process received, and its violations.
#[derive(Default)]
struct ProcessStatements {
    /// Time at which the process first received the statement that the target is leaving.
    leaving_since: Option<Instant>,
    /// Start, end and number of violating requests of each backoff.
    backoffs: Vec<(Instant, Instant, usize)>,
    violations: StatementViolations,
}

/// Statements of one target, by process.
#[derive(Default)]
pub(super) struct StatementLog {
    processes: Mutex<HashMap<String, ProcessStatements>>,
}

impl StatementLog {
    /// Records the arrival of a process's request and checks it against earlier statements.
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

    /// Records an answer that tells a process that the target is leaving.
    pub(super) fn record_leaving(&self, process: &str) {
        let mut processes = self.processes.lock();
        let statements = processes.entry(process.to_owned()).or_default();
        statements.leaving_since.get_or_insert_with(Instant::now);
    }

    /// Records an answer that asks a process for a backoff of `wait`.
    pub(super) fn record_backoff(&self, process: &str, wait: Duration) {
        let now = Instant::now();
        let mut processes = self.processes.lock();
        let statements = processes.entry(process.to_owned()).or_default();
        statements.backoffs.push((now, now + wait, 0));
    }

    /// Returns the violations of each process.
    pub(super) fn violations(&self) -> HashMap<String, StatementViolations> {
        let processes = self.processes.lock();
        processes.iter().map(|(name, statements)| (name.clone(), statements.violations)).collect()
    }
}
