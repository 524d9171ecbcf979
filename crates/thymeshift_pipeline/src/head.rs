//! Reading the head of a request, with the parser that hyper uses.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::Version;
use http::header;
use http::request::Parts;

/// Most headers of a request: hyper's own bound.
const HEADERS_MAX: usize = 100;

/// A head that has been read.
pub(crate) struct Head {
    pub(crate) parts: Parts,
    /// Its length with what stands before it, in bytes.
    pub(crate) length: usize,
}

/// What stands at the beginning of some bytes.
pub(crate) enum Reading {
    Whole(Box<Head>),
    /// More bytes are needed.
    Partial,
    /// No request that can be followed.
    Other,
}

/// Reads the head at the beginning of `bytes`.
pub(crate) fn read(bytes: &[u8]) -> Reading {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Reading::Partial,
        Err(_) => return Reading::Other,
    };
    match parts_of(&request) {
        Some(parts) => Reading::Whole(Box::new(Head { parts, length })),
        None => Reading::Other,
    }
}

fn parts_of(request: &httparse::Request<'_, '_>) -> Option<Parts> {
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

/// Whether two readings of a head are the same.
pub(crate) fn is_same(left: &Parts, right: &Parts) -> bool {
    left.method == right.method
        && left.uri == right.uri
        && left.version == right.version
        && left.headers == right.headers
}

/// The length of the body behind a head, in bytes, if that is certain.
pub(crate) fn body_bytes(headers: &HeaderMap) -> Option<u64> {
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

/// Whether the bytes behind the request are another one.
pub(crate) fn is_followed(parts: &Parts) -> bool {
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
