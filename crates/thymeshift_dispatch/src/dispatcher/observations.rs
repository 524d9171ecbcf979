//! Results of attempts and probes, as a dispatcher records them.

use std::time::Duration;

use thymeshift_config::RequestRate;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::Dispatcher;
use crate::Grant;
use crate::LoadReport;
use crate::Observation;
use crate::RateLimitUpdate;
use crate::RateShare;
use crate::ReportedState;
use crate::Strategy;
use crate::TargetIndex;

/// Factor on the expected time from which on a timed-out attempt counts as a failure of the target.
const TIMEOUT_FACTOR: u32 = 3;

/// Largest age of a rate limit that is sent to other processes, several times the propagation time.
/// An older limit is usually wrong,
/// because a rate-limited target states its limit every few seconds.
const RATE_LIMIT_TTL: Duration = Duration::from_mins(1);

impl<S: Strategy> Dispatcher<S> {
    /// Records the result of an attempt, at most once for each grant.
    /// Returns the leaving mark to forward to other VMs,
    /// if the target reported that it is leaving and the mark is new here.
    pub fn record_attempt(
        &mut self,
        grant: &Grant,
        observation: Observation,
        now: Timestamp,
    ) -> Option<LeavingMark> {
        let mark = observation.report().and_then(|report| self.record_report(grant, report, now));
        let may_eject =
            self.can_overflow || self.table.may_eject_another(self.ejection.share_max_percent, now);
        if let Observation::Answered(report) = observation {
            self.table.record_latency(grant, report, now);
        }
        let target = self.table.get_mut(grant.target);
        match observation {
            Observation::Answered(report) => {
                target.update_limit(report, now);
                target.record_success(now);
            }
            Observation::Failed(_) => {
                target.record_answer();
                target.record_failure(&self.ejection, may_eject, now);
            }
            Observation::Broken => target.record_failure(&self.ejection, may_eject, now),
            Observation::Unreachable => target.record_unreachable(&self.ejection, may_eject, now),
            Observation::Shed(_) => target.record_overload(now),
            Observation::ShedWithBackoff(_) => {
                target.record_overload(now);
                target.record_backoff_refusal();
            }
            Observation::TimedOut => {
                target.record_latency(grant, now);
                target.record_overload(now);
                // A caller with little time left may time out although the target is not slow.
                if now.since(grant.sent_at) > grant.expected * TIMEOUT_FACTOR {
                    target.record_failure(&self.ejection, may_eject, now);
                }
            }
        }
        mark
    }

    fn record_report(
        &mut self,
        grant: &Grant,
        report: LoadReport,
        now: Timestamp,
    ) -> Option<LeavingMark> {
        self.table.record_report(grant.target, report, now);
        self.record_state(grant.target, report)
    }

    /// Records the rate limit, or its absence, in the answer to a granted request.
    /// Returns whether the limit changed.
    pub fn record_rate_limit(
        &mut self,
        grant: &Grant,
        stated: Option<RequestRate>,
        now: Timestamp,
    ) -> bool {
        let target = self.table.get_mut(grant.target);
        let is_same_incarnation = target.incarnation == grant.incarnation;
        is_same_incarnation && target.rate_limit.observe(stated, grant.sent_at, now)
    }

    /// Merges the rate limit of a granted request's target that another process sent.
    pub fn merge_rate_limit(&mut self, grant: &Grant, update: &RateLimitUpdate, now: Timestamp) {
        let target = self.table.get_mut(grant.target);
        if target.incarnation == grant.incarnation {
            target.rate_limit.merge(update, now);
        }
    }

    /// Returns the rate limit of a granted request's target to send to another process,
    /// or `None` if the target never stated one.
    pub fn rate_limit_update(&self, grant: &Grant, now: Timestamp) -> Option<RateLimitUpdate> {
        self.table.get(grant.target).rate_limit.latest_update(now)
    }

    /// Returns the recent rate limits of all serving targets, to send to other processes.
    pub fn rate_limits(&self, now: Timestamp) -> Vec<(TargetName, Incarnation, RateLimitUpdate)> {
        let serving = self.table.targets().iter().filter(|target| target.is_serving());
        let known = serving.filter_map(|target| {
            let update = target
                .rate_limit
                .latest_update(now)
                .filter(|update| update.age < RATE_LIMIT_TTL)?;
            Some((target.name.clone(), target.incarnation, update))
        });
        known.collect()
    }

    /// Merges the rate limit of a target that another process sent.
    pub fn merge_target_rate_limit(
        &mut self,
        name: &TargetName,
        incarnation: Incarnation,
        update: &RateLimitUpdate,
        now: Timestamp,
    ) {
        let Some(index) = self.table.find(name) else {
            return;
        };
        let target = self.table.get_mut(index);
        if target.incarnation == incarnation {
            target.rate_limit.merge(update, now);
        }
    }

    /// Records that the target of a granted request requested a backoff from this process.
    pub fn record_backoff(&mut self, grant: &Grant, wait: Duration, now: Timestamp) {
        let target = self.table.get_mut(grant.target);
        if target.incarnation == grant.incarnation {
            target.backoff.extend(wait, now);
        }
    }

    /// Records that a target requested a backoff from this process in the answer to a probe.
    pub fn record_probe_backoff(&mut self, name: &TargetName, wait: Duration, now: Timestamp) {
        if let Some(index) = self.table.find(name) {
            self.table.get_mut(index).backoff.extend(wait, now);
        }
    }

    /// Marks the target of a granted request as leaving, as the target stated.
    /// Returns the mark to forward to other VMs, if the mark is new here.
    pub fn mark_granted_leaving(&mut self, grant: &Grant) -> Option<LeavingMark> {
        let target = self.target_name(grant);
        let incarnation = grant.incarnation();
        let is_new = self.table.mark_leaving(&target, incarnation);
        let service = self.service.clone();
        is_new.then_some(LeavingMark { service, target, incarnation })
    }

    /// Returns the incarnation of a target that is leaving, or `None` if the target is not.
    pub fn leaving_incarnation(&self, index: TargetIndex) -> Option<Incarnation> {
        let target = self.table.get(index);
        target.is_leaving().then_some(target.incarnation)
    }

    /// Sets the share of the targets' rate limits
    /// that this dispatcher may grant while it decides for the fleet.
    pub fn set_rate_share(&mut self, share: RateShare) {
        self.table.set_fleet_share(share);
    }

    /// Records the load report in the answer to a probe.
    /// Returns a new leaving mark, as [`Dispatcher::record_attempt`] does.
    pub fn record_probe(
        &mut self,
        name: &TargetName,
        report: LoadReport,
        now: Timestamp,
    ) -> Option<LeavingMark> {
        let index = self.table.find(name)?;
        self.table.record_probe(index, report, now);
        self.record_state(index, report)
    }

    fn record_state(&mut self, index: TargetIndex, report: LoadReport) -> Option<LeavingMark> {
        let name = self.table.get(index).name.clone();
        let incarnation = report.incarnation.unwrap_or(self.table.get(index).incarnation);
        match report.state {
            ReportedState::Serving => {
                self.table.record_incarnation(index, incarnation);
                None
            }
            ReportedState::Draining => {
                let is_new = self.table.mark_leaving(&name, incarnation);
                let service = self.service.clone();
                is_new.then_some(LeavingMark { service, target: name, incarnation })
            }
        }
    }
}
