//! Which targets are worth a probe.

use std::net::SocketAddr;
use std::time::Duration;

use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::Candidate;
use crate::Candidates;
use crate::Dispatcher;
use crate::Request;
use crate::Strategy;
use crate::target_state::Target;

impl<S: Strategy> Dispatcher<S> {
    /// Names and addresses of the targets that may be probed.
    pub fn probe_targets(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (TargetName, SocketAddr)> + '_ {
        let targets = self.table.targets().iter();
        let probed = targets.filter(move |target| target.may_be_probed(now));
        probed.map(|target| (target.name.clone(), target.address))
    }

    /// The targets that a request would most likely be sent to, and of which nothing was heard for
    /// `age`: up to `count`, and none if the first of them was heard of.
    pub fn likely_stale_targets(
        &self,
        request: &Request,
        age: Duration,
        count: usize,
        now: Timestamp,
    ) -> Vec<(TargetName, SocketAddr)> {
        let candidates = Candidates::new(&self.table, self.view, now, &request.tried, request);
        let mut best: Vec<(f64, Candidate<'_>)> = candidates
            .iter()
            .map(|candidate| (candidates.expected_us(&candidate), candidate))
            .collect();
        keep_least(&mut best, count);
        best.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let is_stale = |candidate: &Candidate<'_>| {
            candidate.target.may_be_probed(now) && candidate.target.is_stale(age, now)
        };
        if !best.first().is_some_and(|(_, first)| is_stale(first)) {
            return Vec::new();
        }
        let unheard = best.into_iter().filter(|(_, candidate)| is_stale(candidate));
        unheard
            .map(|(_, candidate)| (candidate.target.name.clone(), candidate.target.address))
            .collect()
    }

    /// Names and addresses of the targets that may be probed and of which nothing was heard
    /// for `age`: up to `count`, those from which answers are expected soonest.
    pub fn stale_targets(
        &self,
        age: Duration,
        count: usize,
        now: Timestamp,
    ) -> Vec<(TargetName, SocketAddr)> {
        let is_stale = |target: &&Target| target.may_be_probed(now) && target.is_stale(age, now);
        let unheard = self.table.targets().iter().filter(is_stale);
        let model = self.table.model();
        let mut unheard: Vec<(f64, &Target)> =
            unheard.map(|target| (target.expected_us(now, model), target)).collect();
        keep_least(&mut unheard, count);
        unheard.into_iter().map(|(_, target)| (target.name.clone(), target.address)).collect()
    }
}

/// Keeps the `count` entries with the least cost, in any order.
fn keep_least<T>(entries: &mut Vec<(f64, T)>, count: usize) {
    if count < entries.len() {
        entries.select_nth_unstable_by(count, |(one, _), (other, _)| one.total_cmp(other));
        entries.truncate(count);
    }
}
