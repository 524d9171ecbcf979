//! Deadline, remaining attempts and depth, which are propagated with a call from layer to layer.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::headers;

/// Maximum number accepted in a context header; as a timeout in milliseconds, one day.
const NUMBER_MAX: u64 = 86_400_000;

/// Error of a malformed context header.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("header {name}: expected one whole number up to {NUMBER_MAX}")]
pub struct HeaderError {
    /// Name of the malformed header.
    pub name: HeaderName,
}

/// Deadline, remaining attempts and depth of a call, as the caller sent them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallContext {
    /// Time left until the deadline; a duration, because the clocks of two machines differ.
    pub timeout: Option<Duration>,
    /// Number of attempts that the call may still use.
    pub attempts_left: Option<u64>,
    /// Number of proxies that have already forwarded the call.
    pub depth: u64,
}

impl CallContext {
    /// Reads the context from a request's headers; fails if a header is malformed or repeated.
    pub fn read(map: &HeaderMap) -> Result<Self, HeaderError> {
        let timeout = read_number(map, &headers::TIMEOUT_MS)?.map(Duration::from_millis);
        let attempts_left = read_number(map, &headers::ATTEMPTS_LEFT)?;
        let depth = read_number(map, &headers::DEPTH)?.unwrap_or(0);
        Ok(Self { timeout, attempts_left, depth })
    }

    /// Writes the context for the next layer and replaces the headers that the caller sent.
    pub fn write(&self, map: &mut HeaderMap) {
        set_number(
            map,
            headers::TIMEOUT_MS,
            self.timeout.map(|timeout| timeout.as_millis() as u64),
        );
        set_number(map, headers::ATTEMPTS_LEFT, self.attempts_left);
        set_number(map, headers::DEPTH, Some(self.depth));
    }
}

fn set_number(map: &mut HeaderMap, name: HeaderName, number: Option<u64>) {
    match number {
        Some(number) => {
            map.insert(name, HeaderValue::from(number));
        }
        None => {
            map.remove(name);
        }
    }
}

fn read_number(map: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, HeaderError> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_single = values.next().is_none();
    let text = value.to_str().unwrap_or_default();
    let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse::<u64>() {
        Ok(number) if is_single && is_digits && number <= NUMBER_MAX => Ok(Some(number)),
        _ => Err(HeaderError { name: name.clone() }),
    }
}
