//! For how long a request is refused, by the number of targets that it crashed in a row.

use std::time::Duration;

/// How long a single crash is remembered. A request that comes less often crashes a target each
/// time; one that comes as often as that is caught at its second arrival.
const CRASH_KEPT: Duration = Duration::from_hours(1);
/// Longest time for which a request is refused: as long as an operator's order holds at most.
const BAR_MAX: Duration = Duration::from_hours(24);
const DOUBLINGS_MAX: usize = 16;

/// When a request is refused, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRules {
    /// Crashes from which on it is refused, in number.
    pub refusal_strikes_min: usize,
    /// For how long at first. It may still be an innocent one that met two crashes by chance, which
    /// its next run shows.
    pub first_refusal: Duration,
    /// For how long after one more crash; each further one doubles it.
    pub second_refusal: Duration,
}

/// Chosen by replays of a request that comes 2.5 times a second in the mean to 13 processes and 7
/// targets, among 70 innocent ones a second (100 days of a minute): it crashes 3.3 targets a day in
/// place of 64.7, and is not sent after all can know of three crashes. From three crashes on in
/// place of two: 4.2 targets, and 3 such sends on the worst day. The first time long at once: 2.5
/// targets, and ten times as many innocent requests refused (1.67 a day of 4,200, in place of 0.16).
impl Default for QuarantineRules {
    fn default() -> Self {
        Self {
            refusal_strikes_min: 2,
            first_refusal: Duration::from_secs(3),
            second_refusal: Duration::from_mins(5),
        }
    }
}

impl QuarantineRules {
    /// How long a request is refused after the last of its crashes, of which `strikes` count.
    pub(super) fn bar(&self, strikes: usize) -> Duration {
        let Some(beyond) = strikes.checked_sub(self.refusal_strikes_min) else {
            return Duration::ZERO;
        };
        let Some(doublings) = beyond.checked_sub(1) else {
            return self.first_refusal;
        };
        let factor = 1 << doublings.min(DOUBLINGS_MAX);
        (self.second_refusal * factor).min(BAR_MAX)
    }

    /// How long after the last of them crashes are remembered: so long that a request
    /// that was let through again and crashes another target is refused again for longer.
    pub(super) fn kept(&self, strikes: usize) -> Duration {
        CRASH_KEPT.max(self.bar(strikes) * 2)
    }
}
