//! Discrete-event simulation of one day with the callers of one organisation and many processes.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use thymeshift_allocation::AllocatorRank;
use thymeshift_organisations::Admission;
use thymeshift_organisations::QuotaCounter;
use thymeshift_organisations::QuotaLimit;
use thymeshift_organisations::TokenDemand;
use thymeshift_organisations::TokenGrant;
use thymeshift_organisations::TokenRequest;
use thymeshift_types::Timestamp;

use crate::replay::event_queue::EventQueue;
use crate::replay::quotas::Partition;
use crate::replay::quotas::QuotaPattern;
use crate::replay::quotas::QuotaPolicy;
use crate::replay::quotas::QuotaResult;
use crate::replay::quotas::process::PendingTokenRequest;
use crate::replay::quotas::process::Process;

/// Number of callers of the organisation.
const CALLERS: usize = 12;
/// Rate limit of the organisation.
pub(super) const LIMIT: QuotaLimit = QuotaLimit { rate_per_s: 80.0, burst: 80.0 };
/// Normal demand of the organisation, in requests per second: 1 / 1.6 of its limit.
const NORMAL_DEMAND_PER_S: f64 = LIMIT.rate_per_s / 1.6;
/// Factor on the limit when the limit is lowered.
const LOWERED_FACTOR: f64 = 1.0 / 3.0;
/// Length of a simulated day, in milliseconds.
const DAY_MS: u64 = 30_000;
/// Period in which demand is multiplied by the pattern's factor, in milliseconds.
const OVERLOAD_MS: std::ops::Range<u64> = 8_000..20_000;
/// Period in which the network is partitioned, in milliseconds.
const PARTITION_MS: std::ops::Range<u64> = 10_000..16_000;
/// Period in which the first counter is down, in milliseconds.
const KILLED_MS: std::ops::Range<u64> = 10_000..11_000;
/// Time of the simulated day at which the limit is lowered, in milliseconds.
const LOWERED_AT_MS: u64 = 12_000;
/// Time of the simulated day at which callers connect to other processes, in milliseconds.
const MOVE_AT_MS: u64 = 14_000;
/// Time within which all processes apply a changed limit, in milliseconds.
const LIMIT_PROPAGATION_MS: u64 = 2_500;
const HALL_COUNT: usize = 3;
/// Length of the windows over which the limit must hold, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Delay of a message between two processes, in milliseconds.
const MESSAGE_DELAY_MS: std::ops::Range<u64> = 1..4;
/// Probability that a message between two processes is lost.
const MESSAGE_LOSS_PROBABILITY: f64 = 0.02;
/// Probability that a message between two processes arrives twice.
const MESSAGE_DUPLICATION_PROBABILITY: f64 = 0.02;
/// Times after a token request at which an unanswered request is sent again, in milliseconds.
const RESEND_AFTER_MS: [u64; 2] = [25, 50];
/// Time after which a process gives up on a counter that does not reply, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 105;
/// Time for which a process passes over a counter that did not reply, in milliseconds.
const PASSED_OVER_MS: u64 = 1_000;
/// Time after which other processes detect that a process is down, in milliseconds.
const FAILURE_DETECTION_MS: u64 = 3_000;
/// Interval between two demand reports of a process, in milliseconds.
const DEMAND_REPORT_INTERVAL_MS: u64 = 250;
/// Time for which a received demand report is used, in milliseconds.
const DEMAND_REPORT_TTL_MS: u64 = 5_000;
/// Share of the limit that `QuotaPolicy::PartsByDemand` divides equally among the processes.
const EQUAL_SHARE: f64 = 0.2;

#[derive(Clone, Copy)]
enum Event {
    Arrival { caller: usize },
    TokenRequested { from: usize, to: usize, number: u64, demand: TokenDemand },
    TokenReply { to: usize, number: u64, grant: Option<TokenGrant> },
    ResendTimer { at: usize, number: u64 },
    ReplyTimeout { at: usize, number: u64 },
    DemandReport { from: usize },
}

pub(super) struct QuotaSimulation {
    pattern: QuotaPattern,
    policy: QuotaPolicy,
    processes: Vec<Process>,
    /// Index of the process that each caller connects to.
    caller_processes: Vec<usize>,
    is_isolated: Vec<bool>,
    events: EventQueue<Event>,
    rng: SmallRng,
    next_number: u64,
    now_ms: u64,
    has_moved: bool,
    is_killed: bool,
    admitted_ms: Vec<u64>,
    arrived_ms: Vec<u64>,
    result: QuotaResult,
}

impl QuotaSimulation {
    pub(super) fn new(
        pattern: QuotaPattern,
        policy: QuotaPolicy,
        process_count: usize,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Timestamp::from_millis(0);
        let processes = (0..process_count).map(|_| Process::new(process_count, start)).collect();
        let caller_processes = (0..CALLERS).map(|_| rng.random_range(0..process_count)).collect();
        // The first two processes are the best-ranked counters; the partition never isolates them.
        let isolated_share =
            if let Partition::Processes(share) = pattern.partition { share } else { 0.0 };
        let is_isolated = (0..process_count)
            .map(|process_index| process_index > 1 && rng.random_bool(isolated_share));
        let is_isolated = is_isolated.collect();
        let mut simulation = Self {
            pattern,
            policy,
            processes,
            caller_processes,
            is_isolated,
            events: EventQueue::default(),
            rng,
            next_number: 0,
            now_ms: 0,
            has_moved: false,
            is_killed: false,
            admitted_ms: Vec::new(),
            arrived_ms: Vec::new(),
            result: QuotaResult::default(),
        };
        for caller in 0..CALLERS {
            simulation.next_arrival(caller);
        }
        if policy == QuotaPolicy::PartsByDemand {
            for from in 0..process_count {
                let at = simulation.rng.random_range(0..DEMAND_REPORT_INTERVAL_MS);
                simulation
                    .events
                    .schedule(Timestamp::from_millis(at), Event::DemandReport { from });
            }
        }
        simulation
    }

    pub(super) fn run(mut self) -> QuotaResult {
        while let Some((at, event)) = self.events.pop() {
            self.now_ms = at.as_micros() / 1_000;
            if self.now_ms >= DAY_MS {
                break;
            }
            self.apply_faults();
            self.handle(event);
        }
        self.evaluate();
        self.result
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// Applies the kill of the counter and the move of callers that are due.
    fn apply_faults(&mut self) {
        if self.pattern.callers_move && !self.has_moved && self.now_ms >= MOVE_AT_MS {
            self.has_moved = true;
            for process_index in self.caller_processes.iter_mut().step_by(2) {
                *process_index = self.rng.random_range(0..self.processes.len());
            }
        }
        let is_killed = self.pattern.counter_killed && KILLED_MS.contains(&self.now_ms);
        if is_killed && !self.is_killed {
            let waiting = self.processes[0].waiting;
            self.processes[0] = Process::new(self.processes.len(), self.now());
            self.result.requests -= waiting;
        }
        self.is_killed = is_killed;
    }

    fn limit(&self) -> QuotaLimit {
        if self.pattern.limit_lowered && self.now_ms >= LOWERED_AT_MS {
            return QuotaLimit {
                rate_per_s: LIMIT.rate_per_s * LOWERED_FACTOR,
                burst: LIMIT.burst * LOWERED_FACTOR,
            };
        }
        LIMIT
    }

    fn next_arrival(&mut self, caller: usize) {
        let is_overloaded = OVERLOAD_MS.contains(&self.now_ms);
        let per_s = NORMAL_DEMAND_PER_S / CALLERS as f64
            * if is_overloaded { self.pattern.demand_factor } else { 1.0 };
        let Ok(gaps) = Exp::new(per_s) else { return };
        let gap_ms = (gaps.sample(&mut self.rng) * 1_000.0).round() as u64;
        let at = Timestamp::from_millis(self.now_ms + gap_ms.clamp(1, DAY_MS));
        self.events.schedule(at, Event::Arrival { caller });
    }

    /// Returns whether a message from one process can reach another process now.
    fn reaches(&self, from: usize, to: usize) -> bool {
        if self.is_killed && (from == 0 || to == 0) {
            return false;
        }
        let crosses_partition =
            from % HALL_COUNT != to % HALL_COUNT && from % HALL_COUNT + to % HALL_COUNT == 1;
        match self.pattern.partition {
            Partition::Processes(_) if PARTITION_MS.contains(&self.now_ms) => {
                !self.is_isolated[from] && !self.is_isolated[to]
            }
            Partition::TwoHalls if PARTITION_MS.contains(&self.now_ms) => !crosses_partition,
            Partition::None | Partition::Processes(_) | Partition::TwoHalls => true,
        }
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        self.result.messages += 1;
        if !self.reaches(from, to) || self.rng.random_bool(MESSAGE_LOSS_PROBABILITY) {
            return;
        }
        let copies = if self.rng.random_bool(MESSAGE_DUPLICATION_PROBABILITY) { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_range(MESSAGE_DELAY_MS);
            self.events.schedule(self.now() + Duration::from_millis(late), event());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { caller } => {
                self.next_arrival(caller);
                let process_index = self.caller_processes[caller];
                // Callers of a killed process connect to the last process instead.
                let is_down = self.is_killed && process_index == 0;
                let process_index = if is_down { self.processes.len() - 1 } else { process_index };
                self.handle_arrival(process_index);
            }
            Event::TokenRequested { from, to, number, demand } => {
                let request = TokenRequest { start: 0, number, demand };
                let grant = self.handle_token_request(from, to, request);
                self.send(to, from, || Event::TokenReply { to: from, number, grant });
            }
            Event::TokenReply { to, number, grant } => self.handle_token_reply(to, number, grant),
            Event::ResendTimer { at, number } => self.resend_token_request(at, number),
            Event::ReplyTimeout { at, number } => self.handle_reply_timeout(at, number),
            Event::DemandReport { from } => self.report_demand(from),
        }
    }

    fn handle_arrival(&mut self, process_index: usize) {
        self.result.requests += 1;
        self.arrived_ms.push(self.now_ms);
        let now = self.now();
        let is_admitted = match self.policy {
            QuotaPolicy::Counted | QuotaPolicy::EachFullLimit => {
                let limit = self.limit();
                let process = &mut self.processes[process_index];
                process.holder.set_limit(limit, now);
                process.holder.record_arrival(now);
                process.waiting += 1;
                return self.decide_waiting(process_index);
            }
            QuotaPolicy::EqualParts => {
                let share_fraction = 1.0 / self.processes.len() as f64;
                self.admit_within_share(process_index, share_fraction)
            }
            QuotaPolicy::PartsByDemand => {
                let share_fraction = self.share_by_demand(process_index);
                self.admit_within_share(process_index, share_fraction)
            }
        };
        self.record_decision(is_admitted);
    }

    fn record_decision(&mut self, is_admitted: bool) {
        if is_admitted {
            self.admitted_ms.push(self.now_ms);
        }
        let is_within = self.pattern.demand_factor <= 1.0 && !self.pattern.limit_lowered;
        self.result.requests_within_limit += usize::from(is_within);
        self.result.wrongly_refused += usize::from(is_within && !is_admitted);
    }

    /// Decides on the requests that wait at a process until a decision needs a counter's reply.
    fn decide_waiting(&mut self, process_index: usize) {
        while self.processes[process_index].waiting > 0 {
            let now = self.now();
            let decision = self.processes[process_index].holder.admit(now);
            match decision {
                Admission::AnswerPending => return,
                Admission::Ask(demand) => {
                    return self.request_tokens(process_index, demand);
                }
                Admission::Admitted | Admission::Refused(_) => {
                    self.processes[process_index].waiting -= 1;
                    self.record_decision(decision == Admission::Admitted);
                }
            }
        }
    }

    /// Requests tokens from the first of the two counters that is not passed over.
    fn request_tokens(&mut self, process_index: usize, demand: TokenDemand) {
        self.next_number += 1;
        let number = self.next_number;
        let passed_over_until_ms = self.processes[process_index].passed_over_until_ms;
        let first = (0..2).find(|counter| passed_over_until_ms[*counter] <= self.now_ms);
        let Some(counter_index) = first else {
            let now = self.now();
            self.processes[process_index].holder.start_fallback(now);
            return self.decide_waiting(process_index);
        };
        if counter_index == process_index {
            let request = TokenRequest { start: 0, number, demand };
            let grant = self.handle_token_request(process_index, process_index, request);
            return self.apply_token_reply(process_index, grant);
        }
        let pending_request = PendingTokenRequest { number, counter_index, demand };
        self.processes[process_index].pending_request = Some(pending_request);
        self.send_token_request(process_index);
        for again in RESEND_AFTER_MS {
            let at = self.now() + Duration::from_millis(again);
            self.events.schedule(at, Event::ResendTimer { at: process_index, number });
        }
        let limit = Duration::from_millis(REPLY_TIMEOUT_MS);
        self.events.schedule(self.now() + limit, Event::ReplyTimeout { at: process_index, number });
    }

    fn send_token_request(&mut self, from: usize) {
        let Some(pending_request) = &self.processes[from].pending_request else { return };
        let PendingTokenRequest { number, counter_index: to, demand } = *pending_request;
        self.send(from, to, || Event::TokenRequested { from, to, number, demand });
    }

    fn resend_token_request(&mut self, process_index: usize, number: u64) {
        let pending_request = self.processes[process_index].pending_request.as_ref();
        if pending_request.is_some_and(|pending_request| pending_request.number == number) {
            self.send_token_request(process_index);
        }
    }

    fn handle_token_request(
        &mut self,
        from: usize,
        to: usize,
        request: TokenRequest,
    ) -> Option<TokenGrant> {
        // The second counter grants tokens only once it has detected that the first counter is
        // down, or while it cannot reach the first counter.
        let first_killed_ms = if self.is_killed { KILLED_MS.start } else { u64::MAX };
        let is_first_detected_dead =
            self.now_ms >= first_killed_ms.saturating_add(FAILURE_DETECTION_MS);
        if to != 0 && !is_first_detected_dead && self.reaches(to, 0) {
            return None;
        }
        let (limit, now) = (self.limit(), self.now());
        let share = self.share(to);
        let counter = &mut self.processes[to].counter;
        let counter = counter.get_or_insert_with(|| QuotaCounter::new(limit, now));
        counter.set_limit(limit, now);
        counter.set_share(share, now);
        Some(counter.grant_tokens(&from, request, now))
    }

    /// Returns the share of the limit that a counter may grant.
    ///
    /// All processes count as reachable: the third data hall relays heartbeats between the two
    /// partitioned data halls, and in other faults no counter is silent long enough to be dropped.
    fn share(&self, process_index: usize) -> f64 {
        if self.policy == QuotaPolicy::EachFullLimit {
            return 1.0;
        }
        let known = self.processes.len();
        AllocatorRank { better_ranked: process_index, reachable: known, known }
            .rate_share()
            .fraction()
    }

    fn handle_token_reply(&mut self, process_index: usize, number: u64, grant: Option<TokenGrant>) {
        let is_pending = self.processes[process_index]
            .pending_request
            .as_ref()
            .is_some_and(|request| request.number == number);
        if is_pending {
            self.processes[process_index].pending_request = None;
            self.apply_token_reply(process_index, grant);
        }
    }

    fn apply_token_reply(&mut self, process_index: usize, grant: Option<TokenGrant>) {
        let now = self.now();
        let holder = &mut self.processes[process_index].holder;
        match grant {
            Some(grant) => holder.apply_grant(&grant, now),
            None => holder.start_fallback(now),
        }
        self.decide_waiting(process_index);
    }

    fn handle_reply_timeout(&mut self, process_index: usize, number: u64) {
        let pending_request = self.processes[process_index]
            .pending_request
            .take_if(|request| request.number == number);
        if let Some(pending_request) = pending_request {
            self.processes[process_index].passed_over_until_ms[pending_request.counter_index] =
                self.now_ms + PASSED_OVER_MS;
            self.request_tokens(process_index, pending_request.demand);
        }
    }

    fn report_demand(&mut self, from: usize) {
        let demand = self.processes[from].demand(self.now_ms);
        for to in 0..self.processes.len() {
            if to == from {
                continue;
            }
            self.result.messages += 1;
            let is_lost = self.rng.random_bool(MESSAGE_LOSS_PROBABILITY);
            if !is_lost && self.reaches(from, to) {
                self.processes[to].reported_demand[from] = (demand, self.now_ms);
            }
        }
        let next = self.now() + Duration::from_millis(DEMAND_REPORT_INTERVAL_MS);
        self.events.schedule(next, Event::DemandReport { from });
    }

    fn share_by_demand(&mut self, process_index: usize) -> f64 {
        let now_ms = self.now_ms;
        let process_count = self.processes.len() as f64;
        let process = &mut self.processes[process_index];
        process.record_demand(now_ms);
        let own = process.demand(now_ms);
        let fresh = process
            .reported_demand
            .iter()
            .filter(|(_, at)| now_ms < at + DEMAND_REPORT_TTL_MS && *at > 0);
        let others: f64 = fresh.map(|(demand, _)| demand).sum();
        EQUAL_SHARE / process_count + (1.0 - EQUAL_SHARE) * own / (own + others)
    }

    fn admit_within_share(&mut self, process_index: usize, share_fraction: f64) -> bool {
        let (limit, now_ms) = (self.limit(), self.now_ms);
        let process = &mut self.processes[process_index];
        let passed_s = (now_ms - process.filled_ms) as f64 / 1_000.0;
        process.filled_ms = now_ms;
        let tokens_max = (limit.burst * share_fraction).max(1.0);
        process.tokens =
            (process.tokens + passed_s * limit.rate_per_s * share_fraction).min(tokens_max);
        let is_admitted = process.tokens >= 1.0;
        process.tokens -= if is_admitted { 1.0 } else { 0.0 };
        is_admitted
    }

    /// Compares the admitted requests with the limit in each window in which the limit is constant.
    fn evaluate(&mut self) {
        for start in (0..DAY_MS - WINDOW_MS).step_by(100) {
            let window = start..start + WINDOW_MS;
            let limit_change = LOWERED_AT_MS..LOWERED_AT_MS + LIMIT_PROPAGATION_MS;
            let overlaps_change = self.pattern.limit_lowered
                && window.start < limit_change.end
                && limit_change.start < window.end;
            if overlaps_change {
                continue;
            }
            let limit = self.limit_at(window.start);
            let allowed = limit.rate_per_s * WINDOW_MS as f64 / 1_000.0 + limit.burst;
            let admitted = count_in(&self.admitted_ms, &window) as f64;
            self.result.worst_window = self.result.worst_window.max(admitted / allowed);
            let allowed_by_rate = limit.rate_per_s * WINDOW_MS as f64 / 1_000.0;
            if count_in(&self.arrived_ms, &window) as f64 > allowed * 1.5 {
                self.result.admitted_in_overload += admitted.min(allowed_by_rate);
                self.result.allowed_in_overload += allowed_by_rate;
            }
        }
    }

    fn limit_at(&self, at_ms: u64) -> QuotaLimit {
        let is_lowered = self.pattern.limit_lowered && at_ms >= LOWERED_AT_MS;
        let factor = if is_lowered { LOWERED_FACTOR } else { 1.0 };
        QuotaLimit { rate_per_s: LIMIT.rate_per_s * factor, burst: LIMIT.burst * factor }
    }
}

fn count_in(times_ms: &[u64], window: &std::ops::Range<u64>) -> usize {
    let begin = times_ms.partition_point(|at| *at < window.start);
    let end = times_ms.partition_point(|at| *at < window.end);
    end - begin
}
