//! Parser for the `Retry-After` header (RFC 9110, section 10.2.3): a number of seconds or a date.

use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderValue;
use http::header::DATE;
use http::header::RETRY_AFTER;
use httpdate::parse_http_date;

/// Maximum length of a header value that is parsed, in bytes.
const VALUE_BYTES_MAX: usize = 32;

/// Error of a `Retry-After` header that cannot be parsed. Such a header causes no backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("header retry-after: expected seconds from 0 on, or a date beside the answer's Date")]
pub struct RetryAfterError;

/// Returns the time to wait; if the header occurs several times, the longest one.
pub fn read_retry_after(map: &HeaderMap) -> Result<Option<Duration>, RetryAfterError> {
    // A date is compared with the `Date` header of the same answer instead of the local clock.
    // The clocks of target and entry process may differ by seconds.
    let sent_at = map.get(DATE).and_then(parse_date);
    let mut longest = None;
    for value in map.get_all(RETRY_AFTER) {
        let wait = parse_seconds(value)
            .or_else(|| parse_wait_until(value, sent_at?))
            .ok_or(RetryAfterError)?;
        longest = longest.max(Some(wait));
    }
    Ok(longest)
}

fn short_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok().filter(|text| text.len() <= VALUE_BYTES_MAX).map(str::trim)
}

fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let text =
        short_text(value).filter(|text| text.starts_with(|first: char| first.is_ascii_digit()))?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

fn parse_date(value: &HeaderValue) -> Option<SystemTime> {
    parse_http_date(short_text(value)?).ok()
}

/// Returns the time from `sent_at` to the date in `value`; zero if the date has passed.
fn parse_wait_until(value: &HeaderValue, sent_at: SystemTime) -> Option<Duration> {
    Some(parse_date(value)?.duration_since(sent_at).unwrap_or(Duration::ZERO))
}
