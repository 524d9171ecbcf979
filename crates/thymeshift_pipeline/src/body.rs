//! The part of a request body that has not arrived yet.

use http::HeaderMap;
use http::header;

use crate::chunked::ChunkedBody;
use crate::head::content_length;

/// Request body whose end is stated unambiguously.
#[derive(Debug)]
pub(crate) enum Body {
    /// Body of a stated length, of which `bytes_left` have not arrived yet.
    Sized { bytes_left: u64 },
    /// Body that ends with its last chunk and trailers.
    Chunked(ChunkedBody),
}

impl Body {
    /// Body of a request without body bytes.
    pub(crate) const EMPTY: Self = Self::Sized { bytes_left: 0 };

    /// Returns the body that the headers of an HTTP/1.1 request state, or `None` if they do not
    /// state its end unambiguously.
    pub(crate) fn of_request(headers: &HeaderMap) -> Option<Self> {
        if is_chunked(headers) {
            return Some(Self::Chunked(ChunkedBody::new()));
        }
        content_length(headers).map(|bytes_left| Self::Sized { bytes_left })
    }

    /// Whether all bytes of the body have arrived.
    pub(crate) fn is_complete(&self) -> bool {
        match self {
            Self::Sized { bytes_left } => *bytes_left == 0,
            Self::Chunked(chunked) => chunked.is_complete(),
        }
    }

    /// Returns how many of the next bytes belong to the body, or `None` if the body is malformed.
    pub(crate) fn skip(&mut self, bytes: &[u8]) -> Option<usize> {
        match self {
            Self::Sized { bytes_left } => {
                let length = usize::try_from(*bytes_left).unwrap_or(usize::MAX).min(bytes.len());
                *bytes_left -= length as u64;
                Some(length)
            }
            Self::Chunked(chunked) => chunked.skip(bytes),
        }
    }
}

/// Whether `chunked` is the only transfer coding and no length is stated besides.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_only_coding = match (codings.next(), codings.next()) {
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    };
    is_only_coding && !headers.contains_key(header::CONTENT_LENGTH)
}
