//! Properties that the targets of a service have in common, estimated from answers and reports.
//!
//! * Mean service time: the time of a request at an idle target.
//!   It is kept per service and not per target, because the estimate of a single target is noisy
//!   and targets with randomly low estimates would attract all requests.
//! * Mean load that other VMs put on a target.
//! * Mean pace in the targets' reports, and the usual pace, which is that of the faster targets.
//! * Weight of a report: the slope of the answer time beyond its expectation without the report,
//!   over the load in the report. Fresh and honest reports have a slope near the time of one queued
//!   request. Late, false or meaningless reports have a slope near zero and are then ignored.
//!   The slope needs no knowledge of a report's age, which reports do not state.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Weight of one answer in the mean service time.
const ANSWER_WEIGHT: f64 = 0.02;
/// Weight of one report in the mean load that other VMs put on a target.
const EXTERNAL_LOAD_WEIGHT: f64 = 0.02;
/// Weight of one report in the mean pace of the targets.
const PACE_WEIGHT: f64 = 0.02;
/// Quantile of the targets' paces that is the usual pace: with a smaller share of fast targets,
/// waiting for one of them would leave too much of the service unused.
const USUAL_PACE_QUANTILE: f64 = 0.3;
/// Weight of one answer in the slope of the answer time over the reported load.
const SLOPE_WEIGHT: f64 = 0.01;
/// Assumed service time before the first answer, in microseconds.
const INITIAL_SERVICE_US: f64 = 5_000.0;
/// Variance of the reported load that the initial slope counts for:
/// the initial slope dominates until the observed variance exceeds this value.
const PRIOR_VARIANCE: f64 = 0.1;
/// Initial slope, as a share of the time of one queued request.
const PRIOR_SLOPE_SHARE: f64 = 0.5;

/// Time after which a slow pace counts as usual if nearly all targets are slow.
/// The window covers at least half of this time.
const USUAL_PACE_WINDOW: Duration = Duration::from_secs(1);

/// Pace of the faster targets, as the minimum over a sliding window:
/// if a service has few targets, all of them may be slow for a moment by chance.
#[derive(Debug, Clone, Default)]
struct UsualPace {
    /// Lowest pace in the previous half of the window.
    previous: Option<f64>,
    /// Lowest pace in the current half of the window.
    current: Option<f64>,
    /// Start of the current half of the window.
    since: Timestamp,
}

impl UsualPace {
    fn get(&self) -> f64 {
        match (self.previous, self.current) {
            (Some(previous), Some(current)) => previous.min(current),
            (Some(pace), None) | (None, Some(pace)) => pace,
            (None, None) => 1.0,
        }
    }

    fn record(&mut self, mut paces: Vec<f64>, now: Timestamp) {
        if paces.is_empty() {
            return;
        }
        let index = ((paces.len() - 1) as f64 * USUAL_PACE_QUANTILE) as usize;
        let (_, pace, _) = paces.select_nth_unstable_by(index, f64::total_cmp);
        if now.since(self.since) >= USUAL_PACE_WINDOW / 2 {
            self.previous = self.current.take();
            self.since = now;
        }
        self.current = Some(self.current.map_or(*pace, |best| best.min(*pace)));
    }
}

/// Estimates about the targets of one service at this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceModel {
    mean_us: Option<f64>,
    external_load: Option<f64>,
    pace: Option<f64>,
    usual_pace: UsualPace,
    load_variance: f64,
    covariance_us: f64,
}

impl ServiceModel {
    /// Returns the mean time of a request at an idle target, in microseconds.
    pub(crate) fn service_us(&self) -> f64 {
        self.mean_us.unwrap_or(INITIAL_SERVICE_US)
    }

    /// Returns the mean number of requests that other VMs have at a target.
    pub(crate) fn external_load(&self) -> f64 {
        self.external_load.unwrap_or(0.0)
    }

    /// Returns the mean pace in the targets' reports.
    pub(crate) fn mean_pace(&self) -> f64 {
        self.pace.unwrap_or(1.0)
    }

    /// Returns the pace of targets that are not slowed down, as long as there are such targets.
    pub(crate) fn usual_pace(&self) -> f64 {
        self.usual_pace.get()
    }

    /// Records the current paces of the targets.
    pub(crate) fn record_usual_pace(&mut self, paces: Vec<f64>, now: Timestamp) {
        self.usual_pace.record(paces, now);
    }

    pub(crate) fn record_pace(&mut self, pace: f64) {
        let mean = self.pace.get_or_insert(pace);
        *mean += PACE_WEIGHT * (pace - *mean);
    }

    /// Returns the time in microseconds that one reported request adds to the expected answer time.
    pub(crate) fn reported_request_us(&self, slots: f64) -> f64 {
        let queued_us = self.service_us() / slots;
        let prior_us = queued_us * PRIOR_SLOPE_SHARE * PRIOR_VARIANCE;
        let slope_us = (self.covariance_us + prior_us) / (self.load_variance + PRIOR_VARIANCE);
        slope_us.clamp(0.0, queued_us)
    }

    pub(crate) fn record_external_load(&mut self, external_load: f64) {
        let mean = self.external_load.get_or_insert(external_load);
        *mean += EXTERNAL_LOAD_WEIGHT * (external_load - *mean);
    }

    /// Records an answer that took `taken_us` without the round trip between data halls, at a
    /// target with `load_factor` times the expected answer time of an idle target, and
    /// `reported_excess` requests above the mean in its report.
    pub(crate) fn record_answer(&mut self, taken_us: f64, load_factor: f64, reported_excess: f64) {
        let beyond_us = taken_us - self.service_us() * load_factor;
        self.load_variance +=
            SLOPE_WEIGHT * (reported_excess * reported_excess - self.load_variance);
        self.covariance_us += SLOPE_WEIGHT * (reported_excess * beyond_us - self.covariance_us);
        let sample_us = (taken_us / load_factor).max(1.0);
        let mean_us = self.mean_us.get_or_insert(sample_us);
        *mean_us += ANSWER_WEIGHT * (sample_us - *mean_us);
    }
}
