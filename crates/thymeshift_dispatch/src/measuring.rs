//! This VM's share of the budget for measuring one target.
//!
//! What it does: allows a probe only when the VM's share of the target's time has paid
//! for the one before. The share is the published budget divided by the published upper
//! bound of VMs, so that the shares add up to at most the budget whatever each VM
//! believes about the others.
//!
//! Why equal shares and not a rotating right: a rotation needs VMs to agree on time or
//! on members. The price is that the shares of VMs that are not running stay unused.
//!
//! Rules that keep the bound: nothing is saved up (a pause earns nothing); a fresh
//! process first waits one whole interval, because the process it replaces may just have
//! spent the same share; a probe that took longer than its declared cost, failed or came
//! late is paid for in full, at least at the declared cost.
//!
//! Settings: `measuring_budget_us_per_s`, `probe.cost_us`, `entry_vms_max`.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;

/// When this VM may next spend target time on measuring one target.
#[derive(Debug, Clone)]
pub struct MeasuringShare {
    /// Target time earned, in microseconds each second.
    share_us_per_s: f64,
    cost_us: f64,
    next_at: Option<Timestamp>,
}

impl MeasuringShare {
    /// A share of `budget_us_per_s` among `entry_vms_max` VMs for probes that cost
    /// `cost_us`. `phase` in 0..1 spreads the first probes of many targets.
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

    /// The moment from which the next probe is allowed; none if probes are forbidden.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.next_at
    }

    /// Takes the right to probe now. The declared cost is paid before the probe is sent.
    pub fn try_begin(&mut self, now: Timestamp) -> bool {
        let Some(next_at) = self.next_at else {
            return false;
        };
        if now < next_at {
            return false;
        }
        // Counted from now and not from `next_at`: time not used is not saved up.
        self.next_at = self.interval(self.cost_us).map(|wait| now + wait);
        true
    }

    /// Pays for target time beyond the declared cost.
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
        let micros = (cost_us / self.share_us_per_s * SECOND_US).ceil();
        Some(Duration::from_micros(micros as u64))
    }
}
