//! Discrete-event simulation of a fleet whose processes acquire targets from an allocator.
//!
//! A [`Scenario`] defines what the targets answer and how the processes react to the answers.

mod acquisition;
mod process;
mod scenario;

use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::AllocatorRank;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::LeaseReport;
use thymeshift_config::Configuration;
use thymeshift_config::Mistakes;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::RateShare;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::DataHallName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::replay::event_queue::EventQueue;
use crate::replay::fleet::acquisition::request;
use crate::replay::fleet::process::GroupState;
use crate::replay::fleet::process::Process;

pub(super) use scenario::Arrival;
pub(super) use scenario::Call;
pub use scenario::FleetFault;
pub(super) use scenario::Outcome;
pub(super) use scenario::Scenario;

/// Number of simulated targets.
pub(super) const TARGETS: usize = 7;
/// Length of a simulated day, in milliseconds.
pub(super) const DAY_MS: u64 = 26_000;
/// Number of data halls; processes and targets are assigned to them in turn.
const HALL_COUNT: usize = 3;
/// Maximum number of processes that may act as an allocator: the contacts of the data halls.
const ALLOCATOR_CANDIDATES_MAX: usize = 24;
/// Period in which network faults are active, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 10_000..16_000;
/// Period in which the first process is down, in milliseconds.
const KILLED_MS: std::ops::Range<u64> = 10_000..11_000;
/// Period in which the first process is frozen, in milliseconds.
const FROZEN_MS: std::ops::Range<u64> = 10_000..13_000;
/// Probability that a process is isolated by [`FleetFault::Isolated`].
const ISOLATED_SHARE: f64 = 0.35;
/// Time without heartbeats after which a process counts as unreachable, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 5_000;
/// Number of allocator candidates that adds one more `SILENCE_TIMEOUT_MS` to the heartbeat timeout.
const MEMBERS_PER_TIMEOUT_STEP: usize = 24;
/// Delay of a message between two processes, in milliseconds.
const MESSAGE_DELAY_MS: std::ops::Range<u64> = 1..4;
/// Probability that a message between two processes is lost.
const MESSAGE_LOSS_PROBABILITY: f64 = 0.02;
/// Probability that a message between two processes arrives twice.
const MESSAGE_DUPLICATION_PROBABILITY: f64 = 0.02;
/// Service time of a request at a target, in milliseconds.
pub(super) const SERVICE_TIME_MS: std::ops::Range<u64> = 40..80;
/// Interval between two exchanges of rate limits that a process starts, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 1_250;
/// Interval between two checks of waiting calls and expired leases, in milliseconds.
const TICK_INTERVAL_MS: u64 = 10;

enum Event<A> {
    Call,
    Acquire {
        from: usize,
        to: usize,
        number: u64,
        call: Call,
        wait_ms: u64,
        excluded: Excluded,
        held: Vec<u64>,
    },
    AcquireReply {
        to: usize,
        number: u64,
        allocation: Allocation,
    },
    AcquireTimeout {
        at: usize,
        number: u64,
    },
    Answer {
        at: usize,
        number: u64,
        answer: A,
    },
    Release {
        from: usize,
        to: usize,
        number: u64,
        report: LeaseReport,
        /// Backoff that the allocator applies to the target for all processes.
        backoff: Option<(TargetName, Duration)>,
    },
    /// A process exchanges its known rate limits with a random other process.
    Exchange {
        at: usize,
    },
    Tick,
}

pub(super) struct SimulatedFleet<S: Scenario> {
    scenario: S,
    configuration: Configuration,
    halls: Vec<DataHallName>,
    processes: Vec<Process>,
    is_isolated: Vec<bool>,
    events: EventQueue<Event<S::Answer>>,
    rng: SmallRng,
    now_ms: u64,
    next_number: u64,
    is_killed: bool,
    messages: usize,
}

impl<S: Scenario> SimulatedFleet<S> {
    pub(super) fn new(scenario: S, count: usize, seed: u64) -> Result<Self, Mistakes> {
        let configuration = Configuration::parse(&configuration_text(count))?;
        let halls = configuration.data_halls.clone();
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Timestamp::from_millis(0);
        let view = scenario.standalone_view();
        let process = |process_index: usize| {
            Process::new(&configuration, &halls[process_index % HALL_COUNT], view, start)
        };
        let processes: Vec<_> = (0..count).map(process).collect();
        // The two best-ranked allocators are never isolated.
        let is_isolated = (0..count)
            .map(|process_index| process_index > 1 && rng.random_bool(ISOLATED_SHARE))
            .collect();
        let mut fleet = Self {
            scenario,
            processes,
            halls,
            configuration,
            is_isolated,
            events: EventQueue::default(),
            rng,
            now_ms: 0,
            next_number: 0,
            is_killed: false,
            messages: 0,
        };
        fleet.add(0, Event::Tick);
        for at in 0..count {
            let first_ms = fleet.rng.random_range(0..EXCHANGE_INTERVAL_MS);
            fleet.add(first_ms, Event::Exchange { at });
        }
        fleet.next_call();
        Ok(fleet)
    }

    /// Runs the simulated day. Returns the scenario and the number of messages between processes.
    pub(super) fn run(mut self) -> (S, usize) {
        while let Some((at, event)) = self.events.pop() {
            self.now_ms = at.as_micros() / 1_000;
            if self.now_ms >= DAY_MS {
                break;
            }
            self.kill_or_restart_first();
            self.handle(event);
        }
        (self.scenario, self.messages)
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn add(&mut self, after_ms: u64, event: Event<S::Answer>) {
        self.events.schedule(self.now() + Duration::from_millis(after_ms), event);
    }

    fn next_call(&mut self) {
        let Ok(gaps) = Exp::new(self.scenario.calls_per_s()) else { return };
        let gap_ms = (gaps.sample(&mut self.rng) * 1_000.0).round() as u64;
        self.add(gap_ms.max(1), Event::Call);
    }

    fn kill_or_restart_first(&mut self) {
        let is_killed =
            self.scenario.fault() == FleetFault::FirstKilled && KILLED_MS.contains(&self.now_ms);
        if is_killed && !self.is_killed {
            let hall = &self.halls[0];
            self.processes[0] = Process::new(&self.configuration, hall, View::Fallback, self.now());
            self.scenario.record_restart(0);
        }
        self.is_killed = is_killed;
    }

    fn is_frozen(&self, process_index: usize) -> bool {
        process_index == 0
            && self.scenario.fault() == FleetFault::FirstFrozen
            && FROZEN_MS.contains(&self.now_ms)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        if self.is_killed && (from == 0 || to == 0) {
            return false;
        }
        let is_fault_active = FAULT_MS.contains(&self.now_ms);
        match self.scenario.fault() {
            FleetFault::Isolated if is_fault_active => {
                !self.is_isolated[from] && !self.is_isolated[to]
            }
            FleetFault::TwoHallsPartitioned if is_fault_active => {
                from % HALL_COUNT + to % HALL_COUNT != 1 || from % HALL_COUNT == to % HALL_COUNT
            }
            _ => true,
        }
    }

    /// Returns whether process `at` receives heartbeats of process `other`, directly or relayed.
    fn receives_heartbeats(&self, at: usize, other: usize) -> bool {
        let timeout_steps = 1
            + (self.processes.len().min(ALLOCATOR_CANDIDATES_MAX) / MEMBERS_PER_TIMEOUT_STEP)
                as u64;
        let is_silent = match self.scenario.fault() {
            FleetFault::FirstKilled => self.is_killed && other == 0,
            FleetFault::Isolated => {
                let is_either_isolated = self.is_isolated[at] || self.is_isolated[other];
                is_either_isolated && FAULT_MS.contains(&self.now_ms)
            }
            FleetFault::None | FleetFault::FirstFrozen | FleetFault::TwoHallsPartitioned => false,
        };
        !is_silent || self.now_ms < FAULT_MS.start + SILENCE_TIMEOUT_MS * timeout_steps
    }

    fn allocator_candidates(&self) -> usize {
        self.processes.len().min(ALLOCATOR_CANDIDATES_MAX)
    }

    fn share(&self, process_index: usize) -> RateShare {
        if !self.scenario.ranks_allocators() {
            return RateShare::WHOLE;
        }
        let is_reachable = |other: &usize| {
            *other == process_index || self.receives_heartbeats(process_index, *other)
        };
        let known = self.allocator_candidates();
        let rank = AllocatorRank {
            better_ranked: (0..process_index.min(known)).filter(is_reachable).count(),
            reachable: (0..known).filter(is_reachable).count(),
            known,
        };
        rank.rate_share()
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event<S::Answer>) {
        if from == to {
            self.add(0, event());
            return;
        }
        self.messages += 1;
        if !self.reaches(from, to) || self.rng.random_bool(MESSAGE_LOSS_PROBABILITY) {
            return;
        }
        let copies = if self.rng.random_bool(MESSAGE_DUPLICATION_PROBABILITY) { 2 } else { 1 };
        for _ in 0..copies {
            let late_ms = self.rng.random_range(MESSAGE_DELAY_MS);
            self.add(late_ms, event());
        }
    }

    fn handle(&mut self, event: Event<S::Answer>) {
        match event {
            Event::Call => self.handle_call(),
            Event::Acquire { to, .. } if self.is_frozen(to) => {
                self.add(FROZEN_MS.end - self.now_ms, event);
            }
            Event::Acquire { from, to, number, call, wait_ms, excluded, held } => {
                let request = request(self.now(), call, wait_ms, excluded);
                self.handle_acquire(LeaseKey { holder: from, number }, to, request, &held);
            }
            Event::AcquireReply { to, number, allocation } => {
                self.handle_acquire_reply(to, number, allocation);
            }
            Event::AcquireTimeout { at, number } => self.handle_acquire_timeout(at, number),
            Event::Answer { at, number, answer } => self.handle_answer(at, number, &answer),
            Event::Release { from, to, number, report, backoff } => {
                let now = self.now();
                if let Some(GroupState { dispatcher, allocator }) =
                    &mut self.processes[to].group_state
                {
                    if let Some((name, wait)) = &backoff {
                        dispatcher.record_probe_backoff(name, *wait, now);
                    }
                    let key = LeaseKey { holder: from, number };
                    allocator.release(&key, &report, dispatcher, now);
                }
                self.resolve_waiting(to);
            }
            Event::Exchange { at } => self.exchange(at),
            Event::Tick => self.tick(),
        }
    }

    fn exchange(&mut self, at: usize) {
        self.add(EXCHANGE_INTERVAL_MS, Event::Exchange { at });
        let other = self.rng.random_range(0..self.processes.len());
        if self.is_frozen(at) || self.is_frozen(other) || !self.reaches(at, other) {
            return;
        }
        let now = self.now();
        let (known, of_other) = (
            self.processes[at].own_dispatcher.rate_limits(now),
            self.processes[other].own_dispatcher.rate_limits(now),
        );
        self.processes[other].merge_rate_limits(&known, now);
        self.processes[at].merge_rate_limits(&of_other, now);
    }

    fn tick(&mut self) {
        self.add(TICK_INTERVAL_MS, Event::Tick);
        for process_index in 0..self.allocator_candidates() {
            let now = self.now();
            if self.is_frozen(process_index) {
                continue;
            }
            if let Some(GroupState { dispatcher, allocator }) =
                &mut self.processes[process_index].group_state
            {
                allocator.expire(dispatcher, now);
                dispatcher.tick(now);
            }
            self.resolve_waiting(process_index);
        }
    }

    fn resolve_waiting(&mut self, process_index: usize) {
        let now = self.now();
        let mut replies = Vec::new();
        if let Some(GroupState { dispatcher, allocator }) =
            &mut self.processes[process_index].group_state
        {
            while let Some(wake) = dispatcher.next_wake(now, &mut self.rng) {
                let (ticket, decided) = match wake {
                    Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                    Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
                };
                match allocator.resolve_ticket(ticket, decided, dispatcher, now) {
                    Ok(reply) => replies.push(reply),
                    Err(Ok(grant)) => dispatcher.release(grant, now),
                    Err(Err(_)) => {}
                }
            }
        }
        for (key, allocation) in replies {
            self.send(process_index, key.holder, || Event::AcquireReply {
                to: key.holder,
                number: key.number,
                allocation: allocation.clone(),
            });
        }
    }
}

fn configuration_text(count: usize) -> String {
    let mut text = format!(
        "entry_vms_max: {count}\ndata_halls: [a, b, c]\ndata_hall_one_way_us: 1500\nkinds: []\n\
         services:\n- name: s\n  slots_per_target: 8\n  connections_per_target: 100000\n  targets:\n"
    );
    for index in 0..TARGETS {
        let hall = ['a', 'b', 'c'][index % HALL_COUNT];
        let _ = writeln!(
            text,
            "  - {{ name: t{index}, address: '127.0.0.1:{}', data_hall: {hall} }}",
            index + 1
        );
    }
    text
}
