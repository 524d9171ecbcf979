//! Locality wait (delay scheduling): how long a request waits for a target in its own data hall
//! before it may be sent to another one.
//!
//! Traffic between data halls is expensive, and a home target is often closed for a moment only.
//! A request with a long answer therefore waits longer for a home target, up to a bound that
//! follows from its objective and its wait limit.

use std::time::Duration;

use derive_more::Display;
use thymeshift_types::Timestamp;

use crate::HallIndex;

/// Divisor of the slack that gives the longest wait:
/// the other half remains for an answer that takes longer than expected.
const SLACK_DIVISOR: u32 = 2;
/// Longest share of the time left until the wait limit, in quarters. In the last quarter, a target
/// in another hall can still become free before the request is refused.
const WAIT_LIMIT_QUARTERS: u32 = 3;

/// Number of data halls for which a dispatcher tracks whether requests can wait for them.
/// Requests from further halls do not wait for a home target.
const HALLS_MAX: usize = 64;

/// Properties of a request that its local wait depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalityInput {
    /// Time of the decision.
    pub now: Timestamp,
    /// Time until which an answer has its full value; `None` if the request has no objective.
    pub objective: Option<Timestamp>,
    /// Time at which the request stops waiting for a target.
    pub wait_until: Timestamp,
    /// Expected time from sending the request to its answer, work and link.
    pub expected: Duration,
    /// Mean length of answers to the request's kind, in KiB; 0 if unknown.
    pub answer_kib: u32,
    /// Wait for each KiB of the answer that would otherwise cross between halls.
    pub us_per_kib: u64,
}

/// Returns how long the request waits for a target in its own hall.
///
/// The wait is zero if the answer length is unknown, if there is no objective,
/// or if the request can no longer be in time.
pub fn local_wait(input: LocalityInput) -> Duration {
    let LocalityInput { now, objective, wait_until, expected, answer_kib, us_per_kib } = input;
    let Some(objective) = objective else {
        return Duration::ZERO;
    };
    let worth = Duration::from_micros(us_per_kib.saturating_mul(u64::from(answer_kib)));
    let slack = now.until(objective).saturating_sub(expected);
    let wait_limit = now.until(wait_until) * WAIT_LIMIT_QUARTERS / 4;
    worth.min(slack / SLACK_DIVISOR).min(wait_limit)
}

/// Reason why a request was sent to another data hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CrossingCause {
    /// The request waited for a home target until its local wait had ended.
    #[display("local_wait_ended")]
    LocalWaitEnded,
    /// The home hall could not serve the request within its local wait.
    #[display("no_home_target")]
    NoHomeTarget,
    /// The request had no local wait.
    #[display("no_wait")]
    NoWait,
}

/// State of the targets in one data hall, as far as requests that wait for them depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct HomeState {
    /// Shortest expected answer time of the open targets, in microseconds; infinite if none is.
    soonest_us: f64,
    /// Requests that the usable targets of the hall run at a time; 0 if none is usable.
    concurrency: u32,
}

impl HomeState {
    /// State of a hall without usable targets.
    pub(crate) const NONE: Self = Self { soonest_us: f64::INFINITY, concurrency: 0 };

    /// Adds a usable target that runs up to `concurrency` requests at a time. `expected_us` is its
    /// expected answer time in microseconds, or `None` if it is not open.
    pub(crate) fn add(&mut self, concurrency: u32, expected_us: Option<f64>) {
        self.soonest_us = expected_us.map_or(self.soonest_us, |us| us.min(self.soonest_us));
        self.concurrency = self.concurrency.saturating_add(concurrency);
    }

    /// Whether an open target of the hall answers within the usual time and `wait`. A target that
    /// takes longer is busy or slow: a request does not wait there for longer than in the queue.
    pub(crate) fn is_open_within(&self, wait: Duration, service_time: Duration) -> bool {
        self.soonest_us <= (service_time + wait).as_micros() as f64
    }

    /// Whether a request behind `ahead` others that may take targets of the hall can expect one
    /// of them within `wait`. The hall serves one request per target slot in `service_time`.
    pub(crate) fn is_expected_within(
        &self,
        wait: Duration,
        ahead: usize,
        service_time: Duration,
    ) -> bool {
        let expected_us = ahead as f64 * service_time.as_micros() as f64;
        let wait_us = wait.as_micros() as f64 * f64::from(self.concurrency);
        self.concurrency > 0 && expected_us <= wait_us
    }
}

/// State of the targets of each data hall at the time of one wake.
#[derive(Debug)]
pub(crate) struct HomeStates([HomeState; HALLS_MAX]);

impl HomeStates {
    pub(crate) fn new() -> Self {
        Self([HomeState::NONE; HALLS_MAX])
    }

    /// Adds a usable target of a hall, see [`HomeState::add`].
    pub(crate) fn add(&mut self, hall: HallIndex, concurrency: u32, expected_us: Option<f64>) {
        if let Some(state) = self.0.get_mut(hall.as_usize()) {
            state.add(concurrency, expected_us);
        }
    }

    pub(crate) fn get(&self, hall: HallIndex) -> HomeState {
        self.0.get(hall.as_usize()).copied().unwrap_or(HomeState::NONE)
    }
}

/// Number of waiting requests that are served before a request and may take its home targets.
#[derive(Debug)]
pub(crate) struct HomeDemand {
    /// Requests that may take targets of all halls.
    anywhere: usize,
    /// Requests that wait for targets of their own hall, by hall.
    at_home: [u32; HALLS_MAX],
}

impl HomeDemand {
    pub(crate) fn new() -> Self {
        Self { anywhere: 0, at_home: [0; HALLS_MAX] }
    }

    pub(crate) fn add_anywhere(&mut self) {
        self.anywhere += 1;
    }

    pub(crate) fn add_at_home(&mut self, hall: HallIndex) {
        if let Some(count) = self.at_home.get_mut(hall.as_usize()) {
            *count += 1;
        }
    }

    pub(crate) fn ahead(&self, hall: HallIndex) -> usize {
        let at_home = self.at_home.get(hall.as_usize()).copied().unwrap_or_default();
        self.anywhere + at_home as usize
    }
}
