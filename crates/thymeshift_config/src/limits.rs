//! Limits that protect an entry process from its callers.

use serde::Serialize;

use crate::Mistakes;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::tree::Node;

const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;

/// Limits on what callers may send and hold open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes_max: u64,
    /// Longest time a caller may take to send a request head, in milliseconds.
    pub header_read_timeout_ms: u64,
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
    /// Longest time a caller may go without sending or taking body bytes, in milliseconds.
    pub body_stall_timeout_ms: u64,
    /// Answers up to this length are held until they are complete before any of it goes to
    /// the caller, in bytes; then a broken one can be tried again. 0 passes all answers on
    /// as they arrive.
    pub answer_buffer_bytes: u64,
    /// Most connections from callers at one time, each VM.
    pub caller_connections_max: u64,
    /// Requests of one connection that are begun while an earlier one is under way; 0 begins one
    /// after the other.
    pub requests_ahead_max: u64,
    /// How often one call may be passed on before it is refused.
    pub depth_max: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes_max: 16 * KIB,
            header_read_timeout_ms: 5_000,
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
        let base = Self::default();
        let mut map = MapReader::new(node, path, mistakes)?;
        let header_bytes_max =
            map.number_or("header_bytes_max", 8 * KIB..=256 * KIB, base.header_bytes_max);
        let header_read_timeout_ms =
            map.number_or("header_read_timeout_ms", 1..=60_000, base.header_read_timeout_ms);
        let body_bytes_max = map.number_or("body_bytes_max", 0..=1_024 * MIB, base.body_bytes_max);
        let body_stall_timeout_ms =
            map.number_or("body_stall_timeout_ms", 1..=600_000, base.body_stall_timeout_ms);
        let answer_buffer_bytes =
            map.number_or("answer_buffer_bytes", 0..=MIB, base.answer_buffer_bytes);
        let caller_connections_max =
            map.number_or("caller_connections_max", 1..=1_000_000, base.caller_connections_max);
        let requests_ahead_max =
            map.number_or("requests_ahead_max", 0..=64, base.requests_ahead_max);
        let depth_max = map.number_or("depth_max", 1..=64, base.depth_max);
        map.finish();
        Some(Self {
            header_bytes_max: header_bytes_max?,
            header_read_timeout_ms: header_read_timeout_ms?,
            body_bytes_max: body_bytes_max?,
            body_stall_timeout_ms: body_stall_timeout_ms?,
            answer_buffer_bytes: answer_buffer_bytes?,
            caller_connections_max: caller_connections_max?,
            requests_ahead_max: requests_ahead_max?,
            depth_max: depth_max?,
        })
    }
}
