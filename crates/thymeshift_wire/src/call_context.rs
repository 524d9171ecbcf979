//! What travels with a call from layer to layer: deadline, attempts and depth.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::headers;

/// Largest number accepted in one of these headers.
const NUMBER_MAX: u64 = 86_400_000;

/// A header of ours that is malformed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("header {name}: expected one whole number up to {NUMBER_MAX}")]
pub struct HeaderError {
    /// Which header.
    pub name: HeaderName,
}

/// What a caller sent along.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallContext {
    /// Time left to the deadline. Remaining time and not a moment, because clocks differ.
    pub timeout: Option<Duration>,
    /// Attempts that the call may still cost.
    pub attempts_left: Option<u64>,
    /// How often it was passed on.
    pub depth: u64,
}

impl CallContext {
    /// Reads the context from a request's headers.
    pub fn read(map: &HeaderMap) -> Result<Self, HeaderError> {
        let timeout = number(map, &headers::TIMEOUT_MS)?.map(Duration::from_millis);
        let attempts_left = number(map, &headers::ATTEMPTS_LEFT)?;
        let depth = number(map, &headers::DEPTH)?.unwrap_or(0);
        Ok(Self { timeout, attempts_left, depth })
    }

    /// Writes the context for the next layer, replacing what the caller sent.
    pub fn write(&self, map: &mut HeaderMap) {
        set(map, headers::TIMEOUT_MS, self.timeout.map(|timeout| timeout.as_millis() as u64));
        set(map, headers::ATTEMPTS_LEFT, self.attempts_left);
        set(map, headers::DEPTH, Some(self.depth));
    }
}

fn set(map: &mut HeaderMap, name: HeaderName, number: Option<u64>) {
    match number {
        Some(number) => {
            map.insert(name, HeaderValue::from(number));
        }
        None => {
            map.remove(name);
        }
    }
}

fn number(map: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, HeaderError> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_alone = values.next().is_none();
    let text = value.to_str().unwrap_or_default();
    let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse::<u64>() {
        Ok(number) if is_alone && is_digits && number <= NUMBER_MAX => Ok(Some(number)),
        _ => Err(HeaderError { name: name.clone() }),
    }
}
