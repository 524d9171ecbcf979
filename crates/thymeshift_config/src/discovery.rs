//! Targets that are discovered apart from the configuration.

use serde::Serialize;
use thymeshift_types::ServiceName;

use crate::Mistakes;
use crate::Target;
use crate::TargetState;
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

    /// These targets, and those that served `before` and are missing here, unless their
    /// address is in use again. Returns how many were kept, too.
    pub fn keeping(&self, before: &Self) -> (Self, usize) {
        let is_listed = |kept: &Discovered| {
            let same = |listed: &Discovered| {
                listed.target.name == kept.target.name
                    || listed.target.address == kept.target.address
            };
            self.targets.iter().any(same)
        };
        let served =
            before.targets.iter().filter(|known| known.target.state == TargetState::Serving);
        let kept: Vec<Discovered> = served.filter(|known| !is_listed(known)).cloned().collect();
        let count = kept.len();
        let targets = self.targets.iter().cloned().chain(kept).collect();
        (Self { targets }, count)
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
