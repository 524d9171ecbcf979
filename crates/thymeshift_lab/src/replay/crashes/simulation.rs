//! One day of the model: callers, processes and targets, event by event.

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

/// The deployment of the model: the roster look-ups.
const PROCESSES: usize = 13;
const TARGETS: usize = 7;
const SLOTS: usize = 3;
const LOOKUPS_PER_S: f64 = 70.0;
const WORK_MEAN_MS: f64 = 60.0;
/// A guilty run crashes its target after so long, in milliseconds.
const CRASHES_AFTER_MS: std::ops::Range<u64> = 40..110;
/// A target is back after so long, in milliseconds.
const BACK_AFTER_MS: std::ops::Range<u64> = 3_000..6_000;
/// From one process to another, in milliseconds.
const MESSAGE_MS: u64 = 2;
/// Until a process has seen that a target is gone, in milliseconds.
const LOOK_MS: u64 = 2;
/// Attempts for each arrival, and second tries of a caller.
const ATTEMPTS_MAX: u32 = 2;
const CALLER_RETRIES: u32 = 1;
const CALLER_BACK_MS: u64 = 20;
/// Look-ups that callers ask for again and again, and their share of all.
const HOT_REQUESTS: u32 = 5;
const HOT_SHARE: f64 = 0.2;
const DAY: Timestamp = Timestamp::from_millis(60_000);
/// Time after the third crash in which what is sent is not counted against the fleet: nobody can
/// know at once.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const CRASHES_ALLOWED: usize = 3;

/// The guilty request.
const GUILTY: Fingerprint = Fingerprint::from_bytes([0xff; 16]);

/// One try of a caller.
#[derive(Debug, Clone, Copy)]
struct Try {
    fingerprint: Fingerprint,
    is_guilty: bool,
    process: usize,
    attempts_left: u32,
    retries_left: u32,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    tried: Try,
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
    Innocent,
    Guilty,
    Arrives(Try),
    Ends(u64),
    TargetEnds(usize),
    RackEnds,
    AllKilled,
    Lost(Run, Timestamp),
    Told(usize, SuspectReport),
}

/// The names of all that is modelled.
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
    runs: BTreeMap<u64, Run>,
    counted: u64,
    guilty_crashes: Vec<Timestamp>,
    /// When all processes were killed; what they send in the first seconds after is not counted
    /// either.
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
            counted: 0,
            guilty_crashes: Vec::new(),
            killed_at: None,
            result: CrashResult::default(),
        }
    }

    pub(super) fn run(mut self) -> CrashResult {
        self.events.schedule(Timestamp::default(), Event::Innocent);
        if self.pattern.guilty_interval.is_some() {
            self.events.schedule(Timestamp::from_millis(5_000), Event::Guilty);
        }
        if self.pattern.racks_fail {
            self.events.schedule(Timestamp::from_millis(10_000), Event::RackEnds);
        }
        if self.pattern.processes_killed {
            self.events.schedule(Timestamp::from_millis(25_000), Event::AllKilled);
        }
        for target in 0..TARGETS {
            self.plan_end(target);
        }
        while let Some((at, event)) = self.events.pop()
            && at < DAY
        {
            self.now = at;
            self.take(event);
        }
        self.result
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Innocent => self.send_innocent(),
            Event::Guilty => self.send_guilty(),
            Event::Arrives(tried) => self.arrives(tried),
            Event::Ends(number) => self.ends(number),
            Event::TargetEnds(target) => {
                self.target_ends(target);
                self.plan_end(target);
            }
            Event::RackEnds => {
                for target in 0..=TARGETS / 2 {
                    self.target_ends(target);
                }
                self.events.schedule(self.now + Duration::from_secs(10), Event::RackEnds);
            }
            Event::AllKilled => {
                self.killed_at = Some(self.now);
                self.processes = vec![Quarantine::with_rules(self.policy.rules); PROCESSES];
            }
            Event::Lost(run, ended_at) => self.lost(run, ended_at),
            Event::Told(process, told) => {
                self.processes[process].merge(&told, self.now);
            }
        }
    }

    fn after(&mut self, mean: Duration) -> Timestamp {
        let draw = Exp::new(1.0).map_or(1.0, |one| one.sample(&mut self.rng));
        self.now + mean.mul_f64(draw)
    }

    fn plan_end(&mut self, target: usize) {
        if self.pattern.target_exits_per_s > 0.0 {
            let at = self.after(Duration::from_secs_f64(1.0 / self.pattern.target_exits_per_s));
            self.events.schedule(at, Event::TargetEnds(target));
        }
    }

    fn send_innocent(&mut self) {
        let next = self.after(Duration::from_secs_f64(1.0 / LOOKUPS_PER_S));
        self.events.schedule(next, Event::Innocent);
        self.counted += 1;
        let is_hot = self.rng.random_bool(HOT_SHARE);
        let number = if is_hot {
            u64::from(self.rng.random_range(0..HOT_REQUESTS))
        } else {
            self.counted + 1_000
        };
        let mut bytes = [0; 16];
        bytes[8..].copy_from_slice(&number.to_be_bytes());
        self.result.innocent_requests += 1;
        self.send_in(Fingerprint::from_bytes(bytes), false);
    }

    fn send_guilty(&mut self) {
        let every = self.pattern.guilty_interval.unwrap_or(Duration::from_secs(1));
        let next = self.after(every);
        if next < Timestamp::from_millis(50_000) {
            self.events.schedule(next, Event::Guilty);
        }
        self.send_in(GUILTY, true);
    }

    fn send_in(&mut self, fingerprint: Fingerprint, is_guilty: bool) {
        let process = self.rng.random_range(0..PROCESSES);
        let (attempts_left, retries_left) = (ATTEMPTS_MAX, CALLER_RETRIES);
        let tried = Try { fingerprint, is_guilty, process, attempts_left, retries_left };
        self.arrives(tried);
    }

    /// The caller is told that its try has failed, and may try again.
    fn failed(&mut self, tried: Try) {
        let Some(retries_left) = tried.retries_left.checked_sub(1) else {
            return;
        };
        let process = self.rng.random_range(0..PROCESSES);
        let again = Try { process, retries_left, attempts_left: ATTEMPTS_MAX, ..tried };
        self.events
            .schedule(self.now + Duration::from_millis(CALLER_BACK_MS), Event::Arrives(again));
    }

    fn arrives(&mut self, tried: Try) {
        if self.is_refused(&tried) {
            self.result.innocent_refused += usize::from(!tried.is_guilty);
            return;
        }
        let free: Vec<usize> = (0..TARGETS).filter(|target| self.is_free(*target)).collect();
        if free.is_empty() {
            self.failed(tried);
            return;
        }
        let target = free[self.rng.random_range(0..free.len())];
        let work = if tried.is_guilty {
            Duration::from_millis(self.rng.random_range(CRASHES_AFTER_MS))
        } else {
            let mean = Duration::from_secs_f64(WORK_MEAN_MS / 1_000.0);
            self.after(mean).since(self.now)
        };
        self.counted += 1;
        let attempts_left = tried.attempts_left - 1;
        let run = Run { tried: Try { attempts_left, ..tried }, target, began_at: self.now };
        self.runs.insert(self.counted, run);
        self.targets[target].runs.push(self.counted);
        self.events.schedule(self.now + work, Event::Ends(self.counted));
        let third = self.guilty_crashes.get(CRASHES_ALLOWED - 1);
        let is_late = third.is_some_and(|at| self.now.since(*at) > KNOWN_AFTER)
            && self.killed_at.is_none_or(|at| self.now.since(at) > KNOWN_AFTER);
        self.result.late_sends_worst += usize::from(tried.is_guilty && is_late);
    }

    fn is_refused(&self, tried: &Try) -> bool {
        let verdict = self.processes[tried.process].verdict(tried.fingerprint, self.now);
        self.policy.refuses && matches!(verdict, Verdict::Refused(_))
    }

    fn is_free(&self, target: usize) -> bool {
        let target = &self.targets[target];
        let is_up = target.down_until.is_none_or(|until| self.now >= until);
        is_up && target.runs.len() < SLOTS
    }

    fn ends(&mut self, number: u64) {
        let Some(run) = self.runs.get(&number).copied() else {
            return;
        };
        if run.tried.is_guilty {
            self.result.crashed_targets += 1;
            self.guilty_crashes.push(self.now);
            self.target_ends(run.target);
            return;
        }
        self.runs.remove(&number);
        self.targets[run.target].runs.retain(|known| *known != number);
        self.result.innocent_served += 1;
        let Try { fingerprint, process, .. } = run.tried;
        if self.processes[process].record_answer(fingerprint, self.now) {
            self.tell(process, fingerprint);
        }
    }

    fn target_ends(&mut self, index: usize) {
        let back_ms = self.rng.random_range(BACK_AFTER_MS);
        let target = &mut self.targets[index];
        target.starts += 1;
        target.down_until = Some(self.now + Duration::from_millis(back_ms));
        let seen_at = self.now + Duration::from_millis(LOOK_MS);
        for number in std::mem::take(&mut target.runs) {
            if let Some(run) = self.runs.remove(&number) {
                self.events.schedule(seen_at, Event::Lost(run, self.now));
            }
        }
    }

    fn lost(&mut self, run: Run, ended_at: Timestamp) {
        let Run { tried, target, began_at } = run;
        self.counted += 1;
        let crash = Crash {
            id: CrashId {
                vm: self.names.vms[tried.process].clone(),
                boot: Boot::new(1),
                number: self.counted,
            },
            service: self.names.service.clone(),
            target: self.names.targets[target].clone(),
            incarnation: Incarnation::new(self.targets[target].starts),
            began_ago_ms: self.now.since(began_at).as_millis() as u64,
            ended_ago_ms: self.now.since(ended_at).as_millis() as u64,
        };
        if self.processes[tried.process].record_crash(tried.fingerprint, &crash, self.now) {
            self.tell(tried.process, tried.fingerprint);
        }
        if self.policy.retries && tried.attempts_left > 0 && !self.is_refused(&tried) {
            self.arrives(tried);
        } else {
            self.failed(tried);
        }
    }

    fn tell(&mut self, process: usize, fingerprint: Fingerprint) {
        let Some(told) = self.processes[process].report(fingerprint, self.now) else {
            return;
        };
        let at = self.now + Duration::from_millis(MESSAGE_MS);
        for other in (0..PROCESSES).filter(|other| *other != process) {
            self.events.schedule(at, Event::Told(other, told.clone()));
        }
    }
}
