//! How many requests at a time one target of a service serves best.
//!
//! What it does: keeps the mean time of an answer for each number of requests that were in
//! flight at the target when it was sent. The best number is the largest at which one more
//! request still raises the throughput, which is the number divided by that time.
//!
//! Why: targets slow down when nearly full. Beyond some number each further request makes
//! all of them slower than it is worth; that number differs from the slots that a target
//! tells of, and only counts of the whole fleet show it.

/// Numbers of requests told apart; beyond, the largest stands for all.
const LEVELS: usize = 16;
/// Weight of one answer in a mean.
const WEIGHT: f64 = 0.03;
/// Answers at a number before its mean is believed.
const BELIEVED_AFTER: u32 = 24;
/// Throughput must rise by this factor for one more request to be worth it.
const GAIN_MIN: f64 = 1.02;

#[derive(Debug, Clone, Copy, Default)]
struct Level {
    mean_us: f64,
    answers: u32,
}

/// Answers' times by requests in flight, for all targets of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Knee {
    levels: [Level; LEVELS],
}

impl Knee {
    /// Learns from an answer; `in_flight` counts the request itself.
    pub(crate) fn learn(&mut self, in_flight: u32, taken_us: f64) {
        let level = &mut self.levels[place_of(in_flight)];
        level.answers = level.answers.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(level.answers));
        level.mean_us += weight * (taken_us - level.mean_us);
    }

    /// The best number of requests in flight at one target, from 1 to `slots`.
    pub(crate) fn best(&self, slots: u32) -> u32 {
        let mut best = 1;
        for number in 2..=slots {
            if !self.is_worth(number) {
                return best;
            }
            best = number;
        }
        best
    }

    /// Whether `number` requests yield more than one fewer; unknown counts as yes, so that
    /// it is found out.
    fn is_worth(&self, number: u32) -> bool {
        let more = self.levels[place_of(number)];
        let fewer = self.levels[place_of(number - 1)];
        if more.answers < BELIEVED_AFTER || fewer.answers < BELIEVED_AFTER {
            return true;
        }
        let throughput = |number: u32, level: Level| f64::from(number) / level.mean_us.max(1.0);
        throughput(number, more) > throughput(number - 1, fewer) * GAIN_MIN
    }
}

fn place_of(in_flight: u32) -> usize {
    (in_flight as usize).clamp(1, LEVELS) - 1
}
