//! Processor cost of one dispatch decision, measured by calling the dispatch crate directly: the
//! choice of a target, recording the answer and the release of the grant. Runs with several target
//! counts, and with the 100 services of the planned deployment size.

use std::fmt;
use std::fmt::Write;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_config::Configuration;
use thymeshift_config::StrategyName;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::CallerClass;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::ReportedState;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::USUAL_PACE_PERCENT;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::experiment::fleet::FleetError;

/// Number of decisions that one measurement averages over.
const DECISIONS: u32 = 300_000;
/// Number of requests kept in flight during the measurement.
const IN_FLIGHT_MAX: usize = 8;

/// Mean cost of one decision for a strategy and a number of services and targets.
pub struct DecisionCost {
    strategy: StrategyName,
    services: usize,
    targets: usize,
    choice: Duration,
    whole: Duration,
}

impl fmt::Display for DecisionCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { strategy, services, targets, choice, whole } = self;
        write!(
            f,
            "{:<20} {services:>4} services of {targets:>4} targets: choice {:>6} ns, with learning \
             and release {:>6} ns",
            strategy.to_string(),
            choice.as_nanos(),
            whole.as_nanos()
        )
    }
}

/// Measures the cost of a decision over `services` services of `targets` targets each, which
/// receive requests round robin.
pub fn decision_cost(
    strategy: StrategyName,
    services: usize,
    targets: usize,
) -> Result<DecisionCost, FleetError> {
    let configuration = configuration(strategy, targets)?;
    let hall = configuration.data_halls[0].clone();
    let mut dispatchers: Vec<Dispatcher<AnyStrategy>> =
        (0..services).map(|_| dispatcher(&configuration, &hall)).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Timestamp::from_millis(1_000);
    let mut in_flight = std::collections::VecDeque::new();
    let mut choice = Duration::ZERO;
    let started = Instant::now();
    for step in 0..DECISIONS {
        now = now + Duration::from_micros(100);
        let service = step as usize % services;
        let request = request(now);
        let before = Instant::now();
        let decision = black_box(dispatchers[service].request(request, now, &mut rng));
        choice += before.elapsed();
        if let Decision::Send(grant) = decision {
            in_flight.push_back((service, grant));
        }
        if in_flight.len() > IN_FLIGHT_MAX
            && let Some((service, grant)) = in_flight.pop_front()
        {
            dispatchers[service].record_attempt(
                &grant,
                Observation::Answered(Some(report(step))),
                now,
            );
            dispatchers[service].release(grant, now);
        }
    }
    let whole = started.elapsed() / DECISIONS;
    Ok(DecisionCost { strategy, services, targets, choice: choice / DECISIONS, whole })
}

fn dispatcher(configuration: &Configuration, hall: &DataHallName) -> Dispatcher<AnyStrategy> {
    let start = Timestamp::from_millis(1_000);
    Dispatcher::configured(configuration, &configuration.services[0], hall, start)
}

fn request(now: Timestamp) -> Request {
    let deadline = now + Duration::from_secs(1);
    Request {
        priority: 1,
        caller: CallerClass::default(),
        deadline,
        wait_until: deadline,
        objective: deadline,
        queue_max: 10,
        tried: Tried::default(),
        excluded: Excluded::default(),
        origin: HallIndex::default(),
        answer_kib: 0,
        local_until: Timestamp::default(),
    }
}

fn report(step: u32) -> LoadReport {
    let state = ReportedState::Serving;
    LoadReport {
        running: step % 4,
        queued: step % 3,
        incarnation: None,
        state,
        pace_percent: USUAL_PACE_PERCENT,
        cold_for_ms: None,
    }
}

fn configuration(strategy: StrategyName, targets: usize) -> Result<Configuration, FleetError> {
    let mut text = format!(
        "entry_vms_max: 4\ndata_halls: [a]\nkinds: []\nservices:\n  - name: s\n    \
         slots_per_target: 3\n    connections_per_target: 250\n    strategy: {strategy}\n    \
         targets:\n"
    );
    for index in 0..targets {
        let port = 1_000 + index;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "      - {{ name: t{index}, address: '127.0.0.1:{port}', data_hall: a }}"
        );
    }
    Ok(Configuration::parse(&text)?)
}
