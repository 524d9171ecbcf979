//! What attempts and probes teach a dispatcher.

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

/// An attempt that was given up counts as the target's failure once it took this many
/// times as long as expected.
const TIMEOUT_FACTOR: u32 = 3;

/// How old what is told of a limit may be: several times as long as news takes. Older knowledge is
/// wrong more often than not, since a target in need is heard of every few seconds.
const RATE_LIMIT_TTL: Duration = Duration::from_mins(1);

impl<S: Strategy> Dispatcher<S> {
    /// Learns from an attempt, at most once for each grant. If the target said that it is
    /// leaving and that is news, returns the mark to pass on to other VMs.
    pub fn record_attempt(
        &mut self,
        grant: &Grant,
        observation: Observation,
        now: Timestamp,
    ) -> Option<LeavingMark> {
        let mark = observation.report().and_then(|report| self.record_report(grant, report, now));
        let has_room =
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
                target.record_failure(&self.ejection, has_room, now);
            }
            Observation::Broken => target.record_failure(&self.ejection, has_room, now),
            Observation::Unreachable => target.record_unreachable(&self.ejection, has_room, now),
            Observation::Shed(_) => target.record_overload(now),
            Observation::ShedWithBackoff(_) => {
                target.record_overload(now);
                target.record_backoff_refusal();
            }
            Observation::TimedOut => {
                target.record_latency(grant, now);
                target.record_overload(now);
                // A caller with little time left does not prove that the target is slow.
                if now.since(grant.sent_at) > grant.expected * TIMEOUT_FACTOR {
                    target.record_failure(&self.ejection, has_room, now);
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

    /// Learns what an answer to a granted request stated of the target's limit. Returns whether
    /// that is another limit than before.
    pub fn record_rate_limit(
        &mut self,
        grant: &Grant,
        stated: Option<RequestRate>,
        now: Timestamp,
    ) -> bool {
        let target = self.table.get_mut(grant.target);
        let is_meant = target.incarnation == grant.incarnation;
        is_meant && target.rate_limit.observe(stated, grant.sent_at, now)
    }

    /// Learns what another process knows of the limit of a granted request's target.
    pub fn merge_rate_limit(&mut self, grant: &Grant, told: &RateLimitUpdate, now: Timestamp) {
        let target = self.table.get_mut(grant.target);
        if target.incarnation == grant.incarnation {
            target.rate_limit.merge(told, now);
        }
    }

    /// What is known of the limit of a granted request's target, to be told to another process;
    /// none if the target never named one.
    pub fn rate_limit_update(&self, grant: &Grant, now: Timestamp) -> Option<RateLimitUpdate> {
        self.table.get(grant.target).rate_limit.latest_update(now)
    }

    /// What was heard of targets' limits lately, to be told to other processes.
    pub fn rate_limits(&self, now: Timestamp) -> Vec<(TargetName, Incarnation, RateLimitUpdate)> {
        let serving = self.table.targets().iter().filter(|target| target.is_serving());
        let known = serving.filter_map(|target| {
            let told =
                target.rate_limit.latest_update(now).filter(|told| told.age < RATE_LIMIT_TTL)?;
            Some((target.name.clone(), target.incarnation, told))
        });
        known.collect()
    }

    /// Learns what another process knows of a target's limit.
    pub fn merge_target_rate_limit(
        &mut self,
        name: &TargetName,
        incarnation: Incarnation,
        told: &RateLimitUpdate,
        now: Timestamp,
    ) {
        let Some(index) = self.table.find(name) else {
            return;
        };
        let target = self.table.get_mut(index);
        if target.incarnation == incarnation {
            target.rate_limit.merge(told, now);
        }
    }

    /// The target of a granted request asked this process for a backoff.
    pub fn record_backoff(&mut self, grant: &Grant, wait: Duration, now: Timestamp) {
        let target = self.table.get_mut(grant.target);
        if target.incarnation == grant.incarnation {
            target.backoff.extend(wait, now);
        }
    }

    /// A target asked this process for a backoff when it was probed.
    pub fn record_probe_backoff(&mut self, name: &TargetName, wait: Duration, now: Timestamp) {
        if let Some(index) = self.table.find(name) {
            self.table.get_mut(index).backoff.extend(wait, now);
        }
    }

    /// The target of a granted request said that it leaves. Returns the mark to pass on to other
    /// VMs, if that is news.
    pub fn mark_granted_leaving(&mut self, grant: &Grant) -> Option<LeavingMark> {
        let target = self.target_name(grant);
        let incarnation = grant.incarnation();
        let is_news = self.table.mark_leaving(&target, incarnation);
        let service = self.service.clone();
        is_news.then_some(LeavingMark { service, target, incarnation })
    }

    /// The incarnation of a target that is known to leave, if it is.
    pub fn leaving_incarnation(&self, index: TargetIndex) -> Option<Incarnation> {
        let target = self.table.get(index);
        target.is_leaving().then_some(target.incarnation)
    }

    /// Says which part of targets' limits this dispatcher may grant while it decides for the fleet.
    pub fn set_rate_share(&mut self, share: RateShare) {
        self.table.set_fleet_share(share);
    }

    /// Takes in a report that no request carried (a probe's). As [`Dispatcher::record_attempt`],
    /// returns a mark that is news.
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
                let is_news = self.table.mark_leaving(&name, incarnation);
                let service = self.service.clone();
                is_news.then_some(LeavingMark { service, target: name, incarnation })
            }
        }
    }
}
