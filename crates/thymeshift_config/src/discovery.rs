//! Targets that are discovered apart from the configuration.

use std::collections::HashMap;

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

/// Reads one revision of the list after the other. From one to the next few targets change, and
/// a large fleet reads a long list in many processes: lines that were there before are not read
/// again.
#[derive(Debug, Default)]
pub struct DiscoveryReader {
    /// The target of each line of the last list; none if targets did not stand in a line each.
    lines: HashMap<String, Discovered>,
}

impl DiscoveryReader {
    /// The same as [`Discovery::parse`].
    pub fn parse(&mut self, text: &str) -> Result<Discovery, Mistakes> {
        if let Some(targets) = self.parse_lines(text) {
            return Ok(Discovery { targets });
        }
        self.lines.clear();
        Discovery::parse(text)
    }

    /// The targets, if each stands in a line of its own without mistakes.
    fn parse_lines(&mut self, text: &str) -> Option<Vec<Discovered>> {
        let mut lines = HashMap::with_capacity(self.lines.len());
        let mut targets = Vec::new();
        for line in text.lines() {
            let target = match self.lines.remove(line).or_else(|| lines.get(line).cloned()) {
                Some(known) => known,
                None => parse_line(line)?,
            };
            targets.push(target.clone());
            lines.insert(line.to_owned(), target);
        }
        self.lines = lines;
        (!targets.is_empty()).then_some(targets)
    }
}

/// The target of a line that reads `- {…}` and means the same in any list.
fn parse_line(line: &str) -> Option<Discovered> {
    if !(line.starts_with("- {") && line.ends_with('}')) {
        return None;
    }
    let mut targets = Discovery::parse(line).ok()?.targets;
    let target = targets.pop();
    target.filter(|_| targets.is_empty())
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
