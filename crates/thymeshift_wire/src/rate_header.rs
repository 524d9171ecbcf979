//! Limits of requests a second as targets put them on answers: decimal numbers, such as `3.4`.

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderName;
use thymeshift_config::RequestRate;

/// Longest value read, in bytes.
const VALUE_BYTES_MAX: usize = 32;

/// A limit that is no number, or a negative one. It says nothing: neither that the target is in
/// need, nor that its need is over.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("header {name}: expected requests a second as one decimal number from 0 on")]
pub struct RateLimitError {
    /// Which header.
    pub name: HeaderName,
}

/// Reads the limit of an answer; the least, if it names several.
pub fn read_rate_limit(
    map: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<RequestRate>, RateLimitError> {
    let mut least: Option<f64> = None;
    for value in map.get_all(name) {
        let text = value.to_str().ok().filter(|text| text.len() <= VALUE_BYTES_MAX);
        let number = text.and_then(|text| text.trim().parse::<f64>().ok());
        let is_rate = |number: &f64| number.is_finite() && *number >= 0.0;
        let Some(number) = number.filter(is_rate) else {
            return Err(RateLimitError { name: name.clone() });
        };
        least = Some(least.map_or(number, |least| least.min(number)));
    }
    // Rounded up: a limit so low is not the same as none at all.
    Ok(least.map(|per_s| RequestRate::per_1000_s((per_s * 1_000.0).ceil() as u64)))
}
