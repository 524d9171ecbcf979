//! What load to make.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::Method;
use parking_lot::RwLock;

/// Requests of one kind.
#[derive(Debug, Clone)]
pub struct KindLoad {
    /// Its name, for the result.
    pub name: String,
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Arrivals a second, over all entry processes.
    pub rate_per_s: f64,
    /// Length of each answer, in bytes.
    pub answer_bytes: usize,
    /// Length of each request's body, in bytes.
    pub request_bytes: usize,
    /// An answer after this many milliseconds counts as late.
    pub in_time_ms: u64,
}

/// A kind's load that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "'{text}' is no load: expected NAME,METHOD,PATH,RATE_PER_S,ANSWER_BYTES,REQUEST_BYTES,IN_TIME_MS"
)]
pub struct PlanError {
    /// What was given.
    pub text: String,
}

impl KindLoad {
    /// Reads `NAME,METHOD,PATH,RATE_PER_S,ANSWER_BYTES,REQUEST_BYTES,IN_TIME_MS`.
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

/// The entry processes that the platform's balancer knows; may change under load.
#[derive(Debug, Clone, Default)]
pub struct EntryAddresses(Arc<RwLock<Vec<SocketAddr>>>);

impl EntryAddresses {
    /// These entry processes.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(addresses)))
    }

    /// Others from now on.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self.0.write() = addresses;
    }

    /// The one for request number `number`.
    pub(crate) fn entry_for_request(&self, number: usize) -> Option<SocketAddr> {
        let addresses = self.0.read();
        addresses.get(number % addresses.len().max(1)).copied()
    }

    pub(crate) fn list(&self) -> Vec<SocketAddr> {
        self.0.read().clone()
    }
}

/// The whole load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Where to send; requests go to them in turn, as from the platform's balancer.
    pub entries: EntryAddresses,
    /// The kinds.
    pub kinds: Vec<KindLoad>,
    /// For how long.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// One way between callers and entry processes, in microseconds.
    pub one_way_us: u64,
    /// Connections to each entry process that are open before the first arrival, as the
    /// platform's balancer keeps them.
    pub warm_connections: usize,
}
