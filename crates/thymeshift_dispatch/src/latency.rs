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
    pub(crate) fn learn(&mut self, sample: Duration) {
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

/// Weight of one answer in the mean service time of a service.
const SERVICE_WEIGHT: f64 = 0.02;

/// Mean time of one request at an idle target of a service, in microseconds.
///
/// Kept for the service and not for each target: the shortest or mean time of a single
/// target is a noisy figure, and the targets with lucky figures would draw all the work.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceTime {
    mean_us: Option<f64>,
}

impl ServiceTime {
    /// Learns from an answer that took `taken_us` without the way there and back, when it
    /// was expected to take `load` times as long as at an idle target.
    pub(crate) fn learn(&mut self, taken_us: f64, load: f64) {
        let sample_us = (taken_us / load).max(1.0);
        self.mean_us = Some(match self.mean_us {
            None => sample_us,
            Some(mean_us) => mean_us + SERVICE_WEIGHT * (sample_us - mean_us),
        });
    }

    /// The mean, or an assumption before the first answer.
    pub(crate) fn mean_us(&self) -> f64 {
        self.mean_us.unwrap_or(INITIAL_US)
    }
}
