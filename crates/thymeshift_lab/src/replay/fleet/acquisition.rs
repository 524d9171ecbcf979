//! How a call finds a target, and what its answer leads to.

use std::time::Duration;

use rand::Rng;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::LeaseGrant;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::LeaseReport;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Request;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::replay::fleet::Arrival;
use crate::replay::fleet::Call;
use crate::replay::fleet::Event;
use crate::replay::fleet::HALLS;
use crate::replay::fleet::Outcome;
use crate::replay::fleet::Scenario;
use crate::replay::fleet::SimulatedFleet;
use crate::replay::fleet::TARGETS;
use crate::replay::fleet::process::GroupState;
use crate::replay::fleet::process::PendingCall;
use crate::replay::fleet::process::RunningCall;

/// Wait for an allocator's first word, and beyond the end of a call's wait for its last.
const FIRST_WORD_MS: u64 = 25;
const LAST_WORD_SLACK_MS: u64 = 25;
/// Allocators asked for one attempt, and grants of one of them that are given back.
const ALLOCATORS_ASKED_MAX: usize = 2;
const GIVEN_BACK_MAX: usize = 4;
/// Longest wait of an attempt for a target, and its deadline, in milliseconds.
const WAIT_MS: u64 = 200;
const DEADLINE_MS: u64 = 800;

impl<S: Scenario> SimulatedFleet<S> {
    pub(super) fn call(&mut self) {
        self.next_call();
        let mut place = self.rng.random_range(0..self.processes.len());
        if self.is_frozen(place) || (self.is_killed && place == 0) {
            // Its callers go to another one.
            place = self.processes.len() - 1;
        }
        self.processes[place].own.record_request();
        self.attempt(place, Call::new(self.now_ms));
    }

    /// Looks for a target for a first or second attempt.
    fn attempt(&mut self, place: usize, call: Call) {
        let request = request(self.now(), call, WAIT_MS, Excluded::default());
        let own = &self.processes[place].own;
        if own.backoff_refusal(&request, self.now(), &mut self.rng).is_some() {
            return self.scenario.record_outcome(self.now_ms, Outcome::Refused);
        }
        if self.scenario.asks_allocators() {
            self.ask(place, 0, 0, call);
        } else {
            self.decide_alone(place, call);
        }
    }

    /// Asks the next allocator that is reachable and not passed over.
    fn ask(&mut self, place: usize, asked: usize, given_back: usize, call: Call) {
        let usable = (0..self.contenders()).filter(|other| {
            self.hears_of(place, *other)
                && !self.processes[place].is_passed_over(*other, self.now_ms)
        });
        let allocator = usable.take(1).next();
        let Some(allocator) = allocator.filter(|_| asked < ALLOCATORS_ASKED_MAX) else {
            return self.decide_alone(place, call);
        };
        self.next_number += 1;
        let number = self.next_number;
        let until_ms = self.now_ms + FIRST_WORD_MS;
        let pending = PendingCall { allocator, asked, given_back, call, until_ms };
        self.processes[place].pending.insert(number, pending);
        let wait_ms = (call.began_ms + WAIT_MS).saturating_sub(self.now_ms);
        let held = self.processes[place].held(allocator);
        let excluded = self.excluded(place);
        self.send(place, allocator, || Event::Acquire {
            from: place,
            to: allocator,
            number,
            call,
            wait_ms,
            excluded,
            held: held.clone(),
        });
        self.add(FIRST_WORD_MS, Event::Unheard { at: place, number });
    }

    /// Targets that the allocator must not grant. All processes number them alike.
    fn excluded(&mut self, place: usize) -> Excluded {
        if !self.scenario.names_excluded() {
            return Excluded::default();
        }
        let now = self.now();
        let own = &mut self.processes[place].own;
        let names = own.backing_off_targets(None, now);
        names.iter().filter_map(|name| own.index_of(name)).collect()
    }

    pub(super) fn acquire(
        &mut self,
        key: LeaseKey<usize>,
        to: usize,
        request: Request,
        held: &[u64],
    ) {
        let now = self.now();
        let LeaseKey { holder: from, number } = key;
        let share = self.share(to);
        let hall = self.halls[to % HALLS].clone();
        let state = self.processes[to].state(&self.configuration, &hall, now);
        let GroupState { dispatcher, allocator } = state;
        dispatcher.set_rate_share(share);
        allocator.release_unlisted(&from, held, dispatcher, now);
        let allocation = allocator.acquire(key, request, dispatcher, now, &mut self.rng);
        self.send(to, from, || Event::Told { to: from, number, allocation: allocation.clone() });
        self.wake(to);
    }

    pub(super) fn told(&mut self, place: usize, number: u64, allocation: Allocation) {
        let Some(pending) = self.processes[place].pending.get_mut(&number) else {
            return;
        };
        let allocator = pending.allocator;
        match allocation {
            Allocation::Waiting => {
                let until_ms = pending.call.began_ms + WAIT_MS + LAST_WORD_SLACK_MS;
                pending.until_ms = until_ms;
                let after_ms = until_ms.saturating_sub(self.now_ms);
                self.add(after_ms, Event::Unheard { at: place, number });
            }
            Allocation::Refused(_) => {
                self.processes[place].pending.remove(&number);
                self.scenario.record_outcome(self.now_ms, Outcome::Refused);
            }
            Allocation::Granted(granted) => self.granted(place, number, &granted),
        }
        self.processes[place].answered_by(allocator);
    }

    fn granted(&mut self, place: usize, number: u64, granted: &LeaseGrant) {
        let now = self.now();
        let process = &mut self.processes[place];
        let Some(pending) = process.pending.remove(&number) else {
            return;
        };
        let granted_here = process.own.grant_target(&granted.target, granted.rate_limit, now);
        let mut report = LeaseReport::default();
        if let Some(grant) = granted_here {
            if process.own.is_within_limit(&grant) {
                return self.begin(place, number, grant, Some(pending.allocator), pending.call);
            }
            report.rate_limit = process.own.rate_limit_update(&grant, now);
            process.own.release(grant, now);
        }
        self.release(place, pending.allocator, number, report, None);
        if pending.given_back + 1 < GIVEN_BACK_MAX {
            self.ask(place, pending.asked, pending.given_back + 1, pending.call);
        } else {
            self.decide_alone(place, pending.call);
        }
    }

    fn release(
        &mut self,
        from: usize,
        to: usize,
        number: u64,
        report: LeaseReport,
        backoff: Option<&(TargetName, Duration)>,
    ) {
        let release = || Event::Release { from, to, number, report, backoff: backoff.cloned() };
        self.send(from, to, release);
    }

    pub(super) fn unheard(&mut self, place: usize, number: u64) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[place];
        let is_over =
            process.pending.get(&number).is_some_and(|pending| now_ms >= pending.until_ms);
        if !is_over {
            return;
        }
        if let Some(pending) = process.pending.remove(&number) {
            process.pass_over(pending.allocator, now_ms);
            self.release(place, pending.allocator, number, LeaseReport::default(), None);
            self.ask(place, pending.asked + 1, pending.given_back, pending.call);
        }
    }

    fn decide_alone(&mut self, place: usize, call: Call) {
        let now = self.now();
        let at_once = Request { queue_max: 0, ..request(now, call, WAIT_MS, Excluded::default()) };
        match self.processes[place].own.request(at_once, now, &mut self.rng) {
            Decision::Send(grant) => {
                self.next_number += 1;
                self.begin(place, self.next_number, grant, None, call);
            }
            Decision::Wait(ticket) => {
                self.processes[place].own.cancel(ticket);
                self.scenario.record_outcome(self.now_ms, Outcome::Refused);
            }
            Decision::Refuse(_) => self.scenario.record_outcome(self.now_ms, Outcome::Refused),
        }
    }

    fn begin(
        &mut self,
        place: usize,
        number: u64,
        grant: Grant,
        allocator: Option<usize>,
        call: Call,
    ) {
        let name = self.processes[place].own.target_name(&grant);
        let target = name.as_str().trim_start_matches('t').parse().unwrap_or(TARGETS);
        let arrival = Arrival { process: place, target, at_ms: self.now_ms };
        let (after_ms, answer) = self.scenario.answer(arrival, &mut self.rng);
        self.processes[place].running.insert(number, RunningCall { grant, allocator, call });
        self.add(after_ms, Event::Answer { at: place, number, answer });
    }

    pub(super) fn answer(&mut self, place: usize, number: u64, answer: &S::Answer) {
        let now = self.now();
        let process = &mut self.processes[place];
        let Some(RunningCall { grant, allocator, call }) = process.running.remove(&number) else {
            return;
        };
        let (observation, backoff) =
            self.scenario.apply_answer(answer, &mut process.own, &grant, now);
        let rate_limit = process.own.rate_limit_update(&grant, now);
        let (target, name) = (grant.target(), process.own.target_name(&grant));
        process.own.release(grant, now);
        if let Some(allocator) = allocator {
            let observation = Some(observation);
            let report = LeaseReport { observation, rate_limit, leaving: None };
            self.release(
                place,
                allocator,
                number,
                report,
                backoff.map(|wait| (name, wait)).as_ref(),
            );
        }
        match observation {
            Observation::Answered(_) => self.scenario.record_outcome(self.now_ms, Outcome::Served),
            _ if call.has_attempt() && self.processes[place].own.try_spend_retry() => {
                self.attempt(place, call.next(target));
            }
            _ => self.scenario.record_outcome(self.now_ms, Outcome::RefusedByTarget),
        }
    }
}

pub(super) fn request(now: Timestamp, call: Call, wait_ms: u64, excluded: Excluded) -> Request {
    let wait_until = now + Duration::from_millis(wait_ms);
    Request {
        priority: 1,
        deadline: now + Duration::from_millis(DEADLINE_MS),
        wait_until,
        objective: wait_until,
        queue_max: 100,
        tried: call.tried,
        excluded,
        origin: HallIndex::default(),
        answer_kib: 0,
    }
}
