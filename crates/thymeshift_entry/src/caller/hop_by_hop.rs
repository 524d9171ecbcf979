//! Headers that belong to one connection and are not passed on (RFC 9110, 7.6.1).

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Always removed, beside those that `Connection` lists.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes them.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in listed(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn listed(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    let names = names.filter_map(|name| HeaderName::try_from(name.trim()).ok());
    // Length and host say what the message is; no sender may take them away.
    let is_framing = |name: &HeaderName| *name == header::CONTENT_LENGTH || *name == header::HOST;
    names.filter(|name| !is_framing(name)).collect()
}
