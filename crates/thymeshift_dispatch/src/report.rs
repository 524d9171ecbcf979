//! What a target says of itself, and how far that may be believed.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Incarnation;
use thymeshift_types::Timestamp;

/// What a target says about taking new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedState {
    /// It takes new work.
    #[display("serving")]
    Serving,
    /// It is leaving and takes no new work.
    #[display("draining")]
    Draining,
}

/// A load report, as carried on an answer or returned by a probe. Counts are requests,
/// from all VMs together, without the one that carries the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting inside the target.
    pub queued: u32,
    /// The target's incarnation, if it states one.
    pub incarnation: Option<Incarnation>,
    /// Whether it takes new work.
    pub state: ReportedState,
    /// How long work takes there now, in percent of the usual.
    pub pace_percent: u32,
    /// For how much longer it is cold, in milliseconds, 0 if it is warm; none if it does not tell.
    pub cold_for_ms: Option<u32>,
}

/// The pace of a target that says nothing about it.
pub const USUAL_PACE_PERCENT: u32 = 100;

impl LoadReport {
    /// How many times as long as usual work takes.
    pub fn pace(&self) -> f64 {
        f64::from(self.pace_percent) / f64::from(USUAL_PACE_PERCENT)
    }

    /// Requests running and waiting.
    pub fn occupancy(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// Time after which a reported pace says nothing any more: neighbours on the same machine
/// come and go many times a second.
const PACE_MEMORY: Duration = Duration::from_millis(150);
/// Time for which requests that are not counted here are believed to be at a target: several
/// times as long as a target is left without a probe.
const UNCOUNTED_MEMORY: Duration = Duration::from_millis(200);
/// Smallest pace counted.
const PACE_MIN: f64 = 0.25;
/// Weight of a new report in the long-run mean of others' load.
const MEAN_WEIGHT: f64 = 0.1;

/// The load that other VMs put on a target, estimated from reports.
///
/// A report is exact only when it was made. With age the estimate moves from the report
/// towards the long-run mean, at the pace at which a target's load changes: the time of
/// a few requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExternalLoad {
    mean: f64,
    last: Option<Received>,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    report: LoadReport,
    others: f64,
    at: Timestamp,
}

impl ExternalLoad {
    /// Takes in a report; `own` is this VM's requests in flight there, the reporting one
    /// not counted. Returns the load of the others.
    pub(crate) fn record(&mut self, report: LoadReport, own: u32, at: Timestamp) -> f64 {
        let others = f64::from(report.occupancy().saturating_sub(own));
        self.mean = match self.last {
            Some(_) => self.mean + MEAN_WEIGHT * (others - self.mean),
            None => others,
        };
        self.last = Some(Received { report, others, at });
        others
    }

    /// Expected requests of other VMs now, `usual` if nothing was reported; `memory` is the
    /// time over which the load of the target changes.
    pub(crate) fn expected(&self, now: Timestamp, memory: Duration, usual: f64) -> f64 {
        let Some(last) = self.last else {
            return usual;
        };
        let age = now.since(last.at).as_secs_f64();
        let memory = memory.as_secs_f64().max(f64::EPSILON);
        // A rational fade instead of an exponential: cheaper, and the tail matters little.
        let faith = memory / (memory + age);
        self.mean + (last.others - self.mean) * faith
    }

    /// Requests at the target that are not counted here, as the last report told.
    pub(crate) fn untracked_requests(&self, now: Timestamp) -> u32 {
        let last = self.last.filter(|last| now.since(last.at) <= UNCOUNTED_MEMORY);
        last.map_or(0, |last| last.others as u32)
    }

    /// Forgets reports that are older than the process's own pause.
    pub(crate) fn discard(&mut self) {
        self.last = None;
        self.mean = 0.0;
    }

    /// How many times as long as usual work takes there now, as the last report told; with
    /// the report's age this moves to `mean`, the pace of all targets.
    pub(crate) fn pace(&self, now: Timestamp, mean: f64) -> f64 {
        let Some(last) = self.last else {
            return mean;
        };
        let age = now.since(last.at).as_secs_f64();
        let faith = (1.0 - age / PACE_MEMORY.as_secs_f64()).max(0.0);
        (mean + (last.report.pace() - mean) * faith).max(PACE_MIN)
    }

    /// Whether work ends sooner if it waits until the reported slow spell is over than if it
    /// starts now. Work keeps the pace at which it starts, and takes `service` at the pace
    /// `usual` of all targets.
    pub(crate) fn is_slow_spell(&self, now: Timestamp, usual: f64, service: Duration) -> bool {
        let Some(last) = self.last else {
            return false;
        };
        let spell_left = PACE_MEMORY.saturating_sub(now.since(last.at));
        let longer = service.mul_f64((last.report.pace() - usual).max(0.0));
        !spell_left.is_zero() && longer > spell_left
    }

    /// The pace that the last report told, if it is not older than `age_max`.
    pub(crate) fn reported_pace(&self, age_max: Duration, now: Timestamp) -> Option<f64> {
        let last = self.last.filter(|last| now.since(last.at) <= age_max)?;
        Some(last.report.pace())
    }

    /// The pace that a request meets which is sent now, as far as a report says that.
    pub(crate) fn current_pace(&self, now: Timestamp) -> Option<f64> {
        self.reported_pace(PACE_MEMORY, now)
    }

    pub(crate) fn last_report(&self) -> Option<LoadReport> {
        self.last.map(|last| last.report)
    }

    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.last.map(|last| now.since(last.at))
    }
}
