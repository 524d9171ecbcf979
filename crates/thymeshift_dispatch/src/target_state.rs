//! State of one target at this VM: its configuration, its requests in flight and its estimates.

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

/// Parameters of a service that the state of each of its targets depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetParameters {
    /// Number of requests that a target runs at a time.
    pub(crate) slots: u32,
    /// This VM's share of a target's connections for requests.
    pub(crate) connection_share: u32,
    /// Least intervals between requests to a cold target, or `None`
    /// if a cold target gets as many requests as a warm one.
    pub(crate) cold_intervals: Option<ColdIntervals>,
    /// Time for which a target counts as cold if it does not report its cold time.
    pub(crate) cold_ramp: Duration,
}

/// Whether a target is configured and may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    Serving,
    Leaving,
    /// The target is no longer configured, and is kept only until its last request is released.
    Removed,
}

/// State of one target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    /// Incarnation in the configuration; the target may have stated a later one itself.
    pub(crate) listed_incarnation: Incarnation,
    pub(crate) presence: Presence,
    /// Whether an operator's order stops new work for the target.
    pub(crate) is_stopped: bool,
    /// Whether the target's data hall is drained,
    /// which stops new work until the hall is undrained.
    is_hall_drained: bool,
    /// Cold time in the last configuration, in milliseconds.
    listed_cold_for_ms: Option<u64>,
    pub(crate) hall: HallIndex,
    pub(crate) exploration: Exploration,
    pub(crate) parameters: TargetParameters,
    in_flight: u32,
    /// Sum of the send times of all requests in flight, in microseconds, for their mean age.
    sent_at_sum_us: u64,
    granted_at: Timestamp,
    latency: Latency,
    external_load: ExternalLoad,
    limit: AdaptiveLimit,
    ejection: Ejection,
    cold_start: ColdStart,
    slowness: Slowness,
    pub(crate) rate_limit: RateLimit,
    /// Backoff that the target requested from this process.
    pub(crate) backoff: Backoff,
    refusals: RefusalStreak,
}

impl Target {
    pub(crate) fn new(
        name: TargetName,
        address: SocketAddr,
        incarnation: Incarnation,
        parameters: TargetParameters,
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
            parameters,
            in_flight: 0,
            sent_at_sum_us: 0,
            granted_at: Timestamp::default(),
            latency: Latency::default(),
            external_load: ExternalLoad::default(),
            limit: AdaptiveLimit::new(parameters.slots, parameters.connection_share),
            ejection: Ejection::default(),
            cold_start,
            slowness: Slowness::default(),
            rate_limit: RateLimit::default(),
            backoff: Backoff::default(),
            refusals: RefusalStreak::default(),
        }
    }

    /// Sets the incarnation, and resets the rate limit,
    /// the backoff and the refusals, which hold for the earlier incarnation only.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.rate_limit = RateLimit::default();
        self.backoff = Backoff::default();
        self.refusals = RefusalStreak::default();
    }

    pub(crate) fn set_parameters(&mut self, parameters: TargetParameters) {
        self.parameters = parameters;
        self.limit.set_ceiling(parameters.connection_share);
    }

    /// Returns the pace that the target reported within `age_max`.
    pub(crate) fn reported_pace(&self, age_max: Duration, now: Timestamp) -> Option<f64> {
        self.external_load.reported_pace(age_max, now)
    }

    /// Whether the target can get new work, now or later,
    /// without a change of the configuration or of an operator's orders.
    pub(crate) fn is_serving(&self) -> bool {
        self.presence == Presence::Serving && !self.is_stopped && !self.is_hall_drained
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.presence == Presence::Leaving
    }

    /// Sets whether the target's data hall is drained.
    /// Targets of a hall that is undrained may have become cold,
    /// and count as cold until they report otherwise.
    pub(crate) fn set_hall_drained(&mut self, is_drained: bool, now: Timestamp) {
        if self.is_hall_drained && !is_drained {
            let ramp = self.parameters.cold_ramp;
            self.cold_start.set_remaining(ramp, ramp, now);
        }
        self.is_hall_drained = is_drained;
    }

    /// Applies the cold time in the configuration, unless it is the same as in the previous one.
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

    /// Whether the target states a limit of requests per second that it has not ended.
    pub(crate) fn is_rate_limited(&self) -> bool {
        self.rate_limit.rate().is_some()
    }

    /// Whether the target may be probed. A target with a rate limit or a backoff may count a probe
    /// as a request.
    pub(crate) fn may_be_probed(&self, now: Timestamp) -> bool {
        self.is_serving() && !self.is_rate_limited() && !self.backoff.is_active(now)
    }

    /// Whether a granted request may be sent to the target.
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
        hall_round_trip_us: f64,
        now: Timestamp,
        model: &ServiceModel,
    ) -> Grant {
        let expected_us = self.base_expected_us(now, model) + hall_round_trip_us;
        let grant = Grant {
            target: index,
            incarnation: self.incarnation,
            sent_at: now,
            load_factor: self.load_factor(model),
            reported_excess: self.reported_excess(now, model),
            expected: Duration::from_micros(expected_us as u64),
            hall_round_trip_us,
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

    /// Records a report on the answer to a request,
    /// and returns the load of other VMs in the report.
    pub(crate) fn record_report(&mut self, report: LoadReport, now: Timestamp) -> f64 {
        self.external_load.record(report, self.in_flight.saturating_sub(1), now)
    }

    /// Whether the target's last report is at least `age` old, or missing.
    pub(crate) fn is_stale(&self, age: Duration, now: Timestamp) -> bool {
        self.external_load.age(now).is_none_or(|report_age| report_age >= age)
    }

    /// Records a report on the answer to a probe, and returns the load of other VMs in the report.
    /// The probe itself is not among this VM's requests in flight.
    pub(crate) fn record_probe(&mut self, report: LoadReport, now: Timestamp) -> f64 {
        if let Some(cold_for_ms) = report.cold_for_ms {
            let remaining = Duration::from_millis(u64::from(cold_for_ms));
            self.cold_start.set_remaining(remaining, self.parameters.cold_ramp, now);
        }
        self.external_load.record(report, self.in_flight, now)
    }

    /// Records the time of an answer, and returns that time
    /// without the round trip between data halls, in microseconds.
    pub(crate) fn record_latency(&mut self, grant: &Grant, now: Timestamp) -> f64 {
        let taken = now.since(grant.sent_at);
        self.latency.record(taken);
        let hall_round_trip_us = grant.hall_round_trip_us;
        let taken_us = (taken.as_micros() as f64 - hall_round_trip_us).max(1.0);
        let expected_us = grant.expected.as_micros() as f64 - hall_round_trip_us;
        self.slowness.record(taken_us, expected_us, now);
        taken_us
    }

    /// Updates the adaptive limit after an answer,
    /// from the reported queue or, without a report, from the latency.
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

    /// Records that the target ran a request, which ends a streak of refusals.
    pub(crate) fn record_answer(&mut self) {
        self.refusals.reset();
    }

    pub(crate) fn record_backoff_refusal(&mut self) {
        self.refusals.record_refusal();
    }

    pub(crate) fn record_failure(
        &mut self,
        settings: &EjectionSettings,
        may_eject: bool,
        now: Timestamp,
    ) {
        self.ejection.record_failure(settings, may_eject, now);
    }

    pub(crate) fn record_unreachable(
        &mut self,
        settings: &EjectionSettings,
        may_eject: bool,
        now: Timestamp,
    ) {
        self.ejection.record_unreachable(settings, may_eject, now);
    }

    pub(crate) fn discard_reports(&mut self) {
        self.external_load.discard();
    }

    /// Returns the state of the target for the state dump.
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
