//! Discrete-event simulation of one day with callers, processes and targets that crash.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Crash;
use thymeshift_fleet::CrashId;
use thymeshift_fleet::Quarantine;
use thymeshift_fleet::SuspectReport;
use thymeshift_fleet::Verdict;
use thymeshift_types::Fingerprint;
use thymeshift_types::Incarnation;
use thymeshift_types::NameError;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

use crate::replay::crashes::CrashPattern;
use crate::replay::crashes::CrashPolicy;
use crate::replay::crashes::CrashResult;
use crate::replay::event_queue::EventQueue;

/// Number of processes. All sizes and rates model a deployment that serves roster look-ups.
const PROCESSES: usize = 13;
const TARGETS: usize = 7;
const SLOTS_PER_TARGET: usize = 3;
const INNOCENT_REQUESTS_PER_S: f64 = 70.0;
/// Mean service time of an innocent request, in milliseconds.
const SERVICE_TIME_MEAN_MS: f64 = 60.0;
/// Time from the start of a guilty request to the crash of its target, in milliseconds.
const CRASH_DELAY_MS: std::ops::Range<u64> = 40..110;
/// Time from the exit of a target to its next start, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 3_000..6_000;
/// Delay of a message between two processes, in milliseconds.
const MESSAGE_DELAY_MS: u64 = 2;
/// Time after which a process detects that a target exited, in milliseconds.
const LOSS_DETECTION_MS: u64 = 2;
/// Maximum number of attempts that a process makes for each arrival of a request.
const ATTEMPTS_MAX: u32 = 2;
/// Number of times that a caller retries a failed request.
const CALLER_RETRIES: u32 = 1;
/// Delay of a caller's retry, in milliseconds.
const CALLER_RETRY_DELAY_MS: u64 = 20;
/// Number of distinct innocent requests that callers send repeatedly.
const REPEATED_REQUESTS: u32 = 5;
/// Share of the innocent requests that are repeated ones.
const REPEATED_SHARE: f64 = 0.2;
/// Virtual time at which the simulated day ends.
const DAY_END: Timestamp = Timestamp::from_millis(60_000);
/// Time after the third crash, or after all processes were killed, in which guilty requests that
/// reach a target are not counted as late: reports of the crashes need time to reach all processes.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Number of crashes by the guilty request after which further sends of it count as late.
const CRASHES_ALLOWED: usize = 3;

/// Fingerprint of the guilty request.
const GUILTY_FINGERPRINT: Fingerprint = Fingerprint::from_bytes([0xff; 16]);

/// Request of a caller at one process, with the remaining attempts and caller retries.
#[derive(Debug, Clone, Copy)]
struct CallerRequest {
    fingerprint: Fingerprint,
    is_guilty: bool,
    process: usize,
    attempts_left: u32,
    retries_left: u32,
}

/// Run of a request at a target.
#[derive(Debug, Clone, Copy)]
struct TargetRun {
    request: CallerRequest,
    target: usize,
    began_at: Timestamp,
}

#[derive(Default)]
struct Target {
    runs: Vec<u64>,
    down_until: Option<Timestamp>,
    starts: u64,
}

enum Event {
    InnocentArrival,
    GuiltyArrival,
    CallerRetry(CallerRequest),
    RunEnd(u64),
    TargetExit(usize),
    RackFailure,
    ProcessesKilled,
    RunLost(TargetRun, Timestamp),
    ReportReceived(usize, SuspectReport),
}

/// Names of the simulated service, VMs and targets.
#[derive(Clone)]
pub(super) struct Names {
    service: ServiceName,
    vms: Vec<VmName>,
    targets: Vec<TargetName>,
}

impl Names {
    pub(super) fn new() -> Result<Self, NameError> {
        let vms = (0..PROCESSES).map(|number| VmName::new(&format!("vm-{number}")));
        let targets = (0..TARGETS).map(|number| TargetName::new(&format!("t-{number}")));
        Ok(Self {
            service: ServiceName::new("look-up")?,
            vms: vms.collect::<Result<_, _>>()?,
            targets: targets.collect::<Result<_, _>>()?,
        })
    }
}

pub(super) struct CrashSimulation {
    names: Names,
    pattern: CrashPattern,
    policy: CrashPolicy,
    rng: SmallRng,
    now: Timestamp,
    events: EventQueue<Event>,
    targets: Vec<Target>,
    processes: Vec<Quarantine>,
    runs: BTreeMap<u64, TargetRun>,
    last_id: u64,
    guilty_crashes: Vec<Timestamp>,
    /// Time at which all processes were killed. Guilty requests sent within `SETTLE_TIME` after the
    /// kill are not counted as late.
    killed_at: Option<Timestamp>,
    result: CrashResult,
}

impl CrashSimulation {
    pub(super) fn new(names: Names, pattern: CrashPattern, policy: CrashPolicy, seed: u64) -> Self {
        Self {
            names,
            pattern,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::default(),
            events: EventQueue::default(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            processes: vec![Quarantine::with_rules(policy.rules); PROCESSES],
            runs: BTreeMap::new(),
            last_id: 0,
            guilty_crashes: Vec::new(),
            killed_at: None,
            result: CrashResult::default(),
        }
    }

    pub(super) fn run(mut self) -> CrashResult {
        self.events.schedule(Timestamp::default(), Event::InnocentArrival);
        if self.pattern.guilty_interval.is_some() {
            self.events.schedule(Timestamp::from_millis(5_000), Event::GuiltyArrival);
        }
        if self.pattern.racks_fail {
            self.events.schedule(Timestamp::from_millis(10_000), Event::RackFailure);
        }
        if self.pattern.processes_killed {
            self.events.schedule(Timestamp::from_millis(25_000), Event::ProcessesKilled);
        }
        for target in 0..TARGETS {
            self.schedule_target_exit(target);
        }
        while let Some((at, event)) = self.events.pop()
            && at < DAY_END
        {
            self.now = at;
            self.handle(event);
        }
        self.result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::InnocentArrival => self.send_innocent(),
            Event::GuiltyArrival => self.send_guilty(),
            Event::CallerRetry(request) => self.dispatch(request),
            Event::RunEnd(number) => self.handle_run_end(number),
            Event::TargetExit(target) => {
                self.stop_target(target);
                self.schedule_target_exit(target);
            }
            Event::RackFailure => {
                for target in 0..=TARGETS / 2 {
                    self.stop_target(target);
                }
                self.events.schedule(self.now + Duration::from_secs(10), Event::RackFailure);
            }
            Event::ProcessesKilled => {
                self.killed_at = Some(self.now);
                self.processes = vec![Quarantine::with_rules(self.policy.rules); PROCESSES];
            }
            Event::RunLost(run, ended_at) => self.handle_lost_run(run, ended_at),
            Event::ReportReceived(process, report) => {
                self.processes[process].merge(&report, self.now);
            }
        }
    }

    fn exponential_after(&mut self, mean: Duration) -> Timestamp {
        let sample = Exp::new(1.0).map_or(1.0, |one| one.sample(&mut self.rng));
        self.now + mean.mul_f64(sample)
    }

    fn schedule_target_exit(&mut self, target: usize) {
        if self.pattern.target_exits_per_s > 0.0 {
            let at = self
                .exponential_after(Duration::from_secs_f64(1.0 / self.pattern.target_exits_per_s));
            self.events.schedule(at, Event::TargetExit(target));
        }
    }

    fn send_innocent(&mut self) {
        let next = self.exponential_after(Duration::from_secs_f64(1.0 / INNOCENT_REQUESTS_PER_S));
        self.events.schedule(next, Event::InnocentArrival);
        self.last_id += 1;
        let is_repeated = self.rng.random_bool(REPEATED_SHARE);
        let number = if is_repeated {
            u64::from(self.rng.random_range(0..REPEATED_REQUESTS))
        } else {
            self.last_id + 1_000
        };
        let mut bytes = [0; 16];
        bytes[8..].copy_from_slice(&number.to_be_bytes());
        self.result.innocent_requests += 1;
        self.send_from_caller(Fingerprint::from_bytes(bytes), false);
    }

    fn send_guilty(&mut self) {
        let every = self.pattern.guilty_interval.unwrap_or(Duration::from_secs(1));
        let next = self.exponential_after(every);
        if next < Timestamp::from_millis(50_000) {
            self.events.schedule(next, Event::GuiltyArrival);
        }
        self.send_from_caller(GUILTY_FINGERPRINT, true);
    }

    fn send_from_caller(&mut self, fingerprint: Fingerprint, is_guilty: bool) {
        let process = self.rng.random_range(0..PROCESSES);
        let (attempts_left, retries_left) = (ATTEMPTS_MAX, CALLER_RETRIES);
        let request =
            CallerRequest { fingerprint, is_guilty, process, attempts_left, retries_left };
        self.dispatch(request);
    }

    /// Reports a failure to the caller, which retries at a random process if it has a retry left.
    fn handle_failure(&mut self, request: CallerRequest) {
        let Some(retries_left) = request.retries_left.checked_sub(1) else {
            return;
        };
        let process = self.rng.random_range(0..PROCESSES);
        let retry = CallerRequest { process, retries_left, attempts_left: ATTEMPTS_MAX, ..request };
        self.events.schedule(
            self.now + Duration::from_millis(CALLER_RETRY_DELAY_MS),
            Event::CallerRetry(retry),
        );
    }

    fn dispatch(&mut self, request: CallerRequest) {
        if self.is_refused(&request) {
            self.result.innocent_refused += usize::from(!request.is_guilty);
            return;
        }
        let free: Vec<usize> = (0..TARGETS).filter(|target| self.is_free(*target)).collect();
        if free.is_empty() {
            self.handle_failure(request);
            return;
        }
        let target = free[self.rng.random_range(0..free.len())];
        let service_time = if request.is_guilty {
            Duration::from_millis(self.rng.random_range(CRASH_DELAY_MS))
        } else {
            let mean = Duration::from_secs_f64(SERVICE_TIME_MEAN_MS / 1_000.0);
            self.exponential_after(mean).since(self.now)
        };
        self.last_id += 1;
        let attempts_left = request.attempts_left - 1;
        let run = TargetRun {
            request: CallerRequest { attempts_left, ..request },
            target,
            began_at: self.now,
        };
        self.runs.insert(self.last_id, run);
        self.targets[target].runs.push(self.last_id);
        self.events.schedule(self.now + service_time, Event::RunEnd(self.last_id));
        let third_crash_at = self.guilty_crashes.get(CRASHES_ALLOWED - 1);
        let is_late = third_crash_at.is_some_and(|at| self.now.since(*at) > SETTLE_TIME)
            && self.killed_at.is_none_or(|at| self.now.since(at) > SETTLE_TIME);
        self.result.late_sends_worst += usize::from(request.is_guilty && is_late);
    }

    fn is_refused(&self, request: &CallerRequest) -> bool {
        let verdict = self.processes[request.process].verdict(request.fingerprint, self.now);
        self.policy.refuses && matches!(verdict, Verdict::Refused(_))
    }

    fn is_free(&self, target: usize) -> bool {
        let target = &self.targets[target];
        let is_up = target.down_until.is_none_or(|until| self.now >= until);
        is_up && target.runs.len() < SLOTS_PER_TARGET
    }

    fn handle_run_end(&mut self, number: u64) {
        let Some(run) = self.runs.get(&number).copied() else {
            return;
        };
        if run.request.is_guilty {
            self.result.crashed_targets += 1;
            self.guilty_crashes.push(self.now);
            self.stop_target(run.target);
            return;
        }
        self.runs.remove(&number);
        self.targets[run.target].runs.retain(|known| *known != number);
        self.result.innocent_served += 1;
        let CallerRequest { fingerprint, process, .. } = run.request;
        if self.processes[process].record_answer(fingerprint, self.now) {
            self.broadcast_report(process, fingerprint);
        }
    }

    fn stop_target(&mut self, index: usize) {
        let restart_ms = self.rng.random_range(RESTART_MS);
        let target = &mut self.targets[index];
        target.starts += 1;
        target.down_until = Some(self.now + Duration::from_millis(restart_ms));
        let detected_at = self.now + Duration::from_millis(LOSS_DETECTION_MS);
        for number in std::mem::take(&mut target.runs) {
            if let Some(run) = self.runs.remove(&number) {
                self.events.schedule(detected_at, Event::RunLost(run, self.now));
            }
        }
    }

    fn handle_lost_run(&mut self, run: TargetRun, ended_at: Timestamp) {
        let TargetRun { request, target, began_at } = run;
        self.last_id += 1;
        let crash = Crash {
            id: CrashId {
                vm: self.names.vms[request.process].clone(),
                boot: Boot::new(1),
                number: self.last_id,
            },
            service: self.names.service.clone(),
            target: self.names.targets[target].clone(),
            incarnation: Incarnation::new(self.targets[target].starts),
            began_ago_ms: self.now.since(began_at).as_millis() as u64,
            ended_ago_ms: self.now.since(ended_at).as_millis() as u64,
        };
        if self.processes[request.process].record_crash(request.fingerprint, &crash, self.now) {
            self.broadcast_report(request.process, request.fingerprint);
        }
        if self.policy.retries && request.attempts_left > 0 && !self.is_refused(&request) {
            self.dispatch(request);
        } else {
            self.handle_failure(request);
        }
    }

    fn broadcast_report(&mut self, process: usize, fingerprint: Fingerprint) {
        let Some(report) = self.processes[process].report(fingerprint, self.now) else {
            return;
        };
        let at = self.now + Duration::from_millis(MESSAGE_DELAY_MS);
        for other in (0..PROCESSES).filter(|other| *other != process) {
            self.events.schedule(at, Event::ReportReceived(other, report.clone()));
        }
    }
}
