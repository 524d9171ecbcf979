//! Interface between the simulated fleet and the behaviour of its targets.

use std::time::Duration;

use rand::rngs::SmallRng;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::TargetIndex;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_types::Timestamp;

/// Maximum number of attempts per call.
const ATTEMPTS_MAX: u32 = 2;

/// Fault that is injected into the processes or the network between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetFault {
    /// No fault beyond the usual loss and duplication of messages.
    None,
    /// The best-ranked allocator is killed and restarts one second later.
    FirstKilled,
    /// The best-ranked allocator is frozen for three seconds.
    FirstFrozen,
    /// About a third of the processes reach no other process.
    /// The two best-ranked allocators are never isolated.
    Isolated,
    /// Two data halls cannot reach each other; the third data hall reaches both.
    TwoHallsPartitioned,
}

/// Request that arrives at a target.
#[derive(Debug, Clone, Copy)]
pub(in crate::replay) struct Arrival {
    pub(in crate::replay) process: usize,
    pub(in crate::replay) target: usize,
    pub(in crate::replay) at_ms: u64,
}

/// Final outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::replay) enum Outcome {
    Served,
    /// The last attempt was refused before it was sent to a target.
    Refused,
    RefusedByTarget,
}

/// Call with its current attempt and the targets of earlier attempts.
#[derive(Debug, Clone, Copy)]
pub(in crate::replay) struct Call {
    pub(super) started_ms: u64,
    attempt: u32,
    pub(super) tried: Tried,
}

impl Call {
    pub(super) fn new(started_ms: u64) -> Self {
        Self { started_ms, attempt: 1, tried: Tried::default() }
    }

    pub(super) fn has_attempt_left(&self) -> bool {
        self.attempt < ATTEMPTS_MAX
    }

    pub(super) fn next_attempt(mut self, tried: TargetIndex) -> Self {
        self.tried.add(tried);
        Self { attempt: self.attempt + 1, ..self }
    }
}

/// Behaviour of the targets and the reaction of the processes to their answers.
pub(in crate::replay) trait Scenario {
    /// Content of a target's answer.
    type Answer;

    fn calls_per_s(&self) -> f64;

    fn fault(&self) -> FleetFault;

    /// Returns the view with which a process decides when it does not use an allocator.
    fn standalone_view(&self) -> View {
        View::Fallback
    }

    fn asks_allocators(&self) -> bool {
        true
    }

    /// Returns whether the share of a rate limit that an allocator may grant depends on its rank.
    fn ranks_allocators(&self) -> bool {
        true
    }

    /// Returns whether an acquire request excludes the targets that are in backoff at its sender.
    fn excludes_backing_off_targets(&self) -> bool {
        true
    }

    /// Handles the arrival of a request at a target.
    /// Returns the delay of the answer in milliseconds, and the answer.
    fn answer(&mut self, arrival: Arrival, rng: &mut SmallRng) -> (u64, Self::Answer);

    /// Applies an answer to the dispatcher of the process. Returns the observation to report to the
    /// allocator, and a backoff that the allocator applies for all processes.
    fn apply_answer(
        &self,
        answer: &Self::Answer,
        own_dispatcher: &mut Dispatcher<AnyStrategy>,
        grant: &Grant,
        now: Timestamp,
    ) -> (Observation, Option<Duration>);

    /// Records the outcome of a call that ended at `at_ms`.
    fn record_outcome(&mut self, at_ms: u64, outcome: Outcome);

    /// Records that a process restarted without its earlier state.
    fn record_restart(&mut self, process: usize);
}
