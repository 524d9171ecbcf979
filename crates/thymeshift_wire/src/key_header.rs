//! Extraction of API keys from the `Authorization` header with the Bearer scheme (RFC 6750).

use http::HeaderMap;
use http::HeaderName;
use http::header::AUTHORIZATION;
use thymeshift_types::KeyDigest;

/// Authentication scheme of an `Authorization` header that carries a key, in lower case.
const BEARER_SCHEME: &str = "bearer";

/// Removes the caller's key from a request and returns the digest of the key.
///
/// Also removes every spelling of the organisation header, so callers cannot claim an organisation.
/// Returns `None` if the request carries no key or more than one `Authorization` header.
pub fn take_bearer_key(map: &mut HeaderMap, organisation: &HeaderName) -> Option<KeyDigest> {
    remove_spellings(map, organisation);
    let mut values = map.get_all(AUTHORIZATION).iter();
    let digest = match (values.next(), values.next()) {
        (Some(value), None) => digest_of(value.as_bytes()),
        _ => None,
    };
    map.remove(AUTHORIZATION);
    digest
}

fn digest_of(value: &[u8]) -> Option<KeyDigest> {
    let text = std::str::from_utf8(value).ok()?;
    let (scheme, key) = text.trim().split_once(' ')?;
    if !scheme.eq_ignore_ascii_case(BEARER_SCHEME) {
        return None;
    }
    KeyDigest::of(key.trim().as_bytes())
}

/// Removes a header and its spellings with underscores.
/// CGI-style programs map header names to variables and do not distinguish `a_b` from `a-b`.
fn remove_spellings(map: &mut HeaderMap, name: &HeaderName) {
    map.remove(name);
    let is_spelling = |found: &&HeaderName| found.as_str().replace('_', "-") == name.as_str();
    let found: Vec<HeaderName> = map.keys().filter(is_spelling).cloned().collect();
    for spelling in found {
        map.remove(spelling);
    }
}
