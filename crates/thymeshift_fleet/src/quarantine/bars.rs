//! For how long a request is refused, by the number of targets that it crashed in a row.

use std::time::Duration;

/// Crashes in a row from which on a request is refused, in number.
pub(super) const REFUSED_FROM: usize = 2;
/// After that many crashes an innocent request may still be one, met by chance twice: it is
/// refused for a moment only, and its next run clears it.
const FIRST_BAR: Duration = Duration::from_secs(10);
/// After one more it is hardly one any more.
const SECOND_BAR: Duration = Duration::from_mins(5);
/// Each crash after that doubles the time, up to this.
const BAR_MAX: Duration = Duration::from_hours(24);
/// How long a single crash is remembered. A request that comes less often crashes a target each
/// time; one that comes as often as that is caught at its second arrival.
const CRASH_KEPT: Duration = Duration::from_hours(1);

/// How long a request is refused after the last of `in_a_row` crashes.
pub(super) fn bar(in_a_row: usize) -> Duration {
    let Some(beyond) = in_a_row.checked_sub(REFUSED_FROM) else {
        return Duration::ZERO;
    };
    let Some(doublings) = beyond.checked_sub(1) else {
        return FIRST_BAR;
    };
    let factor = 1 << doublings.min(16);
    (SECOND_BAR * factor).min(BAR_MAX)
}

/// How long after the last of `in_a_row` crashes these are remembered: so long that a request that
/// was let through again and crashes another target is refused again for longer.
pub(super) fn kept(in_a_row: usize) -> Duration {
    CRASH_KEPT.max(bar(in_a_row) * 2)
}
