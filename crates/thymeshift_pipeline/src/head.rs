//! Parsing of request heads, with the same parser as hyper.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::Version;
use http::header;
use http::request::Parts;

/// Maximum number of headers of a request, equal to the limit of hyper.
const HEADERS_MAX: usize = 100;

/// Parsed request head.
pub(crate) struct Head {
    pub(crate) parts: Parts,
    /// Length of the head in bytes, including empty lines before it.
    pub(crate) length: usize,
}

/// Result of parsing a request head.
pub(crate) enum HeadParse {
    Complete(Box<Head>),
    /// The head is incomplete; more bytes are needed.
    Partial,
    /// The bytes are not a request head that the pipeline supports.
    Invalid,
}

/// Parses the request head at the start of `bytes`.
pub(crate) fn parse_head(bytes: &[u8]) -> HeadParse {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return HeadParse::Partial,
        Err(_) => return HeadParse::Invalid,
    };
    match to_parts(&request) {
        Some(parts) => HeadParse::Complete(Box::new(Head { parts, length })),
        None => HeadParse::Invalid,
    }
}

fn to_parts(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut parts = Request::new(()).into_parts().0;
    parts.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    parts.uri = request.path?.parse::<Uri>().ok()?;
    parts.version = match request.version? {
        0 => Version::HTTP_10,
        1 => Version::HTTP_11,
        _ => return None,
    };
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        parts.headers.append(name, value);
    }
    Some(parts)
}

/// Whether two parsed heads have the same method, URI, version and headers.
pub(crate) fn is_same_head(left: &Parts, right: &Parts) -> bool {
    left.method == right.method
        && left.uri == right.uri
        && left.version == right.version
        && left.headers == right.headers
}

/// Returns the body length in bytes, or `None` if the headers do not state it unambiguously.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some(length), None) => {
            let text = length.to_str().ok()?;
            let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
            text.parse().ok().filter(|_| is_plain)
        }
        (Some(_), Some(_)) => None,
    }
}

/// Whether the bytes after the request are another request: the version is HTTP/1.1, the protocol
/// does not change and the connection stays open.
pub(crate) fn allows_pipelining(parts: &Parts) -> bool {
    let is_other_protocol =
        parts.headers.contains_key(header::UPGRADE) || parts.method == Method::CONNECT;
    let is_closing = parts.headers.contains_key(header::CONNECTION)
        && parts.headers.get_all(header::CONNECTION).iter().any(is_close);
    parts.version == Version::HTTP_11 && !is_other_protocol && !is_closing
}

fn is_close(value: &HeaderValue) -> bool {
    value
        .to_str()
        .is_ok_and(|text| text.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")))
}
