//! Request kinds and the rules that find a request's kind.

use derive_more::Display;
use serde::Serialize;
use thymeshift_types::KindName;
use thymeshift_types::ServiceName;

use crate::Mistakes;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::decode_word;
use crate::tree::Node;

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

decode_word!(Repeat { "safe" => Safe, "unsafe" => Unsafe });

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
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HeaderRule {
    /// Header name in lower case.
    pub name: String,
    /// Its exact value.
    pub value: String,
}

/// All rules of one kind; a request must satisfy each that is given.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
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

/// A kind of request: how it is found, where it goes, and how it may wait and be retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Kind {
    /// Name, unique in the configuration.
    pub name: KindName,
    /// Rules that find it.
    #[serde(rename = "match")]
    pub rules: KindMatch,
    /// Service that does its work.
    pub service: ServiceName,
    /// Rank among the kinds of a service; 1 goes first.
    pub priority: u64,
    /// Longest time from accepting the request to the head of its answer, in
    /// milliseconds. A caller may ask for less.
    pub deadline_ms: u64,
    /// Longest time in the queue, in milliseconds.
    pub wait_max_ms: u64,
    /// Most requests of this kind waiting at one VM.
    pub queue_max: u64,
    /// Most attempts, the first included.
    pub attempts_max: u64,
    /// Time after which a second attempt is started beside the first, in milliseconds;
    /// 0 never does.
    pub hedge_after_ms: u64,
    /// Whether it may run twice.
    pub repeat: Repeat,
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
        let methods = map.or("methods", Vec::new());
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
        let rules = map.or("match", KindMatch::default());
        let service = map.required("service");
        let priority = map.number("priority", 1..=9);
        let deadline_ms = map.number("deadline_ms", 1..=600_000);
        let wait_max_ms = map.number_or("wait_max_ms", 0..=600_000, deadline_ms.unwrap_or(0));
        let queue_max = map.number_or("queue_max", 0..=1_000_000, 128);
        let attempts_max = map.number_or("attempts_max", 1..=10, 2);
        let hedge_after_ms = map.number_or("hedge_after_ms", 0..=600_000, 0);
        let repeat = map.required("repeat");
        map.finish();
        Some(Self {
            name: name?,
            rules: rules?,
            service: service?,
            priority: priority?,
            deadline_ms: deadline_ms?,
            wait_max_ms: wait_max_ms?,
            queue_max: queue_max?,
            attempts_max: attempts_max?,
            hedge_after_ms: hedge_after_ms?,
            repeat: repeat?,
        })
    }
}
