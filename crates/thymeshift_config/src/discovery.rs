//! Discovered state that is published separately from the configuration:
//! targets, and data halls that an operator has drained.
//!
//! Targets and drained data halls are entries of one list,
//! so that every process receives their changes in the same order:
//! a process never sees a target in a drained data hall without the drain.
//!
//! The list is composed of entries that the targets write themselves,
//! and other programs may add entries too. Each entry is therefore accepted or skipped on its own:
//! an invalid entry must not block later changes of the other entries.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use serde::Serialize;
use thymeshift_types::DataHallName;
use thymeshift_types::ServiceName;

use crate::Mistake;
use crate::Mistakes;
use crate::Target;
use crate::TargetState;
use crate::decode::Decode;
use crate::decode::MapReader;
use crate::decode::parse;
use crate::decode::report_unexpected;
use crate::tree::Content;
use crate::tree::Node;

/// Maximum length of the name and of the mistake that are kept of a skipped entry, in characters.
const SKIPPED_ENTRY_CHARS_MAX: usize = 200;

/// Target from the list of discovered targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DiscoveredTarget {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Number of requests that the target runs concurrently.
    pub slots: u64,
    /// Name, address and state of the target.
    pub target: Target,
}

/// Invalid entry of the list of discovered targets, which is skipped, with the reason.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SkippedEntry {
    /// Value of the entry's `name` field; empty if the entry has no name.
    pub name: String,
    /// First mistake in the entry, with the name of the field.
    pub mistake: String,
}

/// All entries of the list at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Discovery {
    /// Discovered targets of all services.
    pub targets: Vec<DiscoveredTarget>,
    /// Drained data halls, whose targets receive no new requests.
    pub drained_halls: Vec<DataHallName>,
    /// Invalid entries of the list, which are skipped.
    pub left_out: Vec<SkippedEntry>,
}

/// Entry of the list of discovered targets.
#[derive(Debug, Clone)]
enum Item {
    Target(DiscoveredTarget),
    DrainedHall(DataHallName),
    Skipped(SkippedEntry),
}

/// Entries of the list of discovered targets, each decoded on its own.
struct Items(Vec<Item>);

impl Discovery {
    /// Parses and checks a list of discovered targets from YAML.
    pub fn parse(text: &str) -> Result<Self, Mistakes> {
        let Items(items) = parse(text, "targets")?;
        Ok(items.into_iter().collect())
    }

    /// Returns this list with the targets added that were serving in `previous`
    /// and are missing here, and the number of targets added. A missing target is not added
    /// if its address is in use again or if an entry with its name was skipped.
    pub fn retaining_missing(&self, previous: &Self) -> (Self, usize) {
        let names = self.names();
        let addresses: HashSet<SocketAddr> =
            self.targets.iter().map(|listed| listed.target.address).collect();
        let is_listed = |kept: &DiscoveredTarget| {
            names.contains(kept.target.name.as_str()) || addresses.contains(&kept.target.address)
        };
        let served =
            previous.targets.iter().filter(|known| known.target.state == TargetState::Serving);
        let kept: Vec<DiscoveredTarget> =
            served.filter(|known| !is_listed(known)).cloned().collect();
        let count = kept.len();
        let targets = self.targets.iter().cloned().chain(kept).collect();
        (Self { targets, ..self.clone() }, count)
    }
}

impl Discovery {
    /// Returns the names of all listed targets, including those whose entry was skipped.
    pub fn names(&self) -> HashSet<&str> {
        let listed = self.targets.iter().map(|listed| listed.target.name.as_str());
        listed.chain(self.left_out.iter().map(|left| left.name.as_str())).collect()
    }

    /// Returns this list with the data halls drained that were drained in `previous`.
    #[must_use]
    pub fn retaining_drained_halls(mut self, previous: &Self) -> Self {
        for hall in &previous.drained_halls {
            if !self.drained_halls.contains(hall) {
                self.drained_halls.push(hall.clone());
            }
        }
        self
    }
}

impl FromIterator<Item> for Discovery {
    fn from_iter<I: IntoIterator<Item = Item>>(items: I) -> Self {
        let mut discovery = Self::default();
        for item in items {
            match item {
                Item::Target(target) => discovery.targets.push(target),
                Item::DrainedHall(hall) => discovery.drained_halls.push(hall),
                Item::Skipped(left_out) => discovery.left_out.push(left_out),
            }
        }
        discovery
    }
}

/// Truncates a text from an untrusted source.
fn truncated(text: &str) -> String {
    text.chars().take(SKIPPED_ENTRY_CHARS_MAX).collect()
}

/// Parses successive revisions of the list.
/// Few targets change between two revisions, and many processes of a large fleet parse a long list,
/// so that lines which the previous revision already contained are not parsed again.
#[derive(Debug, Default)]
pub struct DiscoveryReader {
    /// Entries of the previous revision by their line;
    /// empty if that revision did not have one entry per line.
    lines: HashMap<String, Item>,
}

impl DiscoveryReader {
    /// Parses a list with the same result as [`Discovery::parse`].
    pub fn parse(&mut self, text: &str) -> Result<Discovery, Mistakes> {
        if let Some(items) = self.parse_lines(text) {
            return Ok(items.into_iter().collect());
        }
        self.lines.clear();
        Discovery::parse(text)
    }

    /// Parses a list with one entry per line; returns `None` for any other form.
    fn parse_lines(&mut self, text: &str) -> Option<Vec<Item>> {
        let mut lines = HashMap::with_capacity(self.lines.len());
        let mut items = Vec::new();
        for line in text.lines() {
            if let Some((line, item)) = self.lines.remove_entry(line) {
                items.push(item.clone());
                lines.insert(line, item);
                continue;
            }
            let item = match lines.get(line) {
                Some(known) => Item::clone(known),
                None => parse_line(line)?,
            };
            items.push(item.clone());
            lines.insert(line.to_owned(), item);
        }
        self.lines = lines;
        (!items.is_empty()).then_some(items)
    }
}

/// Parses a line of the form `- {…}`, which has the same meaning in any list.
fn parse_line(line: &str) -> Option<Item> {
    if !(line.starts_with("- {") && line.ends_with('}')) {
        return None;
    }
    let Items(mut items) = parse(line, "targets").ok()?;
    let item = items.pop();
    item.filter(|_| items.is_empty())
}

impl Decode for Items {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let Content::List(nodes) = &node.content else {
            return report_unexpected(node, path, "a list", mistakes);
        };
        Some(Self(nodes.iter().map(Item::read).collect()))
    }
}

impl Item {
    /// Decodes the entry in a node; an invalid entry becomes a skipped one with its first mistake.
    fn read(node: &Node) -> Self {
        let mut mistakes = Mistakes::default();
        match Self::decode(node, "", &mut mistakes) {
            Some(item) if mistakes.is_empty() => item,
            _ => {
                let name = node.text_of("name").unwrap_or_default();
                let mistake = mistakes.listed().first().map(Mistake::without_location);
                Self::Skipped(SkippedEntry {
                    name: truncated(name),
                    mistake: truncated(&mistake.unwrap_or_default()),
                })
            }
        }
    }
}

impl Decode for Item {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let mut map = MapReader::new(node, path, mistakes)?;
        if let Some(name) = map.optional("left_out")? {
            let mistake = map.required("mistake");
            map.finish();
            return Some(Self::Skipped(SkippedEntry { name, mistake: mistake? }));
        }
        if let Some(hall) = map.optional("drained_hall")? {
            map.finish();
            return Some(Self::DrainedHall(hall));
        }
        DiscoveredTarget::read(map).map(Self::Target)
    }
}

impl DiscoveredTarget {
    fn read(mut map: MapReader<'_, '_>) -> Option<Self> {
        let service = map.required("service");
        let slots = map.number_or("slots", 1..=100_000, 1);
        let target = Target::read(&mut map);
        map.finish();
        Some(Self { service: service?, slots: slots?, target: target? })
    }
}
