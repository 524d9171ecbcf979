//! Kinds of requests, services and targets of the simulated halls.

use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use thymeshift_config::Configuration;
use thymeshift_config::Mistakes;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::ReportedState;
use thymeshift_dispatch::USUAL_PACE_PERCENT;
use thymeshift_types::Timestamp;

/// Number of data halls; processes are assigned to them in turn.
pub(super) const HALL_COUNT: usize = 3;
/// Share of the requests that come from each hall, in percent.
const CALLER_PERCENT: [u32; HALL_COUNT] = [42, 23, 35];
/// Targets in each hall of the service that is divided by hall and of the one that is not.
const TARGETS: [[usize; HALL_COUNT]; 2] = [[14, 18, 13], [3, 3, 2]];
/// Concurrent requests of each target of the two services.
const SLOTS: [usize; 2] = [2, 3];
/// Range of the work of a request, as a factor on the mean of its kind.
const WORK_FACTOR: std::ops::Range<f64> = 0.5..1.5;
/// Local wait for each KiB of the answer, in microseconds, as on deployments with downloads.
pub(super) const HALL_CROSSING_US_PER_KIB: u64 = 10_000;

/// Number of kinds of requests.
pub(super) const KIND_COUNT: usize = 3;
/// Kinds of requests; the last one has long answers and uses both services.
pub(super) const KINDS: [Kind; KIND_COUNT] = [
    Kind { name: "look-ups", per_s: 270.0, work_ms: 160, objective_ms: 400, answer_bytes: 400 },
    Kind { name: "orders", per_s: 100.0, work_ms: 210, objective_ms: 500, answer_bytes: 5_000 },
    Kind {
        name: "downloads",
        per_s: 100.0,
        work_ms: 130,
        objective_ms: 2_500,
        answer_bytes: 90_000,
    },
];
/// Index of the kind with long answers.
pub(super) const LONG_KIND: usize = KIND_COUNT - 1;

/// Kind of requests.
pub(super) struct Kind {
    pub(super) name: &'static str,
    pub(super) per_s: f64,
    pub(super) work_ms: u64,
    pub(super) objective_ms: u64,
    pub(super) answer_bytes: u64,
}

impl Kind {
    pub(super) fn answer_kib(&self) -> u32 {
        self.answer_bytes.div_ceil(1_024) as u32
    }

    /// Returns the time of an answer on a link of 10 Mbit/s.
    pub(super) fn link_time(&self) -> Duration {
        Duration::from_nanos(self.answer_bytes * 800)
    }

    pub(super) fn work(&self, rng: &mut SmallRng) -> Duration {
        Duration::from_millis(self.work_ms).mul_f64(rng.random_range(WORK_FACTOR))
    }
}

/// Returns the hall of a new request.
pub(super) fn caller_hall(rng: &mut SmallRng) -> usize {
    let mut draw = rng.random_range(0..CALLER_PERCENT.iter().sum());
    let is_hall = |percent: &u32| {
        let is_in_hall = draw < *percent;
        draw = draw.saturating_sub(*percent);
        is_in_hall
    };
    CALLER_PERCENT.iter().position(is_hall).unwrap_or_default()
}

/// Target with its requests in order of arrival.
pub(super) struct Target {
    pub(super) hall: usize,
    /// Time at which each slot is free.
    free_at: Vec<Timestamp>,
    outstanding: u32,
}

impl Target {
    /// Adds a request that takes `work`, and returns the time at which it is finished.
    pub(super) fn begin(&mut self, work: Duration, now: Timestamp) -> Timestamp {
        self.outstanding += 1;
        let slot = self.free_at.iter_mut().min().expect("a target has slots");
        *slot = (*slot).max(now) + work;
        *slot
    }

    /// Ends a request and returns the load report of its answer.
    pub(super) fn finish(&mut self) -> LoadReport {
        self.outstanding -= 1;
        let running = self.outstanding.min(self.free_at.len() as u32);
        LoadReport {
            running,
            queued: self.outstanding - running,
            incarnation: None,
            state: ReportedState::Serving,
            pace_percent: USUAL_PACE_PERCENT,
            cold_for_ms: None,
        }
    }
}

/// Returns the targets of one service, in the order of the configuration.
pub(super) fn targets(service: usize) -> Vec<Target> {
    let halls = (0..HALL_COUNT).flat_map(|hall| vec![hall; TARGETS[service][hall]]);
    let free_at = vec![Timestamp::default(); SLOTS[service]];
    halls.map(|hall| Target { hall, free_at: free_at.clone(), outstanding: 0 }).collect()
}

/// Returns the configuration of both services.
pub(super) fn configuration(processes: usize) -> Result<Configuration, Mistakes> {
    let mut text = format!(
        "entry_vms_max: {processes}\ndata_halls: [a, b, c]\ndata_hall_one_way_us: 500\n\
         data_hall_detour_us: 100000\nkinds: []\nservices:\n"
    );
    for (service, slots) in SLOTS.iter().enumerate() {
        let _ = write!(
            text,
            "- name: s{service}\n  strategy: expected_time\n  slots_per_target: {slots}\n  \
             connections_per_target: 100000\n  targets:\n"
        );
        for (index, target) in targets(service).iter().enumerate() {
            let hall = ["a", "b", "c"][target.hall];
            let port = 1 + index;
            let _ = writeln!(
                text,
                "  - {{ name: t{index}, address: '127.0.0.{}:{port}', data_hall: {hall} }}",
                service + 1
            );
        }
    }
    Configuration::parse(&text)
}
