//! Request ids in log lines and in messages between processes.

use http::HeaderValue;

/// Maximum length of a request id in log lines and messages, in bytes.
const LOGGABLE_BYTES_MAX: usize = 64;

/// Returns the start of a request id that is visible ASCII, for log lines and for messages between
/// processes. Targets receive the whole id, whatever bytes it holds.
pub fn loggable_id(id: &HeaderValue) -> &str {
    let bytes = id.as_bytes();
    let is_visible = |byte: &&u8| byte.is_ascii_graphic();
    let length = bytes.iter().take(LOGGABLE_BYTES_MAX).take_while(is_visible).count();
    str::from_utf8(&bytes[..length]).unwrap_or_default()
}
