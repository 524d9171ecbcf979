//! Discrete-event simulation of processes that acquire targets of two services in three halls.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::Group;
use thymeshift_allocation::Grouping;
use thymeshift_allocation::LeaseKey;
use thymeshift_config::Configuration;
use thymeshift_config::Mistakes;
use thymeshift_dispatch::CallerClass;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::LocalityInput;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::local_wait;
use thymeshift_types::DataHallName;
use thymeshift_types::Reason;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::replay::event_queue::EventQueue;
use crate::replay::halls::HallFault;
use crate::replay::halls::HallPattern;
use crate::replay::halls::HallPolicy;
use crate::replay::halls::HallResult;
use crate::replay::halls::group::Ask;
use crate::replay::halls::group::GroupNode;
use crate::replay::halls::group::Reply;
use crate::replay::halls::model::HALL_COUNT;
use crate::replay::halls::model::HALL_CROSSING_US_PER_KIB;
use crate::replay::halls::model::KIND_COUNT;
use crate::replay::halls::model::KINDS;
use crate::replay::halls::model::Kind;
use crate::replay::halls::model::LONG_KIND;
use crate::replay::halls::model::Target;
use crate::replay::halls::model::caller_hall;
use crate::replay::halls::model::configuration;
use crate::replay::halls::model::targets;

/// Length of a simulated day; requests that arrive later are not sent.
const DAY: Timestamp = Timestamp::from_millis(20_000);
/// Start of the burst or fault.
const FAULT_FROM: Timestamp = Timestamp::from_millis(8_000);
/// End of the burst or of the drain.
const FAULT_UNTIL: Timestamp = Timestamp::from_millis(14_000);
/// Time for which a killed allocator is down.
const KILLED: Duration = Duration::from_secs(1);
/// Time after the allocators until the processes adopt a drained hall.
const ADOPTION_LAG: Duration = Duration::from_millis(300);
/// Delay of a message within a hall.
const NEAR: Duration = Duration::from_micros(150);
/// Additional delay of a message between two halls.
const CROSSING: Duration = Duration::from_micros(500);
/// Time until a process gives up on an allocator that does not reply.
const ASK_TIMEOUT: Duration = Duration::from_millis(25);
/// Time for which a process passes over an allocator that did not reply.
const PASSED_OVER: Duration = Duration::from_millis(500);
/// Interval between two reports of headroom.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Probability that a report of headroom is lost.
const REPORT_LOSS: f64 = 0.02;
/// Interval between two checks of waiting requests.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Index of the allocator of all targets of the second service; the halls' allocators precede it.
const SHARED_NODE: usize = HALL_COUNT;
/// Index of the allocator that replaces the killed one, of the first hall's group.
const BACKUP_NODE: usize = HALL_COUNT + 1;
const NODE_COUNT: usize = HALL_COUNT + 2;

enum Event {
    Call(usize),
    Ask { node: usize, ask: Ask },
    Reply { node: usize, key: LeaseKey<usize>, reply: Reply },
    Finished { service: usize, target: usize, node: usize, key: LeaseKey<usize> },
    Answered { call: usize },
    Release { node: usize, key: LeaseKey<usize>, observation: Option<Observation> },
    Report,
    Headroom { node: usize, group: Group, headroom: u32 },
    WaitEnded(usize),
    Tick,
    Drain(bool),
    AdoptDrain(bool),
    Kill,
    Restart,
}

struct Call {
    kind: usize,
    service: usize,
    process: usize,
    started: Timestamp,
    local_until: Timestamp,
    is_decided: bool,
}

/// Process with what it knows itself.
#[derive(Clone, Default)]
struct Process {
    knows_length: [bool; KIND_COUNT],
    passes_over_until: Timestamp,
}

pub(super) struct Simulation {
    pattern: HallPattern,
    policy: HallPolicy,
    configuration: Configuration,
    halls: Vec<DataHallName>,
    /// Groups of the first service, as the processes know them.
    grouping: Grouping,
    nodes: Vec<GroupNode>,
    is_killed: bool,
    targets: [Vec<Target>; 2],
    processes: Vec<Process>,
    calls: Vec<Call>,
    /// Last direction of a redirect between two halls, by the lower and the higher hall.
    directions: [[Option<bool>; HALL_COUNT]; HALL_COUNT],
    events: EventQueue<Event>,
    rng: SmallRng,
    now: Timestamp,
    result: HallResult,
}

impl Simulation {
    pub(super) fn new(
        pattern: HallPattern,
        policy: HallPolicy,
        processes: usize,
        seed: u64,
    ) -> Result<Self, Mistakes> {
        let configuration = configuration(processes)?;
        let halls = configuration.data_halls.clone();
        let now = Timestamp::default();
        let mut simulation = Self {
            pattern,
            policy,
            grouping: Grouping::of(&configuration.services[0].targets, |_| false),
            configuration,
            halls,
            nodes: Vec::new(),
            is_killed: false,
            targets: [targets(0), targets(1)],
            processes: vec![Process::default(); processes],
            calls: Vec::new(),
            directions: Default::default(),
            events: EventQueue::default(),
            rng: SmallRng::seed_from_u64(seed),
            now,
            result: HallResult::default(),
        };
        simulation.nodes = (0..NODE_COUNT).map(|node| simulation.node(node)).collect();
        simulation.schedule_start();
        Ok(simulation)
    }

    fn schedule_start(&mut self) {
        (0..KIND_COUNT).for_each(|kind| self.add(Duration::ZERO, Event::Call(kind)));
        self.add(REPORT_INTERVAL, Event::Report);
        self.add(TICK_INTERVAL, Event::Tick);
        match self.pattern.fault {
            HallFault::None => {}
            HallFault::Drained => {
                self.events.schedule(FAULT_FROM, Event::Drain(true));
                self.events.schedule(FAULT_UNTIL, Event::Drain(false));
            }
            HallFault::AllocatorKilled => {
                self.events.schedule(FAULT_FROM, Event::Kill);
                self.events.schedule(FAULT_FROM + KILLED, Event::Restart);
            }
        }
    }

    /// Runs the simulated day until all its requests have ended.
    pub(super) fn run(mut self) -> HallResult {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.result.reserved_redirects +=
            self.nodes.iter().map(|node| node.reserved_redirects).sum::<usize>();
        self.result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(kind) => self.call(kind),
            Event::Ask { node, ask } => self.ask(node, &ask),
            Event::Reply { node, key, reply } => self.reply(node, &key, &reply),
            Event::Finished { service, target, node, key } => {
                let report = self.targets[service][target].finish();
                let hall = self.targets[service][target].hall;
                let call = key.number as usize;
                let link = KINDS[self.calls[call].kind].link_time();
                let back = delay(hall, self.hall_of_call(call));
                self.add(back + link, Event::Answered { call });
                let observation = Some(Observation::Answered(Some(report)));
                let late = back + delay(self.hall_of_call(call), node_hall(node));
                self.add(late, Event::Release { node, key, observation });
            }
            Event::Answered { call } => self.answered(call),
            Event::Release { node, key, observation } => {
                self.nodes[node].release(&key, observation, self.now);
                self.wake(node);
            }
            Event::Report => self.report(),
            Event::Headroom { node, group, headroom } => {
                self.nodes[node].headroom.record(group, headroom, self.now);
            }
            Event::WaitEnded(call) => self.refuse(call),
            Event::Tick => {
                for node in 0..NODE_COUNT {
                    self.nodes[node].tick(self.now);
                    self.wake(node);
                }
                self.repeat(TICK_INTERVAL, Event::Tick);
            }
            Event::Drain(is_drained) => self.drain(is_drained),
            Event::AdoptDrain(is_drained) => {
                let drained = self.halls[1].clone();
                let targets = &self.configuration.services[0].targets;
                self.grouping = Grouping::of(targets, |hall| is_drained && *hall == drained);
            }
            Event::Kill => self.is_killed = true,
            Event::Restart => {
                self.is_killed = false;
                self.result.reserved_redirects += self.nodes[0].reserved_redirects;
                self.nodes[0] = self.node(0);
            }
        }
    }

    fn add(&mut self, after: Duration, event: Event) {
        self.events.schedule(self.now + after, event);
    }

    /// Schedules a periodic event, but not after the day has ended and all requests with it.
    fn repeat(&mut self, after: Duration, event: Event) {
        let longest = KINDS.iter().map(|kind| kind.objective_ms).max().unwrap_or_default();
        if self.now < DAY + Duration::from_millis(longest) {
            self.add(after, event);
        }
    }

    fn node(&self, node: usize) -> GroupNode {
        let hall = self.halls[node_hall(node)].clone();
        let service = usize::from(node == SHARED_NODE);
        let group = if node == SHARED_NODE { Group::All } else { Group::Hall(hall.clone()) };
        GroupNode::new(group, &self.configuration, service, &hall, self.policy, self.now)
    }

    fn hall_of_call(&self, call: usize) -> usize {
        self.calls[call].process % HALL_COUNT
    }

    fn call(&mut self, kind: usize) {
        let is_burst = kind == LONG_KIND && (FAULT_FROM..FAULT_UNTIL).contains(&self.now);
        let per_s = KINDS[kind].per_s * if is_burst { self.pattern.burst } else { 1.0 };
        if let Ok(gaps) = Exp::new(per_s) {
            let gap = Duration::from_secs_f64(gaps.sample(&mut self.rng));
            if self.now + gap < DAY {
                self.add(gap, Event::Call(kind));
            }
        }
        let hall = caller_hall(&mut self.rng);
        let in_hall = (self.processes.len() - hall).div_ceil(HALL_COUNT);
        let process = hall + HALL_COUNT * self.rng.random_range(0..in_hall);
        let service = usize::from(kind == LONG_KIND && self.rng.random_bool(0.5));
        self.result.kinds[kind].requests += 1;
        let started = self.now;
        let local_until = self.now + self.local_wait(kind, process);
        self.calls.push(Call { kind, service, process, started, local_until, is_decided: false });
        let call = self.calls.len() - 1;
        self.add(wait_max(&KINDS[kind]) + ASK_TIMEOUT, Event::WaitEnded(call));
        let draw = self.rng.random();
        let group = match service {
            0 => self.grouping.preferred_group(&self.halls[hall], draw).clone(),
            _ => Group::All,
        };
        self.send_ask(call, &group, true);
    }

    fn local_wait(&self, kind: usize, process: usize) -> Duration {
        if !self.policy.waits() {
            return Duration::ZERO;
        }
        let wait_until = self.now + wait_max(&KINDS[kind]);
        local_wait(LocalityInput {
            now: self.now,
            objective: Some(self.now + Duration::from_millis(KINDS[kind].objective_ms)),
            wait_until,
            expected: Duration::from_millis(KINDS[kind].work_ms) + KINDS[kind].link_time(),
            answer_kib: self.answer_kib(kind, process),
            us_per_kib: HALL_CROSSING_US_PER_KIB,
        })
    }

    /// Returns the answer length that the process expects; 0 before its first answer.
    fn answer_kib(&self, kind: usize, process: usize) -> u32 {
        let is_known = self.processes[process].knows_length[kind];
        if is_known { KINDS[kind].answer_kib() } else { 0 }
    }

    /// Sends a lease request to the best-ranked allocator of a group that is not passed over.
    fn send_ask(&mut self, call: usize, group: &Group, may_redirect: bool) {
        let Call { kind, process, started, local_until, service, .. } = self.calls[call];
        let kind_settings = &KINDS[kind];
        let objective = started + Duration::from_millis(kind_settings.objective_ms);
        let request = Request {
            priority: 1 + kind as u8,
            caller: CallerClass::default(),
            deadline: objective + Duration::from_millis(kind_settings.objective_ms),
            wait_until: started + wait_max(kind_settings),
            objective,
            queue_max: 100,
            tried: Tried::default(),
            excluded: Excluded::default(),
            origin: HallIndex::default(),
            answer_kib: self.answer_kib(kind, process),
            local_until,
        };
        let hall = self.halls[process % HALL_COUNT].clone();
        let key = LeaseKey { holder: process, number: call as u64 };
        let may_redirect = may_redirect && service == 0;
        let ask = Ask { key, hall, may_redirect, request };
        let first = self.nodes.iter().position(|node| node.group == *group).unwrap_or(SHARED_NODE);
        let (node, late) = self.reachable_node(first, process);
        self.add(late + delay(process % HALL_COUNT, node_hall(node)), Event::Ask { node, ask });
    }

    /// Returns the allocator that replies to a process, and the time lost with one that does not.
    fn reachable_node(&mut self, first: usize, process: usize) -> (usize, Duration) {
        let now = self.now;
        let process = &mut self.processes[process];
        if first != 0 || (!self.is_killed && now >= process.passes_over_until) {
            return (first, Duration::ZERO);
        }
        if now < process.passes_over_until {
            return (BACKUP_NODE, Duration::ZERO);
        }
        process.passes_over_until = now + ASK_TIMEOUT + PASSED_OVER;
        (BACKUP_NODE, ASK_TIMEOUT)
    }

    fn ask(&mut self, node: usize, ask: &Ask) {
        let reply = self.nodes[node].decide(ask, self.now, &mut self.rng);
        self.send_reply(node, ask.key.clone(), reply);
        self.wake(node);
    }

    fn wake(&mut self, node: usize) {
        for (key, reply) in self.nodes[node].wake(self.now, &mut self.rng) {
            self.send_reply(node, key, reply);
        }
    }

    fn send_reply(&mut self, node: usize, key: LeaseKey<usize>, reply: Reply) {
        if node == 0 && self.is_killed {
            return;
        }
        let late = delay(key.holder % HALL_COUNT, node_hall(node));
        self.add(late, Event::Reply { node, key, reply });
    }

    fn reply(&mut self, node: usize, key: &LeaseKey<usize>, reply: &Reply) {
        let call = key.number as usize;
        if self.calls[call].is_decided {
            let late = delay(self.hall_of_call(call), node_hall(node));
            self.add(late, Event::Release { node, key: key.clone(), observation: None });
            return;
        }
        match reply {
            Reply::Decided(Allocation::Waiting) => {}
            Reply::Decided(Allocation::Granted(granted)) => {
                self.start(node, key, &granted.target);
            }
            Reply::Decided(Allocation::Refused(refusal)) => {
                let draw = self.rng.random();
                let other = self.grouping.alternative_group(&self.nodes[node].group, draw);
                match other.cloned() {
                    Some(other)
                        if refusal.reason == Reason::NoTarget && self.calls[call].service == 0 =>
                    {
                        self.send_ask(call, &other, false);
                    }
                    _ => self.refuse(call),
                }
            }
            Reply::Redirected(other) => {
                let other = other.clone();
                self.record_redirect(node, &other);
                self.send_ask(call, &other, false);
            }
        }
    }

    fn start(&mut self, node: usize, key: &LeaseKey<usize>, name: &TargetName) {
        let call = key.number as usize;
        self.record_decision(call);
        let Call { kind, service, .. } = self.calls[call];
        let target: usize = name.as_str().trim_start_matches('t').parse().unwrap_or_default();
        let work = KINDS[kind].work(&mut self.rng);
        let (own_hall, hall) = (self.hall_of_call(call), self.targets[service][target].hall);
        if own_hall != hall {
            self.result.crossing_bytes += KINDS[kind].answer_bytes;
        }
        let arrived_at = self.now + delay(own_hall, hall);
        let finished_at = self.targets[service][target].begin(work, arrived_at);
        let finished = Event::Finished { service, target, node, key: key.clone() };
        self.events.schedule(finished_at, finished);
    }

    fn answered(&mut self, call: usize) {
        let Call { kind, process, started, .. } = self.calls[call];
        self.processes[process].knows_length[kind] = true;
        let objective = Duration::from_millis(KINDS[kind].objective_ms);
        let is_in_objective = self.now.since(started) <= objective;
        self.result.kinds[kind].in_objective += usize::from(is_in_objective);
    }

    fn refuse(&mut self, call: usize) {
        if !self.calls[call].is_decided {
            self.record_decision(call);
            self.result.kinds[self.calls[call].kind].refused += 1;
        }
    }

    fn record_decision(&mut self, call: usize) {
        let call = &mut self.calls[call];
        call.is_decided = true;
        let longest_wait = &mut self.result.kinds[call.kind].longest_wait;
        *longest_wait = (*longest_wait).max(self.now.since(call.started));
    }

    fn record_redirect(&mut self, node: usize, other: &Group) {
        self.result.redirects += 1;
        let from = node_hall(node);
        let to = self.halls.iter().position(|hall| other.is_of_hall(hall)).unwrap_or(from);
        let direction = &mut self.directions[from.min(to)][from.max(to)];
        if direction.replace(from < to).is_some_and(|previous| previous != (from < to)) {
            self.result.direction_changes += 1;
        }
    }

    /// Sends the headroom of each hall's group to the allocators of the other groups.
    fn report(&mut self) {
        self.repeat(REPORT_INTERVAL, Event::Report);
        for from in 0..HALL_COUNT {
            if from == 0 && self.is_killed {
                continue;
            }
            let group = self.nodes[from].group.clone();
            let headroom = self.nodes[from].reported_headroom(self.now);
            for node in (0..NODE_COUNT).filter(|node| *node != SHARED_NODE) {
                if node_hall(node) != from && !self.rng.random_bool(REPORT_LOSS) {
                    let group = group.clone();
                    self.add(NEAR + CROSSING, Event::Headroom { node, group, headroom });
                }
            }
        }
    }

    fn drain(&mut self, is_drained: bool) {
        let drained = if is_drained { vec![self.halls[1].clone()] } else { Vec::new() };
        self.configuration.drained_halls = drained;
        for (node, state) in self.nodes.iter_mut().enumerate() {
            let hall = &self.halls[node_hall(node)];
            state.reconfigure(&self.configuration, hall, self.now);
        }
        self.add(ADOPTION_LAG, Event::AdoptDrain(is_drained));
    }
}

fn node_hall(node: usize) -> usize {
    node % (HALL_COUNT + 1) % HALL_COUNT
}

fn delay(from: usize, to: usize) -> Duration {
    if from == to { NEAR } else { NEAR + CROSSING }
}

/// Returns the longest wait of a request for a target: a quarter of its objective.
fn wait_max(kind: &Kind) -> Duration {
    Duration::from_millis(kind.objective_ms) / 4
}
