//! Lower bound for the latency of every strategy: a single first-come-first-served queue serves
//! the same arrivals with all slots. The queue always knows which slots are free, so it never
//! decides on stale load information.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp1;

use crate::load::LoadPlan;
use crate::load::arrival_times;

/// Single ideal queue over all slots of a service.
#[derive(Debug, Clone, Copy)]
pub struct IdealQueue {
    /// Number of slots, summed over all targets.
    pub slots: usize,
    /// Mean service time, exponentially distributed, in microseconds.
    pub service_us: u64,
    /// Network round trip between caller and target, in microseconds.
    pub round_trip_us: u64,
}

impl IdealQueue {
    /// Simulates the plan's arrivals and returns a quantile (0 to 1) of their latency, in
    /// microseconds.
    pub fn latency_us(&self, plan: &LoadPlan, quantile: f64) -> u64 {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let mut free_at: BinaryHeap<Reverse<Duration>> =
            (0..self.slots).map(|_| Reverse(Duration::ZERO)).collect();
        let mut latencies = Histogram::<u64>::new_with_max(u64::MAX / 2, 3).ok();
        for at in arrival_times(plan) {
            let Some(Reverse(free)) = free_at.pop() else {
                break;
            };
            let sample: f64 = Exp1.sample(&mut rng);
            let service = Duration::from_micros(self.service_us).mul_f64(sample);
            let done = free.max(at) + service;
            free_at.push(Reverse(done));
            let taken_us = done.saturating_sub(at).as_micros() as u64 + self.round_trip_us;
            if let Some(latencies) = &mut latencies {
                latencies.saturating_record(taken_us);
            }
        }
        latencies.map_or(0, |latencies| latencies.value_at_quantile(quantile))
    }
}
