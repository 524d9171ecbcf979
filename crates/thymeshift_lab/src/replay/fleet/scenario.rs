//! What a replay adds to the virtual fleet.

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

/// Attempts of a call.
const ATTEMPTS_MAX: u32 = 2;

/// What strikes the processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetFault {
    /// Nothing but lost and doubled messages.
    None,
    /// The first allocator is killed, and starts again a second later.
    FirstKilled,
    /// The first allocator stands still for three seconds.
    FirstFrozen,
    /// A third of the processes, the first two allocators not among them, reach no other one.
    Isolated,
    /// Two data halls cannot reach each other; a third one reaches both.
    TwoHallsPartitioned,
}

/// A request that arrives at a target.
#[derive(Debug, Clone, Copy)]
pub(in crate::replay) struct Arrival {
    pub(in crate::replay) process: usize,
    pub(in crate::replay) target: usize,
    pub(in crate::replay) at_ms: u64,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::replay) enum Outcome {
    Served,
    /// Without having been sent in its last attempt.
    Refused,
    RefusedByTarget,
}

/// One attempt of a call.
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

/// What targets answer, and what the processes do about it.
pub(in crate::replay) trait Scenario {
    /// What an answer says.
    type Answer;

    fn calls_per_s(&self) -> f64;

    fn fault(&self) -> FleetFault;

    /// How processes decide by themselves.
    fn standalone_view(&self) -> View {
        View::Fallback
    }

    fn asks_allocators(&self) -> bool {
        true
    }

    /// Whether what an allocator may grant depends on its rank.
    fn ranks_allocators(&self) -> bool {
        true
    }

    /// Whether a process names the targets that it may not use when it asks an allocator.
    fn names_excluded(&self) -> bool {
        true
    }

    /// A request arrives. Returns after how many milliseconds its answer is there, and the answer.
    fn answer(&mut self, arrival: Arrival, rng: &mut SmallRng) -> (u64, Self::Answer);

    /// A process takes an answer in. Returns what it reports to its allocator, and a backoff that the
    /// allocator is to keep for all processes.
    fn apply_answer(
        &self,
        answer: &Self::Answer,
        own_dispatcher: &mut Dispatcher<AnyStrategy>,
        grant: &Grant,
        now: Timestamp,
    ) -> (Observation, Option<Duration>);

    /// A call ended.
    fn record_outcome(&mut self, at_ms: u64, outcome: Outcome);

    /// A process started again.
    fn record_restart(&mut self, process: usize);
}
