//! Tests of the rate limit for log lines.

use thymeshift_telemetry::LogRateLimiter;

#[test]
fn lines_above_the_limit_are_suppressed_and_counted() {
    let limiter = LogRateLimiter::new(3);
    let written = (0..10).filter(|index| limiter.allows(5_000_000 + index)).count();
    assert_eq!(written, 3);
    assert_eq!(limiter.take_suppressed(), 7);
    assert_eq!(limiter.take_suppressed(), 0, "the count is reset");
    assert!(limiter.allows(6_000_000), "a new window");
    assert_eq!(limiter.take_suppressed(), 0);
}

#[test]
fn an_hour_without_lines_does_not_raise_the_limit() {
    let limiter = LogRateLimiter::new(2);
    let later_us = 3_600_000_000;
    let written = (0..100).filter(|index| limiter.allows(later_us + index)).count();
    assert_eq!(written, 2);
}
