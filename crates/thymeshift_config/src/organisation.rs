//! Organisations (customers): their API keys, rank and rate limit.

use serde::Serialize;
use thymeshift_types::KeyDigest;
use thymeshift_types::OrganisationName;

use crate::Mistakes;
use crate::RequestRate;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::tree::Node;

/// Upper bound of a configured rate limit, in requests per second.
const RATE_PER_S_MAX: f64 = 10_000_000.0;
/// Upper bound of a configured burst, in requests.
const BURST_MAX: u64 = 10_000_000;

/// Customer with its own API keys and rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Organisation {
    /// Name of the organisation, unique in the configuration; sent to targets.
    pub name: OrganisationName,
    /// Digests of the organisation's API keys.
    pub key_digests: Vec<KeyDigest>,
    /// Rank among organisations; 1 is served first.
    /// The rank takes precedence over the priority of a request's kind.
    pub rank: u64,
    /// Rate limit over all VMs together, in requests per second; `None` if unlimited.
    pub rate_per_s: Option<RequestRate>,
    /// Number of requests that may exceed the rate limit after an idle period.
    pub burst: u64,
}

impl Decode for Organisation {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let name = map.required("name");
        let key_digests = map.entries("key_digests");
        let rank = map.number_or("rank", 1..=9, 1);
        let rate_per_s = map.optional_decimal("rate_per_s", 0.001..=RATE_PER_S_MAX, 1_000.0);
        let burst = map.number_or("burst", 0..=BURST_MAX, 0);
        map.finish();
        Some(Self {
            name: name?,
            key_digests: key_digests?,
            rank: rank?,
            rate_per_s: rate_per_s?.map(RequestRate::per_1000_s),
            burst: burst?,
        })
    }
}
