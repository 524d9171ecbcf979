//! Builds the head of a forwarded answer.
//!
//! Version and framing belong to the caller's connection and follow from the decoded answer. A length from the
//! target's head that contradicts the body would make the caller take the rest of the body for its next answer.

use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Version;
use http::header;
use http::response::Parts;
use thymeshift_wire::Dialect;
use thymeshift_wire::stated_length;

use crate::caller::hop_by_hop::remove_hop_by_hop;

/// Returns the head of the answer to a request with this method that the caller gets.
///
/// The HTTP server states the length of a body. A head without a body may describe the body of another
/// answer (RFC 9110, 8.6), so its length is taken from the target if it is unambiguous.
pub(crate) fn forwarded_answer_head<D: Dialect>(mut parts: Parts, method: &Method) -> Parts {
    let describes_other = *method == Method::HEAD || parts.status == StatusCode::NOT_MODIFIED;
    let length = stated_length(&parts.headers).filter(|_| describes_other);
    remove_hop_by_hop(&mut parts.headers);
    D::strip_internal_headers(&mut parts.headers);
    // Trailers are not forwarded.
    parts.headers.remove(header::TRAILER);
    parts.headers.remove(header::CONTENT_LENGTH);
    if let Some(length) = length {
        parts.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    parts.version = Version::HTTP_11;
    parts
}
