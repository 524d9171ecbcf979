//! How many targets of a group an allocator keeps fresh.
//!
//! What it does: lets a group have so many probes for each request that it is asked for.
//!
//! Load pattern: a service with many targets for its requests, such as 600 targets in a data hall
//! for 60 requests a second. Kept fresh all of them, each with 25 probes a second, take 15,000
//! probes a second of one process, which answers requests late for it; a request is granted one
//! target. Where targets are few for their requests, probes stay below this by themselves.

/// Probes for each request. Twice as many as are made just before a grant: what the budget keeps
/// fresh are the targets that the next requests would be sent to.
const PROBES_PER_REQUEST: u32 = 10;
/// Probes that may be saved up: so many targets are asked when the first request comes.
const SAVED_MAX: u32 = 160;

/// The probes that a group may have now.
#[derive(Debug, Clone, Copy)]
pub struct ProbeBudget {
    left: u32,
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self { left: SAVED_MAX }
    }
}

impl ProbeBudget {
    /// A target was asked for.
    pub fn record_request(&mut self) {
        self.left = (self.left + PROBES_PER_REQUEST).min(SAVED_MAX);
    }

    /// Probes that may begin now.
    pub fn available(&self) -> usize {
        self.left as usize
    }

    /// Probes have begun.
    pub fn spend(&mut self, probes: usize) {
        let probes = u32::try_from(probes).unwrap_or(u32::MAX);
        self.left = self.left.saturating_sub(probes);
    }
}
