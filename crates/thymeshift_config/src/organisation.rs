//! Organisations: whose requests are served, how they rank, and how many there may be.

use serde::Serialize;
use thymeshift_types::KeyDigest;
use thymeshift_types::OrganisationName;

use crate::Mistakes;
use crate::RequestRate;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::tree::Node;

/// Largest limit of requests a second.
const RATE_PER_S_MAX: f64 = 10_000_000.0;
/// Largest number of requests beyond the rate.
const BURST_MAX: u64 = 10_000_000;

/// A customer with keys and a limit of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Organisation {
    /// Name, unique in the configuration; targets are told it.
    pub name: OrganisationName,
    /// Digests of its keys.
    pub key_digests: Vec<KeyDigest>,
    /// Rank among organisations; 1 goes first. It goes before the rank of a request's kind.
    pub rank: u64,
    /// Requests a second that all VMs together admit; none if that is not limited.
    pub rate_per_s: Option<RequestRate>,
    /// Requests admitted beyond the rate after a rest.
    pub burst: u64,
}

impl Decode for Organisation {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let name = map.required("name");
        let key_digests = map.value_or("key_digests", Vec::new());
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
