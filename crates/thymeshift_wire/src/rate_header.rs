//! Rate limits that targets state in answers: requests per second as a decimal such as `3.4`.

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderName;
use thymeshift_config::RequestRate;

/// Maximum length of a header value that is parsed, in bytes.
const VALUE_BYTES_MAX: usize = 32;

/// Error of a rate limit that is not a number or is negative.
/// Such a header neither sets nor clears the limit of the target.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("header {name}: expected requests a second as one decimal number from 0 on")]
pub struct RateLimitError {
    /// Name of the header whose value is invalid.
    pub name: HeaderName,
}

/// Reads the rate limit of an answer; if it states several, the lowest.
pub fn read_rate_limit(
    map: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<RequestRate>, RateLimitError> {
    let mut lowest: Option<f64> = None;
    for value in map.get_all(name) {
        let text = value.to_str().ok().filter(|text| text.len() <= VALUE_BYTES_MAX);
        let number = text.and_then(|text| text.trim().parse::<f64>().ok());
        let is_rate = |number: &f64| number.is_finite() && *number >= 0.0;
        let Some(number) = number.filter(is_rate) else {
            return Err(RateLimitError { name: name.clone() });
        };
        lowest = Some(lowest.map_or(number, |lowest| lowest.min(number)));
    }
    // Rounded up, so that a small positive limit does not become a limit of zero.
    Ok(lowest.map(|per_s| RequestRate::per_1000_s((per_s * 1_000.0).ceil() as u64)))
}
