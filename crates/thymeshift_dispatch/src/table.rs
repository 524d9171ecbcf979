//! Targets of one service, at indices that stay valid while requests are in flight.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use thymeshift_config::Service;
use thymeshift_config::Target as TargetSettings;
use thymeshift_config::TargetState;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::Grant;
use crate::HallIndex;
use crate::LoadReport;
use crate::RateShare;
use crate::Request;
use crate::TargetDump;
use crate::TargetIndex;
use crate::View;
use crate::cold_start::ColdIntervals;
use crate::cold_start::ColdStart;
use crate::concurrency::Concurrency;
use crate::connections::connection_share;
use crate::halls::Halls;
use crate::locality::HomeState;
use crate::locality::HomeStates;
use crate::model::ServiceModel;
use crate::target_state::Bound;
use crate::target_state::Exploration;
use crate::target_state::Presence;
use crate::target_state::Target;
use crate::target_state::TargetParameters;
use crate::unlisted::UnlistedTargets;

/// Settings of the whole fleet that the table depends on, beside the service itself.
#[derive(Debug, Clone)]
pub(crate) struct FleetSettings {
    pub(crate) own_data_hall: DataHallName,
    pub(crate) one_way: Duration,
    pub(crate) detour: Duration,
    pub(crate) entry_vms_max: u64,
    pub(crate) drained_halls: Vec<DataHallName>,
}

/// Largest number of requests in flight from this process at one target while no allocator answers.
/// Every other process may be in fallback at the same time.
const FALLBACK_IN_FLIGHT_MAX: u32 = 1;

/// Number of targets among which one explores a higher and another one a lower concurrency level.
/// The answers of one target suffice within a second or two,
/// and its share of the requests bounds the cost of exploring.
const TARGETS_PER_EXPLORER: usize = 8;

/// Largest expected answer time, as a multiple of the mean service time,
/// at which a target counts as having spare capacity.
const USUAL_PACE_TIME_FACTOR_MAX: f64 = 1.6;
/// Age of the last report from which on a target counts as working at its usual pace.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// Interval between two updates of the usual pace from the reported paces of all targets.
const USUAL_PACE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest age of a report that counts for the usual pace;
/// probed targets report several times as often.
const PACE_REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// Number of levels with a marginal cost of their own; the last also covers higher levels.
const MARGINAL_COST_LEVELS: usize = 8;
/// Marginal cost of one more request at a target, by the requests in flight there.
/// The unit is the answer time of a single request at an idle target.
pub(crate) type MarginalCosts = [f64; MARGINAL_COST_LEVELS];

/// Targets of one service, and the estimates that they share.
#[derive(Debug, Default)]
pub(crate) struct TargetTable {
    targets: Vec<Target>,
    /// Indices of the targets that are not removed, by name.
    /// A linear search takes 25.6 s to insert 15,000 targets and update them four times,
    /// the map 1.3 s, both in an unoptimised build.
    indices: HashMap<TargetName, TargetIndex>,
    /// Retained state of targets that are currently not listed.
    unlisted: UnlistedTargets,
    is_configured: bool,
    model: ServiceModel,
    concurrency: Concurrency,
    slots: u32,
    halls: Halls,
    usual_pace_checked_at: Timestamp,
    /// Share of the targets' rate limits in [`View::Own`], where each process decides for itself.
    own_share: RateShare,
    /// Share of the targets' rate limits in [`View::Fleet`], where this process is an allocator.
    fleet_share: RateShare,
}

/// Rate at which a service can grant requests if all serving targets state a rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LimitedRate {
    /// Requests per second that may be granted here for all targets together.
    pub(crate) per_s: f64,
    /// Time until the first target has a token, or `None` if no target ever has one.
    pub(crate) next_in: Option<Duration>,
}

impl TargetTable {
    pub(crate) fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns the estimates that the targets have in common.
    pub(crate) fn model(&self) -> &ServiceModel {
        &self.model
    }

    /// Returns the bound on the requests in flight at each target.
    pub(crate) fn bound(&self, view: View, now: Timestamp) -> Bound {
        match view {
            View::Own => Bound::Adaptive,
            View::Fleet => Bound::Best(
                self.concurrency(now),
                self.concurrency.exploration_levels(self.slots, now),
            ),
            View::Fallback => Bound::Fixed(FALLBACK_IN_FLIGHT_MAX),
        }
    }

    /// Returns the share of the targets' rate limits that may be granted here.
    pub(crate) fn rate_share(&self, view: View) -> RateShare {
        match view {
            View::Own => self.own_share,
            View::Fleet => self.fleet_share,
            // An allocator that does not answer this process may still grant the whole limit.
            View::Fallback => RateShare::NONE,
        }
    }

    pub(crate) fn set_fleet_share(&mut self, share: RateShare) {
        self.fleet_share = share;
    }

    /// Returns the granted rate if all serving targets state a rate limit, otherwise `None`.
    pub(crate) fn limited_rate(&self, view: View, now: Timestamp) -> Option<LimitedRate> {
        let share = self.rate_share(view);
        let mut total = LimitedRate { per_s: 0.0, next_in: None };
        for target in self.targets.iter().filter(|target| target.is_serving()) {
            total.per_s += target.rate_limit.granted_per_s(share)?;
            let next_in = target.rate_limit.next_token_in(share, now);
            total.next_in = total.next_in.into_iter().chain(next_in).min();
        }
        Some(total)
    }

    /// Returns the best number of concurrent requests at one target.
    pub(crate) fn concurrency(&self, now: Timestamp) -> u32 {
        self.concurrency.best(self.slots, now)
    }

    /// Returns the end of the first backoff,
    /// if all serving targets have requested one from this process.
    pub(crate) fn all_backing_off_until(&self, now: Timestamp) -> Option<Timestamp> {
        let mut first: Option<Timestamp> = None;
        for target in self.targets.iter().filter(|target| target.is_serving()) {
            let until = target.backoff.active_until(now)?;
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// Returns the number of further requests that targets would serve at nearly their usual pace.
    pub(crate) fn spare_capacity(&self, view: View, now: Timestamp) -> u32 {
        let bound = self.bound(view, now);
        let expected_us_max = self.model.service_us() * USUAL_PACE_TIME_FACTOR_MAX;
        let is_at_usual_pace = |target: &&Target| {
            target.is_stale(REPORT_AGE_MAX, now)
                || target.expected_us(now, &self.model) <= expected_us_max
        };
        let share = self.rate_share(view);
        let open =
            self.targets.iter().filter(|target| target.is_open(now, bound, share, &self.model));
        open.filter(is_at_usual_pace).map(|target| target.spare_capacity(bound, now)).sum()
    }

    /// Returns the state of the targets of each data hall for requests that wait for them.
    pub(crate) fn home_states(&self, view: View, now: Timestamp) -> HomeStates {
        let (bound, share) = (self.bound(view, now), self.rate_share(view));
        let mut states = HomeStates::new();
        for target in self.targets.iter().filter(|target| target.is_worth_waiting_for(now)) {
            let is_open = target.is_open(now, bound, share, &self.model);
            let expected_us = is_open.then(|| target.expected_us(now, &self.model));
            states.add(target.hall, target.concurrency(bound), expected_us);
        }
        states
    }

    /// Returns the state of the targets in the request's own data hall that it may be sent to.
    pub(crate) fn home_state(&self, request: &Request, view: View, now: Timestamp) -> HomeState {
        let (bound, share) = (self.bound(view, now), self.rate_share(view));
        let mut state = HomeState::NONE;
        for (index, target) in self.targets.iter().enumerate() {
            let is_home = target.hall == request.origin && target.is_worth_waiting_for(now);
            if is_home && !request.excluded.contains(TargetIndex::new(index)) {
                let is_open = target.is_open(now, bound, share, &self.model);
                let expected_us = is_open.then(|| target.expected_us(now, &self.model));
                state.add(target.concurrency(bound), expected_us);
            }
        }
        state
    }

    /// Returns the marginal cost of one more request at a target, by the requests in flight there.
    /// All costs are 1 unless this process counts the requests of the whole fleet.
    pub(crate) fn marginal_costs(&self, view: View, now: Timestamp) -> MarginalCosts {
        let mut costs = [1.0; MARGINAL_COST_LEVELS];
        if view == View::Fleet {
            for (in_flight, cost) in costs.iter_mut().enumerate() {
                *cost = self.concurrency.marginal_cost(in_flight as u32, self.slots, now);
            }
        }
        costs
    }

    /// Adopts the best number of concurrent requests at one target from an allocator.
    pub(crate) fn adopt_concurrency(&mut self, level: u32) {
        self.concurrency.adopt(level);
    }

    /// Returns the state of each target for the state dump.
    pub(crate) fn dump(&self, view: View, now: Timestamp) -> Vec<TargetDump> {
        let bound = self.bound(view, now);
        let share = self.rate_share(view);
        self.targets.iter().map(|target| target.dump(now, bound, share, &self.model)).collect()
    }

    /// Records the time of an answer, for its target and for the service.
    pub(crate) fn record_latency(
        &mut self,
        grant: &Grant,
        report: Option<LoadReport>,
        now: Timestamp,
    ) {
        let taken_us = self.get_mut(grant.target).record_latency(grant, now);
        self.model.record_answer(taken_us, grant.load_factor, grant.reported_excess);
        let Some(report) = report.filter(|report| report.queued == 0) else {
            return;
        };
        // If the target runs requests that this process does not track, such as those of a process
        // in fallback, the level is unknown. Neither count includes the answered request.
        let tracked = self.get(grant.target).in_flight().saturating_sub(1);
        if report.running <= tracked && grant.is_usual_pace {
            self.concurrency.record(grant.in_flight, taken_us, now);
        }
    }

    /// Records a load report that came with the answer to a request.
    pub(crate) fn record_report(&mut self, index: TargetIndex, report: LoadReport, now: Timestamp) {
        let others = self.get_mut(index).record_report(report, now);
        self.model.record_pace(report.pace());
        self.model.record_external_load(others);
        self.update_usual_pace(now);
    }

    /// Records a load report that came with the answer to a probe.
    pub(crate) fn record_probe(&mut self, index: TargetIndex, report: LoadReport, now: Timestamp) {
        let others = self.get_mut(index).record_probe(report, now);
        self.model.record_pace(report.pace());
        self.model.record_external_load(others);
        self.update_usual_pace(now);
    }

    fn update_usual_pace(&mut self, now: Timestamp) {
        if now.since(self.usual_pace_checked_at) < USUAL_PACE_CHECK_INTERVAL {
            return;
        }
        self.usual_pace_checked_at = now;
        let serving = self.targets.iter().filter(|target| target.is_serving());
        let paces = serving.filter_map(|target| target.reported_pace(PACE_REPORT_AGE_MAX, now));
        let paces = paces.collect();
        self.model.record_usual_pace(paces, now);
    }

    /// Grants the right to send one request to a target, and takes a token of its rate limit.
    pub(crate) fn grant(
        &mut self,
        index: TargetIndex,
        origin: HallIndex,
        view: View,
        now: Timestamp,
    ) -> Grant {
        let share = self.rate_share(view);
        let target = &mut self.targets[index.as_usize()];
        let way_us = self.halls.hall_round_trip_us(origin, target.hall);
        target.rate_limit.record_grant(share, now);
        target.grant(index, way_us, now, &self.model)
    }

    /// Returns the numbering of the data halls and the network costs between them.
    pub(crate) fn halls(&self) -> &Halls {
        &self.halls
    }

    /// Returns the index of a data hall; an unknown name gets the next free index.
    pub(crate) fn hall_index(&mut self, name: &DataHallName) -> HallIndex {
        self.halls.index(name)
    }

    pub(crate) fn get(&self, index: TargetIndex) -> &Target {
        &self.targets[index.as_usize()]
    }

    pub(crate) fn get_mut(&mut self, index: TargetIndex) -> &mut Target {
        &mut self.targets[index.as_usize()]
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.targets.iter_mut()
    }

    /// Returns the index of the current incarnation of the target called `name`.
    pub(crate) fn find(&self, name: &TargetName) -> Option<TargetIndex> {
        self.indices.get(name).copied()
    }

    /// Updates the table to the configuration.
    pub(crate) fn update(
        &mut self,
        service: &Service,
        fleet_settings: &FleetSettings,
        now: Timestamp,
    ) {
        let FleetSettings { own_data_hall, one_way, detour, .. } = fleet_settings;
        self.halls.set(own_data_hall, *one_way, *detour);
        self.remove_unlisted(service, now);
        self.own_share = RateShare::equal(fleet_settings.entry_vms_max);
        let mut free = self.free_indices();
        self.slots = u32::try_from(service.slots_per_target).unwrap_or(u32::MAX);
        let parameters = TargetParameters {
            slots: u32::try_from(service.slots_per_target).unwrap_or(u32::MAX),
            connection_share: request_connection_share(service, fleet_settings.entry_vms_max),
            cold_intervals: ColdIntervals::for_service(service, fleet_settings.entry_vms_max),
            cold_ramp: Duration::from_millis(service.cold_start_ramp_ms),
        };
        for listed in &service.targets {
            let index = self.find_or_insert(listed, parameters, &mut free, now);
            let hall = self.halls.index(&listed.data_hall);
            let is_hall_drained = fleet_settings.drained_halls.contains(&listed.data_hall);
            let target = self.get_mut(index);
            target.set_parameters(parameters);
            target.hall = hall;
            target.set_hall_drained(is_hall_drained, now);
            target.set_listed_cold_for(listed.cold_for_ms, now);
            let is_stale = listed.incarnation < target.incarnation;
            if listed.state == TargetState::Leaving && !is_stale {
                target.presence = Presence::Leaving;
            }
        }
        self.choose_explorers();
        self.is_configured = true;
    }

    fn remove_unlisted(&mut self, service: &Service, now: Timestamp) {
        self.unlisted.expire(now);
        let listed: HashSet<&TargetName> =
            service.targets.iter().map(|listed| &listed.name).collect();
        for target in &mut self.targets {
            if !listed.contains(&target.name) && target.presence != Presence::Removed {
                self.unlisted.remember(target, now);
                target.presence = Presence::Removed;
            }
        }
        self.indices.retain(|name, _| listed.contains(name));
    }

    /// Returns the indices that a new target may reuse, the highest first.
    fn free_indices(&self) -> Vec<usize> {
        let is_free =
            |target: &Target| target.presence == Presence::Removed && target.in_flight() == 0;
        let targets = self.targets.iter().enumerate().rev();
        targets.filter(|(_, target)| is_free(target)).map(|(index, _)| index).collect()
    }

    /// Selects the exploring targets: in each [`TARGETS_PER_EXPLORER`] targets,
    /// one explores one request more and another one request fewer.
    fn choose_explorers(&mut self) {
        let serving = self.targets.iter_mut().filter(|target| target.is_serving());
        for (position, target) in serving.enumerate() {
            target.exploration = match position % TARGETS_PER_EXPLORER {
                0 => Exploration::More,
                1 => Exploration::Fewer,
                _ => Exploration::Disabled,
            };
        }
    }

    /// Returns the index of a listed target. A new incarnation or address gets a new index, so
    /// that requests in flight to the old one keep theirs.
    fn find_or_insert(
        &mut self,
        listed: &TargetSettings,
        parameters: TargetParameters,
        free: &mut Vec<usize>,
        now: Timestamp,
    ) -> TargetIndex {
        if let Some(index) = self.find(&listed.name) {
            let known = self.get_mut(index);
            let is_same =
                known.address == listed.address && known.incarnation >= listed.incarnation;
            // A list entry for an earlier incarnation is outdated, whatever its address is.
            let is_earlier = listed.incarnation < known.listed_incarnation;
            if is_same || is_earlier {
                known.listed_incarnation = known.listed_incarnation.max(listed.incarnation);
                return index;
            }
            known.presence = Presence::Removed;
        }
        // Targets in the first configuration ran before this process started, so they are warm.
        let cold_start = if self.is_configured && listed.cold_for_ms.is_none() {
            ColdStart::new(now, parameters.cold_ramp, parameters.cold_ramp)
        } else {
            ColdStart::warm()
        };
        let name = listed.name.clone();
        let mut target =
            Target::new(name, listed.address, listed.incarnation, parameters, cold_start);
        self.unlisted.restore(&mut target);
        self.insert(target, free)
    }

    fn insert(&mut self, target: Target, free: &mut Vec<usize>) -> TargetIndex {
        let name = target.name.clone();
        let index = if let Some(index) = free.pop() {
            self.targets[index] = target;
            index
        } else {
            self.targets.push(target);
            self.targets.len() - 1
        };
        let index = TargetIndex::new(index);
        self.indices.insert(name, index);
        index
    }

    /// Records the incarnation that a target states itself: the target may have restarted on the
    /// same address before the configuration lists the new incarnation.
    pub(crate) fn record_incarnation(&mut self, index: TargetIndex, incarnation: Incarnation) {
        let target = self.get_mut(index);
        if target.presence == Presence::Serving && target.incarnation < incarnation {
            target.set_incarnation(incarnation);
        }
    }

    /// Marks a target as leaving if the mark is for its incarnation or a later one.
    /// Returns whether the mark is new here.
    pub(crate) fn mark_leaving(&mut self, name: &TargetName, incarnation: Incarnation) -> bool {
        let Some(index) = self.find(name) else {
            return false;
        };
        let target = self.get_mut(index);
        if target.presence != Presence::Serving || target.incarnation > incarnation {
            return false;
        }
        target.presence = Presence::Leaving;
        true
    }

    /// Whether one more target may be ejected without exceeding the panic threshold.
    pub(crate) fn may_eject_another(&self, share_max_percent: u64, now: Timestamp) -> bool {
        let serving = self.targets.iter().filter(|target| target.is_serving());
        let (count, ejected) = serving.fold((0_u64, 0_u64), |(count, ejected), target| {
            (count + 1, ejected + u64::from(target.ejection().is_ejected(now)))
        });
        (ejected + 1) * 100 <= count * share_max_percent
    }
}

/// Returns the connections for requests to one target: the VM's share, less one for probes.
fn request_connection_share(service: &Service, entry_vms_max: u64) -> u32 {
    let share = connection_share(service.connections_per_target, entry_vms_max);
    let is_probed = service.probe.is_some() && service.measuring_budget_us_per_s > 0;
    if is_probed { (share - 1).max(1) } else { share }
}
