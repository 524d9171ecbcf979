//! One day of the model: calls at many processes, targets that name limits, event by event.

use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::AllocatorRank;
use thymeshift_allocation::Granted;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::LeaseReport;
use thymeshift_config::Configuration;
use thymeshift_config::Mistakes;
use thymeshift_config::RequestRate;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::RateLimitUpdate;
use thymeshift_dispatch::RateShare;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::replay::events::Events;
use crate::replay::limits::LimitPattern;
use crate::replay::limits::LimitPolicy;
use crate::replay::limits::LimitResult;
use crate::replay::limits::Trouble;
use crate::replay::limits::judge::DAY_MS;
use crate::replay::limits::judge::judge;
use crate::replay::limits::judge::limit_at;
use crate::replay::limits::process::Asking;
use crate::replay::limits::process::GroupState;
use crate::replay::limits::process::Process;
use crate::replay::limits::process::Running;

const TARGETS: usize = 7;
const HALLS: usize = 3;
/// Processes that may allocate: the contacts of the halls.
const CONTENDERS_MAX: usize = 24;
/// When trouble strikes, and until when, in milliseconds.
const TROUBLE_MS: std::ops::Range<u64> = 10_000..16_000;
const KILLED_MS: std::ops::Range<u64> = 10_000..11_000;
const FROZEN_MS: std::ops::Range<u64> = 10_000..13_000;
/// Part of the processes that is cut off.
const CUT_OFF: f64 = 0.35;
/// Until a process that is not heard of is suspected, in a small fleet and for each further 24.
const SUSPECTED_MS: u64 = 5_000;
const MEMBERS_PER_PATIENCE: usize = 24;
/// From one process to another, and to a target, in milliseconds; messages lost and doubled.
const WAY_MS: std::ops::Range<u64> = 1..4;
const LOST: f64 = 0.02;
const DOUBLED: f64 = 0.02;
/// Work of a target, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 40..80;
/// Wait for an allocator's first word, and beyond the end of a call's wait for its last.
const FIRST_WORD_MS: u64 = 25;
const LAST_WORD_SLACK_MS: u64 = 25;
const ALLOCATORS_ASKED_MAX: usize = 2;
const UNCOUNTED_MAX: usize = 4;
/// Longest wait of a call for a target, and its deadline, in milliseconds.
const WAIT_MS: u64 = 200;
const DEADLINE_MS: u64 = 800;
/// Time between two exchanges of a process with others.
const EXCHANGE_MS: u64 = 1_250;
/// Time between two looks at waiting calls.
const TICK_MS: u64 = 10;

enum Event {
    Call,
    Acquire {
        from: usize,
        to: usize,
        number: u64,
        wait_ms: u64,
        held: Vec<u64>,
    },
    Told {
        to: usize,
        number: u64,
        allocation: Allocation,
    },
    Unheard {
        at: usize,
        number: u64,
    },
    Answer {
        at: usize,
        number: u64,
        limit: Option<f64>,
    },
    Release {
        from: usize,
        to: usize,
        number: u64,
        told: Option<RateLimitUpdate>,
        is_answered: bool,
    },
    /// A process exchanges what it knows of limits with another one.
    Exchange {
        at: usize,
    },
    Tick,
}

pub(super) struct Day {
    pattern: LimitPattern,
    policy: LimitPolicy,
    configuration: Configuration,
    halls: Vec<DataHallName>,
    processes: Vec<Process>,
    is_cut: Vec<bool>,
    events: Events<Event>,
    rng: SmallRng,
    now_ms: u64,
    next_number: u64,
    is_killed: bool,
    arrived_ms: Vec<Vec<u64>>,
    result: LimitResult,
}

impl Day {
    pub(super) fn new(
        pattern: LimitPattern,
        policy: LimitPolicy,
        count: usize,
        seed: u64,
    ) -> Result<Self, Mistakes> {
        let configuration = Configuration::parse(&configuration_text(count))?;
        let halls = configuration.data_halls.clone();
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Timestamp::from_millis(0);
        let view = if policy == LimitPolicy::EqualParts { View::Own } else { View::Fallback };
        let process =
            |place: usize| Process::new(&configuration, &halls[place % HALLS], view, start);
        let processes: Vec<_> = (0..count).map(process).collect();
        // The first two allocators stay together, and with most others.
        let is_cut = (0..count).map(|place| place > 1 && rng.random_bool(CUT_OFF)).collect();
        let mut day = Self {
            pattern,
            policy,
            processes,
            halls,
            configuration,
            is_cut,
            events: Events::default(),
            rng,
            now_ms: 0,
            next_number: 0,
            is_killed: false,
            arrived_ms: vec![Vec::new(); pattern.needy],
            result: LimitResult::default(),
        };
        day.add(0, Event::Tick);
        for at in 0..count {
            let first_ms = day.rng.random_range(0..EXCHANGE_MS);
            day.add(first_ms, Event::Exchange { at });
        }
        day.next_call();
        Ok(day)
    }

    pub(super) fn play(mut self) -> LimitResult {
        while let Some((at, event)) = self.events.next() {
            self.now_ms = at.as_micros() / 1_000;
            if self.now_ms >= DAY_MS {
                break;
            }
            self.kill_or_start_first();
            self.take(event);
        }
        judge(&self.pattern, &self.arrived_ms, &mut self.result);
        self.result
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn add(&mut self, after_ms: u64, event: Event) {
        self.events.add(self.now() + Duration::from_millis(after_ms), event);
    }

    fn next_call(&mut self) {
        let Ok(gaps) = Exp::new(self.pattern.calls_per_s) else { return };
        let gap_ms = (gaps.sample(&mut self.rng) * 1_000.0).round() as u64;
        self.add(gap_ms.max(1), Event::Call);
    }

    fn kill_or_start_first(&mut self) {
        let is_killed =
            self.pattern.trouble == Trouble::FirstKilled && KILLED_MS.contains(&self.now_ms);
        if is_killed && !self.is_killed {
            let hall = &self.halls[0];
            self.processes[0] = Process::new(&self.configuration, hall, View::Fallback, self.now());
        }
        self.is_killed = is_killed;
    }

    fn is_frozen(&self, place: usize) -> bool {
        place == 0
            && self.pattern.trouble == Trouble::FirstFrozen
            && FROZEN_MS.contains(&self.now_ms)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        if self.is_killed && (from == 0 || to == 0) {
            return false;
        }
        let is_in_trouble = TROUBLE_MS.contains(&self.now_ms);
        match self.pattern.trouble {
            Trouble::CutOff if is_in_trouble => !self.is_cut[from] && !self.is_cut[to],
            Trouble::TwoHallsCut if is_in_trouble => {
                from % HALLS + to % HALLS != 1 || from % HALLS == to % HALLS
            }
            _ => true,
        }
    }

    /// Whether `at` has heard of `other` lately, directly or not.
    fn hears_of(&self, at: usize, other: usize) -> bool {
        let patience = 1 + (self.processes.len().min(CONTENDERS_MAX) / MEMBERS_PER_PATIENCE) as u64;
        let is_silent = match self.pattern.trouble {
            Trouble::FirstKilled => self.is_killed && other == 0,
            Trouble::CutOff => {
                let is_apart = self.is_cut[at] || self.is_cut[other];
                is_apart && TROUBLE_MS.contains(&self.now_ms)
            }
            Trouble::None | Trouble::FirstFrozen | Trouble::TwoHallsCut => false,
        };
        !is_silent || self.now_ms < TROUBLE_MS.start + SUSPECTED_MS * patience
    }

    fn contenders(&self) -> usize {
        self.processes.len().min(CONTENDERS_MAX)
    }

    fn share(&self, place: usize) -> RateShare {
        if self.policy != LimitPolicy::Allocated {
            return RateShare::WHOLE;
        }
        let heard = |other: &usize| *other == place || self.hears_of(place, *other);
        let known = self.contenders();
        let rank = AllocatorRank {
            before: (0..place.min(known)).filter(heard).count(),
            heard: (0..known).filter(heard).count(),
            known,
        };
        rank.rate_share()
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        if from == to {
            self.add(0, event());
            return;
        }
        self.result.messages += 1;
        if !self.reaches(from, to) || self.rng.random_bool(LOST) {
            return;
        }
        let copies = if self.rng.random_bool(DOUBLED) { 2 } else { 1 };
        for _ in 0..copies {
            let late_ms = self.rng.random_range(WAY_MS);
            self.add(late_ms, event());
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Call => self.call(),
            Event::Acquire { from, to, number, wait_ms, held } => {
                if self.is_frozen(to) {
                    let event = Event::Acquire { from, to, number, wait_ms, held };
                    self.add(FROZEN_MS.end - self.now_ms, event);
                } else {
                    self.acquire(from, to, number, wait_ms, &held);
                }
            }
            Event::Told { to, number, allocation } => self.told(to, number, allocation),
            Event::Unheard { at, number } => self.unheard(at, number),
            Event::Answer { at, number, limit } => self.answer(at, number, limit),
            Event::Release { from, to, number, told, is_answered } => {
                let observation = is_answered.then_some(Observation::Answered(None));
                let now = self.now();
                if let Some(GroupState { dispatcher, allocator }) = &mut self.processes[to].state {
                    let key = LeaseKey { holder: from, number };
                    let report = LeaseReport { observation, rate_limit: told, leaving: None };
                    allocator.release(&key, &report, dispatcher, now);
                }
                self.wake(to);
            }
            Event::Exchange { at } => self.exchange(at),
            Event::Tick => self.tick(),
        }
    }

    fn exchange(&mut self, at: usize) {
        self.add(EXCHANGE_MS, Event::Exchange { at });
        let other = self.rng.random_range(0..self.processes.len());
        if self.is_frozen(at) || self.is_frozen(other) || !self.reaches(at, other) {
            return;
        }
        let now = self.now();
        let (known, of_other) =
            (self.processes[at].own.rate_limits(now), self.processes[other].own.rate_limits(now));
        self.processes[other].learn(&known, now);
        self.processes[at].learn(&of_other, now);
    }

    fn tick(&mut self) {
        self.add(TICK_MS, Event::Tick);
        for place in 0..self.contenders() {
            let now = self.now();
            if self.is_frozen(place) {
                continue;
            }
            if let Some(GroupState { dispatcher, allocator }) = &mut self.processes[place].state {
                allocator.expire(dispatcher, now);
                dispatcher.tick(now);
            }
            self.wake(place);
        }
    }

    fn wake(&mut self, place: usize) {
        let now = self.now();
        let mut woken = Vec::new();
        if let Some(GroupState { dispatcher, allocator }) = &mut self.processes[place].state {
            while let Some(wake) = dispatcher.next_wake(now, &mut self.rng) {
                let (ticket, decided) = match wake {
                    Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                    Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
                };
                match allocator.woken(ticket, decided, dispatcher, now) {
                    Ok(told) => woken.push(told),
                    Err(Ok(grant)) => dispatcher.release(grant, now),
                    Err(Err(_)) => {}
                }
            }
        }
        for (key, allocation) in woken {
            self.send(place, key.holder, || Event::Told {
                to: key.holder,
                number: key.number,
                allocation: allocation.clone(),
            });
        }
    }

    fn call(&mut self) {
        self.next_call();
        let mut place = self.rng.random_range(0..self.processes.len());
        if self.is_frozen(place) || (self.is_killed && place == 0) {
            // Its callers go to another one.
            place = self.processes.len() - 1;
        }
        self.result.calls += 1;
        match self.policy {
            LimitPolicy::EqualParts => self.decide_alone(place),
            _ => self.ask(place, 0, 0, self.now_ms),
        }
    }

    /// Asks the next allocator that is heard of and not passed over.
    fn ask(&mut self, place: usize, asked: usize, uncounted: usize, arrived_ms: u64) {
        let usable = (0..self.contenders()).filter(|other| {
            self.hears_of(place, *other)
                && !self.processes[place].is_passed_over(*other, self.now_ms)
        });
        let allocator = usable.take(1).next();
        let Some(allocator) = allocator.filter(|_| asked < ALLOCATORS_ASKED_MAX) else {
            return self.decide_alone(place);
        };
        self.next_number += 1;
        let number = self.next_number;
        let until_ms = self.now_ms + FIRST_WORD_MS;
        let asking = Asking { allocator, asked, uncounted, arrived_ms, until_ms };
        self.processes[place].asking.insert(number, asking);
        let wait_ms = (arrived_ms + WAIT_MS).saturating_sub(self.now_ms);
        let held = self.processes[place].held(allocator);
        self.send(place, allocator, || Event::Acquire {
            from: place,
            to: allocator,
            number,
            wait_ms,
            held: held.clone(),
        });
        self.add(FIRST_WORD_MS, Event::Unheard { at: place, number });
    }

    fn acquire(&mut self, from: usize, to: usize, number: u64, wait_ms: u64, held: &[u64]) {
        let now = self.now();
        let share = self.share(to);
        let hall = self.halls[to % HALLS].clone();
        let state = self.processes[to].state(&self.configuration, &hall, now);
        let GroupState { dispatcher, allocator } = state;
        dispatcher.set_rate_share(share);
        allocator.keep_only(&from, held, dispatcher, now);
        let key = LeaseKey { holder: from, number };
        let request = request(now, wait_ms);
        let allocation = allocator.acquire(key, request, dispatcher, now, &mut self.rng);
        self.send(to, from, || Event::Told { to: from, number, allocation: allocation.clone() });
        self.wake(to);
    }

    fn told(&mut self, place: usize, number: u64, allocation: Allocation) {
        let Some(asking) = self.processes[place].asking.get_mut(&number) else {
            return;
        };
        let allocator = asking.allocator;
        match allocation {
            Allocation::Waiting => {
                let until_ms = asking.arrived_ms + WAIT_MS + LAST_WORD_SLACK_MS;
                asking.until_ms = until_ms;
                let after_ms = until_ms.saturating_sub(self.now_ms);
                self.add(after_ms, Event::Unheard { at: place, number });
            }
            Allocation::Refused(_) => {
                self.processes[place].asking.remove(&number);
                self.result.refused += 1;
            }
            Allocation::Granted(granted) => self.granted(place, number, &granted),
        }
        self.processes[place].answered_by(allocator);
    }

    fn granted(&mut self, place: usize, number: u64, granted: &Granted) {
        let now = self.now();
        let process = &mut self.processes[place];
        let Some(asking) = process.asking.remove(&number) else {
            return;
        };
        let Some(grant) = process.own.grant_at(&granted.target, granted.rate_limit, now) else {
            return;
        };
        let allocator = Some(asking.allocator);
        if process.own.is_within_limit(&grant) {
            return self.begin(place, number, grant, allocator);
        }
        let told = process.own.rate_limit_update(&grant, now);
        process.own.release(grant, now);
        self.release(place, asking.allocator, number, told, false);
        if asking.uncounted + 1 < UNCOUNTED_MAX {
            self.ask(place, asking.asked, asking.uncounted + 1, asking.arrived_ms);
        } else {
            self.decide_alone(place);
        }
    }

    fn release(
        &mut self,
        from: usize,
        to: usize,
        number: u64,
        told: Option<RateLimitUpdate>,
        is_answered: bool,
    ) {
        self.send(from, to, || Event::Release { from, to, number, told, is_answered });
    }

    fn unheard(&mut self, place: usize, number: u64) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[place];
        let is_over = process.asking.get(&number).is_some_and(|asking| now_ms >= asking.until_ms);
        if !is_over {
            return;
        }
        if let Some(asking) = process.asking.remove(&number) {
            process.pass_over(asking.allocator, now_ms);
            self.release(place, asking.allocator, number, None, false);
            self.ask(place, asking.asked + 1, asking.uncounted, asking.arrived_ms);
        }
    }

    fn decide_alone(&mut self, place: usize) {
        let now = self.now();
        let at_once = Request { queue_max: 0, ..request(now, WAIT_MS) };
        match self.processes[place].own.request(at_once, now, &mut self.rng) {
            Decision::Send(grant) => {
                self.next_number += 1;
                self.begin(place, self.next_number, grant, None);
            }
            Decision::Wait(ticket) => {
                self.processes[place].own.cancel(ticket);
                self.result.refused += 1;
            }
            Decision::Refuse(_) => self.result.refused += 1,
        }
    }

    fn begin(
        &mut self,
        place: usize,
        number: u64,
        grant: thymeshift_dispatch::Grant,
        allocator: Option<usize>,
    ) {
        let name = self.processes[place].own.target_name(&grant);
        let target = name.as_str().trim_start_matches('t').parse().unwrap_or(TARGETS);
        if let Some(arrived) = self.arrived_ms.get_mut(target) {
            arrived.push(self.now_ms);
        }
        self.processes[place].running.insert(number, Running { grant, allocator });
        let work_ms = self.rng.random_range(WORK_MS);
        let is_needy = target < self.pattern.needy && self.policy != LimitPolicy::Unread;
        let limit = limit_at(&self.pattern, self.now_ms + work_ms).filter(|_| is_needy);
        self.add(work_ms, Event::Answer { at: place, number, limit });
    }

    fn answer(&mut self, place: usize, number: u64, limit: Option<f64>) {
        let now = self.now();
        let process = &mut self.processes[place];
        let Some(Running { grant, allocator }) = process.running.remove(&number) else {
            return;
        };
        let stated = limit.map(|per_s| RequestRate::per_1000_s((per_s * 1_000.0) as u64));
        process.own.learn_rate_limit(&grant, stated, now);
        let _ = process.own.learn(&grant, Observation::Answered(None), now);
        let told = process.own.rate_limit_update(&grant, now);
        process.own.release(grant, now);
        if let Some(allocator) = allocator {
            self.release(place, allocator, number, told, true);
        }
    }
}

fn request(now: Timestamp, wait_ms: u64) -> Request {
    let wait_until = now + Duration::from_millis(wait_ms);
    Request {
        priority: 1,
        deadline: now + Duration::from_millis(DEADLINE_MS),
        wait_until,
        objective: wait_until,
        queue_max: 100,
        tried: Tried::default(),
        excluded: Excluded::default(),
        origin: HallIndex::default(),
        answer_kib: 0,
    }
}

fn configuration_text(count: usize) -> String {
    let mut text = format!(
        "entry_vms_max: {count}\ndata_halls: [a, b, c]\ndata_hall_one_way_us: 1500\nkinds: []\n\
         services:\n- name: s\n  slots_per_target: 8\n  connections_per_target: 100000\n  targets:\n"
    );
    for index in 0..TARGETS {
        let hall = ['a', 'b', 'c'][index % HALLS];
        let _ = writeln!(
            text,
            "  - {{ name: t{index}, address: '127.0.0.1:{}', data_hall: {hall} }}",
            index + 1
        );
    }
    text
}
