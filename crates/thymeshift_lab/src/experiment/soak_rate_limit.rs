//! Targets of a soak that state a rate limit in their answers.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;

/// Seeds that are multiples of this number have rate-limited targets.
const RATE_LIMITED_SEED_INTERVAL: u64 = 5;
/// Number of draws of a rate-limited target; the same target may be drawn twice.
const RATE_LIMITED_TARGETS: usize = 6;
/// Range of the rate limits that targets state, in requests per second.
const LIMIT_PER_S: std::ops::Range<f64> = 0.0..3.0;
/// Value combined with the soak's seed, so that drawing rate limits does not change the sequence of
/// drawn faults.
const RATE_LIMIT_SEED: u64 = 0x6e65_6564;

/// Rate limit of a target, in requests per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SoakRateLimit {
    target: usize,
    limit_per_s: f64,
}

/// Draws the rate-limited targets of a seed; most seeds have none.
pub(super) fn draw_rate_limits(seed: u64, targets: usize) -> Vec<SoakRateLimit> {
    if !seed.is_multiple_of(RATE_LIMITED_SEED_INTERVAL) {
        return Vec::new();
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ RATE_LIMIT_SEED);
    let draw = |_| SoakRateLimit {
        target: rng.random_range(0..targets),
        limit_per_s: rng.random_range(LIMIT_PER_S),
    };
    (0..RATE_LIMITED_TARGETS).map(draw).collect()
}

/// Makes the targets state their rate limits from now on.
pub(super) async fn apply_rate_limits(
    fleet: &Fleet,
    rate_limits: &[SoakRateLimit],
) -> Result<(), FleetError> {
    for rate_limit in rate_limits {
        fleet.targets[rate_limit.target].set_stated_limit(Some(rate_limit.limit_per_s)).await?;
    }
    Ok(())
}

/// Returns the largest number of requests that reached a rate-limited target within one window, as
/// a ratio of the number that its limit allows.
pub(super) async fn worst_window(
    fleet: &Fleet,
    rate_limits: &[SoakRateLimit],
) -> Result<f64, FleetError> {
    let mut worst: f64 = 0.0;
    for rate_limit in rate_limits {
        worst = worst.max(fleet.targets[rate_limit.target].worst_window().await?);
    }
    Ok(worst)
}
