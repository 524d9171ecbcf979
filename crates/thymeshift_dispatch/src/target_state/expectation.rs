//! Expected answer time of a target.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::model::ServiceModel;
use crate::target_state::Target;

/// Time in which the weight of a report decays, in service times:
/// a target's load changes within the time of a few requests.
const REPORT_DECAY_REQUESTS: f64 = 2.0;
/// Largest multiple of the usual pace that still counts as usual.
const USUAL_PACE_FACTOR_MAX: f64 = 1.3;
/// Lower bound of the success rate in the expected time, which bounds the cost of a failing target.
const SUCCESS_RATE_MIN: f64 = 0.02;

impl Target {
    /// Returns the time in which the target is expected to answer,
    /// in microseconds, without the round trip between data halls.
    ///
    /// This VM's requests in flight and the mean load of other VMs fill the slots and then queue.
    /// The load in the last report beyond that mean is added with the weight of reports in the
    /// model. The sum is multiplied by the factors for slowness, cold start and the reported pace.
    /// If this VM's requests are in flight for longer than expected, which indicates a stall that
    /// no report shows, the excess is added. The result is divided by the success rate.
    pub(crate) fn expected_us(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let base_expected_us = self.base_expected_us(now, model);
        let factor = self.slowness.factor(now) * self.cold_start.factor(now);
        let factor = factor * self.external_load.pace(now, model.mean_pace());
        let stalled_us = self.overdue_us(now, base_expected_us);
        let success_rate = (1.0 - self.ejection.failure_rate(now)).max(SUCCESS_RATE_MIN);
        (base_expected_us * factor + stalled_us) / success_rate
    }

    /// Returns the expected answer time from the load alone, in microseconds: without the factors
    /// of the target itself, and without the round trip between data halls.
    pub(super) fn base_expected_us(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let reported_us =
            model.reported_request_us(self.slots()) * self.reported_excess(now, model);
        (model.service_us() * self.load_factor(model) + reported_us).max(model.service_us())
    }

    /// Returns the expected answer time in units of the answer time of an idle target, without
    /// reports. Each request that is queued ahead waits for a slot.
    pub(super) fn load_factor(&self, model: &ServiceModel) -> f64 {
        let ahead = f64::from(self.in_flight) + model.external_load();
        1.0 + (ahead + 1.0 - self.slots()).max(0.0) / self.slots()
    }

    /// Returns the load of other VMs in the last report beyond its mean, weighted by the report's
    /// age.
    pub(super) fn reported_excess(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let decay_us = model.service_us() * REPORT_DECAY_REQUESTS;
        let decay_time = Duration::from_micros(decay_us as u64);
        self.external_load.expected(now, decay_time, model.external_load()) - model.external_load()
    }

    fn slots(&self) -> f64 {
        f64::from(self.parameters.slots)
    }

    /// Returns the mean age of this VM's requests in flight beyond the expected answer time,
    /// in microseconds, or 0 if they are not overdue.
    fn overdue_us(&self, now: Timestamp, expected_us: f64) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let count = f64::from(self.in_flight);
        let now_sum_us = now.as_micros() as f64 * count;
        let age_us = (now_sum_us - self.sent_at_sum_us as f64).max(0.0) / count;
        (age_us - expected_us).max(0.0)
    }

    /// Whether the target is not reported to work slower than the usual pace of its service.
    pub(super) fn is_usual_pace(&self, now: Timestamp, model: &ServiceModel) -> bool {
        let pace = self.external_load.current_pace(now);
        pace.is_none_or(|pace| pace <= model.usual_pace() * USUAL_PACE_FACTOR_MAX)
    }
}
