//! Simulated process that enforces an organisation's limit.

use thymeshift_organisations::QuotaCounter;
use thymeshift_organisations::QuotaHolder;
use thymeshift_organisations::TokenDemand;
use thymeshift_types::Timestamp;

use crate::replay::quotas::simulation::LIMIT;

/// Decay time of the demand estimate under `QuotaPolicy::PartsByDemand`, in milliseconds.
const DEMAND_MEMORY_MS: f64 = 1_000.0;

/// Token request whose reply is pending.
pub(super) struct PendingTokenRequest {
    pub(super) number: u64,
    pub(super) counter_index: usize,
    pub(super) demand: TokenDemand,
}

/// Process with the quota state of the load balancer and of the alternative policies.
pub(super) struct Process {
    pub(super) holder: QuotaHolder,
    pub(super) counter: Option<QuotaCounter<usize>>,
    pub(super) pending_request: Option<PendingTokenRequest>,
    pub(super) waiting: usize,
    pub(super) passed_over_until_ms: [u64; 2],
    /// Tokens of the local bucket under the policies without a counter.
    pub(super) tokens: f64,
    /// Time of the last refill of `tokens`, in milliseconds.
    pub(super) filled_ms: u64,
    /// Demand estimate at the time of the last refill, in requests per second.
    pub(super) demand_per_s: f64,
    /// Last demand that each process reported, with its arrival time in milliseconds.
    pub(super) reported_demand: Vec<(f64, u64)>,
}

impl Process {
    pub(super) fn new(process_count: usize, now: Timestamp) -> Self {
        Self {
            holder: QuotaHolder::new(LIMIT, process_count as u64, now),
            counter: None,
            pending_request: None,
            waiting: 0,
            passed_over_until_ms: [0; 2],
            tokens: 1.0,
            filled_ms: now.as_micros() / 1_000,
            demand_per_s: 0.0,
            reported_demand: vec![(0.0, 0); process_count],
        }
    }

    /// Adds the arrival of a request to the demand estimate.
    pub(super) fn record_demand(&mut self, now_ms: u64) {
        self.demand_per_s = self.demand(now_ms) + 1_000.0 / DEMAND_MEMORY_MS;
    }

    /// Returns the demand estimate, decayed since the last refill, in requests per second.
    pub(super) fn demand(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.filled_ms) as f64;
        self.demand_per_s * (-passed_ms / DEMAND_MEMORY_MS).exp()
    }
}
