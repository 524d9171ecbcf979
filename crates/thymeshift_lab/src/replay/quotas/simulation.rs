//! One day of the model: callers of one organisation on many processes, event by event.

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
use thymeshift_organisations::TokenGrant;
use thymeshift_organisations::TokenRequest;
use thymeshift_types::Timestamp;

use crate::replay::event_queue::EventQueue;
use crate::replay::quotas::Partition;
use crate::replay::quotas::QuotaPattern;
use crate::replay::quotas::QuotaPolicy;
use crate::replay::quotas::QuotaResult;
use crate::replay::quotas::process::Process;
use crate::replay::quotas::process::Question;

/// Callers of the organisation, and its limit; demand is usually 1 / 1.6 of it.
const CALLERS: usize = 12;
pub(super) const LIMIT: QuotaLimit = QuotaLimit { rate_per_s: 80.0, burst: 80.0 };
const USUAL_PER_S: f64 = LIMIT.rate_per_s / 1.6;
/// Part of the limit that is left when it is lowered.
const LOWERED: f64 = 1.0 / 3.0;
/// Times of the day, in milliseconds.
const DAY_MS: u64 = 30_000;
const HOT_MS: std::ops::Range<u64> = 8_000..20_000;
const CUT_MS: std::ops::Range<u64> = 10_000..16_000;
const KILLED_MS: std::ops::Range<u64> = 10_000..11_000;
const LOWERED_AT_MS: u64 = 12_000;
const MOVE_AT_MS: u64 = 14_000;
/// Until all processes have a new limit in force, in milliseconds.
const IN_FORCE_MS: u64 = 2_500;
const HALLS: usize = 3;
/// Window over which the limit must hold, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// From one process to another, in milliseconds; messages that are lost and doubled.
const MESSAGE_MS: std::ops::Range<u64> = 1..4;
const LOST: f64 = 0.02;
const DOUBLED: f64 = 0.02;
/// How long a process waits for a counter, and passes over one that did not answer.
const ASKED_AGAIN_MS: [u64; 2] = [25, 50];
const ANSWER_LIMIT_MS: u64 = 105;
const PASSED_OVER_MS: u64 = 1_000;
/// Until others have noticed that a process is gone, in milliseconds.
const NOTICED_MS: u64 = 3_000;
/// Time between two messages of its demand to all others, and how long one counts.
const TELL_EVERY_MS: u64 = 250;
const TOLD_FOR_MS: u64 = 5_000;
/// Part of the limit that is divided equally where parts follow demand.
const EQUAL_PART: f64 = 0.2;

#[derive(Clone, Copy)]
enum Event {
    Arrives { caller: usize },
    Asked { from: usize, to: usize, number: u64, wanted: u32, arrived: u32 },
    Answered { to: usize, number: u64, counted: Option<TokenGrant> },
    AsksAgain { at: usize, number: u64 },
    TimedOut { at: usize, number: u64 },
    Tells { from: usize },
}

pub(super) struct QuotaSimulation {
    pattern: QuotaPattern,
    policy: QuotaPolicy,
    processes: Vec<Process>,
    /// The process of each caller.
    places: Vec<usize>,
    is_cut: Vec<bool>,
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
    pub(super) fn new(pattern: QuotaPattern, policy: QuotaPolicy, count: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Timestamp::from_millis(0);
        let processes = (0..count).map(|_| Process::new(count, start)).collect();
        let places = (0..CALLERS).map(|_| rng.random_range(0..count)).collect();
        // The first two rank first as counters; the cut leaves them together.
        let cut_off = if let Partition::Processes(part) = pattern.partition { part } else { 0.0 };
        let is_cut = (0..count).map(|place| place > 1 && rng.random_bool(cut_off));
        let is_cut = is_cut.collect();
        let mut day = Self {
            pattern,
            policy,
            processes,
            places,
            is_cut,
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
            day.next_arrival(caller);
        }
        if policy == QuotaPolicy::PartsByDemand {
            for from in 0..count {
                let at = day.rng.random_range(0..TELL_EVERY_MS);
                day.events.schedule(Timestamp::from_millis(at), Event::Tells { from });
            }
        }
        day
    }

    pub(super) fn run(mut self) -> QuotaResult {
        while let Some((at, event)) = self.events.pop() {
            self.now_ms = at.as_micros() / 1_000;
            if self.now_ms >= DAY_MS {
                break;
            }
            self.trouble();
            self.take(event);
        }
        self.evaluate();
        self.result
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// What strikes at this moment.
    fn trouble(&mut self) {
        if self.pattern.callers_move && !self.has_moved && self.now_ms >= MOVE_AT_MS {
            self.has_moved = true;
            for place in self.places.iter_mut().step_by(2) {
                *place = self.rng.random_range(0..self.processes.len());
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
                rate_per_s: LIMIT.rate_per_s * LOWERED,
                burst: LIMIT.burst * LOWERED,
            };
        }
        LIMIT
    }

    fn next_arrival(&mut self, caller: usize) {
        let is_hot = HOT_MS.contains(&self.now_ms);
        let per_s =
            USUAL_PER_S / CALLERS as f64 * if is_hot { self.pattern.demand_factor } else { 1.0 };
        let Ok(gaps) = Exp::new(per_s) else { return };
        let gap_ms = (gaps.sample(&mut self.rng) * 1_000.0).round() as u64;
        let at = Timestamp::from_millis(self.now_ms + gap_ms.clamp(1, DAY_MS));
        self.events.schedule(at, Event::Arrives { caller });
    }

    /// Whether a message from one process to another gets there.
    fn reaches(&self, from: usize, to: usize) -> bool {
        if self.is_killed && (from == 0 || to == 0) {
            return false;
        }
        let is_between = from % HALLS != to % HALLS && from % HALLS + to % HALLS == 1;
        match self.pattern.partition {
            Partition::Processes(_) if CUT_MS.contains(&self.now_ms) => {
                !self.is_cut[from] && !self.is_cut[to]
            }
            Partition::TwoHalls if CUT_MS.contains(&self.now_ms) => !is_between,
            Partition::None | Partition::Processes(_) | Partition::TwoHalls => true,
        }
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        self.result.messages += 1;
        if !self.reaches(from, to) || self.rng.random_bool(LOST) {
            return;
        }
        let copies = if self.rng.random_bool(DOUBLED) { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_range(MESSAGE_MS);
            self.events.schedule(self.now() + Duration::from_millis(late), event());
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives { caller } => {
                self.next_arrival(caller);
                let place = self.places[caller];
                // A caller of a process that is gone is served by another.
                let is_dead = self.is_killed && place == 0;
                let place = if is_dead { self.processes.len() - 1 } else { place };
                self.arrives(place);
            }
            Event::Asked { from, to, number, wanted, arrived } => {
                let asked = TokenRequest { number, wanted, arrived };
                let counted = self.count(from, to, asked);
                self.send(to, from, || Event::Answered { to: from, number, counted });
            }
            Event::Answered { to, number, counted } => self.answered(to, number, counted),
            Event::AsksAgain { at, number } => self.ask_again(at, number),
            Event::TimedOut { at, number } => self.timed_out(at, number),
            Event::Tells { from } => self.tell(from),
        }
    }

    fn arrives(&mut self, place: usize) {
        self.result.requests += 1;
        self.arrived_ms.push(self.now_ms);
        let now = self.now();
        let is_admitted = match self.policy {
            QuotaPolicy::Counted | QuotaPolicy::EachFullLimit => {
                let limit = self.limit();
                let process = &mut self.processes[place];
                process.holder.set_limit(limit, now);
                process.holder.record_arrival(now);
                process.waiting += 1;
                return self.pass_waiting(place);
            }
            QuotaPolicy::EqualParts => {
                let part = 1.0 / self.processes.len() as f64;
                self.admits_part(place, part)
            }
            QuotaPolicy::PartsByDemand => {
                let part = self.part_by_demand(place);
                self.admits_part(place, part)
            }
        };
        self.decided(is_admitted);
    }

    fn decided(&mut self, is_admitted: bool) {
        if is_admitted {
            self.admitted_ms.push(self.now_ms);
        }
        let is_within = self.pattern.demand_factor <= 1.0 && !self.pattern.limit_lowered;
        self.result.requests_within_limit += usize::from(is_within);
        self.result.wrongly_refused += usize::from(is_within && !is_admitted);
    }

    /// Decides on the requests that wait at a process, as far as that is possible now.
    fn pass_waiting(&mut self, place: usize) {
        while self.processes[place].waiting > 0 {
            let now = self.now();
            let passed = self.processes[place].holder.admit(now);
            match passed {
                Admission::AnswerPending => return,
                Admission::Ask { wanted, arrived } => return self.ask(place, wanted, arrived),
                Admission::Admitted | Admission::Refused(_) => {
                    self.processes[place].waiting -= 1;
                    self.decided(passed == Admission::Admitted);
                }
            }
        }
    }

    /// Asks the first of the two counters that is not passed over.
    fn ask(&mut self, place: usize, wanted: u32, arrived: u32) {
        self.next_number += 1;
        let number = self.next_number;
        let passed_over = self.processes[place].passed_over;
        let first = (0..2).find(|place| passed_over[*place] <= self.now_ms);
        let Some(asked_place) = first else {
            let now = self.now();
            self.processes[place].holder.start_fallback(now);
            return self.pass_waiting(place);
        };
        if asked_place == place {
            let asked = TokenRequest { number, wanted, arrived };
            let counted = self.count(place, place, asked);
            return self.hear(place, counted);
        }
        let question = Question { number, place: asked_place, wanted, arrived };
        self.processes[place].question = Some(question);
        self.send_question(place);
        for again in ASKED_AGAIN_MS {
            let at = self.now() + Duration::from_millis(again);
            self.events.schedule(at, Event::AsksAgain { at: place, number });
        }
        let limit = Duration::from_millis(ANSWER_LIMIT_MS);
        self.events.schedule(self.now() + limit, Event::TimedOut { at: place, number });
    }

    fn send_question(&mut self, from: usize) {
        let Some(question) = &self.processes[from].question else { return };
        let Question { number, place: to, wanted, arrived } = *question;
        self.send(from, to, || Event::Asked { from, to, number, wanted, arrived });
    }

    fn ask_again(&mut self, place: usize, number: u64) {
        let question = self.processes[place].question.as_ref();
        if question.is_some_and(|question| question.number == number) {
            self.send_question(place);
        }
    }

    fn count(&mut self, from: usize, to: usize, asked: TokenRequest) -> Option<TokenGrant> {
        // The second counts once it has noticed that the first is gone, or does not answer it.
        let first_gone_ms = if self.is_killed { KILLED_MS.start } else { u64::MAX };
        let is_first_gone = self.now_ms >= first_gone_ms.saturating_add(NOTICED_MS);
        if to != 0 && !is_first_gone && self.reaches(to, 0) {
            return None;
        }
        let (limit, now) = (self.limit(), self.now());
        let share = self.share(to);
        let counter = &mut self.processes[to].counter;
        let counter = counter.get_or_insert_with(|| QuotaCounter::new(limit, now));
        counter.set_limit(limit, now);
        counter.set_share(share, now);
        Some(counter.grant_tokens(&from, asked, now))
    }

    /// The part of the limit that a counter may hand out. The first one is heard of through the
    /// third hall, and is not silent for long enough otherwise to be forgotten.
    fn share(&self, place: usize) -> f64 {
        if self.policy == QuotaPolicy::EachFullLimit {
            return 1.0;
        }
        let known = self.processes.len();
        AllocatorRank { better_ranked: place, reachable: known, known }.rate_share().fraction()
    }

    fn answered(&mut self, place: usize, number: u64, counted: Option<TokenGrant>) {
        let is_open =
            self.processes[place].question.as_ref().is_some_and(|one| one.number == number);
        if is_open {
            self.processes[place].question = None;
            self.hear(place, counted);
        }
    }

    fn hear(&mut self, place: usize, counted: Option<TokenGrant>) {
        let now = self.now();
        let holder = &mut self.processes[place].holder;
        match counted {
            Some(counted) => holder.apply_grant(&counted, now),
            None => holder.start_fallback(now),
        }
        self.pass_waiting(place);
    }

    fn timed_out(&mut self, place: usize, number: u64) {
        let question = self.processes[place].question.take_if(|one| one.number == number);
        if let Some(question) = question {
            self.processes[place].passed_over[question.place] = self.now_ms + PASSED_OVER_MS;
            self.ask(place, question.wanted, question.arrived);
        }
    }

    fn tell(&mut self, from: usize) {
        let demand = self.processes[from].demand(self.now_ms);
        for to in 0..self.processes.len() {
            if to == from {
                continue;
            }
            self.result.messages += 1;
            let is_lost = self.rng.random_bool(LOST);
            if !is_lost && self.reaches(from, to) {
                self.processes[to].told[from] = (demand, self.now_ms);
            }
        }
        let next = self.now() + Duration::from_millis(TELL_EVERY_MS);
        self.events.schedule(next, Event::Tells { from });
    }

    fn part_by_demand(&mut self, place: usize) -> f64 {
        let now_ms = self.now_ms;
        let count = self.processes.len() as f64;
        let process = &mut self.processes[place];
        process.arrives(now_ms);
        let own = process.demand(now_ms);
        let fresh = process.told.iter().filter(|(_, at)| now_ms < at + TOLD_FOR_MS && *at > 0);
        let others: f64 = fresh.map(|(demand, _)| demand).sum();
        EQUAL_PART / count + (1.0 - EQUAL_PART) * own / (own + others)
    }

    fn admits_part(&mut self, place: usize, part: f64) -> bool {
        let (limit, now_ms) = (self.limit(), self.now_ms);
        let process = &mut self.processes[place];
        let passed_s = (now_ms - process.filled_ms) as f64 / 1_000.0;
        process.filled_ms = now_ms;
        let most = (limit.burst * part).max(1.0);
        process.tokens = (process.tokens + passed_s * limit.rate_per_s * part).min(most);
        let is_admitted = process.tokens >= 1.0;
        process.tokens -= if is_admitted { 1.0 } else { 0.0 };
        is_admitted
    }

    /// What was admitted in each window that one limit holds in.
    fn evaluate(&mut self) {
        for start in (0..DAY_MS - WINDOW_MS).step_by(100) {
            let window = start..start + WINDOW_MS;
            let changes = LOWERED_AT_MS..LOWERED_AT_MS + IN_FORCE_MS;
            let is_mixed = self.pattern.limit_lowered
                && window.start < changes.end
                && changes.start < window.end;
            if is_mixed {
                continue;
            }
            let limit = self.limit_at(window.start);
            let allowed = limit.rate_per_s * WINDOW_MS as f64 / 1_000.0 + limit.burst;
            let admitted = count_in(&self.admitted_ms, &window) as f64;
            self.result.worst_window = self.result.worst_window.max(admitted / allowed);
            let rate_alone = limit.rate_per_s * WINDOW_MS as f64 / 1_000.0;
            if count_in(&self.arrived_ms, &window) as f64 > allowed * 1.5 {
                self.result.admitted_in_overload += admitted.min(rate_alone);
                self.result.allowed_in_overload += rate_alone;
            }
        }
    }

    fn limit_at(&self, at_ms: u64) -> QuotaLimit {
        let is_lowered = self.pattern.limit_lowered && at_ms >= LOWERED_AT_MS;
        let part = if is_lowered { LOWERED } else { 1.0 };
        QuotaLimit { rate_per_s: LIMIT.rate_per_s * part, burst: LIMIT.burst * part }
    }
}

fn count_in(moments_ms: &[u64], window: &std::ops::Range<u64>) -> usize {
    let begin = moments_ms.partition_point(|at| *at < window.start);
    let end = moments_ms.partition_point(|at| *at < window.end);
    end - begin
}
