//! How many requests at a time one target of a service serves best.
//!
//! What it does: while requests wait, it tries two numbers one after the other, counts the
//! answers that all targets give in the same time with each, and keeps the number that
//! brought more. Then it rests, and tries again with the next number above or below.
//!
//! Why: targets slow down when nearly full. Beyond some number each further request makes
//! all of them slower than it is worth; that number differs from the slots that a target
//! tells of, and only counts of the whole fleet show it. Comparing the times of single
//! answers does not: the fastest targets are chosen first, so that further requests look
//! slow for where they go. Answers in a given time, with all targets full, compare like
//! with like.

use std::time::Duration;

use thymeshift_types::Timestamp;

/// Time in which answers are counted for one number, with requests waiting all along: the
/// larger of this, and so many times the mean time of an answer.
const WINDOW: Duration = Duration::from_millis(500);
const WINDOW_ANSWERS: u32 = 4;
/// Time after a change of the number before answers count, in mean times of an answer: until
/// then they were begun with another number.
const SETTLE_ANSWERS: u32 = 2;
/// Time with requests waiting after a comparison that changed the number. It doubles with
/// each one that does not: targets seldom change, and a comparison costs answers.
const REST: Duration = Duration::from_secs(8);
const REST_DOUBLINGS_MAX: u32 = 5;
/// Numbers below this part of the slots are not tried.
const TRIED_SHARE_MIN: f64 = 0.5;
/// A larger number must bring this much more, because each answer then takes longer.
const GAIN_MIN: f64 = 1.15;
/// Longest time between two observations that counts.
const GAP_MAX: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Rest,
    Kept,
    Tried,
}

/// The number in use, and the comparison that is under way.
#[derive(Debug, Clone)]
pub(crate) struct Concurrency {
    slots: u32,
    kept: u32,
    tried: u32,
    phase: Phase,
    /// Time with requests waiting in this phase.
    spent: Duration,
    answers: u32,
    answers_kept: u32,
    /// Comparisons in a row that changed nothing.
    unchanged: u32,
    observed_at: Timestamp,
    was_waiting: bool,
}

impl Default for Concurrency {
    fn default() -> Self {
        Self {
            slots: 0,
            kept: 1,
            tried: 1,
            phase: Phase::Kept,
            spent: Duration::ZERO,
            answers: 0,
            answers_kept: 0,
            unchanged: 0,
            observed_at: Timestamp::default(),
            was_waiting: false,
        }
    }
}

impl Concurrency {
    /// Says how many slots the targets tell of. Until more is known, all are used.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots == self.slots {
            return;
        }
        *self = Self { slots, kept: slots, ..Self::default() };
        self.tried = self.next_tried();
    }

    /// Most requests that one target may have now.
    pub(crate) fn bound(&self) -> u32 {
        match self.phase {
            Phase::Rest | Phase::Kept => self.kept,
            Phase::Tried => self.tried,
        }
    }

    /// Notes whether requests wait, and whether a target has just answered.
    /// An answer takes `mean` on average.
    pub(crate) fn observe(
        &mut self,
        is_waiting: bool,
        is_answer: bool,
        mean: Duration,
        now: Timestamp,
    ) {
        let passed = now.since(self.observed_at).min(GAP_MAX);
        self.observed_at = now;
        let was_waiting = std::mem::replace(&mut self.was_waiting, is_waiting);
        if !was_waiting {
            return;
        }
        self.spent += passed;
        let settle = mean * SETTLE_ANSWERS;
        let window_end = settle + WINDOW.max(mean * WINDOW_ANSWERS);
        let is_settled = self.spent >= settle;
        self.answers += u32::from(is_answer && is_settled);
        match self.phase {
            Phase::Rest if self.spent >= self.rest() => self.begin(Phase::Kept),
            Phase::Kept if self.spent >= window_end => {
                self.answers_kept = self.answers;
                self.begin(Phase::Tried);
            }
            Phase::Tried if self.spent >= window_end => {
                self.compare();
                self.begin(Phase::Rest);
            }
            Phase::Rest | Phase::Kept | Phase::Tried => {}
        }
    }

    fn rest(&self) -> Duration {
        REST * 2_u32.pow(self.unchanged.min(REST_DOUBLINGS_MAX))
    }

    fn begin(&mut self, phase: Phase) {
        self.phase = phase;
        self.spent = Duration::ZERO;
        self.answers = 0;
    }

    fn compare(&mut self) {
        let (kept, tried) = (f64::from(self.answers_kept), f64::from(self.answers));
        let is_better =
            if self.tried > self.kept { tried > kept * GAIN_MIN } else { tried * GAIN_MIN > kept };
        self.unchanged = if is_better { 0 } else { self.unchanged + 1 };
        if is_better {
            self.kept = self.tried;
        }
        self.tried = self.next_tried();
    }

    /// The number above the one kept and the number below in turn, where there is one.
    fn next_tried(&self) -> u32 {
        let above = (self.kept + 1).min(self.slots);
        let least = (f64::from(self.slots) * TRIED_SHARE_MIN).ceil() as u32;
        let below = (self.kept - 1).max(least).min(self.kept);
        let was_above = self.tried > self.kept;
        if (was_above && below < self.kept) || above == self.kept { below } else { above }
    }
}
