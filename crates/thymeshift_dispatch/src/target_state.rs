//! One target as this VM sees it: what is configured, what runs there, what was learnt.

mod capacity;
mod expectation;

use std::net::SocketAddr;
use std::time::Duration;

use thymeshift_config::Ejection as EjectionSettings;
use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::HallIndex;
use crate::LoadReport;
use crate::RateShare;
use crate::TargetDump;
use crate::Usability;
use crate::adaptive_limit::AdaptiveLimit;
use crate::adaptive_limit::Pressure;
use crate::backoff::Backoff;
use crate::backoff::RefusalStreak;
use crate::cold_start::ColdIntervals;
use crate::cold_start::ColdStart;
use crate::ejection::Ejection;
use crate::grant::Grant;
use crate::grant::TargetIndex;
use crate::latency::Latency;
use crate::model::ServiceModel;
use crate::rate_limit::RateLimit;
use crate::report::ExternalLoad;
use crate::slowness::Slowness;
pub(crate) use crate::target_state::capacity::Bound;
pub(crate) use crate::target_state::capacity::Exploration;

/// Figures of a target's service that its own state depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetParameters {
    pub(crate) slots: u32,
    pub(crate) connection_share: u32,
    /// None if a cold target gets as many requests as a warm one.
    pub(crate) cold_intervals: Option<ColdIntervals>,
    /// How long a target is taken to be cold that does not tell.
    pub(crate) cold_ramp: Duration,
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
    /// The same as it is listed; the target may have stated a later one since.
    pub(crate) listed_incarnation: Incarnation,
    pub(crate) presence: Presence,
    /// An operator's order says that it gets no new work for now.
    pub(crate) is_stopped: bool,
    /// Its data hall is drained: it gets no new work until the hall is taken back.
    is_hall_drained: bool,
    /// For how long it was last listed to be cold, in milliseconds.
    listed_cold_for_ms: Option<u64>,
    pub(crate) hall: HallIndex,
    pub(crate) exploration: Exploration,
    pub(crate) parameters: TargetParameters,
    in_flight: u32,
    sent_at_sum_us: u64,
    granted_at: Timestamp,
    latency: Latency,
    external_load: ExternalLoad,
    limit: AdaptiveLimit,
    ejection: Ejection,
    cold_start: ColdStart,
    slowness: Slowness,
    pub(crate) rate_limit: RateLimit,
    /// What it asked of this process.
    pub(crate) backoff: Backoff,
    refusals: RefusalStreak,
}

impl Target {
    pub(crate) fn new(
        name: TargetName,
        address: SocketAddr,
        incarnation: Incarnation,
        shape: TargetParameters,
        cold_start: ColdStart,
    ) -> Self {
        Self {
            name,
            address,
            incarnation,
            listed_incarnation: incarnation,
            presence: Presence::Serving,
            is_stopped: false,
            is_hall_drained: false,
            listed_cold_for_ms: None,
            hall: HallIndex::default(),
            exploration: Exploration::Disabled,
            parameters: shape,
            in_flight: 0,
            sent_at_sum_us: 0,
            granted_at: Timestamp::default(),
            latency: Latency::default(),
            external_load: ExternalLoad::default(),
            limit: AdaptiveLimit::new(shape.slots, shape.connection_share),
            ejection: Ejection::default(),
            cold_start,
            slowness: Slowness::default(),
            rate_limit: RateLimit::default(),
            backoff: Backoff::default(),
            refusals: RefusalStreak::default(),
        }
    }

    /// What was learnt of an earlier incarnation does not hold for this one.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.rate_limit = RateLimit::default();
        self.backoff = Backoff::default();
        self.refusals = RefusalStreak::default();
    }

    pub(crate) fn set_parameters(&mut self, shape: TargetParameters) {
        self.parameters = shape;
        self.limit.set_ceiling(shape.connection_share);
    }

    /// The pace that it told within `age_max`.
    pub(crate) fn reported_pace(&self, age_max: Duration, now: Timestamp) -> Option<f64> {
        self.external_load.reported_pace(age_max, now)
    }

    /// Whether it may be open again without a change of configuration.
    pub(crate) fn is_serving(&self) -> bool {
        self.presence == Presence::Serving && !self.is_stopped && !self.is_hall_drained
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.presence == Presence::Leaving
    }

    /// Its data hall is drained, or is not. A hall that is taken back may have become cold
    /// meanwhile: its targets count as cold until they tell otherwise.
    pub(crate) fn set_hall_drained(&mut self, is_drained: bool, now: Timestamp) {
        if self.is_hall_drained && !is_drained {
            let ramp = self.parameters.cold_ramp;
            self.cold_start.set_remaining(ramp, ramp, now);
        }
        self.is_hall_drained = is_drained;
    }

    /// It is listed to be cold for so long; the same listing again is no news.
    pub(crate) fn set_listed_cold_for(&mut self, cold_for_ms: Option<u64>, now: Timestamp) {
        if self.listed_cold_for_ms == cold_for_ms {
            return;
        }
        self.listed_cold_for_ms = cold_for_ms;
        if let Some(cold_for_ms) = cold_for_ms.filter(|cold_for_ms| *cold_for_ms > 0) {
            self.cold_start.set_remaining(
                Duration::from_millis(cold_for_ms),
                self.parameters.cold_ramp,
                now,
            );
        }
    }

    /// Whether it has named a limit of requests a second, and has not ended it.
    pub(crate) fn is_rate_limited(&self) -> bool {
        self.rate_limit.rate().is_some()
    }

    /// Whether a probe may ask for its load: to one in need, or that asked for a backoff, a probe
    /// may be a request like others.
    pub(crate) fn may_be_probed(&self, now: Timestamp) -> bool {
        self.is_serving() && !self.is_rate_limited() && !self.backoff.is_active(now)
    }

    /// Whether a request that was granted may be sent.
    pub(crate) fn may_receive(&self, now: Timestamp) -> bool {
        self.is_serving() && !self.backoff.is_active(now)
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
            reported_excess: self.reported_excess(now, model),
            expected: Duration::from_micros(expected_us as u64),
            hall_round_trip_us: way_us,
            in_flight: self.in_flight + 1,
            is_usual_pace: self.is_usual_pace(now, model) && !self.cold_start.is_cold(now),
            is_counted: self.is_rate_limited(),
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
    pub(crate) fn record_report(&mut self, report: LoadReport, now: Timestamp) -> f64 {
        self.external_load.record(report, self.in_flight.saturating_sub(1), now)
    }

    /// Whether the last report is older than `age`, or there is none.
    pub(crate) fn is_stale(&self, age: Duration, now: Timestamp) -> bool {
        self.external_load.age(now).is_none_or(|heard| heard >= age)
    }

    /// A probe's report: the probe itself is not among this VM's requests in flight.
    pub(crate) fn record_probe(&mut self, report: LoadReport, now: Timestamp) -> f64 {
        if let Some(cold_for_ms) = report.cold_for_ms {
            let left = Duration::from_millis(u64::from(cold_for_ms));
            self.cold_start.set_remaining(left, self.parameters.cold_ramp, now);
        }
        self.external_load.record(report, self.in_flight, now)
    }

    /// Learns from the time an answer took; returns that time without the way, in
    /// microseconds.
    pub(crate) fn record_latency(&mut self, grant: &Grant, now: Timestamp) -> f64 {
        let taken = now.since(grant.sent_at);
        self.latency.record(taken);
        let way_us = grant.hall_round_trip_us;
        let taken_us = (taken.as_micros() as f64 - way_us).max(1.0);
        let expected_us = grant.expected.as_micros() as f64 - way_us;
        self.slowness.record(taken_us, expected_us, now);
        taken_us
    }

    /// Learns whether the target keeps up, from its queue or, without one, from latency.
    pub(crate) fn update_limit(&mut self, report: Option<LoadReport>, now: Timestamp) {
        let pressure = match report {
            Some(report) => Pressure::from_queue(report.queued, self.parameters.slots),
            None => Pressure::from_latency(self.latency.mean_us(), self.latency.floor_us()),
        };
        self.apply_pressure(pressure, now);
    }

    pub(crate) fn record_overload(&mut self, now: Timestamp) {
        self.apply_pressure(Pressure::Overloaded, now);
    }

    fn apply_pressure(&mut self, pressure: Pressure, now: Timestamp) {
        let round_trip = Duration::from_micros(self.latency.mean_us() as u64);
        self.limit.update(pressure, self.in_flight, now, round_trip);
    }

    pub(crate) fn record_success(&mut self, now: Timestamp) {
        self.ejection.record_success(now);
        self.record_answer();
    }

    /// It ran a request.
    pub(crate) fn record_answer(&mut self) {
        self.refusals.reset();
    }

    pub(crate) fn record_backoff_refusal(&mut self) {
        self.refusals.record_refusal();
    }

    pub(crate) fn record_failure(
        &mut self,
        settings: &EjectionSettings,
        has_room: bool,
        now: Timestamp,
    ) {
        self.ejection.record_failure(settings, has_room, now);
    }

    pub(crate) fn record_unreachable(
        &mut self,
        settings: &EjectionSettings,
        has_room: bool,
        now: Timestamp,
    ) {
        self.ejection.record_unreachable(settings, has_room, now);
    }

    pub(crate) fn discard_reports(&mut self) {
        self.external_load.discard();
    }

    /// What is believed of this target.
    pub(crate) fn dump(
        &self,
        now: Timestamp,
        bound: Bound,
        share: RateShare,
        model: &ServiceModel,
    ) -> TargetDump {
        let report = self.external_load.last_report();
        let usability = self.usability(now, bound, share, model);
        let backoff = self.backoff.active_until(now);
        let ejected_for = self.ejection.until().filter(|_| usability == Usability::Ejected);
        TargetDump {
            name: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            usability,
            in_flight: self.in_flight,
            limit: self.limit.value(),
            connection_share: self.parameters.connection_share,
            latency_us: self.latency.mean_us() as u64,
            expected_us: self.expected_us(now, model) as u64,
            failure_rate: self.ejection.failure_rate(now),
            reported_running: report.map(|report| report.running),
            reported_queued: report.map(|report| report.queued),
            reported_state: report.map(|report| report.state),
            report_age_ms: self.external_load.age(now).map(|age| age.as_millis() as u64),
            rate_limit: self.rate_limit.dump(share, now),
            ejected_for_ms: ejected_for.map(|until| now.until(until).as_millis() as u64),
            backoff_for_ms: backoff.map(|until| now.until(until).as_millis() as u64),
        }
    }
}
