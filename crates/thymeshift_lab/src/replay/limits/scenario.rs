//! Behaviour of targets that state rate limits.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use thymeshift_config::RequestRate;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::View;
use thymeshift_types::Timestamp;

use crate::replay::fleet::Arrival;
use crate::replay::fleet::FleetFault;
use crate::replay::fleet::Outcome;
use crate::replay::fleet::SERVICE_TIME_MS;
use crate::replay::fleet::Scenario;
use crate::replay::limits::LimitPattern;
use crate::replay::limits::LimitPolicy;
use crate::replay::limits::LimitResult;
use crate::replay::limits::evaluation::evaluate;
use crate::replay::limits::evaluation::limit_at;

pub(super) struct LimitScenario {
    pattern: LimitPattern,
    policy: LimitPolicy,
    arrivals_ms: Vec<Vec<u64>>,
    result: LimitResult,
}

impl LimitScenario {
    pub(super) fn new(pattern: LimitPattern, policy: LimitPolicy) -> Self {
        let arrivals_ms = vec![Vec::new(); pattern.limited_targets];
        Self { pattern, policy, arrivals_ms, result: LimitResult::default() }
    }

    pub(super) fn result(mut self, messages: usize) -> LimitResult {
        evaluate(&self.pattern, &self.arrivals_ms, &mut self.result);
        LimitResult { messages, ..self.result }
    }
}

impl Scenario for LimitScenario {
    /// Limit that the target states in its answer, in requests per second.
    type Answer = Option<f64>;

    fn calls_per_s(&self) -> f64 {
        self.pattern.calls_per_s
    }

    fn fault(&self) -> FleetFault {
        self.pattern.fault
    }

    fn standalone_view(&self) -> View {
        if self.asks_allocators() { View::Fallback } else { View::Own }
    }

    fn asks_allocators(&self) -> bool {
        self.policy != LimitPolicy::EqualParts
    }

    fn ranks_allocators(&self) -> bool {
        self.policy == LimitPolicy::Allocated
    }

    fn answer(&mut self, arrival: Arrival, rng: &mut SmallRng) -> (u64, Option<f64>) {
        let Arrival { target, at_ms, .. } = arrival;
        if let Some(arrivals) = self.arrivals_ms.get_mut(target) {
            arrivals.push(at_ms);
        }
        let work_ms = rng.random_range(SERVICE_TIME_MS);
        let states_limit =
            target < self.pattern.limited_targets && self.policy != LimitPolicy::Ignored;
        let limit = limit_at(&self.pattern, at_ms + work_ms).filter(|_| states_limit);
        (work_ms, limit)
    }

    fn apply_answer(
        &self,
        answer: &Option<f64>,
        own_dispatcher: &mut Dispatcher<AnyStrategy>,
        grant: &Grant,
        now: Timestamp,
    ) -> (Observation, Option<Duration>) {
        let stated = answer.map(|per_s| RequestRate::per_1000_s((per_s * 1_000.0) as u64));
        own_dispatcher.record_rate_limit(grant, stated, now);
        let observation = Observation::Answered(None);
        let _ = own_dispatcher.record_attempt(grant, observation, now);
        (observation, None)
    }

    fn record_outcome(&mut self, _at_ms: u64, outcome: Outcome) {
        self.result.calls += 1;
        self.result.refused += usize::from(outcome != Outcome::Served);
    }

    fn record_restart(&mut self, _process: usize) {}
}
