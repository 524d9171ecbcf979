//! Whom the headers of an answer address that HTTP itself defines (RFC 9110, 9111, 9112 and their
//! companions).

use http::HeaderName;
use http::header;

/// Whom a header of a target's answer addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderAudience {
    /// This process, which reads it.
    Proxy,
    /// The caller: it is passed on unread.
    Caller,
    /// Nobody that is known here.
    Unknown,
}

/// Headers between neighbours of a connection: framing (hyper), reuse of connections (the pool).
const READ_HERE: [HeaderName; 5] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    header::TRAILER,
    header::TRANSFER_ENCODING,
];

/// Headers that an answer may carry to the caller in any environment.
const FOR_CALLERS: [HeaderName; 36] = [
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

/// Whom a header addresses that HTTP itself defines. One that addresses proxies and is not read
/// here counts as unknown, so that it does not go unnoticed.
pub fn standard_audience(name: &HeaderName) -> HeaderAudience {
    if READ_HERE.contains(name) {
        HeaderAudience::Proxy
    } else if FOR_CALLERS.contains(name) {
        HeaderAudience::Caller
    } else {
        HeaderAudience::Unknown
    }
}
