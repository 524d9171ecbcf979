//! Record of headers in targets' answers that address the load balancer but are unknown to it.
//!
//! Without this record, an unknown header would be forwarded to the caller unnoticed.
//! Each header name is logged once and counted.
//! The number of names is bounded, because a target can send any number of different names.

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

/// Maximum number of unknown header names that are recorded.
const NAMES_MAX: usize = 32;
/// Maximum length of a recorded header name, in bytes; longer names are ignored.
const NAME_BYTES_MAX: usize = 64;

/// Unknown header names received since the start of the process.
#[derive(Default)]
pub(crate) struct UnknownHeaders {
    names: Mutex<HashSet<HeaderName>>,
}

impl UnknownHeaders {
    /// Records the unknown headers of an answer of `target`.
    pub(crate) fn record<D: Dialect>(&self, headers: &HeaderMap, target: &Destination) {
        let is_unknown = |name: &&HeaderName| D::header_audience(name) == HeaderAudience::Unknown;
        for name in headers.keys().filter(is_unknown) {
            self.record_name(name, target);
        }
    }

    fn record_name(&self, name: &HeaderName, target: &Destination) {
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
