//! Computes the fingerprint of a caller's request.

use blake3::Hasher;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use http::request::Parts;
use thymeshift_types::Fingerprint;
use thymeshift_types::KeyDigest;

use crate::target_client::RequestBody;

/// Hashed in place of a streamed body, whose bytes are not known before it is forwarded.
const STREAMED_BODY: u8 = 1;
/// Hashed before the bytes of a body that has been read completely.
const WHOLE_BODY: u8 = 0;
/// Headers that identify the caller.
///
/// The caller's address is not part of the fingerprint, because a caller may change networks.
/// Also, a load balancer in front of this process gives many callers the same address.
const CALLER_HEADERS: [HeaderName; 2] = [header::AUTHORIZATION, header::COOKIE];

/// Returns the fingerprint of a request.
///
/// Hashes method, host, path with query, the headers that identify the caller, key digest and body.
/// Other headers are excluded because callers change some of them with each retry.
/// Streamed bodies are excluded, so requests with streamed bodies differ only by their heads.
pub(crate) fn fingerprint_of(
    parts: &Parts,
    key: Option<KeyDigest>,
    body: &RequestBody,
) -> Fingerprint {
    let mut hasher = Hasher::new();
    let host = parts.headers.get(header::HOST).map(HeaderValue::as_bytes);
    let authority = parts.uri.authority().map(|authority| authority.as_str().as_bytes());
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    hash_field(&mut hasher, parts.method.as_str().as_bytes());
    hash_field(&mut hasher, host.or(authority).unwrap_or_default());
    hash_field(&mut hasher, path.as_bytes());
    for name in &CALLER_HEADERS {
        let value = parts.headers.get(name).map(HeaderValue::as_bytes);
        hash_field(&mut hasher, value.unwrap_or_default());
    }
    if let Some(key) = key {
        hash_field(&mut hasher, key.to_string().as_bytes());
    }
    match body {
        RequestBody::Whole(bytes) => {
            hasher.update(&[WHOLE_BODY]);
            hasher.update(bytes);
        }
        RequestBody::Streaming(_) => {
            hasher.update(&[STREAMED_BODY]);
        }
    }
    let mut bytes = [0; 16];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint::from_bytes(bytes)
}

/// Hashes a field with its length as prefix.
/// Without the length, bytes moved from one field to the next would give the same hash.
fn hash_field(hasher: &mut Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_be_bytes());
    hasher.update(field);
}
