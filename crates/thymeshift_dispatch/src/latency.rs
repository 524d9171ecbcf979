//! Latency seen from this VM.

use std::time::Duration;

/// Weight of a sample in the mean when it is above the mean: bad news travels fast.
const RISE_WEIGHT: f64 = 0.3;
/// Weight of a sample below the mean.
const FALL_WEIGHT: f64 = 0.1;
/// Share by which the floor rises with each sample, so that a lasting change is learnt.
const FLOOR_RISE: f64 = 0.005;
/// Assumed latency before the first sample, in microseconds.
const INITIAL_US: f64 = 5_000.0;

/// A moving mean and a slowly rising minimum of latency, in microseconds.
#[derive(Debug, Clone)]
pub(crate) struct Latency {
    mean_us: f64,
    floor_us: f64,
    has_sample: bool,
}

impl Default for Latency {
    fn default() -> Self {
        Self { mean_us: INITIAL_US, floor_us: INITIAL_US, has_sample: false }
    }
}

impl Latency {
    pub(crate) fn record(&mut self, sample: Duration) {
        let sample_us = sample.as_micros() as f64;
        if !self.has_sample {
            *self = Self { mean_us: sample_us, floor_us: sample_us, has_sample: true };
            return;
        }
        let weight = if sample_us > self.mean_us { RISE_WEIGHT } else { FALL_WEIGHT };
        self.mean_us += weight * (sample_us - self.mean_us);
        self.floor_us = (self.floor_us * (1.0 + FLOOR_RISE)).min(sample_us);
    }

    pub(crate) fn mean_us(&self) -> f64 {
        self.mean_us
    }

    pub(crate) fn floor_us(&self) -> f64 {
        self.floor_us
    }
}
