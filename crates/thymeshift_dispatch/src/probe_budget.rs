//! Budget that bounds how many targets of a group an allocator probes.
//!
//! A group earns a fixed number of probes with each request for one of its targets.
//!
//! The budget matters for a service with many targets for its requests, such as 600 targets in a
//! data hall for 60 requests per second. Probing all of them 25 times per second takes 15,000
//! probes per second of one process, which then answers requests late, while a request needs only
//! one target. Where a service has few targets for its requests, the probes stay below the budget.

/// Probes earned with each request, twice as many as are made just before a grant.
/// The budget keeps the reports of those targets fresh that the next requests would be sent to.
const PROBES_PER_REQUEST: u32 = 10;
/// Largest number of probes that may be saved up, and the number of targets
/// that may be probed when the first request arrives.
const PROBES_SAVED_MAX: u32 = 160;

/// Number of probes that a group may currently start.
#[derive(Debug, Clone, Copy)]
pub struct ProbeBudget {
    available: u32,
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self { available: PROBES_SAVED_MAX }
    }
}

impl ProbeBudget {
    /// Earns probes for a request for a target of the group.
    pub fn record_request(&mut self) {
        self.available = (self.available + PROBES_PER_REQUEST).min(PROBES_SAVED_MAX);
    }

    /// Returns the number of probes that may start now.
    pub fn available(&self) -> usize {
        self.available as usize
    }

    /// Deducts probes that have started.
    pub fn spend(&mut self, probes: usize) {
        let probes = u32::try_from(probes).unwrap_or(u32::MAX);
        self.available = self.available.saturating_sub(probes);
    }
}
