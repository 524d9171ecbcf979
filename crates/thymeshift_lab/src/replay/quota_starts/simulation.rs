//! Discrete-event simulation of one day with the callers of one organisation, while processes start.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use thymeshift_organisations::Admission;
use thymeshift_organisations::QuotaHolder;
use thymeshift_organisations::QuotaLimit;
use thymeshift_organisations::TokenDemand;
use thymeshift_organisations::TokenGrant;
use thymeshift_organisations::TokenRequest;
use thymeshift_types::Timestamp;

use crate::replay::event_queue::EventQueue;
use crate::replay::quota_starts::StartPattern;
use crate::replay::quota_starts::StartPolicy;
use crate::replay::quota_starts::StartResult;
use crate::replay::quota_starts::fleet::exchange;
use crate::replay::quota_starts::fleet::index_of;
use crate::replay::quota_starts::fleet::new_members;
use crate::replay::quota_starts::process::GrantRules;
use crate::replay::quota_starts::process::PendingTokenRequest;
use crate::replay::quota_starts::process::Process;

/// Number of callers; each is connected to one process until that process ends.
const CALLERS: usize = 240;
/// Length of a simulated day, in milliseconds.
const DAY_MS: u64 = 20_000;
/// Length of the windows over which the limit must hold, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Length of the windows in which the full rate is to be admitted again, in milliseconds.
const FULL_RATE_WINDOW_MS: u64 = 500;
/// Share of the rate that counts as the full rate.
const FULL_RATE_SHARE: f64 = 0.9;
/// Intervals of the exchanges of a process: while it is new, during its startup, and later.
const NEW_EXCHANGE_INTERVAL_MS: u64 = 50;
const STARTUP_EXCHANGE_INTERVAL_MS: u64 = 200;
const EXCHANGE_INTERVAL_MS: u64 = 1_250;
const STARTUP_MS: u64 = 4_000;
/// Time for which a starved process stands still, and the time until it does so again, in
/// milliseconds.
const STALL_MS: std::ops::Range<u64> = 20..150;
const STALL_PAUSE_MS: std::ops::Range<u64> = 5..30;
/// Delay of a message between two processes, in milliseconds.
const MESSAGE_DELAY_MS: std::ops::Range<u64> = 1..4;
/// Probability that a message or an exchange between two processes is lost.
const LOSS_PROBABILITY: f64 = 0.02;
/// Times after a token request at which an unanswered request is sent again, in milliseconds.
const RESEND_AFTER_MS: [u64; 2] = [25, 50];
/// Time after which a process gives up on a counter that does not reply, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 105;
/// Time for which a process skips a counter that did not reply.
const SKIP_TIME: Duration = Duration::from_millis(500);
/// Maximum number of counters that are asked for one request.
const COUNTERS_PER_REQUEST_MAX: usize = 2;

#[derive(Clone, Copy)]
enum Event {
    Arrival { caller: usize },
    Kill { index: usize },
    Start { index: usize },
    Stall { index: usize },
    ExchangeDue { index: usize, boot: u64 },
    Exchange { from: usize, boot: u64, to: usize },
    TokenRequested { from: usize, to: usize, boot: u64, request: TokenRequest },
    TokenReply { to: usize, number: u64, grant: Option<TokenGrant> },
    ResendTimer { at: usize, number: u64 },
    ReplyTimeout { at: usize, number: u64 },
}

pub(super) struct StartSimulation {
    pattern: StartPattern,
    rules: GrantRules,
    /// Processes by index; `None` while a process is down.
    processes: Vec<Option<Process>>,
    /// Process that each caller is connected to.
    connected_to: Vec<usize>,
    events: EventQueue<Event>,
    rng: SmallRng,
    next_number: u64,
    now_ms: u64,
    last_start_ms: u64,
    admitted_ms: Vec<u64>,
    result: StartResult,
}

impl StartSimulation {
    pub(super) fn new(
        pattern: &StartPattern,
        policy: StartPolicy,
        count: usize,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let connected_to = (0..CALLERS).map(|_| rng.random_range(0..count)).collect();
        let mut simulation = Self {
            pattern: *pattern,
            rules: GrantRules {
                limit: QuotaLimit { rate_per_s: pattern.limit, burst: pattern.limit },
                policy,
                vms_max: (count as f64 * pattern.vms_max_factor).ceil() as usize,
            },
            processes: (0..count).map(|_| None).collect(),
            connected_to,
            events: EventQueue::default(),
            rng,
            next_number: 0,
            now_ms: 0,
            last_start_ms: 0,
            admitted_ms: Vec::new(),
            result: StartResult::default(),
        };
        simulation.start_all(0);
        for loss_ms in pattern.losses_ms {
            for index in 0..count {
                simulation.schedule(*loss_ms, Event::Kill { index });
            }
            simulation.start_all(loss_ms + StartPattern::DOWN_MS);
        }
        simulation.schedule_replacements(count);
        for index in 0..if pattern.is_starved { count } else { 0 } {
            simulation.schedule(pattern.demand_from_ms, Event::Stall { index });
        }
        for caller in 0..CALLERS {
            simulation.schedule_arrival(caller, pattern.demand_from_ms);
        }
        simulation
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.events.schedule(Timestamp::from_millis(at_ms), event);
    }

    fn start_all(&mut self, from_ms: u64) {
        for index in 0..self.processes.len() {
            let at_ms = from_ms + self.rng.random_range(0..=self.pattern.start_spread_ms);
            self.schedule(at_ms, Event::Start { index });
        }
    }

    fn schedule_replacements(&mut self, count: usize) {
        let Some(interval_ms) = self.pattern.replaced_each_ms else { return };
        let times = (8_000..DAY_MS).step_by(interval_ms as usize);
        for (index, at_ms) in times.enumerate() {
            self.schedule(at_ms, Event::Kill { index: index % count });
            self.schedule(at_ms + StartPattern::DOWN_MS, Event::Start { index: index % count });
        }
    }

    fn schedule_arrival(&mut self, caller: usize, after_ms: u64) {
        let per_s = self.rules.limit.rate_per_s * self.pattern.demand_factor / CALLERS as f64;
        let Ok(gaps) = Exp::new(per_s) else { return };
        let gap_ms = (gaps.sample(&mut self.rng) * 1_000.0) as u64;
        self.schedule(after_ms + gap_ms.clamp(1, DAY_MS), Event::Arrival { caller });
    }

    pub(super) fn run(mut self) -> StartResult {
        while let Some((at, event)) = self.events.pop() {
            self.now_ms = at.as_micros() / 1_000;
            if self.now_ms >= DAY_MS {
                break;
            }
            self.handle(event);
        }
        self.evaluate();
        self.result
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// Returns the process that handles an event.
    fn handler(&self, event: &Event) -> Option<usize> {
        match *event {
            Event::Arrival { caller } => Some(self.connected_to[caller]),
            Event::ExchangeDue { index, .. } => Some(index),
            Event::Exchange { to, .. }
            | Event::TokenRequested { to, .. }
            | Event::TokenReply { to, .. } => Some(to),
            Event::ResendTimer { at, .. } | Event::ReplyTimeout { at, .. } => Some(at),
            Event::Kill { .. } | Event::Start { .. } | Event::Stall { .. } => None,
        }
    }

    /// Returns the time until which the process that handles an event stands still.
    fn stalled_until_ms(&self, event: &Event) -> Option<u64> {
        let process = self.processes[self.handler(event)?].as_ref()?;
        (process.stalled_until_ms > self.now_ms).then_some(process.stalled_until_ms)
    }

    fn handle(&mut self, event: Event) {
        if let Some(until_ms) = self.stalled_until_ms(&event) {
            return self.schedule(until_ms, event);
        }
        match event {
            Event::Stall { index } => self.stall(index),
            Event::Arrival { caller } => self.handle_arrival(caller),
            Event::Kill { index } => self.processes[index] = None,
            Event::Start { index } => self.start(index),
            Event::ExchangeDue { index, boot } => self.begin_exchange(index, boot),
            Event::Exchange { from, boot, to } => self.exchange(from, boot, to),
            Event::TokenRequested { from, to, boot, request } => {
                let number = request.number;
                if self.processes[to].is_some() {
                    let grant = self.handle_token_request(from, boot, to, request);
                    self.send(Event::TokenReply { to: from, number, grant });
                }
            }
            Event::TokenReply { to, number, grant } => self.handle_token_reply(to, number, grant),
            Event::ResendTimer { at, number } => self.resend(at, number),
            Event::ReplyTimeout { at, number } => self.handle_reply_timeout(at, number),
        }
    }

    fn start(&mut self, index: usize) {
        if self.processes[index].is_some() {
            return;
        }
        let now = self.now();
        self.next_number += 1;
        let boot = self.next_number;
        let Some(members) = new_members(index, boot, self.processes.len(), now) else { return };
        let holder = QuotaHolder::new(self.rules.limit, self.rules.vms_max as u64, now);
        self.processes[index] = Some(Process::new(boot, members, holder, now));
        self.last_start_ms = self.now_ms;
        self.schedule(self.now_ms, Event::ExchangeDue { index, boot });
    }

    /// Lets a process stand still now, and again some time later.
    fn stall(&mut self, index: usize) {
        let until_ms = self.now_ms + self.rng.random_range(STALL_MS);
        if let Some(process) = &mut self.processes[index] {
            process.stalled_until_ms = until_ms;
        }
        let again_ms = until_ms + self.rng.random_range(STALL_PAUSE_MS);
        self.schedule(again_ms, Event::Stall { index });
    }

    fn begin_exchange(&mut self, index: usize, boot: u64) {
        let (now, rng) = (self.now(), &mut self.rng);
        let process = self.processes[index].as_mut().filter(|process| process.boot == boot);
        let Some(process) = process else { return };
        let interval_ms = if now.since(process.started_at).as_millis() as u64 >= STARTUP_MS {
            EXCHANGE_INTERVAL_MS
        } else if process.members.is_new() {
            NEW_EXCHANGE_INTERVAL_MS
        } else {
            STARTUP_EXCHANGE_INTERVAL_MS
        };
        let interval_ms = rng.random_range(interval_ms * 4 / 5..interval_ms * 6 / 5);
        let picked = process.members.pick_peers(1, now, rng);
        self.schedule(self.now_ms + interval_ms, Event::ExchangeDue { index, boot });
        if let Some(address) = picked.first() {
            let at_ms = self.now_ms + self.pattern.exchange_delay_ms;
            self.schedule(at_ms, Event::Exchange { from: index, boot, to: index_of(*address) });
        }
    }

    fn exchange(&mut self, from: usize, boot: u64, to: usize) {
        let now = self.now();
        let is_lost = self.rng.random_bool(LOSS_PROBABILITY);
        let asking = self.processes[from].take();
        if let Some(mut asking) = asking {
            match &mut self.processes[to] {
                _ if asking.boot != boot => {}
                Some(asked) if !is_lost => {
                    exchange(&mut asking.members, &mut asked.members, now, &mut self.rng);
                }
                Some(_) | None => {
                    asking
                        .members
                        .record_no_answer(crate::replay::quota_starts::fleet::address_of(to));
                }
            }
            self.processes[from] = Some(asking);
        }
    }

    fn handle_arrival(&mut self, caller: usize) {
        self.schedule_arrival(caller, self.now_ms);
        if self.processes[self.connected_to[caller]].is_none() {
            self.connected_to[caller] = self.rng.random_range(0..self.processes.len());
        }
        let now = self.now();
        let index = self.connected_to[caller];
        let Some(process) = &mut self.processes[index] else { return };
        process.holder.record_arrival(now);
        process.waiting += 1;
        self.result.requests += 1;
        if self.pattern.demand_factor < 1.0 {
            self.result.requests_within_limit += 1;
        }
        self.decide_waiting(index);
    }

    fn decide_waiting(&mut self, index: usize) {
        let now = self.now();
        while let Some(process) = self.processes[index].as_mut().filter(|one| one.waiting > 0) {
            match process.holder.admit(now) {
                Admission::Admitted => {
                    process.waiting -= 1;
                    self.admitted_ms.push(self.now_ms);
                }
                Admission::Refused(_) => {
                    process.waiting -= 1;
                    self.record_refusal();
                }
                Admission::AnswerPending => return,
                Admission::Ask(demand) => {
                    return self.request_tokens(index, demand, Vec::new());
                }
            }
        }
    }

    fn record_refusal(&mut self) {
        if self.pattern.demand_factor < 1.0 {
            self.result.wrongly_refused += 1;
            let until_ms = self.now_ms - self.last_start_ms;
            self.result.refused_until_ms = self.result.refused_until_ms.max(until_ms);
        }
    }

    /// Requests tokens from the best-ranked counter that is not skipped.
    fn request_tokens(&mut self, index: usize, demand: TokenDemand, asked: Vec<usize>) {
        let (now, rules) = (self.now(), self.rules);
        self.next_number += 1;
        let number = self.next_number;
        let Some(process) = &mut self.processes[index] else { return };
        let order = process.ranking(rules, now).order;
        let mut usable = order.into_iter().filter(|other| !process.is_skipped(*other, now));
        let counter = usable.find(|other| !asked.contains(other));
        let Some(counter) = counter.filter(|_| asked.len() < COUNTERS_PER_REQUEST_MAX) else {
            process.holder.start_fallback(now);
            return self.decide_waiting(index);
        };
        let request = TokenRequest { start: process.boot, number, demand };
        if counter == index {
            let grant = process.grant((index, process.boot), request, rules, now);
            process.holder.apply_grant(&grant, now);
            return self.decide_waiting(index);
        }
        process.pending = Some(PendingTokenRequest { number, counter, demand, asked });
        self.resend(index, number);
        for again_ms in RESEND_AFTER_MS {
            self.schedule(self.now_ms + again_ms, Event::ResendTimer { at: index, number });
        }
        self.schedule(self.now_ms + REPLY_TIMEOUT_MS, Event::ReplyTimeout { at: index, number });
    }

    fn resend(&mut self, index: usize, number: u64) {
        let Some(process) = &self.processes[index] else { return };
        let pending = process.pending.as_ref().filter(|pending| pending.number == number);
        let Some(pending) = pending else { return };
        let PendingTokenRequest { counter, demand, .. } = *pending;
        let (from, to, boot) = (index, counter, process.boot);
        let request = TokenRequest { start: process.boot, number, demand };
        self.send(Event::TokenRequested { from, to, boot, request });
    }

    fn send(&mut self, event: Event) {
        self.result.messages += 1;
        if !self.rng.random_bool(LOSS_PROBABILITY) {
            let at_ms = self.now_ms + self.rng.random_range(MESSAGE_DELAY_MS);
            self.schedule(at_ms, event);
        }
    }

    /// Handles a token request; returns no grant if the asked process is not the counter.
    fn handle_token_request(
        &mut self,
        from: usize,
        boot: u64,
        to: usize,
        request: TokenRequest,
    ) -> Option<TokenGrant> {
        let (now, rules) = (self.now(), self.rules);
        let process = self.processes[to].as_mut()?;
        let order = process.ranking(rules, now).order;
        let first = order.into_iter().find(|other| !process.is_skipped(*other, now));
        (first == Some(to)).then(|| process.grant((from, boot), request, rules, now))
    }

    fn handle_token_reply(&mut self, index: usize, number: u64, grant: Option<TokenGrant>) {
        let now = self.now();
        let Some(process) = &mut self.processes[index] else { return };
        let Some(pending) = process.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        if let Some(grant) = grant {
            process.holder.apply_grant(&grant, now);
            return self.decide_waiting(index);
        }
        self.ask_next(index, pending);
    }

    fn handle_reply_timeout(&mut self, index: usize, number: u64) {
        let until = self.now() + SKIP_TIME;
        let Some(process) = &mut self.processes[index] else { return };
        let Some(pending) = process.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        process.skipped_until.insert(pending.counter, until);
        self.ask_next(index, pending);
    }

    fn ask_next(&mut self, index: usize, pending: PendingTokenRequest) {
        let PendingTokenRequest { counter, demand, mut asked, .. } = pending;
        asked.push(counter);
        self.request_tokens(index, demand, asked);
    }

    fn evaluate(&mut self) {
        let allowed =
            self.rules.limit.rate_per_s * WINDOW_MS as f64 / 1_000.0 + self.rules.limit.burst;
        for start in (0..DAY_MS - WINDOW_MS).step_by(100) {
            let admitted = count_in(&self.admitted_ms, start..start + WINDOW_MS) as f64;
            self.result.worst_window = self.result.worst_window.max(admitted / allowed);
        }
        if self.pattern.demand_factor > 1.0 {
            let last_loss_ms = self.pattern.losses_ms.last().copied().unwrap_or_default();
            let full = self.rules.limit.rate_per_s * FULL_RATE_WINDOW_MS as f64 / 1_000.0
                * FULL_RATE_SHARE;
            let is_full = |start: &u64| {
                count_in(&self.admitted_ms, *start..*start + FULL_RATE_WINDOW_MS) as f64 >= full
            };
            let from_ms = last_loss_ms + StartPattern::DOWN_MS;
            // The last window that is not full, as tokens of before may fill the first ones.
            let windows = (from_ms..DAY_MS - FULL_RATE_WINDOW_MS).step_by(50);
            let last = windows.filter(|start| !is_full(start)).last();
            self.result.full_rate_after_ms = last.map_or(0, |last| last + 50 - from_ms);
        }
    }
}

fn count_in(times_ms: &[u64], window: std::ops::Range<u64>) -> usize {
    times_ms.partition_point(|at| *at < window.end)
        - times_ms.partition_point(|at| *at < window.start)
}
