//! Check of an answer's head before anything else is read from it.

use http::HeaderMap;
use http::StatusCode;
use thymeshift_wire::has_known_coding;

/// Number above the last valid status code (RFC 9110, 15).
const STATUS_END: u16 = 600;

/// Returns whether a head is that of a final answer whose body can be read.
///
/// An interim status is followed by another head, except after 101, which is an answer only to a request to
/// upgrade, and none is sent. Other statuses outside 200 to 599 are invalid.
pub(super) fn is_readable(status: StatusCode, headers: &HeaderMap) -> bool {
    !status.is_informational() && status.as_u16() < STATUS_END && has_known_coding(headers)
}
