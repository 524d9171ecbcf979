//! Processing power of a VM.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Thousandths of a processor (millicores) per processor.
const MILLICORES_PER_PROCESSOR: f64 = 1_000.0;
/// Smallest and largest valid capacity, in thousandths of a processor (millicores).
const MILLICORES_MIN: f64 = 1.0;
const MILLICORES_MAX: f64 = 1_000_000.0;

/// Processing power in thousandths of a processor (millicores); at least 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct Capacity(u32);

impl Capacity {
    /// Returns the capacity of `processors`, or `None` outside 0.001 to 1000 processors.
    pub fn from_processors(processors: f64) -> Option<Self> {
        let millicores = (processors * MILLICORES_PER_PROCESSOR).round();
        (MILLICORES_MIN..=MILLICORES_MAX).contains(&millicores).then_some(Self(millicores as u32))
    }

    /// Returns the capacity in processors.
    pub fn processors(self) -> f64 {
        f64::from(self.0) / MILLICORES_PER_PROCESSOR
    }
}

impl Default for Capacity {
    /// Returns the capacity of one processor.
    fn default() -> Self {
        Self(MILLICORES_PER_PROCESSOR as u32)
    }
}
