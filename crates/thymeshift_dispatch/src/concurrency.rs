//! How many requests at a time one target of a service serves best.
//!
//! What it does: keeps the times of the latest answers for each number of requests that were
//! counted when the request was sent and that the target reported to run when it answered,
//! both the same, and compares a low quantile of them. The best
//! number is the largest at which one more request still raises the throughput, which is the
//! number divided by that time. What is not known counts as worth it, unless another process
//! has told otherwise; what is known is forgotten after a while, and found out anew.
//!
//! Why: targets slow down when nearly full. Beyond some number each further request makes
//! all of them slower than it is worth; that number differs from the slots that a target
//! tells of. Both numbers, because a request that joins or leaves on the way makes the time
//! say little about either. A low quantile, because part of the answers take many times as
//! long for other reasons, and more of those at high numbers: the fastest targets are chosen
//! first.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Numbers of requests told apart; beyond, the largest stands for all.
const LEVELS: usize = 16;
/// Answers kept for each number.
const ANSWERS_KEPT: usize = 64;
/// Answers at a number before it is believed.
const BELIEVED_AFTER: usize = 20;
/// The quantile compared.
const QUANTILE: f64 = 0.3;
/// One more request must raise the throughput by this factor.
const GAIN_MIN: f64 = 1.12;
/// Assumed slowing by one more request when a target is nearly full.
const ASSUMED_STEP: f64 = 1.3;
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

    fn known_us(&self, now: Timestamp) -> Option<f64> {
        let is_known =
            self.taken_us.len() >= BELIEVED_AFTER && now.since(self.last_at) <= FORGOTTEN_AFTER;
        is_known.then_some(self.quantile_us)
    }
}

/// Answers' times by requests at the target, for all targets of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Concurrency {
    levels: [Level; LEVELS],
    /// What another process has found out.
    told: Option<u32>,
}

impl Concurrency {
    /// Learns from an answer; `running` requests were at the target, itself included.
    pub(crate) fn learn(&mut self, running: u32, taken_us: f64, now: Timestamp) {
        self.levels[place_of(running)].learn(taken_us, now);
    }

    /// Takes over what another process has found out.
    pub(crate) fn adopt(&mut self, told: u32) {
        self.told = Some(told.max(1));
    }

    /// Most requests that one target of `slots` may have, from 1 to `slots`.
    pub(crate) fn best(&self, slots: u32, now: Timestamp) -> u32 {
        let is_worth = |number: &u32| {
            let known = self.is_worth(*number, now);
            known.unwrap_or_else(|| self.is_tried(*number, slots, now))
        };
        (2..=slots).take_while(is_worth).last().unwrap_or(1)
    }

    /// By how much a further request at a target that has `in_flight` lengthens the times of
    /// all requests there, its own included, over the time of one alone.
    pub(crate) fn marginal(&self, in_flight: u32, slots: u32, now: Timestamp) -> f64 {
        let number = in_flight + 1;
        let total = |number: u32| f64::from(number) * self.slower(number, slots, now);
        let before = if in_flight == 0 { 0.0 } else { total(in_flight) };
        (total(number) - before).max(1.0)
    }

    /// How many times as long as alone a request takes among `number`.
    fn slower(&self, number: u32, slots: u32, now: Timestamp) -> f64 {
        let known = |number| self.levels[place_of(number)].known_us(now);
        let known_slower = || Some(known(number)? / known(number - 1)?.max(1.0));
        if number <= 1 {
            return 1.0;
        }
        let fewer = self.slower(number - 1, slots, now);
        let step = known_slower().unwrap_or_else(|| assumed_step(number, slots));
        (fewer * step).max(1.0)
    }

    /// Whether `number` requests are used although it is not known what they are worth.
    fn is_tried(&self, number: u32, slots: u32, now: Timestamp) -> bool {
        if let Some(told) = self.told {
            return number <= told;
        }
        // With all targets full nothing is learnt about fewer requests, unless they are
        // made to have fewer for a moment.
        let is_full = self.levels[place_of(number)].known_us(now).is_some();
        let is_suspect = assumed_step(number, slots) > 1.0;
        !(is_full && is_suspect)
    }

    /// Whether `number` requests yield more than one fewer, as far as it is known.
    fn is_worth(&self, number: u32, now: Timestamp) -> Option<bool> {
        let more_us = self.levels[place_of(number)].known_us(now)?;
        let fewer_us = self.levels[place_of(number - 1)].known_us(now)?;
        let slower = more_us / fewer_us.max(1.0);
        Some(f64::from(number) / f64::from(number - 1) > GAIN_MIN * slower)
    }
}

/// How much slower `number` requests are assumed to be than one fewer: only the last third
/// of the slots slows targets down.
fn assumed_step(number: u32, slots: u32) -> f64 {
    if number * 3 > slots * 2 { ASSUMED_STEP } else { 1.0 }
}

fn place_of(number: u32) -> usize {
    (number as usize).clamp(1, LEVELS) - 1
}
