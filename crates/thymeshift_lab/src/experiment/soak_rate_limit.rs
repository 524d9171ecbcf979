//! Targets of a soak that name limits of requests a second.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;

/// One seed in so many has targets in need.
const NEEDY_EVERY: u64 = 5;
/// Targets in need, and the range of the limits that they name, in requests a second.
const NEEDY: usize = 6;
const LIMIT_PER_S: std::ops::Range<f64> = 0.0..3.0;
/// Tells the draws of needs from those of faults, which keep their order.
const SEED_OF_NEEDS: u64 = 0x6e65_6564;

/// A target in need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SoakRateLimit {
    target: usize,
    limit_per_s: f64,
}

/// The needs of a seed; none for most.
pub(super) fn draw_rate_limits(seed: u64, targets: usize) -> Vec<SoakRateLimit> {
    if !seed.is_multiple_of(NEEDY_EVERY) {
        return Vec::new();
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_OF_NEEDS);
    let need = |_| SoakRateLimit {
        target: rng.random_range(0..targets),
        limit_per_s: rng.random_range(LIMIT_PER_S),
    };
    (0..NEEDY).map(need).collect()
}

/// The targets name their limits from now on.
pub(super) async fn apply_rate_limits(
    fleet: &Fleet,
    needs: &[SoakRateLimit],
) -> Result<(), FleetError> {
    for need in needs {
        fleet.targets[need.target].set_stated_limit(Some(need.limit_per_s)).await?;
    }
    Ok(())
}

/// Most requests that a target in need got in a window, in parts of what is allowed.
pub(super) async fn worst_window(
    fleet: &Fleet,
    needs: &[SoakRateLimit],
) -> Result<f64, FleetError> {
    let mut worst: f64 = 0.0;
    for need in needs {
        worst = worst.max(fleet.targets[need.target].worst_window().await?);
    }
    Ok(worst)
}
