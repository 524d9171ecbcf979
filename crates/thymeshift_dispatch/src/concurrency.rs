//! How many requests at a time one target of a service serves best.
//!
//! What it does: keeps the times of the latest answers for each number of requests that were
//! at the target when the request was sent, and compares a low quantile of them. The best
//! number is the largest at which one more request still raises the throughput, which is the
//! number divided by that time. What is not known is assumed: one more request is worth it,
//! but for the last third of the slots, if there are more than three. A few targets explore:
//! they may have one request more or fewer than the best number while it is not known what
//! that is worth. What is known is forgotten after a while, and found out anew.
//!
//! Why: targets slow down when nearly full. Beyond some number each further request makes
//! all of them slower than it is worth; that number differs from the slots that a target
//! tells of. A process that knows nothing yet overloads all targets if it begins with all
//! slots, and wastes little if it begins with two thirds. A low quantile, because part of the
//! answers take many times as long for other reasons.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Numbers of requests told apart; beyond, the largest stands for all.
const LEVELS: usize = 16;
/// Answers kept for each number.
const ANSWERS_KEPT: usize = 64;
/// Answers at a number before it is believed, at least, and for each request of that number:
/// the more requests, the smaller is what one more brings.
const BELIEVED_AFTER_MIN: usize = 10;
const BELIEVED_AFTER_PER_REQUEST: usize = 4;
/// The quantile compared.
const QUANTILE: f64 = 0.3;
/// One more request must raise the throughput by this share, or by this part of what it would
/// bring if it slowed nothing, whichever is less.
const GAIN_MIN: f64 = 0.12;
const GAIN_PART_MIN: f64 = 0.5;
/// Assumed slowing by one more request when a target is nearly full.
const ASSUMED_STEP: f64 = 1.3;
/// Up to so many slots all of them are assumed to be of use: one slot is then a third of the
/// capacity or more, which costs more than targets that are a little slower. With three slots
/// the rosters gained 0.011 and the tariff days lost 0.001 against two (docs/DECISIONS.md).
const ALL_SLOTS_ASSUMED_MAX: u32 = 3;
/// Time without an answer after which what is known of a number is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// The latest answers at one number.
#[derive(Debug, Clone, Default)]
struct Level {
    taken_us: Vec<f64>,
    next: usize,
    quantile_us: f64,
    last_at: Timestamp,
}

impl Level {
    fn learn(&mut self, taken_us: f64, now: Timestamp) {
        if now.since(self.last_at) > FORGOTTEN_AFTER {
            self.taken_us.clear();
            self.next = 0;
        }
        self.last_at = now;
        if self.taken_us.len() < ANSWERS_KEPT {
            self.taken_us.push(taken_us);
        } else {
            self.taken_us[self.next] = taken_us;
            self.next = (self.next + 1) % ANSWERS_KEPT;
        }
        let mut sorted = self.taken_us.clone();
        let place = (sorted.len() as f64 * QUANTILE) as usize;
        let (_, quantile, _) = sorted.select_nth_unstable_by(place, f64::total_cmp);
        self.quantile_us = *quantile;
    }

    /// The quantile, if there are `believed_after` answers.
    fn known_us(&self, believed_after: usize, now: Timestamp) -> Option<f64> {
        let is_known =
            self.taken_us.len() >= believed_after && now.since(self.last_at) <= FORGOTTEN_AFTER;
        is_known.then_some(self.quantile_us)
    }
}

/// Numbers of requests of which it is not known what they are worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExplorationLevels {
    /// One more than the best number.
    pub(crate) more: Option<u32>,
    /// One fewer.
    pub(crate) fewer: Option<u32>,
}

/// Answers' times by requests at the target, for all targets of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Concurrency {
    levels: [Level; LEVELS],
    /// What another process has found out.
    told: Option<u32>,
}

impl Concurrency {
    /// Learns from an answer; `number` requests were at the target, itself included.
    pub(crate) fn record(&mut self, number: u32, taken_us: f64, now: Timestamp) {
        self.levels[place_of(number)].learn(taken_us, now);
    }

    /// Takes over what another process has found out.
    pub(crate) fn adopt(&mut self, told: u32) {
        self.told = Some(told.max(1));
    }

    /// Most requests that one target of `slots` may have, from 1 to `slots`.
    pub(crate) fn best(&self, slots: u32, now: Timestamp) -> u32 {
        let is_worth = |number: &u32| {
            let known = self.is_worth(*number, now);
            known.unwrap_or_else(|| self.is_assumed(*number, slots))
        };
        (2..=slots).take_while(is_worth).last().unwrap_or(1)
    }

    /// Which number the exploring targets may have instead of the best one.
    pub(crate) fn exploration_levels(&self, slots: u32, now: Timestamp) -> ExplorationLevels {
        let best = self.best(slots, now);
        let is_known = |number: u32| self.known_us(number, now).is_some();
        ExplorationLevels {
            more: (best < slots && !is_known(best + 1)).then_some(best + 1),
            fewer: (best > 1 && is_known(best) && !is_known(best - 1)).then_some(best - 1),
        }
    }

    /// By how much a further request at a target that has `in_flight` lengthens the times of
    /// all requests there, its own included, over the time of one alone.
    pub(crate) fn marginal_cost(&self, in_flight: u32, slots: u32, now: Timestamp) -> f64 {
        let number = in_flight + 1;
        let total = |number: u32| f64::from(number) * self.slower(number, slots, now);
        let before = if in_flight == 0 { 0.0 } else { total(in_flight) };
        (total(number) - before).max(1.0)
    }

    /// How many times as long as alone a request takes among `number`.
    fn slower(&self, number: u32, slots: u32, now: Timestamp) -> f64 {
        let known_slower =
            || Some(self.known_us(number, now)? / self.known_us(number - 1, now)?.max(1.0));
        if number <= 1 {
            return 1.0;
        }
        let fewer = self.slower(number - 1, slots, now);
        let step = known_slower().unwrap_or_else(|| assumed_step(number, slots));
        (fewer * step).max(1.0)
    }

    /// Time of answers at `number` requests, as far as it is known.
    fn known_us(&self, number: u32, now: Timestamp) -> Option<f64> {
        let believed_after = BELIEVED_AFTER_MIN.max(BELIEVED_AFTER_PER_REQUEST * number as usize);
        self.levels[place_of(number)].known_us(believed_after, now)
    }

    /// Whether `number` requests are used although it is not known what they are worth.
    fn is_assumed(&self, number: u32, slots: u32) -> bool {
        match self.told {
            Some(told) => number <= told,
            None => assumed_step(number, slots) <= 1.0,
        }
    }

    /// Whether `number` requests yield more than one fewer, as far as it is known.
    fn is_worth(&self, number: u32, now: Timestamp) -> Option<bool> {
        let slower = self.known_us(number, now)? / self.known_us(number - 1, now)?.max(1.0);
        let ideal_gain = 1.0 / f64::from(number - 1);
        let gain_min = GAIN_MIN.min(GAIN_PART_MIN * ideal_gain);
        Some(1.0 + ideal_gain > (1.0 + gain_min) * slower)
    }
}

/// How much slower `number` requests are assumed to be than one fewer: only the last third
/// of the slots slows targets down, if there are enough slots to leave out a third unseen.
fn assumed_step(number: u32, slots: u32) -> f64 {
    let is_last_third = number * 3 > slots * 2;
    if slots > ALL_SLOTS_ASSUMED_MAX && is_last_third { ASSUMED_STEP } else { 1.0 }
}

fn place_of(number: u32) -> usize {
    (number as usize).clamp(1, LEVELS) - 1
}
