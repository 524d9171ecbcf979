//! How much processing power a VM has.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Thousandths in one processor.
const MILLI: f64 = 1_000.0;
/// Bounds, in thousandths of a processor.
const LEAST_MILLI: f64 = 1.0;
const MOST_MILLI: f64 = 1_000_000.0;

/// Processing power, in thousandths of a processor; at least 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct Capacity(u32);

impl Capacity {
    /// That of `processors`, if it lies between a thousandth and a thousand.
    pub fn from_processors(processors: f64) -> Option<Self> {
        let milli = (processors * MILLI).round();
        (LEAST_MILLI..=MOST_MILLI).contains(&milli).then_some(Self(milli as u32))
    }

    /// In processors.
    pub fn processors(self) -> f64 {
        f64::from(self.0) / MILLI
    }
}

impl Default for Capacity {
    /// One processor.
    fn default() -> Self {
        Self(MILLI as u32)
    }
}
