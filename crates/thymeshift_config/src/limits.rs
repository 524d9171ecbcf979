//! Limits that protect an entry process from its callers.

use serde::Serialize;

use crate::Mistakes;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::TIME_MS_MAX;
use crate::tree::Node;

const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;
/// Upper bound of the configured size of request bodies: 1 PiB. Bodies are counted, not stored.
const BODY_BYTES_MAX: u64 = 1 << 50;

/// Limits for the requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes_max: u64,
    /// Maximum time from the first byte of a request head to its last, in milliseconds.
    pub header_read_timeout_ms: u64,
    /// Time for which a caller's connection may rest without a request, in milliseconds.
    /// Defaults to the timeout of a request head.
    pub idle_timeout_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// Maximum time without progress while a caller sends or receives a body, in milliseconds.
    pub body_stall_timeout_ms: u64,
    /// Maximum length of an answer that is buffered completely before it is sent to the caller,
    /// in bytes. A request whose buffered answer breaks off can be retried.
    /// A limit of 0 streams all answers.
    pub answer_buffer_bytes: u64,
    /// Maximum number of concurrent connections from callers to one VM.
    pub caller_connections_max: u64,
    /// Maximum number of pipelined requests of one connection
    /// that are started while an earlier request is in flight.
    /// A limit of 0 runs the requests of a connection one at a time.
    pub requests_ahead_max: u64,
    /// Maximum number of proxies that may forward a call before it is refused.
    pub depth_max: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes_max: 16 * KIB,
            header_read_timeout_ms: 5_000,
            idle_timeout_ms: 5_000,
            body_bytes_max: 4 * MIB,
            body_stall_timeout_ms: 10_000,
            answer_buffer_bytes: 0,
            caller_connections_max: 4_096,
            requests_ahead_max: 8,
            depth_max: 9,
        }
    }
}

impl Decode for Limits {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let defaults = Self::default();
        let mut map = MapReader::new(node, path, mistakes)?;
        let header_bytes_max =
            map.number_or("header_bytes_max", 8 * KIB..=4 * MIB, defaults.header_bytes_max);
        let header_read_timeout_ms = map.number_or(
            "header_read_timeout_ms",
            1..=TIME_MS_MAX,
            defaults.header_read_timeout_ms,
        );
        let idle_timeout_ms = map.number_or(
            "idle_timeout_ms",
            1..=TIME_MS_MAX,
            header_read_timeout_ms.unwrap_or(defaults.idle_timeout_ms),
        );
        let body_bytes_max =
            map.number_or("body_bytes_max", 0..=BODY_BYTES_MAX, defaults.body_bytes_max);
        let body_stall_timeout_ms =
            map.number_or("body_stall_timeout_ms", 1..=TIME_MS_MAX, defaults.body_stall_timeout_ms);
        let answer_buffer_bytes =
            map.number_or("answer_buffer_bytes", 0..=MIB, defaults.answer_buffer_bytes);
        let caller_connections_max =
            map.number_or("caller_connections_max", 1..=1_000_000, defaults.caller_connections_max);
        let requests_ahead_max =
            map.number_or("requests_ahead_max", 0..=64, defaults.requests_ahead_max);
        let depth_max = map.number_or("depth_max", 1..=64, defaults.depth_max);
        map.finish();
        Some(Self {
            header_bytes_max: header_bytes_max?,
            header_read_timeout_ms: header_read_timeout_ms?,
            idle_timeout_ms: idle_timeout_ms?,
            body_bytes_max: body_bytes_max?,
            body_stall_timeout_ms: body_stall_timeout_ms?,
            answer_buffer_bytes: answer_buffer_bytes?,
            caller_connections_max: caller_connections_max?,
            requests_ahead_max: requests_ahead_max?,
            depth_max: depth_max?,
        })
    }
}
