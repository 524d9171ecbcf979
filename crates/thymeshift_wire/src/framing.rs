//! Framing headers of HTTP/1.1 messages: transfer coding and length of the body (RFC 9112, 6).

use http::HeaderMap;
use http::HeaderValue;
use http::header;

/// Returns whether the body of a message can be read: it has no transfer coding, or `chunked` alone.
///
/// No other coding is asked for, and forwarding the message without its `Transfer-Encoding` header, which
/// belongs to the connection, would leave the body coded.
pub fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    }
}

/// Returns the length in bytes that a message states, or `None` if it states none, several different ones,
/// no number, or a transfer coding, which overrides the length.
pub fn stated_length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter().flat_map(lengths_of);
    let first = lengths.next()??;
    lengths.all(|length| length == Some(first)).then_some(first)
}

/// Returns the members of a `Content-Length` value; `None` stands for one that is no number.
fn lengths_of(value: &HeaderValue) -> impl Iterator<Item = Option<u64>> {
    value.as_bytes().split(|byte| *byte == b',').map(|member| parse_length(member.trim_ascii()))
}

/// Parses digits alone; `u64::from_str` would also accept a sign.
fn parse_length(digits: &[u8]) -> Option<u64> {
    let text = str::from_utf8(digits).ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}
