//! `Retry-After` of a target (RFC 9110, section 10.2.3): a number of seconds, or a date.

use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderValue;
use http::header::DATE;
use http::header::RETRY_AFTER;
use httpdate::parse_http_date;

/// Longest value read, in bytes.
const VALUE_BYTES_MAX: usize = 32;

/// A value that cannot be read. It asks for nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("header retry-after: expected seconds from 0 on, or a date beside the answer's Date")]
pub struct RetryAfterError;

/// Reads the time to wait; the longest, if there are several.
pub fn read_retry_after(map: &HeaderMap) -> Result<Option<Duration>, RetryAfterError> {
    // A date is compared with the sender's own clock: clocks may differ by seconds.
    let sent_at = map.get(DATE).and_then(date);
    let mut longest = None;
    for value in map.get_all(RETRY_AFTER) {
        let wait = seconds(value).or_else(|| until(value, sent_at?)).ok_or(RetryAfterError)?;
        longest = longest.max(Some(wait));
    }
    Ok(longest)
}

fn text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok().filter(|text| text.len() <= VALUE_BYTES_MAX).map(str::trim)
}

fn seconds(value: &HeaderValue) -> Option<Duration> {
    let text = text(value).filter(|text| text.starts_with(|first: char| first.is_ascii_digit()))?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    parse_http_date(text(value)?).ok()
}

/// Time from `sent_at` to the date in `value`; zero if it has passed.
fn until(value: &HeaderValue, sent_at: SystemTime) -> Option<Duration> {
    Some(date(value)?.duration_since(sent_at).unwrap_or(Duration::ZERO))
}
