//! Load reports of targets, and how their weight decreases with age.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Incarnation;
use thymeshift_types::Timestamp;

/// Whether a target accepts new work, as it reports itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedState {
    /// The target accepts new work.
    #[display("serving")]
    Serving,
    /// The target is leaving and accepts no new work.
    #[display("draining")]
    Draining,
}

/// Load report on an answer or on a probe's answer.
/// Request counts are those of all VMs together,
/// without the request whose answer carries the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the target runs.
    pub running: u32,
    /// Number of requests that wait inside the target.
    pub queued: u32,
    /// Incarnation of the target, if it states one.
    pub incarnation: Option<Incarnation>,
    /// Whether the target accepts new work.
    pub state: ReportedState,
    /// Current duration of work at the target, in percent of its usual duration.
    pub pace_percent: u32,
    /// Remaining cold time in milliseconds, 0 if the target is warm, `None` if it states nothing.
    pub cold_for_ms: Option<u32>,
}

/// Pace, in percent, of a target that reports no pace.
pub const USUAL_PACE_PERCENT: u32 = 100;

impl LoadReport {
    /// Returns the duration of work as a multiple of its usual duration.
    pub fn pace(&self) -> f64 {
        f64::from(self.pace_percent) / f64::from(USUAL_PACE_PERCENT)
    }

    /// Returns the number of requests that run or wait at the target.
    pub fn occupancy(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// Time after which a reported pace is ignored:
/// noisy neighbours on the same machine come and go many times per second.
const PACE_REPORT_TTL: Duration = Duration::from_millis(150);
/// Time for which a report's requests from other processes count as still at the target, several
/// times the interval between two probes of a target.
const UNTRACKED_REQUESTS_TTL: Duration = Duration::from_millis(200);
/// Lower bound of a pace in the expected time.
const PACE_MIN: f64 = 0.25;
/// Weight of a new report in the long-run mean of the load from other VMs.
const EXTERNAL_LOAD_WEIGHT: f64 = 0.1;

/// Load that other VMs put on a target, estimated from its reports.
///
/// A report is exact only when it is made. With the age of the report, the estimate decays towards
/// the long-run mean, over the time in which a target's load changes: that of a few requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExternalLoad {
    mean: f64,
    last: Option<ReceivedReport>,
}

/// Load report with the time of its arrival.
#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    report: LoadReport,
    /// Requests of other VMs at the target when the report was made.
    external_load: f64,
    received_at: Timestamp,
}

impl ExternalLoad {
    /// Records a report and returns the load of other VMs in it.
    /// `own_in_flight` is the number of this VM's requests in flight at the target,
    /// without the one whose answer carries the report.
    pub(crate) fn record(
        &mut self,
        report: LoadReport,
        own_in_flight: u32,
        received_at: Timestamp,
    ) -> f64 {
        let external_load = f64::from(report.occupancy().saturating_sub(own_in_flight));
        self.mean = match self.last {
            Some(_) => self.mean + EXTERNAL_LOAD_WEIGHT * (external_load - self.mean),
            None => external_load,
        };
        self.last = Some(ReceivedReport { report, external_load, received_at });
        external_load
    }

    /// Returns the expected number of other VMs' requests at the target, or `mean_load` without a
    /// report. `decay_time` is the time in which the target's load changes.
    pub(crate) fn expected(&self, now: Timestamp, decay_time: Duration, mean_load: f64) -> f64 {
        let Some(last) = self.last else {
            return mean_load;
        };
        let age = now.since(last.received_at).as_secs_f64();
        let decay_time = decay_time.as_secs_f64().max(f64::EPSILON);
        // A rational decay is cheaper than an exponential one, and the tail matters little.
        let confidence = decay_time / (decay_time + age);
        self.mean + (last.external_load - self.mean) * confidence
    }

    /// Returns the number of requests from other processes in the last report,
    /// 0 once the report is older than [`UNTRACKED_REQUESTS_TTL`].
    pub(crate) fn untracked_requests(&self, now: Timestamp) -> u32 {
        let last = self.last.filter(|last| now.since(last.received_at) <= UNTRACKED_REQUESTS_TTL);
        last.map_or(0, |last| last.external_load as u32)
    }

    /// Discards all reports, because the process was paused and they date from before the pause.
    pub(crate) fn discard(&mut self) {
        self.last = None;
        self.mean = 0.0;
    }

    /// Returns the current duration of work at the target as a multiple of its usual duration.
    /// With the age of the last report, the value moves to `mean_pace`, the mean over all targets.
    pub(crate) fn pace(&self, now: Timestamp, mean_pace: f64) -> f64 {
        let Some(last) = self.last else {
            return mean_pace;
        };
        let age = now.since(last.received_at).as_secs_f64();
        let confidence = (1.0 - age / PACE_REPORT_TTL.as_secs_f64()).max(0.0);
        (mean_pace + (last.report.pace() - mean_pace) * confidence).max(PACE_MIN)
    }

    /// Whether work that waits for the end of the reported slow spell ends sooner than work that
    /// starts now. Work keeps the pace at which it starts, and takes `service` at `usual_pace`.
    pub(crate) fn is_slow_spell(&self, now: Timestamp, usual_pace: f64, service: Duration) -> bool {
        let Some(last) = self.last else {
            return false;
        };
        let spell_remaining = PACE_REPORT_TTL.saturating_sub(now.since(last.received_at));
        let extra_time = service.mul_f64((last.report.pace() - usual_pace).max(0.0));
        !spell_remaining.is_zero() && extra_time > spell_remaining
    }

    /// Returns the pace in the last report, if the report is not older than `age_max`.
    pub(crate) fn reported_pace(&self, age_max: Duration, now: Timestamp) -> Option<f64> {
        let last = self.last.filter(|last| now.since(last.received_at) <= age_max)?;
        Some(last.report.pace())
    }

    /// Returns the pace for a request that is sent now, if a recent report states one.
    pub(crate) fn current_pace(&self, now: Timestamp) -> Option<f64> {
        self.reported_pace(PACE_REPORT_TTL, now)
    }

    /// Returns the last load report of the target, if any.
    pub(crate) fn last_report(&self) -> Option<LoadReport> {
        self.last.map(|last| last.report)
    }

    /// Returns the age of the last load report, or `None` without a report.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.last.map(|last| now.since(last.received_at))
    }
}
