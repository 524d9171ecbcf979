//! Request quota of an organisation.

use thymeshift_config::Organisation;

/// Default burst of an organisation, in seconds of its rate. Requests of many callers arrive
/// unevenly, so that a quota without a burst would refuse requests within the limit.
const DEFAULT_BURST_S: f64 = 0.25;

/// Request quota of one organisation over all processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Sustained rate in requests per second.
    pub rate_per_s: f64,
    /// Maximum number of requests admitted at once after an idle period.
    pub burst: f64,
}

impl QuotaLimit {
    /// Returns the quota configured for an organisation, or `None` if its requests are unlimited.
    pub fn of(organisation: &Organisation) -> Option<Self> {
        let rate_per_s = organisation.rate_per_s?.in_1000_s() as f64 / 1_000.0;
        let burst = match organisation.burst {
            0 => rate_per_s * DEFAULT_BURST_S,
            burst => burst as f64,
        };
        Some(Self { rate_per_s, burst: burst.max(1.0) })
    }
}
