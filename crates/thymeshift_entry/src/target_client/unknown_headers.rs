//! Headers that targets put on answers and that mean nothing here.
//!
//! What a target says to the balancer, and the balancer does not know, would be passed on to the
//! caller without a trace. Each such name gets one log line and a counter; the names are bounded,
//! since a target can make up any number of them.

use std::collections::HashSet;

use http::HeaderMap;
use http::HeaderName;
use metrics::counter;
use parking_lot::Mutex;
use spdlog::info;
use thymeshift_telemetry::metric;
use thymeshift_wire::Dialect;
use thymeshift_wire::HeaderAudience;

use crate::service::Destination;

/// Names kept at most.
const NAMES_MAX: usize = 32;
/// Longest name kept, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// The names seen since the start of the process.
#[derive(Default)]
pub(crate) struct UnknownHeaders {
    names: Mutex<HashSet<HeaderName>>,
}

impl UnknownHeaders {
    /// Notes what an answer of `target` carries.
    pub(crate) fn record<D: Dialect>(&self, headers: &HeaderMap, target: &Destination) {
        let is_unknown = |name: &&HeaderName| D::header_audience(name) == HeaderAudience::Unknown;
        for name in headers.keys().filter(is_unknown) {
            self.note_name(name, target);
        }
    }

    fn note_name(&self, name: &HeaderName, target: &Destination) {
        if name.as_str().len() > NAME_BYTES_MAX {
            return;
        }
        let is_new = {
            let mut names = self.names.lock();
            if !names.contains(name) && names.len() >= NAMES_MAX {
                return;
            }
            names.insert(name.clone())
        };
        counter!(metric::UNKNOWN_HEADERS, "name" => name.as_str().to_owned()).increment(1);
        if is_new {
            info!("target_header_unknown", kv: {
                name: = name, service: = target.service, target: = target.name
            });
        }
    }
}
