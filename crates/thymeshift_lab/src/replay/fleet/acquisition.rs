//! Acquisition of targets for simulated calls, and the handling of the targets' answers.

use std::time::Duration;

use rand::Rng;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::LeaseGrant;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::LeaseReport;
use thymeshift_dispatch::CallerClass;
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
use crate::replay::fleet::HALL_COUNT;
use crate::replay::fleet::Outcome;
use crate::replay::fleet::Scenario;
use crate::replay::fleet::SimulatedFleet;
use crate::replay::fleet::TARGETS;
use crate::replay::fleet::process::GroupState;
use crate::replay::fleet::process::PendingCall;
use crate::replay::fleet::process::RunningCall;

/// Time until a process gives up on an allocator that sent no reply, in milliseconds.
const ACQUIRE_TIMEOUT_MS: u64 = 25;
/// Time after a call's wait limit until a process gives up on the final reply, in milliseconds.
const WAIT_TIMEOUT_MARGIN_MS: u64 = 25;
/// Maximum number of allocators that one attempt asks for a target.
const ALLOCATORS_ASKED_MAX: usize = 2;
/// Number of unusable grants after which an attempt decides without the allocator.
const RETURNED_GRANTS_MAX: usize = 4;
/// Maximum wait of an attempt for a target, in milliseconds.
const WAIT_MAX_MS: u64 = 200;
/// Deadline of an attempt after its start, in milliseconds.
const DEADLINE_MS: u64 = 800;

impl<S: Scenario> SimulatedFleet<S> {
    pub(super) fn handle_call(&mut self) {
        self.next_call();
        let mut process_index = self.rng.random_range(0..self.processes.len());
        if self.is_frozen(process_index) || (self.is_killed && process_index == 0) {
            // Callers of an unavailable process connect to the last process instead.
            process_index = self.processes.len() - 1;
        }
        self.processes[process_index].own_dispatcher.record_request();
        self.request_target(process_index, Call::new(self.now_ms));
    }

    /// Requests a target for the first or second attempt of a call.
    fn request_target(&mut self, process_index: usize, call: Call) {
        let request = request(self.now(), call, WAIT_MAX_MS, Excluded::default());
        let own_dispatcher = &self.processes[process_index].own_dispatcher;
        if own_dispatcher.backoff_refusal(&request, self.now(), &mut self.rng).is_some() {
            return self.scenario.record_outcome(self.now_ms, Outcome::Refused);
        }
        if self.scenario.asks_allocators() {
            self.ask_allocator(process_index, 0, 0, call);
        } else {
            self.decide_locally(process_index, call);
        }
    }

    /// Sends an acquire request to the best-ranked allocator that is reachable and not passed over.
    fn ask_allocator(
        &mut self,
        process_index: usize,
        allocators_asked: usize,
        returned_grants: usize,
        call: Call,
    ) {
        let usable = (0..self.allocator_candidates()).filter(|other| {
            self.receives_heartbeats(process_index, *other)
                && !self.processes[process_index].is_passed_over(*other, self.now_ms)
        });
        let allocator = usable.take(1).next();
        let Some(allocator) = allocator.filter(|_| allocators_asked < ALLOCATORS_ASKED_MAX) else {
            return self.decide_locally(process_index, call);
        };
        self.next_number += 1;
        let number = self.next_number;
        let expires_at_ms = self.now_ms + ACQUIRE_TIMEOUT_MS;
        let pending =
            PendingCall { allocator, allocators_asked, returned_grants, call, expires_at_ms };
        self.processes[process_index].pending.insert(number, pending);
        let wait_ms = (call.started_ms + WAIT_MAX_MS).saturating_sub(self.now_ms);
        let held = self.processes[process_index].held_leases(allocator);
        let excluded = self.excluded(process_index);
        self.send(process_index, allocator, || Event::Acquire {
            from: process_index,
            to: allocator,
            number,
            call,
            wait_ms,
            excluded,
            held: held.clone(),
        });
        self.add(ACQUIRE_TIMEOUT_MS, Event::AcquireTimeout { at: process_index, number });
    }

    /// Returns the targets in backoff, which the allocator must not grant.
    /// The index of a target is the same in all processes.
    fn excluded(&mut self, process_index: usize) -> Excluded {
        if !self.scenario.excludes_backing_off_targets() {
            return Excluded::default();
        }
        let now = self.now();
        let own_dispatcher = &mut self.processes[process_index].own_dispatcher;
        let names = own_dispatcher.backing_off_targets(None, now);
        names.iter().filter_map(|name| own_dispatcher.index_of(name)).collect()
    }

    pub(super) fn handle_acquire(
        &mut self,
        key: LeaseKey<usize>,
        to: usize,
        request: Request,
        held: &[u64],
    ) {
        let now = self.now();
        let LeaseKey { holder: from, number } = key;
        let share = self.share(to);
        let hall = self.halls[to % HALL_COUNT].clone();
        let group_state = self.processes[to].group_state(&self.configuration, &hall, now);
        let GroupState { dispatcher, allocator } = group_state;
        dispatcher.set_rate_share(share);
        allocator.release_unlisted(&from, held, dispatcher, now);
        let allocation = allocator.acquire(key, request, dispatcher, now, &mut self.rng);
        self.send(to, from, || Event::AcquireReply {
            to: from,
            number,
            allocation: allocation.clone(),
        });
        self.resolve_waiting(to);
    }

    pub(super) fn handle_acquire_reply(
        &mut self,
        process_index: usize,
        number: u64,
        allocation: Allocation,
    ) {
        let Some(pending) = self.processes[process_index].pending.get_mut(&number) else {
            return;
        };
        let allocator = pending.allocator;
        match allocation {
            Allocation::Waiting => {
                let expires_at_ms = pending.call.started_ms + WAIT_MAX_MS + WAIT_TIMEOUT_MARGIN_MS;
                pending.expires_at_ms = expires_at_ms;
                let after_ms = expires_at_ms.saturating_sub(self.now_ms);
                self.add(after_ms, Event::AcquireTimeout { at: process_index, number });
            }
            Allocation::Refused(_) => {
                self.processes[process_index].pending.remove(&number);
                self.scenario.record_outcome(self.now_ms, Outcome::Refused);
            }
            Allocation::Granted(granted) => self.handle_grant(process_index, number, &granted),
        }
        self.processes[process_index].record_reply_from(allocator);
    }

    fn handle_grant(&mut self, process_index: usize, number: u64, granted: &LeaseGrant) {
        let now = self.now();
        let process = &mut self.processes[process_index];
        let Some(pending) = process.pending.remove(&number) else {
            return;
        };
        let local_grant =
            process.own_dispatcher.grant_target(&granted.target, granted.rate_limit, now);
        let mut report = LeaseReport::default();
        if let Some(grant) = local_grant {
            if process.own_dispatcher.is_within_limit(&grant) {
                return self.start_attempt(
                    process_index,
                    number,
                    grant,
                    Some(pending.allocator),
                    pending.call,
                );
            }
            report.rate_limit = process.own_dispatcher.rate_limit_update(&grant, now);
            process.own_dispatcher.release(grant, now);
        }
        self.release(process_index, pending.allocator, number, report, None);
        if pending.returned_grants + 1 < RETURNED_GRANTS_MAX {
            self.ask_allocator(
                process_index,
                pending.allocators_asked,
                pending.returned_grants + 1,
                pending.call,
            );
        } else {
            self.decide_locally(process_index, pending.call);
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

    pub(super) fn handle_acquire_timeout(&mut self, process_index: usize, number: u64) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[process_index];
        let is_expired =
            process.pending.get(&number).is_some_and(|pending| now_ms >= pending.expires_at_ms);
        if !is_expired {
            return;
        }
        if let Some(pending) = process.pending.remove(&number) {
            process.pass_over(pending.allocator, now_ms);
            self.release(process_index, pending.allocator, number, LeaseReport::default(), None);
            self.ask_allocator(
                process_index,
                pending.allocators_asked + 1,
                pending.returned_grants,
                pending.call,
            );
        }
    }

    fn decide_locally(&mut self, process_index: usize, call: Call) {
        let now = self.now();
        let immediate =
            Request { queue_max: 0, ..request(now, call, WAIT_MAX_MS, Excluded::default()) };
        match self.processes[process_index].own_dispatcher.request(immediate, now, &mut self.rng) {
            Decision::Send(grant) => {
                self.next_number += 1;
                self.start_attempt(process_index, self.next_number, grant, None, call);
            }
            Decision::Wait(ticket) => {
                self.processes[process_index].own_dispatcher.cancel(ticket);
                self.scenario.record_outcome(self.now_ms, Outcome::Refused);
            }
            Decision::Refuse(_) => self.scenario.record_outcome(self.now_ms, Outcome::Refused),
        }
    }

    fn start_attempt(
        &mut self,
        process_index: usize,
        number: u64,
        grant: Grant,
        allocator: Option<usize>,
        call: Call,
    ) {
        let name = self.processes[process_index].own_dispatcher.target_name(&grant);
        let target = name.as_str().trim_start_matches('t').parse().unwrap_or(TARGETS);
        let arrival = Arrival { process: process_index, target, at_ms: self.now_ms };
        let (after_ms, answer) = self.scenario.answer(arrival, &mut self.rng);
        self.processes[process_index]
            .running
            .insert(number, RunningCall { grant, allocator, call });
        self.add(after_ms, Event::Answer { at: process_index, number, answer });
    }

    pub(super) fn handle_answer(&mut self, process_index: usize, number: u64, answer: &S::Answer) {
        let now = self.now();
        let process = &mut self.processes[process_index];
        let Some(RunningCall { grant, allocator, call }) = process.running.remove(&number) else {
            return;
        };
        let (observation, backoff) =
            self.scenario.apply_answer(answer, &mut process.own_dispatcher, &grant, now);
        let rate_limit = process.own_dispatcher.rate_limit_update(&grant, now);
        let (target, name) = (grant.target(), process.own_dispatcher.target_name(&grant));
        process.own_dispatcher.release(grant, now);
        if let Some(allocator) = allocator {
            let observation = Some(observation);
            let report = LeaseReport { observation, rate_limit, leaving: None };
            self.release(
                process_index,
                allocator,
                number,
                report,
                backoff.map(|wait| (name, wait)).as_ref(),
            );
        }
        match observation {
            Observation::Answered(_) => self.scenario.record_outcome(self.now_ms, Outcome::Served),
            _ if call.has_attempt_left()
                && self.processes[process_index].own_dispatcher.try_spend_retry() =>
            {
                self.request_target(process_index, call.next_attempt(target));
            }
            _ => self.scenario.record_outcome(self.now_ms, Outcome::RefusedByTarget),
        }
    }
}

pub(super) fn request(now: Timestamp, call: Call, wait_ms: u64, excluded: Excluded) -> Request {
    let wait_until = now + Duration::from_millis(wait_ms);
    Request {
        priority: 1,
        caller: CallerClass::default(),
        deadline: now + Duration::from_millis(DEADLINE_MS),
        wait_until,
        objective: wait_until,
        queue_max: 100,
        tried: call.tried,
        excluded,
        origin: HallIndex::default(),
        answer_kib: 0,
        local_until: Timestamp::default(),
    }
}
