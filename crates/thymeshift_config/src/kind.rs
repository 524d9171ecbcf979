//! Request kinds and the rules that find a request's kind.

use derive_more::Display;
use serde::Serialize;
use thymeshift_types::KindName;
use thymeshift_types::ServiceName;

use crate::Mistakes;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::decode_keyword;
use crate::tree::Node;

/// Largest weight of one part of a split.
const WEIGHT_MAX: u64 = 1_000_000;
/// A request that waited longer than this part of its objective is refused: the caller's
/// next try then still has a chance to meet it.
const WAIT_SHARE_OF_OBJECTIVE: u64 = 4;

/// A safe request without an answer after this part of its objective is sent a second time:
/// the second attempt then still has a chance to meet it.
const HEDGE_SHARE_OF_OBJECTIVE: u64 = 2;

/// Whether a request may be sent to a target more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// It may: running it twice does no harm.
    #[display("safe")]
    Safe,
    /// It may not, unless the first attempt provably did not run.
    #[display("unsafe")]
    Unsafe,
}

decode_keyword!(Repeat { "safe" => Safe, "unsafe" => Unsafe });

/// The parts of a request that rules look at. The method is the one on the wire, the
/// host is in lower case without port.
pub trait RequestHead {
    /// The method.
    fn method(&self) -> &str;
    /// The host that the caller asked for, if any.
    fn host(&self) -> Option<&str>;
    /// The path without query.
    fn path(&self) -> &str;
    /// Whether the header `name` (lower case) has the value `value`.
    fn has_header(&self, name: &str, value: &str) -> bool;
}

/// A header that a request must carry with this value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Hash)]
pub struct HeaderRule {
    /// Header name in lower case.
    pub name: String,
    /// Its exact value.
    pub value: String,
}

/// All rules of one kind; a request must satisfy each that is given.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Hash)]
pub struct KindMatch {
    /// Methods allowed; empty allows all.
    pub methods: Vec<String>,
    /// Exact host.
    pub host: Option<String>,
    /// Start of the path. It ends at a path segment: `/a` matches `/a/b`, not `/ab`.
    pub path_prefix: Option<String>,
    /// A header.
    pub header: Option<HeaderRule>,
}

impl KindMatch {
    /// Whether the rules hold for `head`.
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

/// One part of a kind's requests, by weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SplitPart {
    /// Service that does the work of this part.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of all parts' weights.
    pub weight: u64,
}

/// A kind of request: how it is found, where it goes, and how it may wait and be retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Kind {
    /// Name, unique in the configuration.
    pub name: KindName,
    /// Rules that find it.
    #[serde(rename = "match")]
    pub rules: KindMatch,
    /// Service that does its work; with a split, that of the first part.
    pub service: ServiceName,
    /// Services that share its work by weight; empty if `service` does all of it.
    pub split: Vec<SplitPart>,
    /// Rank among the kinds of a service; 1 goes first.
    pub priority: u64,
    /// Longest time from accepting the request to the head of its answer, in
    /// milliseconds. A caller may ask for less.
    pub deadline_ms: u64,
    /// Time within which an answer is worth most to the caller, in milliseconds; 0 if none
    /// is given.
    pub objective_ms: u64,
    /// Longest time in the queue, in milliseconds. Without it, a quarter of the objective if
    /// there is one, else the deadline.
    pub wait_max_ms: u64,
    /// Most requests of this kind waiting at one VM.
    pub queue_max: u64,
    /// Most attempts, the first included.
    pub attempts_max: u64,
    /// Time after which a second attempt is started beside the first, in milliseconds;
    /// 0 never does. Without it, half of the objective for a safe kind that has one.
    pub hedge_after_ms: u64,
    /// Whether it may run twice.
    pub repeat: Repeat,
    /// Whether it is served without a key where there are organisations.
    #[serde(rename = "public")]
    pub is_public: bool,
}

impl Kind {
    /// The service for a request that drew `draw`, a number spread evenly over all `u64`.
    pub fn service_for(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| part.weight).sum();
        if total == 0 {
            return &self.service;
        }
        let mut left = draw % total;
        for part in &self.split {
            if left < part.weight {
                return &part.service;
            }
            left -= part.weight;
        }
        &self.service
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
        let name = map.required("name");
        let rules = map.value_or("match", KindMatch::default());
        let split: Option<Vec<SplitPart>> = map.value_or("split", Vec::new());
        let service = match split.as_ref().and_then(|parts| parts.first()) {
            // The first part stands for the whole where one service is wanted.
            Some(first) => map.value_or("service", first.service.clone()),
            None => map.required("service"),
        };
        let priority = map.number("priority", 1..=9);
        let deadline_ms = map.number("deadline_ms", 1..=600_000);
        let objective_ms = map.number_or("objective_ms", 0..=600_000, 0);
        let wait_max_ms = match (objective_ms, deadline_ms) {
            (Some(objective), Some(deadline)) if objective > 0 => {
                (objective / WAIT_SHARE_OF_OBJECTIVE).min(deadline)
            }
            (_, deadline) => deadline.unwrap_or(0),
        };
        let wait_max_ms = map.number_or("wait_max_ms", 0..=600_000, wait_max_ms);
        let queue_max = map.number_or("queue_max", 0..=1_000_000, 128);
        let attempts_max = map.number_or("attempts_max", 1..=10, 2);
        let repeat = map.required("repeat");
        let hedge_after_ms = match (repeat, objective_ms) {
            (Some(Repeat::Safe), Some(objective)) => objective / HEDGE_SHARE_OF_OBJECTIVE,
            _ => 0,
        };
        let hedge_after_ms = map.number_or("hedge_after_ms", 0..=600_000, hedge_after_ms);
        let is_public = map.value_or("public", false);
        map.finish();
        Some(Self {
            name: name?,
            rules: rules?,
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
    }
}
