//! Events of a simulated day of competing callers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use thymeshift_config::Configuration;
use thymeshift_config::Mistakes;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::CallerClass;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::ReportedState;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Ticket;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::USUAL_PACE_PERCENT;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::Timestamp;

use crate::replay::callers::CALLER_COUNT;
use crate::replay::callers::CallerAbuse;
use crate::replay::callers::CallerPattern;
use crate::replay::callers::CallerPolicy;
use crate::replay::callers::CallerResult;
use crate::replay::callers::KIND_COUNT;
use crate::replay::event_queue::EventQueue;

/// Number of targets: a tenth of the customer's 171, with a tenth of its requests.
const TARGETS: usize = 17;
const SLOTS_PER_TARGET: usize = 3;
/// Relative frequency, work and objective of look-ups, orders and downloads, as the customer states
/// them.
const KINDS: [Kind; KIND_COUNT] = [
    Kind { weight: 394.0, work_ms: 160.0, objective_ms: 400 },
    Kind { weight: 147.0, work_ms: 210.0, objective_ms: 500 },
    Kind { weight: 51.0, work_ms: 130.0, objective_ms: 2_500 },
];
/// Smallest and largest work of a request, as a share of the mean work of its kind.
const WORK_SPREAD: std::ops::Range<f64> = 0.5..1.5;
/// Demand outside the evaluated time, as a share of the capacity.
const BASE_LOAD: f64 = 0.8;
/// Times at which the evaluated demand starts and ends, in milliseconds. The time before lets the
/// dispatcher measure its targets.
const EVALUATED_MS: std::ops::Range<u64> = 2_000..6_000;
/// Time at which the demand ends, in milliseconds. The time after lets the queue drain.
const DAY_MS: u64 = 7_000;
/// One-way delay between callers and the dispatcher.
const ONE_WAY: Duration = Duration::from_millis(1);
/// Deadline of a caller, in units of the objective of the kind.
const DEADLINE_FACTOR: u32 = 2;
/// Divisor of the objective that gives the wait limit, the default of the configuration.
const WAIT_DIVISOR: u32 = 4;
/// Queue limit of a kind, the default of the configuration.
const QUEUE_MAX: u32 = 128;
/// Interval between two ticks of the dispatcher, as in the entry process while requests wait.
const TICK: Duration = Duration::from_millis(10);

struct Kind {
    weight: f64,
    work_ms: f64,
    objective_ms: u64,
}

impl Kind {
    fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }
}

/// Request of a caller, with all its retries.
#[derive(Debug, Clone, Copy)]
struct Call {
    caller: usize,
    kind: usize,
    started: Timestamp,
    retries: u32,
}

impl Call {
    fn deadline(&self) -> Timestamp {
        self.started + KINDS[self.kind].objective() * DEADLINE_FACTOR
    }
}

enum Event {
    NextCall,
    Attempt(Call),
    Finished(Call, Grant),
    Tick,
}

/// Target that runs a request in each slot and queues the others in order of arrival.
#[derive(Default)]
struct Target {
    running: usize,
    queued: VecDeque<(Call, Grant)>,
}

impl Target {
    fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running as u32,
            queued: self.queued.len() as u32,
            incarnation: None,
            state: ReportedState::Serving,
            pace_percent: USUAL_PACE_PERCENT,
            cold_for_ms: None,
        }
    }
}

/// Simulated day of one dispatcher.
pub(super) struct CallerSimulation {
    pattern: CallerPattern,
    dispatcher: Dispatcher<AnyStrategy>,
    targets: Vec<Target>,
    waiting: BTreeMap<Ticket, Call>,
    events: EventQueue<Event>,
    now: Timestamp,
    /// Draws of the callers, the same for each policy.
    demand_rng: SmallRng,
    /// Draws of the dispatcher and of the work of the requests.
    rng: SmallRng,
}

impl CallerSimulation {
    pub(super) fn new(
        pattern: CallerPattern,
        policy: CallerPolicy,
        seed: u64,
    ) -> Result<Self, Mistakes> {
        let configuration = Configuration::parse(&configuration_text())?;
        let now = Timestamp::from_millis(0);
        let service = &configuration.services[0];
        let hall = &configuration.data_halls[0];
        let mut events = EventQueue::default();
        events.schedule(now, Event::NextCall);
        events.schedule(now, Event::Tick);
        let mut dispatcher = Dispatcher::configured(&configuration, service, hall, now);
        dispatcher.set_view(View::Fleet);
        dispatcher.set_fair_callers(policy == CallerPolicy::CallerShares);
        Ok(Self {
            pattern,
            dispatcher,
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            waiting: BTreeMap::new(),
            events,
            now,
            demand_rng: SmallRng::seed_from_u64(seed),
            rng: SmallRng::seed_from_u64(!seed),
        })
    }

    /// Runs the day and adds the evaluated requests to `result`.
    pub(super) fn run(mut self, result: &mut CallerResult) {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            match event {
                Event::NextCall => self.start_call(),
                Event::Attempt(call) => self.attempt(call, result),
                Event::Finished(call, grant) => self.finish(call, grant, result),
                Event::Tick => self.tick(result),
            }
        }
    }

    fn tick(&mut self, result: &mut CallerResult) {
        self.dispatcher.tick(self.now);
        self.wake(result);
        if self.now < Timestamp::from_millis(DAY_MS) || !self.waiting.is_empty() {
            self.events.schedule(self.now + TICK, Event::Tick);
        }
    }

    fn is_evaluated(at: Timestamp) -> bool {
        EVALUATED_MS.contains(&(at.as_micros() / 1_000))
    }

    /// Starts a call and schedules the next one.
    fn start_call(&mut self) {
        if self.now >= Timestamp::from_millis(DAY_MS) {
            return;
        }
        let (load, factors) = if Self::is_evaluated(self.now) {
            (self.pattern.load, self.pattern.burst_factors)
        } else {
            (BASE_LOAD, [1.0; KIND_COUNT])
        };
        let weights: [f64; KIND_COUNT] =
            std::array::from_fn(|kind| KINDS[kind].weight * factors[kind]);
        let sum: f64 = weights.iter().sum();
        let call = Call {
            caller: self.draw_caller(),
            kind: draw_index(&weights, &mut self.demand_rng),
            started: self.now,
            retries: 0,
        };
        self.events.schedule(self.now + ONE_WAY, Event::Attempt(call));
        let rate_per_s = load * sum * slots() / slots_per_weight();
        if let Ok(gaps) = Exp::new(rate_per_s) {
            let gap = Duration::from_secs_f64(gaps.sample(&mut self.demand_rng));
            self.events.schedule(self.now + gap, Event::NextCall);
        }
    }

    fn draw_caller(&mut self) -> usize {
        let abuse = self.pattern.abuse;
        let abusive_weight = abuse.callers as f64 * abuse.demand_factor;
        let patient = CALLER_COUNT - abuse.callers;
        let is_abusive =
            self.demand_rng.random_bool(abusive_weight / (abusive_weight + patient as f64));
        if is_abusive {
            self.demand_rng.random_range(0..abuse.callers)
        } else {
            self.demand_rng.random_range(abuse.callers..CALLER_COUNT)
        }
    }

    fn attempt(&mut self, call: Call, result: &mut CallerResult) {
        let request = request(call, self.now);
        match self.dispatcher.request(request, self.now, &mut self.rng) {
            Decision::Send(grant) => self.send(call, grant),
            Decision::Wait(ticket) => {
                self.waiting.insert(ticket, call);
            }
            Decision::Refuse(refusal) => self.refuse(call, refusal, result),
        }
        self.wake(result);
    }

    fn send(&mut self, call: Call, grant: Grant) {
        let index = self.target_index(&grant);
        self.targets[index].queued.push_back((call, grant));
        self.run_queued(index);
    }

    /// Starts the queued requests of a target that has free slots.
    fn run_queued(&mut self, index: usize) {
        while self.targets[index].running < SLOTS_PER_TARGET {
            let Some((call, grant)) = self.targets[index].queued.pop_front() else {
                return;
            };
            self.targets[index].running += 1;
            let work_ms = KINDS[call.kind].work_ms * self.rng.random_range(WORK_SPREAD);
            let ends_at = self.now + Duration::from_secs_f64(work_ms / 1_000.0);
            self.events.schedule(ends_at, Event::Finished(call, grant));
        }
    }

    fn target_index(&self, grant: &Grant) -> usize {
        let name = self.dispatcher.target_name(grant);
        name.as_str().trim_start_matches('t').parse().unwrap_or_default()
    }

    fn finish(&mut self, call: Call, grant: Grant, result: &mut CallerResult) {
        let index = self.target_index(&grant);
        self.targets[index].running -= 1;
        self.run_queued(index);
        let observation = Observation::Answered(Some(self.targets[index].report()));
        // The targets of this simulation never leave, so there is no leaving mark.
        let _ = self.dispatcher.record_attempt(&grant, observation, self.now);
        self.dispatcher.release(grant, self.now);
        let answered_at = self.now + ONE_WAY;
        let is_in_objective = answered_at <= call.started + KINDS[call.kind].objective();
        record(call, is_in_objective, false, result);
        self.wake(result);
    }

    fn wake(&mut self, result: &mut CallerResult) {
        while let Some(wake) = self.dispatcher.next_wake(self.now, &mut self.rng) {
            match wake {
                Wake::Send(ticket, grant) => {
                    if let Some(call) = self.waiting.remove(&ticket) {
                        self.send(call, grant);
                    }
                }
                Wake::Refuse(ticket, refusal) => {
                    if let Some(call) = self.waiting.remove(&ticket) {
                        self.refuse(call, refusal, result);
                    }
                }
            }
        }
    }

    /// Lets the caller of a refused request retry, if it has a retry and time left.
    fn refuse(&mut self, call: Call, refusal: Refusal, result: &mut CallerResult) {
        let abuse = self.pattern.abuse;
        let is_abusive = call.caller < abuse.callers;
        let retries_max =
            if is_abusive { abuse.retries_max } else { CallerAbuse::PATIENT_RETRIES_MAX };
        let is_immediate = is_abusive && abuse.retries_at_once;
        let pause = if is_immediate { Duration::ZERO } else { refusal.retry_after };
        let retried_at = self.now + ONE_WAY + pause + ONE_WAY;
        if call.retries >= retries_max || retried_at >= call.deadline() {
            return record(call, false, true, result);
        }
        let retried = Call { retries: call.retries + 1, ..call };
        self.events.schedule(retried_at, Event::Attempt(retried));
    }
}

/// Request of one attempt as the entry process builds it: the objective and the wait limit start
/// when the attempt arrives, because the process does not know the caller's earlier attempts.
fn request(call: Call, now: Timestamp) -> Request {
    let objective = KINDS[call.kind].objective();
    let deadline = call.deadline();
    Request {
        priority: call.kind as u8 + 1,
        caller: CallerClass::from_number(call.caller as u16 + 1),
        deadline,
        wait_until: deadline.min(now + objective / WAIT_DIVISOR),
        objective: deadline.min(now + objective),
        queue_max: QUEUE_MAX,
        tried: Tried::default(),
        excluded: Excluded::default(),
        origin: HallIndex::default(),
        answer_kib: 0,
        local_until: Timestamp::default(),
    }
}

fn record(call: Call, is_in_objective: bool, is_refused: bool, result: &mut CallerResult) {
    if !CallerSimulation::is_evaluated(call.started) {
        return;
    }
    let count = &mut result.kinds[call.kind].callers[call.caller];
    count.requests += 1;
    count.in_objective += usize::from(is_in_objective);
    count.refused += usize::from(is_refused);
}

fn slots() -> f64 {
    (TARGETS * SLOTS_PER_TARGET) as f64
}

/// Returns the slots that a demand of one unit of weight for each kind's weight needs.
fn slots_per_weight() -> f64 {
    KINDS.iter().map(|kind| kind.weight * kind.work_ms / 1_000.0).sum()
}

fn draw_index(weights: &[f64], rng: &mut SmallRng) -> usize {
    let mut drawn = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        drawn -= weight;
        if drawn < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn configuration_text() -> String {
    let mut text = format!(
        "entry_vms_max: 1\ndata_halls: [a]\ndata_hall_one_way_us: 500\nkinds: []\nservices:\n\
         - name: s\n  slots_per_target: {SLOTS_PER_TARGET}\n  connections_per_target: 1000\n  \
         targets:\n"
    );
    for index in 0..TARGETS {
        let port = index + 1;
        let _ =
            writeln!(text, "  - {{ name: t{index}, address: '127.0.0.1:{port}', data_hall: a }}");
    }
    text
}
