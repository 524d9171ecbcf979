//! Request kinds and the rules that classify requests.

use derive_more::Display;
use serde::Serialize;
use thymeshift_types::KindName;
use thymeshift_types::ServiceName;

use crate::Mistakes;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::TIME_MS_MAX;
use crate::decode::decode_keyword;
use crate::tree::Node;

/// Name of the service of kinds that cannot be read; it has no targets.
const REFUSING_SERVICE: &str = "unreadable-kind";
/// Deadline of requests that are refused at once.
const REFUSED_DEADLINE_MS: u64 = 1_000;
/// Upper bound of the weight of one part of a traffic split.
const WEIGHT_MAX: u64 = 1_000_000;
/// Divisor of the latency objective that gives the default maximum queue time. A request
/// that is refused after this time leaves the caller's retry a chance to meet the objective.
const OBJECTIVE_TO_WAIT_DIVISOR: u64 = 4;

/// Divisor of the latency objective that gives the default hedging delay of safe requests.
/// A hedge that starts after this time can still meet the objective.
const OBJECTIVE_TO_HEDGE_DIVISOR: u64 = 2;

/// Whether a request may be sent to a target more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running the request more than once has no side effects.
    #[display("safe")]
    Safe,
    /// The request must not be repeated unless the first attempt provably did not run.
    #[display("unsafe")]
    Unsafe,
}

decode_keyword!(Repeat { "safe" => Safe, "unsafe" => Unsafe });

/// Properties of a request that rules match against.
/// The method is compared as received; the host is in lower case and without port.
pub trait RequestHead {
    /// Returns the HTTP method.
    fn method(&self) -> &str;
    /// Returns the requested host; `None` if the request has none.
    fn host(&self) -> Option<&str>;
    /// Returns the path without the query.
    fn path(&self) -> &str;
    /// Returns whether the header `name` (in lower case) has the value `value`.
    fn has_header(&self, name: &str, value: &str) -> bool;
}

/// Rule that requires a header with an exact value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Hash)]
pub struct HeaderRule {
    /// Header name in lower case.
    pub name: String,
    /// Exact header value.
    pub value: String,
}

/// Rules of one kind. A request must satisfy all rules that are given.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Hash)]
pub struct KindMatch {
    /// Allowed HTTP methods; an empty list allows all.
    pub methods: Vec<String>,
    /// Exact host name that the request must have.
    pub host: Option<String>,
    /// Prefix of the path that ends at a segment boundary: `/a` matches `/a/b`, but not `/ab`.
    pub path_prefix: Option<String>,
    /// Header that the request must carry.
    pub header: Option<HeaderRule>,
}

impl KindMatch {
    /// Returns whether `head` satisfies all rules.
    pub fn is_match(&self, head: &impl RequestHead) -> bool {
        let is_method =
            self.methods.is_empty() || self.methods.iter().any(|method| method == head.method());
        let is_host = self.host.as_deref().is_none_or(|host| head.host() == Some(host));
        let is_path =
            self.path_prefix.as_deref().is_none_or(|prefix| has_prefix(head.path(), prefix));
        let is_header =
            self.header.as_ref().is_none_or(|rule| head.has_header(&rule.name, &rule.value));
        is_method && is_host && is_path && is_header
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Part of a traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SplitPart {
    /// Service that serves the requests of this part.
    pub service: ServiceName,
    /// Weight of this part, relative to the sum of the weights of all parts.
    pub weight: u64,
}

/// Kind of request: the rules that match it, the services
/// that serve it, and its queueing and retry policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Kind {
    /// Name of the kind, unique in the configuration.
    pub name: KindName,
    /// Rules that a request of this kind must satisfy.
    #[serde(rename = "match")]
    pub rules: KindMatch,
    /// Service that serves the requests of this kind;
    /// with a traffic split, the service of the first part.
    pub service: ServiceName,
    /// Traffic split over several services by weight; empty if `service` serves all requests.
    pub split: Vec<SplitPart>,
    /// Priority among the kinds of a service; 1 is served first.
    pub priority: u64,
    /// Maximum time from accepting a request to the head of its answer, in milliseconds.
    /// A caller may request a shorter deadline.
    pub deadline_ms: u64,
    /// Latency objective, in milliseconds; 0 if the kind has no objective.
    /// Only an answer within the objective has its full value for the caller.
    pub objective_ms: u64,
    /// Maximum time in the queue, in milliseconds.
    /// Defaults to a quarter of the objective, or to the deadline if the kind has no objective.
    pub wait_max_ms: u64,
    /// Maximum number of queued requests of this kind at one VM.
    pub queue_max: u64,
    /// Maximum number of attempts, including the first.
    pub attempts_max: u64,
    /// Delay after which a second attempt is started in parallel to the first, in milliseconds.
    /// A delay of 0 disables hedging.
    /// Defaults to half of the objective for a safe kind with an objective.
    pub hedge_after_ms: u64,
    /// Whether a request of this kind may be sent to a target more than once.
    pub repeat: Repeat,
    /// Whether requests of this kind need no API key even if organisations are configured.
    #[serde(rename = "public")]
    pub is_public: bool,
}

impl Kind {
    /// Selects the service for a request by the weights of the traffic split.
    /// `draw` is a uniformly distributed random number over all of `u64`.
    pub fn service_for(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| part.weight).sum();
        if total == 0 {
            return &self.service;
        }
        let mut remaining = draw % total;
        for part in &self.split {
            if remaining < part.weight {
                return &part.service;
            }
            remaining -= part.weight;
        }
        &self.service
    }
}

impl Kind {
    /// Returns a kind whose requests are refused, because only its name and rules can be read. Without
    /// it, a kind with wider rules would take the requests.
    fn refused(name: KindName, rules: KindMatch) -> Option<Self> {
        Some(Self {
            name,
            rules,
            service: ServiceName::new(REFUSING_SERVICE).ok()?,
            split: Vec::new(),
            priority: 1,
            deadline_ms: REFUSED_DEADLINE_MS,
            objective_ms: 0,
            wait_max_ms: 0,
            queue_max: 0,
            attempts_max: 1,
            hedge_after_ms: 0,
            repeat: Repeat::Unsafe,
            is_public: false,
        })
    }

    /// Returns whether the kind has only a name and rules, so that its requests are refused.
    pub(crate) fn is_refused(&self) -> bool {
        self.service.as_str() == REFUSING_SERVICE
    }
}

impl Decode for SplitPart {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let service = map.required("service");
        let weight = map.number("weight", 0..=WEIGHT_MAX);
        map.finish();
        Some(Self { service: service?, weight: weight? })
    }
}

impl Decode for HeaderRule {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let name: Option<String> = map.required("name");
        let value = map.required("value");
        map.finish();
        Some(Self { name: name?.to_ascii_lowercase(), value: value? })
    }
}

impl Decode for KindMatch {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let methods = map.value_or("methods", Vec::new());
        let host: Option<Option<String>> = map.optional("host");
        let path_prefix = map.optional("path_prefix");
        let header = map.optional("header");
        map.finish();
        Some(Self {
            methods: methods?,
            host: host?.map(|host| host.to_ascii_lowercase()),
            path_prefix: path_prefix?,
            header: header?,
        })
    }
}

impl Decode for Kind {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let name: Option<KindName> = map.required("name");
        let rules: Option<KindMatch> = map.value_or("match", KindMatch::default());
        let split: Option<Vec<SplitPart>> = map.value_or("split", Vec::new());
        let service = match split.as_ref().and_then(|parts| parts.first()) {
            // The service of the first part represents the kind where a single service is needed.
            Some(first) => map.value_or("service", first.service.clone()),
            None => map.required("service"),
        };
        let priority = map.number("priority", 1..=9);
        let deadline_ms = map.number("deadline_ms", 1..=TIME_MS_MAX);
        let objective_ms = map.number_or("objective_ms", 0..=TIME_MS_MAX, 0);
        let wait_max_ms = match (objective_ms, deadline_ms) {
            (Some(objective), Some(deadline)) if objective > 0 => {
                (objective / OBJECTIVE_TO_WAIT_DIVISOR).min(deadline)
            }
            (_, deadline) => deadline.unwrap_or(0),
        };
        let wait_max_ms = map.number_or("wait_max_ms", 0..=TIME_MS_MAX, wait_max_ms);
        let queue_max = map.number_or("queue_max", 0..=1_000_000, 128);
        let attempts_max = map.number_or("attempts_max", 1..=10, 2);
        let repeat = map.required("repeat");
        let hedge_after_ms = match (repeat, objective_ms) {
            (Some(Repeat::Safe), Some(objective)) => objective / OBJECTIVE_TO_HEDGE_DIVISOR,
            _ => 0,
        };
        let hedge_after_ms = map.number_or("hedge_after_ms", 0..=TIME_MS_MAX, hedge_after_ms);
        let is_public = map.value_or("public", false);
        let is_adjusting = map.is_adjusting();
        map.finish();
        let (name, rules) = (name?, rules?);
        let read = || {
            Some(Self {
                name: name.clone(),
                rules: rules.clone(),
                service: service?,
                split: split?,
                priority: priority?,
                deadline_ms: deadline_ms?,
                objective_ms: objective_ms?,
                wait_max_ms: wait_max_ms?,
                queue_max: queue_max?,
                attempts_max: attempts_max?,
                hedge_after_ms: hedge_after_ms?,
                repeat: repeat?,
                is_public: is_public?,
            })
        };
        match read() {
            Some(kind) => Some(kind),
            None if is_adjusting => Self::refused(name, rules),
            None => None,
        }
    }
}
