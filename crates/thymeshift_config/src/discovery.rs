//! What is discovered apart from the configuration: targets, and data halls that an operator has
//! drained.
//!
//! Both stand in one list, so that processes learn of them in one order and by one way: a target
//! that appears in a drained hall is never known without the drain.
//!
//! The list is put together from what each target writes of itself, and others may write there,
//! too. So each item is taken or left out by itself: one that cannot be read must not keep all
//! later changes of the others from taking force.

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

/// Longest name or mistake kept of an item that is left out, in characters.
const LEFT_OUT_CHARS_MAX: usize = 200;

/// One discovered target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DiscoveredTarget {
    /// The service whose work it does.
    pub service: ServiceName,
    /// Requests that it runs at a time.
    pub slots: u64,
    /// The target itself.
    pub target: Target,
}

/// An item that cannot be used, and why.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct LeftOut {
    /// What it calls itself, as far as it says.
    pub name: String,
    /// The first mistake in it, with the field where it stands.
    pub mistake: String,
}

/// All that is discovered at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Discovery {
    /// The targets, of all services.
    pub targets: Vec<DiscoveredTarget>,
    /// Data halls whose targets get no new work.
    pub drained_halls: Vec<DataHallName>,
    /// Items that cannot be used.
    pub left_out: Vec<LeftOut>,
}

/// One item of the list.
#[derive(Debug, Clone)]
enum Item {
    Target(DiscoveredTarget),
    DrainedHall(DataHallName),
    LeftOut(LeftOut),
}

/// The items of a list, each read by itself.
struct Items(Vec<Item>);

impl Discovery {
    /// Reads and checks a list of discovered targets from YAML.
    pub fn parse(text: &str) -> Result<Self, Mistakes> {
        let Items(items) = parse(text, "targets")?;
        Ok(items.into_iter().collect())
    }

    /// These targets, and those that served `before` and are missing here, unless their
    /// address is in use again or their own item was left out. Returns how many were kept, too.
    pub fn retaining_missing(&self, before: &Self) -> (Self, usize) {
        let listed = self.targets.iter().map(|listed| listed.target.name.as_str());
        let left_out = self.left_out.iter().map(|left| left.name.as_str());
        let names: HashSet<&str> = listed.chain(left_out).collect();
        let addresses: HashSet<SocketAddr> =
            self.targets.iter().map(|listed| listed.target.address).collect();
        let is_listed = |kept: &DiscoveredTarget| {
            names.contains(kept.target.name.as_str()) || addresses.contains(&kept.target.address)
        };
        let served =
            before.targets.iter().filter(|known| known.target.state == TargetState::Serving);
        let kept: Vec<DiscoveredTarget> =
            served.filter(|known| !is_listed(known)).cloned().collect();
        let count = kept.len();
        let targets = self.targets.iter().cloned().chain(kept).collect();
        (Self { targets, ..self.clone() }, count)
    }
}

impl FromIterator<Item> for Discovery {
    fn from_iter<I: IntoIterator<Item = Item>>(items: I) -> Self {
        let mut discovery = Self::default();
        for item in items {
            match item {
                Item::Target(target) => discovery.targets.push(target),
                Item::DrainedHall(hall) => discovery.drained_halls.push(hall),
                Item::LeftOut(left_out) => discovery.left_out.push(left_out),
            }
        }
        discovery
    }
}

/// The beginning of a text that a stranger wrote.
fn shortened(text: &str) -> String {
    text.chars().take(LEFT_OUT_CHARS_MAX).collect()
}

/// Reads one revision of the list after the other. From one to the next few targets change, and
/// a large fleet reads a long list in many processes: lines that were there before are not read
/// again.
#[derive(Debug, Default)]
pub struct DiscoveryReader {
    /// The item of each line of the last list; none if items did not stand in a line each.
    lines: HashMap<String, Item>,
}

impl DiscoveryReader {
    /// The same as [`Discovery::parse`].
    pub fn parse(&mut self, text: &str) -> Result<Discovery, Mistakes> {
        if let Some(items) = self.parse_lines(text) {
            return Ok(items.into_iter().collect());
        }
        self.lines.clear();
        Discovery::parse(text)
    }

    /// The items, if each stands in a line of its own.
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

/// The item of a line that reads `- {…}` and means the same in any list.
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
    /// The item of a node, or why it is left out.
    fn read(node: &Node) -> Self {
        let mut mistakes = Mistakes::default();
        match Self::decode(node, "", &mut mistakes) {
            Some(item) if mistakes.is_empty() => item,
            _ => {
                let name = node.text_of("name").unwrap_or_default();
                let mistake = mistakes.listed().first().map(Mistake::without_location);
                Self::LeftOut(LeftOut {
                    name: shortened(name),
                    mistake: shortened(&mistake.unwrap_or_default()),
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
            return Some(Self::LeftOut(LeftOut { name, mistake: mistake? }));
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
