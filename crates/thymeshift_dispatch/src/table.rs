//! The targets of one service, at places that stay valid while requests are in flight.

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
use crate::TargetDump;
use crate::TargetIndex;
use crate::View;
use crate::cold_start::ColdIntervals;
use crate::cold_start::ColdStart;
use crate::concurrency::Concurrency;
use crate::connections::connection_share;
use crate::halls::Halls;
use crate::model::ServiceModel;
use crate::target_state::Bound;
use crate::target_state::Exploration;
use crate::target_state::Presence;
use crate::target_state::Target;
use crate::target_state::TargetParameters;
use crate::unlisted::UnlistedTargets;

/// What of the configuration beside the service itself the table depends on.
#[derive(Debug, Clone)]
pub(crate) struct FleetSettings {
    pub(crate) own_data_hall: DataHallName,
    pub(crate) one_way: Duration,
    pub(crate) detour: Duration,
    pub(crate) entry_vms_max: u64,
    pub(crate) drained_halls: Vec<DataHallName>,
}

/// Requests in flight from this process at one target while it decides alone for lack of
/// an answer: every other process may be doing the same.
const FALLBACK_IN_FLIGHT_MAX: u32 = 1;

/// Targets for each one that explores another number of requests: the answers of one target
/// tell enough within a second or two, and its share of the work bounds what exploring costs.
const TARGETS_PER_EXPLORER: usize = 8;

/// A target has room only while an answer is expected within this many times the usual.
const ROOM_FACTOR_MAX: f64 = 1.6;
/// A target of which nothing was heard for this long counts as one at its usual pace.
const ROOM_UNHEARD: Duration = Duration::from_secs(1);

/// Time between two looks at all targets' paces, and how old they may be: targets that are
/// probed tell theirs several times as often.
const USUAL_PACE_EVERY: Duration = Duration::from_millis(50);
const USUAL_PACE_AGE_MAX: Duration = Duration::from_secs(1);

/// Numbers of requests at a target whose costs are told apart.
const MARGINAL_COSTS: usize = 8;
/// What one more request costs all requests at a target, by how many it has, over the time
/// of one alone.
pub(crate) type MarginalCosts = [f64; MARGINAL_COSTS];

#[derive(Debug, Default)]
pub(crate) struct TargetTable {
    targets: Vec<Target>,
    /// Places of the current incarnations: those that are not removed. Looked through one by one,
    /// 15,000 targets took 25.6 s to be taken in and changed four times; by name, 1.3 s (built
    /// without optimisation).
    places: HashMap<TargetName, TargetIndex>,
    /// What targets have said that are not listed now.
    unlisted: UnlistedTargets,
    is_filled: bool,
    model: ServiceModel,
    concurrency: Concurrency,
    slots: u32,
    halls: Halls,
    usual_pace_at: Timestamp,
    /// The part of targets' limits that is granted here, of a fleet in which this process decides
    /// for itself, and of one for which it allocates.
    own_share: RateShare,
    fleet_share: RateShare,
}

/// How soon targets that are all in need take requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LimitedRate {
    /// Requests a second that all of them together may be granted here.
    pub(crate) per_s: f64,
    /// Time until the first of them may be granted one; none if none ever may.
    pub(crate) next_in: Option<Duration>,
}

impl TargetTable {
    pub(crate) fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// What the targets have in common.
    pub(crate) fn model(&self) -> &ServiceModel {
        &self.model
    }

    /// What bounds the requests in flight at each target.
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

    /// The part of targets' limits that may be granted.
    pub(crate) fn rate_share(&self, view: View) -> RateShare {
        match view {
            View::Own => self.own_share,
            View::Fleet => self.fleet_share,
            // Somebody who does not answer may be granting all of it.
            View::Fallback => RateShare::NONE,
        }
    }

    pub(crate) fn set_fleet_share(&mut self, share: RateShare) {
        self.fleet_share = share;
    }

    /// How soon requests are taken, if all targets that serve are in need.
    pub(crate) fn limited_rate(&self, view: View, now: Timestamp) -> Option<LimitedRate> {
        let share = self.rate_share(view);
        let mut all = LimitedRate { per_s: 0.0, next_in: None };
        for target in self.targets.iter().filter(|target| target.is_serving()) {
            all.per_s += target.rate_limit.granted_per_s(share)?;
            let next_in = target.rate_limit.next_token_in(share, now);
            all.next_in = all.next_in.into_iter().chain(next_in).min();
        }
        Some(all)
    }

    /// Most requests that one target serves well at a time.
    pub(crate) fn concurrency(&self, now: Timestamp) -> u32 {
        self.concurrency.best(self.slots, now)
    }

    /// When the first backoff ends, if all targets that serve have asked this process for one.
    pub(crate) fn all_backing_off_until(&self, now: Timestamp) -> Option<Timestamp> {
        let mut first: Option<Timestamp> = None;
        for target in self.targets.iter().filter(|target| target.is_serving()) {
            let until = target.backoff.active_until(now)?;
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// Further requests that targets would serve at nearly their usual pace.
    pub(crate) fn spare_capacity(&self, view: View, now: Timestamp) -> u32 {
        let bound = self.bound(view, now);
        let usual_us = self.model.service_us() * ROOM_FACTOR_MAX;
        let is_quick = |target: &&Target| {
            target.is_stale(ROOM_UNHEARD, now) || target.expected_us(now, &self.model) <= usual_us
        };
        let share = self.rate_share(view);
        let open =
            self.targets.iter().filter(|target| target.is_open(now, bound, share, &self.model));
        open.filter(is_quick).map(|target| target.spare_capacity(bound, now)).sum()
    }

    /// What one more request costs all requests at a target, by how many it has.
    pub(crate) fn marginal_costs(&self, view: View, now: Timestamp) -> MarginalCosts {
        let mut costs = [1.0; MARGINAL_COSTS];
        if view == View::Fleet {
            for (in_flight, cost) in costs.iter_mut().enumerate() {
                *cost = self.concurrency.marginal_cost(in_flight as u32, self.slots, now);
            }
        }
        costs
    }

    /// Takes over that number from a process that counts for the fleet.
    pub(crate) fn adopt_concurrency(&mut self, number: u32) {
        self.concurrency.adopt(number);
    }

    /// What is believed of each target.
    pub(crate) fn dump(&self, view: View, now: Timestamp) -> Vec<TargetDump> {
        let bound = self.bound(view, now);
        let share = self.rate_share(view);
        self.targets.iter().map(|target| target.dump(now, bound, share, &self.model)).collect()
    }

    /// Learns from an answer's time, for its target and for the service.
    pub(crate) fn record_latency(
        &mut self,
        grant: &Grant,
        report: Option<LoadReport>,
        now: Timestamp,
    ) {
        let taken_us = self.get_mut(grant.target).record_latency(grant, now);
        self.model.record_answer(taken_us, grant.load, grant.reported_excess);
        let Some(report) = report.filter(|report| report.queued == 0) else {
            return;
        };
        // The target may run requests that are not counted here, those of a process that
        // decides alone for example. Neither count holds the request that was answered.
        let counted = self.get(grant.target).in_flight().saturating_sub(1);
        if report.running <= counted && grant.is_usual_pace {
            self.concurrency.record(grant.in_flight, taken_us, now);
        }
    }

    /// Learns from a report that came with an answer.
    pub(crate) fn record_report(&mut self, index: TargetIndex, report: LoadReport, now: Timestamp) {
        let others = self.get_mut(index).record_report(report, now);
        self.model.record_pace(report.pace());
        self.model.record_external_load(others);
        self.learn_usual_pace(now);
    }

    /// Learns from a report that came with a probe.
    pub(crate) fn record_probe(&mut self, index: TargetIndex, report: LoadReport, now: Timestamp) {
        let others = self.get_mut(index).record_probe(report, now);
        self.model.record_pace(report.pace());
        self.model.record_external_load(others);
        self.learn_usual_pace(now);
    }

    fn learn_usual_pace(&mut self, now: Timestamp) {
        if now.since(self.usual_pace_at) < USUAL_PACE_EVERY {
            return;
        }
        self.usual_pace_at = now;
        let serving = self.targets.iter().filter(|target| target.is_serving());
        let paces = serving.filter_map(|target| target.reported_pace(USUAL_PACE_AGE_MAX, now));
        let paces = paces.collect();
        self.model.record_usual_pace(paces, now);
    }

    /// Gives the right to send to a target.
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

    /// Data halls and ways.
    pub(crate) fn halls(&self) -> &Halls {
        &self.halls
    }

    /// The number of a data hall.
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

    /// The current incarnation of `name`.
    pub(crate) fn find(&self, name: &TargetName) -> Option<TargetIndex> {
        self.places.get(name).copied()
    }

    /// Brings the table in line with the configuration.
    pub(crate) fn update(
        &mut self,
        service: &Service,
        surroundings: &FleetSettings,
        now: Timestamp,
    ) {
        let FleetSettings { own_data_hall, one_way, detour, .. } = surroundings;
        self.halls.set(own_data_hall, *one_way, *detour);
        self.remove_unlisted(service, now);
        self.own_share = RateShare::equal(surroundings.entry_vms_max);
        let mut free = self.free_places();
        self.slots = u32::try_from(service.slots_per_target).unwrap_or(u32::MAX);
        let shape = TargetParameters {
            slots: u32::try_from(service.slots_per_target).unwrap_or(u32::MAX),
            connection_share: share_for_requests(service, surroundings.entry_vms_max),
            cold_intervals: ColdIntervals::for_service(service, surroundings.entry_vms_max),
            cold_ramp: Duration::from_millis(service.cold_start_ramp_ms),
        };
        for listed in &service.targets {
            let index = self.place_of(listed, shape, &mut free, now);
            let hall = self.halls.index(&listed.data_hall);
            let is_hall_drained = surroundings.drained_halls.contains(&listed.data_hall);
            let target = self.get_mut(index);
            target.set_parameters(shape);
            target.hall = hall;
            target.set_hall_drained(is_hall_drained, now);
            target.set_listed_cold_for(listed.cold_for_ms, now);
            let is_stale = listed.incarnation < target.incarnation;
            if listed.state == TargetState::Leaving && !is_stale {
                target.presence = Presence::Leaving;
            }
        }
        self.choose_explorers();
        self.is_filled = true;
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
        self.places.retain(|name, _| listed.contains(name));
    }

    /// Places that a new target may have, the last first.
    fn free_places(&self) -> Vec<usize> {
        let is_free =
            |target: &Target| target.presence == Presence::Removed && target.in_flight() == 0;
        let places = self.targets.iter().enumerate().rev();
        places.filter(|(_, target)| is_free(target)).map(|(place, _)| place).collect()
    }

    /// One target in [`TARGETS_PER_EXPLORER`] explores more requests, and another one fewer.
    fn choose_explorers(&mut self) {
        let serving = self.targets.iter_mut().filter(|target| target.is_serving());
        for (place, target) in serving.enumerate() {
            target.exploration = match place % TARGETS_PER_EXPLORER {
                0 => Exploration::More,
                1 => Exploration::Fewer,
                _ => Exploration::Disabled,
            };
        }
    }

    /// The place of a listed target; a new incarnation or address gets a new place, so
    /// that requests in flight to the old one keep theirs.
    fn place_of(
        &mut self,
        listed: &TargetSettings,
        shape: TargetParameters,
        free: &mut Vec<usize>,
        now: Timestamp,
    ) -> TargetIndex {
        if let Some(index) = self.find(&listed.name) {
            let known = self.get_mut(index);
            let is_same =
                known.address == listed.address && known.incarnation >= listed.incarnation;
            // An earlier start never comes back, wherever it was.
            let is_earlier = listed.incarnation < known.listed_incarnation;
            if is_same || is_earlier {
                known.listed_incarnation = known.listed_incarnation.max(listed.incarnation);
                return index;
            }
            known.presence = Presence::Removed;
        }
        // Targets of the first configuration were there before this process.
        let cold_start = if self.is_filled && listed.cold_for_ms.is_none() {
            ColdStart::new(now, shape.cold_ramp, shape.cold_ramp)
        } else {
            ColdStart::warm()
        };
        let name = listed.name.clone();
        let mut target = Target::new(name, listed.address, listed.incarnation, shape, cold_start);
        self.unlisted.restore(&mut target);
        self.insert(target, free)
    }

    fn insert(&mut self, target: Target, free: &mut Vec<usize>) -> TargetIndex {
        let name = target.name.clone();
        let place = if let Some(place) = free.pop() {
            self.targets[place] = target;
            place
        } else {
            self.targets.push(target);
            self.targets.len() - 1
        };
        let index = TargetIndex::new(place);
        self.places.insert(name, index);
        index
    }

    /// Notes the incarnation that a target states of itself: it may have started anew on
    /// the same address before the configuration says so.
    pub(crate) fn record_incarnation(&mut self, index: TargetIndex, incarnation: Incarnation) {
        let target = self.get_mut(index);
        if target.presence == Presence::Serving && target.incarnation < incarnation {
            target.set_incarnation(incarnation);
        }
    }

    /// Marks a target as leaving if the mark is about its incarnation or a later one.
    /// Returns whether that is news.
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

    /// Whether one more target may be set aside.
    pub(crate) fn may_eject_another(&self, share_max_percent: u64, now: Timestamp) -> bool {
        let serving = self.targets.iter().filter(|target| target.is_serving());
        let (count, ejected) = serving.fold((0_u64, 0_u64), |(count, ejected), target| {
            (count + 1, ejected + u64::from(target.ejection().is_ejected(now)))
        });
        (ejected + 1) * 100 <= count * share_max_percent
    }
}

/// Connections for requests: the VM's share, less one that probes use.
fn share_for_requests(service: &Service, entry_vms_max: u64) -> u32 {
    let share = connection_share(service.connections_per_target, entry_vms_max);
    let is_probed = service.probe.is_some() && service.measuring_budget_us_per_s > 0;
    if is_probed { (share - 1).max(1) } else { share }
}
