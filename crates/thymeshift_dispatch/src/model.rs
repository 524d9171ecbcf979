//! What a service's targets have in common, learnt from answers.
//!
//! * The mean time of a request at an idle target. Kept for the service and not for each
//!   target: the time of a single target is a noisy figure, and the targets with lucky
//!   figures would draw all the work.
//! * The mean load that other VMs put on a target.
//! * The mean pace that reports tell of, and the usual one: that of the faster targets.
//! * How much a report is worth: the slope of the time an answer took, beyond what was
//!   expected without the report, over the load that the report told of. Fresh and honest
//!   reports have a slope near the time of one request in the queue; late, lying or
//!   meaningless ones have none, and then they do not count. No age has to be known for
//!   that, which reports do not tell anyway.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Weight of one answer in the mean time.
const SERVICE_WEIGHT: f64 = 0.02;
/// Weight of one report in the mean load of others.
const OTHERS_WEIGHT: f64 = 0.02;
/// Weight of one report in the mean pace.
const PACE_WEIGHT: f64 = 0.02;
/// The usual pace is this quantile of the targets' paces: with fewer fast targets than that, to
/// wait for one of them would leave too much of the service unused.
const USUAL_PACE_QUANTILE: f64 = 0.3;
/// Weight of one answer in the slope.
const SLOPE_WEIGHT: f64 = 0.01;
/// Assumed time before the first answer, in microseconds.
const INITIAL_US: f64 = 5_000.0;
/// Answers that the initial slope counts for: it is believed until so much was seen.
const PRIOR_VARIANCE: f64 = 0.1;
/// Initial slope, as a share of the time of one request in the queue.
const PRIOR_SHARE: f64 = 0.5;

/// Time after which slow counts as usual if nearly all targets are slow; a half of it is
/// looked back to at least.
const USUAL_PACE_WINDOW: Duration = Duration::from_secs(1);

/// The pace of the faster targets, at its best in the last moments: with few targets all of
/// them may be slow for a moment by chance.
#[derive(Debug, Clone, Default)]
struct UsualPace {
    /// The best of the half window before, and of the current one.
    before: Option<f64>,
    current: Option<f64>,
    since: Timestamp,
}

impl UsualPace {
    fn get(&self) -> f64 {
        match (self.before, self.current) {
            (Some(before), Some(current)) => before.min(current),
            (Some(pace), None) | (None, Some(pace)) => pace,
            (None, None) => 1.0,
        }
    }

    fn learn(&mut self, mut paces: Vec<f64>, now: Timestamp) {
        if paces.is_empty() {
            return;
        }
        let index = ((paces.len() - 1) as f64 * USUAL_PACE_QUANTILE) as usize;
        let (_, pace, _) = paces.select_nth_unstable_by(index, f64::total_cmp);
        if now.since(self.since) >= USUAL_PACE_WINDOW / 2 {
            self.before = self.current.take();
            self.since = now;
        }
        self.current = Some(self.current.map_or(*pace, |best| best.min(*pace)));
    }
}

/// Figures of one service at this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceModel {
    mean_us: Option<f64>,
    others: Option<f64>,
    pace: Option<f64>,
    usual_pace: UsualPace,
    load_variance: f64,
    covariance_us: f64,
}

impl ServiceModel {
    /// Mean time of a request at an idle target, in microseconds.
    pub(crate) fn service_us(&self) -> f64 {
        self.mean_us.unwrap_or(INITIAL_US)
    }

    /// Mean requests of other VMs at a target.
    pub(crate) fn external_load(&self) -> f64 {
        self.others.unwrap_or(0.0)
    }

    /// Mean pace that targets report.
    pub(crate) fn mean_pace(&self) -> f64 {
        self.pace.unwrap_or(1.0)
    }

    /// The pace of a target that is not slowed down, as long as some are not.
    pub(crate) fn usual_pace(&self) -> f64 {
        self.usual_pace.get()
    }

    /// Takes in the current paces of the targets.
    pub(crate) fn record_usual_pace(&mut self, paces: Vec<f64>, now: Timestamp) {
        self.usual_pace.learn(paces, now);
    }

    pub(crate) fn record_pace(&mut self, pace: f64) {
        let mean = self.pace.get_or_insert(pace);
        *mean += PACE_WEIGHT * (pace - *mean);
    }

    /// Time that one request told of by a report adds, in microseconds.
    pub(crate) fn reported_request_us(&self, slots: f64) -> f64 {
        let queued_us = self.service_us() / slots;
        let prior_us = queued_us * PRIOR_SHARE * PRIOR_VARIANCE;
        let slope_us = (self.covariance_us + prior_us) / (self.load_variance + PRIOR_VARIANCE);
        slope_us.clamp(0.0, queued_us)
    }

    pub(crate) fn record_external_load(&mut self, others: f64) {
        let mean = self.others.get_or_insert(others);
        *mean += OTHERS_WEIGHT * (others - *mean);
    }

    /// Learns from an answer that took `taken_us` without the way. It was expected to take
    /// `load` times as long as at an idle target, and a report told of `told` requests
    /// more than the mean.
    pub(crate) fn record_answer(&mut self, taken_us: f64, load: f64, told: f64) {
        let beyond_us = taken_us - self.service_us() * load;
        self.load_variance += SLOPE_WEIGHT * (told * told - self.load_variance);
        self.covariance_us += SLOPE_WEIGHT * (told * beyond_us - self.covariance_us);
        let sample_us = (taken_us / load).max(1.0);
        let mean_us = self.mean_us.get_or_insert(sample_us);
        *mean_us += SERVICE_WEIGHT * (sample_us - *mean_us);
    }
}
