//! Selection of the targets to probe.

use std::net::SocketAddr;
use std::time::Duration;

use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::Candidate;
use crate::Candidates;
use crate::Dispatcher;
use crate::Request;
use crate::Strategy;
use crate::strategy::Reach;
use crate::target_state::Target;

impl<S: Strategy> Dispatcher<S> {
    /// Returns the names and addresses of the targets that may be probed.
    pub fn probe_targets(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (TargetName, SocketAddr)> + '_ {
        let targets = self.table.targets().iter();
        let probed = targets.filter(move |target| target.may_be_probed(now));
        probed.map(|target| (target.name.clone(), target.address))
    }

    /// Returns up to `count` of the targets that `request` would most likely be sent to, without
    /// those that have reported within `age`. Returns none if the most likely target has reported.
    pub fn likely_stale_targets(
        &self,
        request: &Request,
        age: Duration,
        count: usize,
        now: Timestamp,
    ) -> Vec<(TargetName, SocketAddr)> {
        let reach = if self.waits_at_home(request, now) { Reach::Home } else { Reach::Anywhere };
        let tried = &request.tried;
        let candidates = Candidates::new(&self.table, self.view, now, tried, request, reach);
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
        let stale = best.into_iter().filter(|(_, candidate)| is_stale(candidate));
        stale
            .map(|(_, candidate)| (candidate.target.name.clone(), candidate.target.address))
            .collect()
    }

    /// Returns the names and addresses of the targets that may be probed and have not reported for
    /// `age`: up to `count`, those with the smallest expected answer time.
    pub fn stale_targets(
        &self,
        age: Duration,
        count: usize,
        now: Timestamp,
    ) -> Vec<(TargetName, SocketAddr)> {
        let is_stale = |target: &&Target| target.may_be_probed(now) && target.is_stale(age, now);
        let stale = self.table.targets().iter().filter(is_stale);
        let model = self.table.model();
        let mut stale: Vec<(f64, &Target)> =
            stale.map(|target| (target.expected_us(now, model), target)).collect();
        keep_least(&mut stale, count);
        stale.into_iter().map(|(_, target)| (target.name.clone(), target.address)).collect()
    }
}

/// Keeps the `count` entries with the lowest cost, in any order.
fn keep_least<T>(entries: &mut Vec<(f64, T)>, count: usize) {
    if count < entries.len() {
        entries.select_nth_unstable_by(count, |(one, _), (other, _)| one.total_cmp(other));
        entries.truncate(count);
    }
}
