//! Acts on a check only while its result is fresh.

use std::time::Duration;

use thymeshift_types::Clock;

/// Maximum age of a check at the action that it allows. A check takes up to 10 µs; a thread that loses
/// its processor after it continues milliseconds later (30 ms in a trace).
const CHECK_AGE_MAX: Duration = Duration::from_micros(200);

/// Runs `action` if `check` allows it and has begun at most [`CHECK_AGE_MAX`] ago. Returns whether the
/// action was run; otherwise the caller checks again later.
///
/// The kernel usually takes the processor from a thread at the end of a system call, such as the one
/// of the check. A request that arrives before the thread continues is not known to the check.
pub fn act_if_fresh<C: Clock>(
    clock: &C,
    check: impl FnOnce() -> bool,
    action: impl FnOnce(),
) -> bool {
    let began_at = clock.now();
    let is_allowed = check();
    // Nothing may come between this reading of the clock and the action.
    let is_fresh = clock.now().since(began_at) <= CHECK_AGE_MAX;
    if is_allowed && is_fresh {
        action();
    }
    is_allowed && is_fresh
}
