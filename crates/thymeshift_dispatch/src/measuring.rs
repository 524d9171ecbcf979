//! This VM's share of the time budget for probing one target.
//!
//! A probe is allowed only when the VM's share of the target's time has paid for the previous one.
//! The share is the published budget divided by the published upper bound of VMs, so that all
//! shares add up to at most the budget, whatever each VM believes about the others.
//!
//! Equal shares need no coordination, while a rotating right to probe would need VMs to agree on
//! time or membership. The cost is that the shares of VMs that are not running stay unused.
//!
//! Three rules keep the bound. Unused time is not saved up, so a pause earns nothing.
//! A fresh process first waits one whole interval, because the process that it replaces may just
//! have spent the same share. A probe that exceeded its declared cost, failed or came late is
//! charged in full, and at least at the declared cost.
//!
//! Settings: `measuring_budget_us_per_s`, `probe.cost_us`, `entry_vms_max`.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Number of microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Schedule of this VM's probes of one target, within its share of the probe time budget.
#[derive(Debug, Clone)]
pub struct MeasuringShare {
    /// Target time that the VM may spend on probes, in microseconds per second.
    share_us_per_s: f64,
    /// Declared cost of a probe, in microseconds of target time.
    cost_us: f64,
    next_at: Option<Timestamp>,
}

impl MeasuringShare {
    /// Creates an equal share of `budget_us_per_s` among `entry_vms_max` VMs, for probes that cost
    /// `cost_us` each. `phase` in 0..1 spreads the first probes of many targets over time.
    pub fn new(
        budget_us_per_s: u64,
        cost_us: u64,
        entry_vms_max: u64,
        now: Timestamp,
        phase: f64,
    ) -> Self {
        let share_us_per_s = budget_us_per_s as f64 / entry_vms_max.max(1) as f64;
        let mut share = Self { share_us_per_s, cost_us: cost_us as f64, next_at: None };
        share.next_at = share.interval(share.cost_us).map(|wait| now + wait.mul_f64(1.0 + phase));
        share
    }

    /// Returns the time from which the next probe is allowed, or `None` if probes are forbidden.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.next_at
    }

    /// Takes the right to probe now, if it is due.
    /// Charges the declared cost before the probe is sent.
    pub fn try_begin(&mut self, now: Timestamp) -> bool {
        let Some(next_at) = self.next_at else {
            return false;
        };
        if now < next_at {
            return false;
        }
        // The interval starts now and not at `next_at`, so that unused time is not saved up.
        self.next_at = self.interval(self.cost_us).map(|wait| now + wait);
        true
    }

    /// Charges the target time that a probe spent beyond the declared cost.
    pub fn charge_overrun(&mut self, spent: Duration) {
        let beyond_us = spent.as_micros() as f64 - self.cost_us;
        if beyond_us <= 0.0 {
            return;
        }
        if let (Some(next_at), Some(wait)) = (self.next_at, self.interval(beyond_us)) {
            self.next_at = Some(next_at + wait);
        }
    }

    fn interval(&self, cost_us: f64) -> Option<Duration> {
        if self.share_us_per_s <= 0.0 {
            return None;
        }
        let micros = (cost_us / self.share_us_per_s * MICROS_PER_SECOND).ceil();
        Some(Duration::from_micros(micros as u64))
    }
}
