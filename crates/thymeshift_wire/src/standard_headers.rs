//! Headers of answers that HTTP itself defines (RFC 9110, 9111 and their companions).

use http::HeaderName;
use http::header;

/// Names that an answer may carry in any environment.
const STANDARD: [HeaderName; 44] = [
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
    header::CONNECTION,
    header::CONTENT_DISPOSITION,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_LENGTH,
    header::CONTENT_LOCATION,
    header::CONTENT_RANGE,
    header::CONTENT_SECURITY_POLICY,
    header::CONTENT_TYPE,
    header::DATE,
    header::ETAG,
    header::EXPIRES,
    HeaderName::from_static("keep-alive"),
    header::LAST_MODIFIED,
    header::LINK,
    header::LOCATION,
    header::PRAGMA,
    header::PROXY_AUTHENTICATE,
    header::REFERRER_POLICY,
    header::RETRY_AFTER,
    header::SERVER,
    header::SET_COOKIE,
    header::STRICT_TRANSPORT_SECURITY,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::VARY,
    header::VIA,
    header::WARNING,
    header::WWW_AUTHENTICATE,
    header::X_CONTENT_TYPE_OPTIONS,
    header::X_FRAME_OPTIONS,
    header::X_XSS_PROTECTION,
];

/// Whether HTTP itself defines the header.
pub fn is_standard(name: &HeaderName) -> bool {
    STANDARD.contains(name)
}
