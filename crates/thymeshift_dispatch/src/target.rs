//! One target as this VM sees it.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::Ejection as EjectionSettings;
use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::HallIndex;
use crate::LoadReport;
use crate::TargetDump;
use crate::Usability;
use crate::cold_start::ColdStart;
use crate::concurrency::Explored;
use crate::ejection::Ejection;
use crate::latency::Latency;
use crate::limit::Limit;
use crate::limit::Pressure;
use crate::model::ServiceModel;
use crate::report::OthersLoad;
use crate::slowness::Slowness;

/// Requests over which a target's load changes: the memory of a report.
const REPORT_MEMORY_REQUESTS: f64 = 2.0;
/// A pace up to this many times the usual one counts as usual.
const USUAL_PACE_FACTOR_MAX: f64 = 1.3;
/// A target that is full with requests of others gets one from here after this time.
const TRIED_BESIDE_OTHERS_EVERY: Duration = Duration::from_millis(500);
/// Smallest share of successes counted, which bounds the cost of a failing target.
const SUCCESS_SHARE_MIN: f64 = 0.02;

/// Place of a target in its service's table. Valid while the target or a request to it
/// exists.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct TargetIndex(u32);

impl TargetIndex {
    pub(crate) fn new(index: usize) -> Self {
        Self(index as u32)
    }

    pub(crate) fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// The right to send one request to one target. It must be given back with
/// [`crate::Dispatcher::release`].
#[must_use = "a grant that is not released counts as a request in flight for ever"]
#[derive(Debug, PartialEq)]
pub struct Grant {
    pub(crate) target: TargetIndex,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent_at: Timestamp,
    /// How many times as long as at an idle target the answer was expected to take.
    pub(crate) load: f64,
    /// Requests beyond the usual that a report told of.
    pub(crate) told: f64,
    /// When it was expected.
    pub(crate) expected: Duration,
    /// Time there and back, in microseconds.
    pub(crate) way_us: f64,
    /// Requests in flight there, this one included.
    pub(crate) in_flight: u32,
    /// Whether the target was not known to work slower than usual.
    pub(crate) is_usual_pace: bool,
}

impl Grant {
    /// The target chosen.
    pub fn target(&self) -> TargetIndex {
        self.target
    }

    /// The incarnation that was meant.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// When the choice was made.
    pub fn sent_at(&self) -> Timestamp {
        self.sent_at
    }
}

/// Figures of a target's service that its own state depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shape {
    pub(crate) slots: u32,
    pub(crate) connection_share: u32,
}

/// What bounds the requests in flight at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bound {
    /// The limit that this process has learnt for the target.
    Learnt,
    /// A number.
    Fixed(u32),
    /// The best number, but for targets that explore.
    Best(u32, Explored),
}

/// What a target explores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Explores {
    Nothing,
    /// One request more than the best number.
    More,
    /// One fewer.
    Fewer,
}

/// Whether the target is still in the configuration and may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    Serving,
    Leaving,
    /// No longer configured; kept only until its last request is released.
    Removed,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) presence: Presence,
    /// An operator's order says that it gets no new work for now.
    pub(crate) is_stopped: bool,
    pub(crate) hall: HallIndex,
    pub(crate) explores: Explores,
    pub(crate) shape: Shape,
    in_flight: u32,
    sent_at_sum_us: u64,
    granted_at: Timestamp,
    latency: Latency,
    others: OthersLoad,
    limit: Limit,
    ejection: Ejection,
    cold_start: ColdStart,
    slowness: Slowness,
}

impl Target {
    pub(crate) fn new(
        name: TargetName,
        address: SocketAddr,
        incarnation: Incarnation,
        shape: Shape,
        cold_start: ColdStart,
    ) -> Self {
        Self {
            name,
            address,
            incarnation,
            presence: Presence::Serving,
            is_stopped: false,
            hall: HallIndex::default(),
            explores: Explores::Nothing,
            shape,
            in_flight: 0,
            sent_at_sum_us: 0,
            granted_at: Timestamp::default(),
            latency: Latency::default(),
            others: OthersLoad::default(),
            limit: Limit::new(shape.slots, shape.connection_share),
            ejection: Ejection::default(),
            cold_start,
            slowness: Slowness::default(),
        }
    }

    pub(crate) fn set_shape(&mut self, shape: Shape) {
        self.shape = shape;
        self.limit.set_ceiling(shape.connection_share);
    }

    pub(crate) fn usability(
        &self,
        now: Timestamp,
        bound: Bound,
        model: &ServiceModel,
    ) -> Usability {
        match self.presence {
            Presence::Removed => Usability::Removed,
            Presence::Leaving => Usability::Leaving,
            Presence::Serving if self.is_stopped => Usability::Stopped,
            Presence::Serving if self.ejection.is_ejected(now) => Usability::Ejected,
            Presence::Serving if !self.has_room(bound, now) => Usability::AtLimit,
            Presence::Serving if self.is_slow_spell(now, model) => Usability::SlowSpell,
            Presence::Serving => Usability::Open,
        }
    }

    pub(crate) fn is_open(&self, now: Timestamp, bound: Bound, model: &ServiceModel) -> bool {
        self.usability(now, bound, model) == Usability::Open
    }

    fn is_slow_spell(&self, now: Timestamp, model: &ServiceModel) -> bool {
        let service = Duration::from_micros(model.service_us() as u64);
        self.others.is_slow_spell(now, model.usual_pace(), service)
    }

    /// The pace that it told within `age_max`.
    pub(crate) fn told_pace(&self, age_max: Duration, now: Timestamp) -> Option<f64> {
        self.others.told_pace(age_max, now)
    }

    fn has_room(&self, bound: Bound, now: Timestamp) -> bool {
        self.room(bound, now) > 0
    }

    /// Further requests that it may get.
    pub(crate) fn room(&self, bound: Bound, now: Timestamp) -> u32 {
        let most = match bound {
            Bound::Learnt => self.limit.value() as u32,
            Bound::Fixed(most) => most.min(self.shape.connection_share),
            Bound::Best(best, explored) => {
                let best = self.explored_or(best, explored).min(self.shape.connection_share);
                self.left_by_others(best, now)
            }
        };
        most.saturating_sub(self.in_flight)
    }

    /// What is left of `most` requests beside those that a report tells of and that are not
    /// counted here: another process may allocate too, or decide alone. One request is tried
    /// now and then, however many others there are.
    fn left_by_others(&self, most: u32, now: Timestamp) -> u32 {
        let is_tried_long_ago = now.since(self.granted_at) >= TRIED_BESIDE_OTHERS_EVERY;
        let least = u32::from(is_tried_long_ago);
        most.saturating_sub(self.others.uncounted(now)).max(least.min(most))
    }

    fn explored_or(&self, best: u32, explored: Explored) -> u32 {
        let explored = match self.explores {
            Explores::Nothing => None,
            Explores::More => explored.more,
            Explores::Fewer => explored.fewer,
        };
        explored.unwrap_or(best)
    }

    /// Whether it may be open again without a change of configuration.
    pub(crate) fn is_serving(&self) -> bool {
        self.presence == Presence::Serving && !self.is_stopped
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn latency_us(&self) -> f64 {
        self.latency.mean_us()
    }

    pub(crate) fn ejection(&self) -> &Ejection {
        &self.ejection
    }

    /// Time in which an answer is expected, in microseconds.
    ///
    /// Own requests in flight and the usual load of others fill the slots and then queue.
    /// What the last report tells beyond the usual is added for what reports have been
    /// worth. That is lengthened by how far earlier expectations were off, by the cold
    /// start, and if own requests are out longer than expected (a stall that no report
    /// tells of); and divided by the share of successes. The way is not counted.
    pub(crate) fn expected_us(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let base_us = self.base_us(now, model);
        let factor = self.slowness.factor(now) * self.cold_start.factor(now);
        let factor = factor * self.others.pace(now, model.pace());
        let stalled_us = self.overdue_us(now, base_us);
        let success_share = (1.0 - self.ejection.failure_rate(now)).max(SUCCESS_SHARE_MIN);
        (base_us * factor + stalled_us) / success_share
    }

    fn base_us(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let told_us = model.report_us(self.slots()) * self.told(now, model);
        (model.service_us() * self.load(model) + told_us).max(model.service_us())
    }

    /// How many times as long as at an idle target an answer takes by what this VM knows
    /// itself: each request that queues ahead waits for a slot.
    fn load(&self, model: &ServiceModel) -> f64 {
        let ahead = f64::from(self.in_flight) + model.others();
        1.0 + (ahead + 1.0 - self.slots()).max(0.0) / self.slots()
    }

    /// Requests beyond the usual that the last report tells of.
    fn told(&self, now: Timestamp, model: &ServiceModel) -> f64 {
        let memory_us = model.service_us() * REPORT_MEMORY_REQUESTS;
        let memory = Duration::from_micros(memory_us as u64);
        self.others.expected(now, memory, model.others()) - model.others()
    }

    fn slots(&self) -> f64 {
        f64::from(self.shape.slots)
    }

    /// How much longer than expected own requests have been out on average.
    fn overdue_us(&self, now: Timestamp, expected_us: f64) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let count = f64::from(self.in_flight);
        let now_sum_us = now.as_micros() as f64 * count;
        let age_us = (now_sum_us - self.sent_at_sum_us as f64).max(0.0) / count;
        (age_us - expected_us).max(0.0)
    }

    fn is_usual_pace(&self, now: Timestamp, model: &ServiceModel) -> bool {
        let pace = self.others.current_pace(now);
        pace.is_none_or(|pace| pace <= model.usual_pace() * USUAL_PACE_FACTOR_MAX)
    }

    pub(crate) fn grant(
        &mut self,
        index: TargetIndex,
        way_us: f64,
        now: Timestamp,
        model: &ServiceModel,
    ) -> Grant {
        let expected_us = self.base_us(now, model) + way_us;
        let grant = Grant {
            target: index,
            incarnation: self.incarnation,
            sent_at: now,
            load: self.load(model),
            told: self.told(now, model),
            expected: Duration::from_micros(expected_us as u64),
            way_us,
            in_flight: self.in_flight + 1,
            is_usual_pace: self.is_usual_pace(now, model),
        };
        self.in_flight += 1;
        self.granted_at = now;
        self.sent_at_sum_us += now.as_micros();
        grant
    }

    pub(crate) fn release(&mut self, grant: &Grant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_at_sum_us = self.sent_at_sum_us.saturating_sub(grant.sent_at.as_micros());
    }

    /// Returns the load of other VMs that the report tells of.
    pub(crate) fn learn_report(&mut self, report: LoadReport, now: Timestamp) -> f64 {
        self.others.learn(report, self.in_flight.saturating_sub(1), now)
    }

    /// Whether the last report is older than `age`, or there is none.
    pub(crate) fn is_unheard(&self, age: Duration, now: Timestamp) -> bool {
        self.others.age(now).is_none_or(|heard| heard >= age)
    }

    /// A probe's report: the probe itself is not among this VM's requests in flight.
    pub(crate) fn learn_probe(&mut self, report: LoadReport, now: Timestamp) -> f64 {
        self.others.learn(report, self.in_flight, now)
    }

    /// Learns from the time an answer took; returns that time without the way, in
    /// microseconds.
    pub(crate) fn learn_latency(&mut self, grant: &Grant, now: Timestamp) -> f64 {
        let taken = now.since(grant.sent_at);
        self.latency.learn(taken);
        let way_us = grant.way_us;
        let taken_us = (taken.as_micros() as f64 - way_us).max(1.0);
        let expected_us = grant.expected.as_micros() as f64 - way_us;
        self.slowness.learn(taken_us, expected_us, now);
        taken_us
    }

    /// Learns whether the target keeps up, from its queue or, without one, from latency.
    pub(crate) fn learn_pressure(&mut self, report: Option<LoadReport>, now: Timestamp) {
        let pressure = match report {
            Some(report) => Pressure::of_queue(report.queued, self.shape.slots),
            None => Pressure::of_latency(self.latency.mean_us(), self.latency.floor_us()),
        };
        self.apply_pressure(pressure, now);
    }

    pub(crate) fn learn_overload(&mut self, now: Timestamp) {
        self.apply_pressure(Pressure::Overloaded, now);
    }

    fn apply_pressure(&mut self, pressure: Pressure, now: Timestamp) {
        let round_trip = Duration::from_micros(self.latency.mean_us() as u64);
        self.limit.learn(pressure, self.in_flight, now, round_trip);
    }

    pub(crate) fn succeeded(&mut self, now: Timestamp) {
        self.ejection.succeeded(now);
    }

    pub(crate) fn failed(&mut self, settings: &EjectionSettings, has_room: bool, now: Timestamp) {
        self.ejection.failed(settings, has_room, now);
    }

    pub(crate) fn distrust(&mut self) {
        self.others.distrust();
    }

    /// What is believed of this target.
    pub(crate) fn dump(&self, now: Timestamp, bound: Bound, model: &ServiceModel) -> TargetDump {
        let report = self.others.last_report();
        let usability = self.usability(now, bound, model);
        let ejected_for = self.ejection.until().filter(|_| usability == Usability::Ejected);
        TargetDump {
            name: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            usability,
            in_flight: self.in_flight,
            limit: self.limit.value(),
            connection_share: self.shape.connection_share,
            latency_us: self.latency.mean_us() as u64,
            expected_us: self.expected_us(now, model) as u64,
            failure_rate: self.ejection.failure_rate(now),
            reported_running: report.map(|report| report.running),
            reported_queued: report.map(|report| report.queued),
            reported_state: report.map(|report| report.state),
            report_age_ms: self.others.age(now).map(|age| age.as_millis() as u64),
            ejected_for_ms: ejected_for.map(|until| now.until(until).as_millis() as u64),
        }
    }
}
