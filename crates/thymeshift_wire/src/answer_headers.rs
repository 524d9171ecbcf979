//! Intended recipients of the standard HTTP headers of an answer (RFC 9110, 9111, 9112 and others).

use http::HeaderName;
use http::header;

/// Intended recipient of a header of a target's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderAudience {
    /// The header is meant for the proxy, which reads it.
    Proxy,
    /// The header is meant for the caller and is forwarded without being read.
    Caller,
    /// The header is not known to this process.
    Unknown,
}

/// Hop-by-hop headers: hyper handles framing, and the connection pool handles connection reuse.
const HOP_BY_HOP: [HeaderName; 5] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    header::TRAILER,
    header::TRANSFER_ENCODING,
];

/// End-to-end headers that an answer may carry to the caller in any environment.
const END_TO_END: [HeaderName; 36] = [
    header::ACCEPT_RANGES,
    header::ACCESS_CONTROL_ALLOW_CREDENTIALS,
    header::ACCESS_CONTROL_ALLOW_HEADERS,
    header::ACCESS_CONTROL_ALLOW_METHODS,
    header::ACCESS_CONTROL_ALLOW_ORIGIN,
    header::ACCESS_CONTROL_EXPOSE_HEADERS,
    header::ACCESS_CONTROL_MAX_AGE,
    header::AGE,
    header::ALLOW,
    header::ALT_SVC,
    header::CACHE_CONTROL,
    header::CONTENT_DISPOSITION,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_LOCATION,
    header::CONTENT_RANGE,
    header::CONTENT_SECURITY_POLICY,
    header::CONTENT_TYPE,
    header::DATE,
    header::ETAG,
    header::EXPIRES,
    header::LAST_MODIFIED,
    header::LINK,
    header::LOCATION,
    header::PRAGMA,
    header::REFERRER_POLICY,
    header::SERVER,
    header::SET_COOKIE,
    header::STRICT_TRANSPORT_SECURITY,
    header::VARY,
    header::VIA,
    header::WARNING,
    header::WWW_AUTHENTICATE,
    header::X_CONTENT_TYPE_OPTIONS,
    header::X_FRAME_OPTIONS,
    header::X_XSS_PROTECTION,
];

/// Returns the intended recipient of a standard HTTP header.
///
/// A header that is meant for proxies but not read by this process counts as unknown.
/// Unknown headers are reported.
pub fn standard_audience(name: &HeaderName) -> HeaderAudience {
    if HOP_BY_HOP.contains(name) {
        HeaderAudience::Proxy
    } else if END_TO_END.contains(name) {
        HeaderAudience::Caller
    } else {
        HeaderAudience::Unknown
    }
}
