//! Removes hop-by-hop headers, which a proxy must not forward (RFC 9110, 7.6.1).

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Hop-by-hop headers that are removed even if the `Connection` header does not list them.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes all hop-by-hop headers, including those that the `Connection` header lists.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in connection_options(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the header names listed in `Connection`, except framing headers.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    let names = names.filter_map(|name| HeaderName::try_from(name.trim()).ok());
    // `Content-Length` and `Host` define how the message is read, so a sender cannot remove them.
    let is_framing = |name: &HeaderName| *name == header::CONTENT_LENGTH || *name == header::HOST;
    names.filter(|name| !is_framing(name)).collect()
}
