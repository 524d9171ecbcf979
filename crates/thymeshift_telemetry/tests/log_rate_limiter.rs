//! The bound on log lines.

use thymeshift_telemetry::LogRateLimiter;

#[test]
fn lines_beyond_the_budget_are_left_out_and_counted() {
    let budget = LogRateLimiter::new(3);
    let written = (0..10).filter(|index| budget.allows(5_000_000 + index)).count();
    assert_eq!(written, 3);
    assert_eq!(budget.take_suppressed(), 7);
    assert_eq!(budget.take_suppressed(), 0, "handed out once");
    assert!(budget.allows(6_000_000), "the next second");
    assert_eq!(budget.take_suppressed(), 0);
}

#[test]
fn an_hour_without_lines_saves_nothing_up() {
    let budget = LogRateLimiter::new(2);
    let later_us = 3_600_000_000;
    let written = (0..100).filter(|index| budget.allows(later_us + index)).count();
    assert_eq!(written, 2);
}
