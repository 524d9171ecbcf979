//! Best number of concurrent requests at one target of a service.
//!
//! Keeps the latest answer times for each concurrency level, which is the number of requests that
//! were at the target when a request was sent, and compares a low quantile of them.
//! The best level is the highest one at which one more request still raises the throughput,
//! which is the level divided by the answer time.
//!
//! A level without samples is assumed to raise the throughput, except in the last third of the
//! slots if a target has more than three. A few targets explore: they may have one request more or
//! fewer than the best level while the effect of that level is unknown.
//! Samples expire, so that the level is measured again.
//!
//! Targets slow down when nearly full: beyond some level, each further request slows all requests
//! by more than it adds in throughput. That level differs from the number of slots that a target
//! states. A process without samples would overload all targets if it started with all slots, and
//! wastes little capacity if it starts with two thirds.
//! A low quantile is used, because some answers take many times as long for other reasons.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Number of concurrency levels kept; the last one also stands for all higher levels.
const LEVEL_COUNT: usize = 16;
/// Largest number of answer times kept for each concurrency level.
const SAMPLES_PER_LEVEL_MAX: usize = 64;
/// Least number of answers before the quantile of any concurrency level is used.
const SAMPLES_MIN: usize = 10;
/// Answers required for each request of a concurrency level before its quantile is used: the higher
/// the level, the smaller the gain of one more request.
const SAMPLES_MIN_PER_REQUEST: usize = 4;
/// Quantile of the answer times that is compared between concurrency levels.
const LATENCY_QUANTILE: f64 = 0.3;
/// Least share by which one more request must raise the throughput,
/// unless [`IDEAL_GAIN_SHARE_MIN`] of the ideal gain is less.
const THROUGHPUT_GAIN_MIN: f64 = 0.12;
/// Least part of the ideal throughput gain that one more request must bring;
/// the ideal gain is that of a request that slows no other.
const IDEAL_GAIN_SHARE_MIN: f64 = 0.5;
/// Assumed factor on the answer time for one more request when a target is nearly full.
const ASSUMED_SLOWDOWN_FACTOR: f64 = 1.3;
/// Largest number of slots of which all are assumed to raise the throughput: one slot is then a
/// third of the capacity or more, which costs more than slightly slower targets.
/// A bound of two would leave one of three slots unused until answer times are known.
const ALL_SLOTS_ASSUMED_MAX: u32 = 3;
/// Time without an answer after which the samples of a concurrency level are dropped.
const LEVEL_TTL: Duration = Duration::from_secs(30);

/// Latest answer times at one concurrency level, in a ring buffer.
#[derive(Debug, Clone, Default)]
struct Level {
    taken_us: Vec<f64>,
    /// Index in `taken_us` that the next answer overwrites once the buffer is full.
    next: usize,
    quantile_us: f64,
    last_at: Timestamp,
}

impl Level {
    fn record(&mut self, taken_us: f64, now: Timestamp) {
        if now.since(self.last_at) > LEVEL_TTL {
            self.taken_us.clear();
            self.next = 0;
        }
        self.last_at = now;
        if self.taken_us.len() < SAMPLES_PER_LEVEL_MAX {
            self.taken_us.push(taken_us);
        } else {
            self.taken_us[self.next] = taken_us;
            self.next = (self.next + 1) % SAMPLES_PER_LEVEL_MAX;
        }
        let mut sorted = self.taken_us.clone();
        let index = (sorted.len() as f64 * LATENCY_QUANTILE) as usize;
        let (_, quantile, _) = sorted.select_nth_unstable_by(index, f64::total_cmp);
        self.quantile_us = *quantile;
    }

    /// Returns the quantile if there are at least `samples_min` answers and the latest is recent.
    fn known_us(&self, samples_min: usize, now: Timestamp) -> Option<f64> {
        let is_known = self.taken_us.len() >= samples_min && now.since(self.last_at) <= LEVEL_TTL;
        is_known.then_some(self.quantile_us)
    }
}

/// Concurrency levels next to the best one whose effect on the throughput is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExplorationLevels {
    /// One request more than the best level, if that level is to be explored.
    pub(crate) more: Option<u32>,
    /// One request fewer than the best level, if that level is to be explored.
    pub(crate) fewer: Option<u32>,
}

/// Answer times by concurrency level, over all targets of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Concurrency {
    levels: [Level; LEVEL_COUNT],
    /// Best level that another process has measured.
    adopted: Option<u32>,
}

impl Concurrency {
    /// Records an answer time; `level` requests were at the target, the answered one included.
    pub(crate) fn record(&mut self, level: u32, taken_us: f64, now: Timestamp) {
        self.levels[level_index(level)].record(taken_us, now);
    }

    /// Adopts the best level that another process has measured, used for levels without samples.
    pub(crate) fn adopt(&mut self, adopted: u32) {
        self.adopted = Some(adopted.max(1));
    }

    /// Returns the best concurrency level of a target with `slots` slots, from 1 to `slots`.
    pub(crate) fn best(&self, slots: u32, now: Timestamp) -> u32 {
        let is_useful = |level: &u32| {
            let known = self.raises_throughput(*level, now);
            known.unwrap_or_else(|| self.is_assumed_useful(*level, slots))
        };
        (2..=slots).take_while(is_useful).last().unwrap_or(1)
    }

    /// Returns the levels that exploring targets may use instead of the best one.
    pub(crate) fn exploration_levels(&self, slots: u32, now: Timestamp) -> ExplorationLevels {
        let best = self.best(slots, now);
        let is_known = |level: u32| self.known_us(level, now).is_some();
        ExplorationLevels {
            more: (best < slots && !is_known(best + 1)).then_some(best + 1),
            fewer: (best > 1 && is_known(best) && !is_known(best - 1)).then_some(best - 1),
        }
    }

    /// Returns the marginal cost of one more request at a target that has `in_flight`: the time it
    /// adds over all requests there, its own included, in units of the time of a single request.
    pub(crate) fn marginal_cost(&self, in_flight: u32, slots: u32, now: Timestamp) -> f64 {
        let level = in_flight + 1;
        let total = |level: u32| f64::from(level) * self.slowdown(level, slots, now);
        let before = if in_flight == 0 { 0.0 } else { total(in_flight) };
        (total(level) - before).max(1.0)
    }

    /// Returns the answer time among `level` requests as a multiple of that of a single request.
    fn slowdown(&self, level: u32, slots: u32, now: Timestamp) -> f64 {
        let measured_step =
            || Some(self.known_us(level, now)? / self.known_us(level - 1, now)?.max(1.0));
        if level <= 1 {
            return 1.0;
        }
        let fewer = self.slowdown(level - 1, slots, now);
        let step = measured_step().unwrap_or_else(|| assumed_slowdown(level, slots));
        (fewer * step).max(1.0)
    }

    /// Returns the quantile of the answer times in microseconds, if there are enough samples.
    fn known_us(&self, level: u32, now: Timestamp) -> Option<f64> {
        let samples_min = SAMPLES_MIN.max(SAMPLES_MIN_PER_REQUEST * level as usize);
        self.levels[level_index(level)].known_us(samples_min, now)
    }

    /// Whether `level` requests are used although their effect on the throughput is unknown.
    fn is_assumed_useful(&self, level: u32, slots: u32) -> bool {
        match self.adopted {
            Some(adopted) => level <= adopted,
            None => assumed_slowdown(level, slots) <= 1.0,
        }
    }

    /// Whether `level` requests raise the throughput over one fewer; `None` without enough samples.
    fn raises_throughput(&self, level: u32, now: Timestamp) -> Option<bool> {
        let slowdown_step = self.known_us(level, now)? / self.known_us(level - 1, now)?.max(1.0);
        let ideal_gain = 1.0 / f64::from(level - 1);
        let gain_min = THROUGHPUT_GAIN_MIN.min(IDEAL_GAIN_SHARE_MIN * ideal_gain);
        Some(1.0 + ideal_gain > (1.0 + gain_min) * slowdown_step)
    }
}

/// Returns the assumed factor on the answer time of `level` requests against one request fewer:
/// only the last third of the slots slows a target down,
/// and only above [`ALL_SLOTS_ASSUMED_MAX`] slots.
fn assumed_slowdown(level: u32, slots: u32) -> f64 {
    let is_last_third = level * 3 > slots * 2;
    if slots > ALL_SLOTS_ASSUMED_MAX && is_last_third { ASSUMED_SLOWDOWN_FACTOR } else { 1.0 }
}

fn level_index(level: u32) -> usize {
    (level as usize).clamp(1, LEVEL_COUNT) - 1
}
