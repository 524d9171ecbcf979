//! Load plans: request kinds with their rates, the entry processes and the duration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::Method;
use parking_lot::RwLock;

/// Load of one request kind.
#[derive(Debug, Clone)]
pub struct KindLoad {
    /// Name of the kind in the result.
    pub name: String,
    /// HTTP method of the requests.
    pub method: Method,
    /// Path of the requests, without a query string.
    pub path: String,
    /// Arrivals per second, summed over all entry processes.
    pub rate_per_s: f64,
    /// Length of each answer's body, in bytes.
    pub answer_bytes: usize,
    /// Length of each request's body, in bytes.
    pub request_bytes: usize,
    /// Latency up to which an answer counts as in time, in milliseconds.
    pub in_time_ms: u64,
}

/// Error of a `--kind` argument that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "cannot parse kind '{text}': expected NAME,METHOD,PATH,RATE_PER_S,ANSWER_BYTES,REQUEST_BYTES,IN_TIME_MS"
)]
pub struct PlanError {
    /// Text of the argument.
    pub text: String,
}

impl KindLoad {
    /// Parses `NAME,METHOD,PATH,RATE_PER_S,ANSWER_BYTES,REQUEST_BYTES,IN_TIME_MS`.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let fields: Vec<&str> = text.split(',').collect();
        let [name, method, path, rate, answer, request, in_time] = fields[..] else {
            return Err(PlanError { text: text.to_owned() });
        };
        let read = || {
            Some(Self {
                name: name.to_owned(),
                method: method.parse().ok()?,
                path: path.to_owned(),
                rate_per_s: rate.parse().ok()?,
                answer_bytes: answer.parse().ok()?,
                request_bytes: request.parse().ok()?,
                in_time_ms: in_time.parse().ok()?,
            })
        };
        read().ok_or_else(|| PlanError { text: text.to_owned() })
    }
}

/// Addresses of the entry processes that the platform's balancer sends requests to. Clones share
/// one list, which may change while the load runs.
#[derive(Debug, Clone, Default)]
pub struct EntryAddresses(Arc<RwLock<Vec<SocketAddr>>>);

impl EntryAddresses {
    /// Creates a list of these addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(addresses)))
    }

    /// Replaces the addresses, also in all clones of this list.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self.0.write() = addresses;
    }

    /// Returns the entry process for a request, round robin by request number; none if the list
    /// is empty.
    pub(crate) fn entry_for_request(&self, request_number: usize) -> Option<SocketAddr> {
        let addresses = self.0.read();
        addresses.get(request_number % addresses.len().max(1)).copied()
    }

    pub(crate) fn list(&self) -> Vec<SocketAddr> {
        self.0.read().clone()
    }
}

/// Load over all request kinds.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Entry processes, which receive requests round robin, as from the platform's balancer.
    pub entries: EntryAddresses,
    /// Request kinds with their rates.
    pub kinds: Vec<KindLoad>,
    /// Time within which requests arrive.
    pub duration: Duration,
    /// Seed of the arrival times and of the sequence of kinds.
    pub seed: u64,
    /// One-way network delay between callers and entry processes, in microseconds.
    pub one_way_us: u64,
    /// Number of connections opened to each entry process before the first arrival, because the
    /// platform's balancer also keeps connections open.
    pub warm_connections: usize,
}
