//! Targets that are discovered apart from the configuration.

use serde::Serialize;
use thymeshift_types::ServiceName;

use crate::Mistakes;
use crate::Target;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::parse;
use crate::tree::Node;

/// One discovered target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Discovered {
    /// The service whose work it does.
    pub service: ServiceName,
    /// Requests that it runs at a time.
    pub slots: u64,
    /// The target itself.
    pub target: Target,
}

/// All discovered targets at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Discovery {
    /// The targets, of all services.
    pub targets: Vec<Discovered>,
}

impl Discovery {
    /// Reads and checks a list of discovered targets from YAML.
    pub fn parse(text: &str) -> Result<Self, Mistakes> {
        let targets = parse(text, "targets")?;
        Ok(Self { targets })
    }
}

impl Decode for Discovered {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        let service = map.required("service");
        let slots = map.number_or("slots", 1..=100_000, 1);
        let target = Target::read(&mut map);
        map.finish();
        Some(Self { service: service?, slots: slots?, target: target? })
    }
}
