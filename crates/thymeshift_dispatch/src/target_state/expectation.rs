//! The time in which a target is expected to answer.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::model::ServiceModel;
use crate::target_state::Target;

/// Requests over which a target's load changes: the memory of a report.
const REPORT_MEMORY_REQUESTS: f64 = 2.0;
/// A pace up to this many times the usual one counts as usual.
const USUAL_PACE_FACTOR_MAX: f64 = 1.3;
/// Smallest share of successes counted, which bounds the cost of a failing target.
const SUCCESS_SHARE_MIN: f64 = 0.02;

impl Target {
    /// Time in which an answer is expected, in microseconds.
    ///
    /// Own requests in flight and the usual load of others fill the slots and then queue.
    /// What the last report tells beyond the usual is added for what reports have been
    /// worth. That is lengthened by how far earlier expectations were off, by the cold
    /// start, and if own requests are out longer than expected (a stall that no report
    /// tells of); and divided by the share of successes. The way is not counted.
    pub(crate) fn expected_us(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let base_us = self.base_us(now, model);
        let factor = self.slowness.factor(now) * self.cold_start.factor(now);
        let factor = factor * self.external_load.pace(now, model.mean_pace());
        let stalled_us = self.overdue_us(now, base_us);
        let success_share = (1.0 - self.ejection.failure_rate(now)).max(SUCCESS_SHARE_MIN);
        (base_us * factor + stalled_us) / success_share
    }

    pub(super) fn base_us(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let told_us = model.reported_request_us(self.slots()) * self.reported_excess(now, model);
        (model.service_us() * self.load(model) + told_us).max(model.service_us())
    }

    /// How many times as long as at an idle target an answer takes by what this VM knows
    /// itself: each request that queues ahead waits for a slot.
    pub(super) fn load(&self, model: &ServiceModel) -> f64 {
        let ahead = f64::from(self.in_flight) + model.external_load();
        1.0 + (ahead + 1.0 - self.slots()).max(0.0) / self.slots()
    }

    /// Requests beyond the usual that the last report tells of.
    pub(super) fn reported_excess(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let memory_us = model.service_us() * REPORT_MEMORY_REQUESTS;
        let memory = Duration::from_micros(memory_us as u64);
        self.external_load.expected(now, memory, model.external_load()) - model.external_load()
    }

    fn slots(&self) -> f64 {
        f64::from(self.parameters.slots)
    }

    /// How much longer than expected own requests have been out on average.
    fn overdue_us(&self, now: Timestamp, expected_us: f64) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let count = f64::from(self.in_flight);
        let now_sum_us = now.as_micros() as f64 * count;
        let age_us = (now_sum_us - self.sent_at_sum_us as f64).max(0.0) / count;
        (age_us - expected_us).max(0.0)
    }

    pub(super) fn is_usual_pace(&self, now: Timestamp, model: &ServiceModel) -> bool {
        let pace = self.external_load.current_pace(now);
        pace.is_none_or(|pace| pace <= model.usual_pace() * USUAL_PACE_FACTOR_MAX)
    }
}
