//! Behaviour of targets that refuse requests and ask for backoffs.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Observation;
use thymeshift_types::Timestamp;

use crate::replay::backoffs::BackoffPattern;
use crate::replay::backoffs::BackoffPolicy;
use crate::replay::backoffs::BackoffResult;
use crate::replay::backoffs::evaluation::ArrivalLog;
use crate::replay::backoffs::evaluation::REFUSING_FROM_MS;
use crate::replay::fleet::Arrival;
use crate::replay::fleet::FleetFault;
use crate::replay::fleet::Outcome;
use crate::replay::fleet::SERVICE_TIME_MS;
use crate::replay::fleet::Scenario;

/// Time from the arrival of a request at a target to its refusal at the process, in milliseconds.
const REFUSAL_DELAY_MS: u64 = 3;
/// Number of processes that a target with partial refusals serves per process that it refuses.
const SERVED_PER_REFUSED: usize = 3;

pub(super) struct BackoffScenario {
    pattern: BackoffPattern,
    policy: BackoffPolicy,
    arrivals: ArrivalLog,
    result: BackoffResult,
}

impl BackoffScenario {
    pub(super) fn new(pattern: BackoffPattern, policy: BackoffPolicy) -> Self {
        let arrivals = ArrivalLog::new(&pattern);
        Self { pattern, policy, arrivals, result: BackoffResult::default() }
    }

    pub(super) fn result(mut self, messages: usize) -> BackoffResult {
        self.result.messages = messages;
        self.arrivals.evaluate(&mut self.result);
        self.result
    }

    fn is_refused(&self, arrival: Arrival) -> bool {
        let Arrival { process, target, at_ms } = arrival;
        let is_refusing = target < self.pattern.refusing_targets
            && (REFUSING_FROM_MS..REFUSING_FROM_MS + self.pattern.refusing_ms).contains(&at_ms);
        let is_affected = !self.pattern.is_partial || process % (SERVED_PER_REFUSED + 1) == 0;
        is_refusing && is_affected
    }
}

impl Scenario for BackoffScenario {
    /// Backoff that a refusal asks for; `None` if the target served the request.
    type Answer = Option<Duration>;

    fn calls_per_s(&self) -> f64 {
        self.pattern.calls_per_s
    }

    fn fault(&self) -> FleetFault {
        self.pattern.fault
    }

    fn excludes_backing_off_targets(&self) -> bool {
        self.policy != BackoffPolicy::HolderOnly
    }

    fn answer(&mut self, arrival: Arrival, rng: &mut SmallRng) -> (u64, Option<Duration>) {
        let is_refused = self.is_refused(arrival);
        self.arrivals.record_arrival(arrival, is_refused);
        if is_refused {
            self.result.refusals += 1;
            return (REFUSAL_DELAY_MS, Some(Duration::from_millis(self.pattern.backoff_ms)));
        }
        (rng.random_range(SERVICE_TIME_MS), None)
    }

    fn apply_answer(
        &self,
        answer: &Option<Duration>,
        own_dispatcher: &mut Dispatcher<AnyStrategy>,
        grant: &Grant,
        now: Timestamp,
    ) -> (Observation, Option<Duration>) {
        let Some(backoff) = *answer else {
            let _ = own_dispatcher.record_attempt(grant, Observation::Answered(None), now);
            return (Observation::Answered(None), None);
        };
        if self.policy != BackoffPolicy::Ignored {
            own_dispatcher.record_backoff(grant, backoff, now);
        }
        let observation = match self.policy {
            BackoffPolicy::NamedAndSpaced => Observation::ShedWithBackoff(None),
            _ => Observation::Shed(None),
        };
        let _ = own_dispatcher.record_attempt(grant, observation, now);
        (observation, (self.policy == BackoffPolicy::FleetWide).then_some(backoff))
    }

    fn record_outcome(&mut self, _at_ms: u64, outcome: Outcome) {
        self.result.calls += 1;
        self.result.failed += usize::from(outcome != Outcome::Served);
        self.result.refused_by_target += usize::from(outcome == Outcome::RefusedByTarget);
    }

    fn record_restart(&mut self, process: usize) {
        self.arrivals.forget_process(process);
    }
}
