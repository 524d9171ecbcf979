//! Conversion of a YAML tree to typed values that collects all mistakes.
//!
//! A decoder that fails records a mistake and returns `None`.
//! The caller of the decoder continues with the next field, so that one pass finds all mistakes.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::KeyDigest;
use thymeshift_types::KindName;
use thymeshift_types::OrganisationName;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::VmName;

use crate::Adjustment;
use crate::Mistake;
use crate::Mistakes;
use crate::tree::Content;
use crate::tree::Entry;
use crate::tree::Location;
use crate::tree::Node;

/// Minimum Jaro-Winkler similarity at which a known field name is suggested for an unknown one.
const SUGGESTION_SIMILARITY_MIN: f64 = 0.7;

/// What is in force in place of a part that cannot be read.
pub(crate) const LEFT_OUT: &str = "left out";
/// Upper bound of configured times, in milliseconds: 30 days. Sums of such times fit every clock.
pub(crate) const TIME_MS_MAX: u64 = 30 * 24 * 3_600 * 1_000;

/// Value that can be decoded from a node of the tree.
pub(crate) trait Decode: Sized {
    /// Decodes the value, or records a mistake and returns `None`.
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self>;
}

/// Parses a value from YAML; `path` is the prefix of field names in mistakes.
pub(crate) fn parse<T: Decode>(text: &str, path: &str) -> Result<T, Mistakes> {
    let mut mistakes = Mistakes::default();
    let node = Node::parse(text).map_err(Mistakes::from)?;
    match T::decode(&node, path, &mut mistakes) {
        Some(value) if mistakes.is_empty() => Ok(value),
        _ => Err(mistakes),
    }
}

/// Records that `node` is not the expected value.
pub(crate) fn report_unexpected<T>(
    node: &Node,
    path: &str,
    expected: impl Into<String>,
    mistakes: &mut Mistakes,
) -> Option<T> {
    add_mistake(node.location, path, node.to_string(), expected.into(), mistakes);
    None
}

pub(crate) fn add_mistake(
    location: Location,
    path: &str,
    found: String,
    expected: String,
    mistakes: &mut Mistakes,
) {
    let Location { line, column } = location;
    mistakes.add(Mistake { line, column, field: path.to_owned(), found, expected });
}

/// Finite decimal number.
struct Decimal(f64);

impl Decode for Decimal {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let text = match &node.content {
            Content::Scalar { text, is_quoted: false } => text.as_str(),
            _ => "",
        };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Some(Self(number)),
            _ => report_unexpected(node, path, "a number", mistakes),
        }
    }
}

/// Reads the fields of a map and reports fields that were not read as unknown.
pub(crate) struct MapReader<'n, 'm> {
    entries: &'n [Entry],
    location: Location,
    path: String,
    known: Vec<&'static str>,
    mistakes: &'m mut Mistakes,
}

impl<'n, 'm> MapReader<'n, 'm> {
    /// Creates a reader of `node`; records a mistake if the node is not a map.
    pub(crate) fn new(node: &'n Node, path: &str, mistakes: &'m mut Mistakes) -> Option<Self> {
        let Content::Map(entries) = &node.content else {
            return report_unexpected(node, path, "a map", mistakes);
        };
        let known = Vec::new();
        Some(Self { entries, location: node.location, path: path.to_owned(), known, mistakes })
    }

    /// Returns whether values are adjusted in place of a mistake.
    pub(crate) fn is_adjusting(&self) -> bool {
        self.mistakes.is_adjusting()
    }

    /// Reads a mandatory field of the map.
    pub(crate) fn required<T: Decode>(&mut self, name: &'static str) -> Option<T> {
        let Some(node) = self.find_field(name) else {
            let path = self.path_of(name);
            let expected = format!("the field '{name}'");
            add_mistake(self.location, &path, "nothing".to_owned(), expected, self.mistakes);
            return None;
        };
        T::decode(node, &self.path_of(name), self.mistakes)
    }

    /// Reads a field with a default, which also applies if the field is empty.
    pub(crate) fn value_or<T: Decode>(&mut self, name: &'static str, default: T) -> Option<T> {
        match self.find_field(name) {
            Some(node) if !node.is_null() => T::decode(node, &self.path_of(name), self.mistakes),
            _ => Some(default),
        }
    }

    /// Reads a mandatory list, see [`Self::entries`].
    pub(crate) fn required_entries<T: Decode>(&mut self, name: &'static str) -> Option<Vec<T>> {
        let is_adjusted = self.mistakes.is_adjusting() && self.find_field(name).is_some();
        if is_adjusted { self.entries(name) } else { self.required(name) }
    }

    /// Reads a list. If values are adjusted, an entry with a mistake is left out alone.
    pub(crate) fn entries<T: Decode>(&mut self, name: &'static str) -> Option<Vec<T>> {
        match self.find_field(name) {
            Some(node) if self.mistakes.is_adjusting() => {
                let path = self.path_of(name);
                decode_each(node, &path, self.mistakes)
            }
            Some(node) if !node.is_null() => {
                Decode::decode(node, &self.path_of(name), self.mistakes)
            }
            _ => Some(Vec::new()),
        }
    }

    /// Reads an optional field. The outer option is `None` if a mistake was recorded,
    /// and the inner option is `None` if the field is missing or empty.
    #[expect(clippy::option_option, reason = "the two options answer different questions")]
    pub(crate) fn optional<T: Decode>(&mut self, name: &'static str) -> Option<Option<T>> {
        match self.find_field(name) {
            Some(node) if !node.is_null() => {
                T::decode(node, &self.path_of(name), self.mistakes).map(Some)
            }
            _ => Some(None),
        }
    }

    /// Reads a mandatory whole number within `range`.
    pub(crate) fn number(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.required(name)?;
        self.check_range(name, value, range)
    }

    /// Reads a whole number within `range` that has a default.
    pub(crate) fn number_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let value = self.value_or(name, default)?;
        self.check_range(name, value, range)
    }

    /// Reads an optional whole number within `range`; see [`Self::optional`] for the options.
    #[expect(clippy::option_option, reason = "the two options answer different questions")]
    pub(crate) fn optional_number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Option<u64>> {
        match self.optional(name)? {
            Some(value) => self.check_range(name, value, range).map(Some),
            None => Some(None),
        }
    }

    /// Reads an optional decimal number within `range`, multiplies it by `parts`
    /// and rounds it to a whole number; see [`Self::optional`] for the options.
    #[expect(clippy::option_option, reason = "the two options answer different questions")]
    pub(crate) fn optional_decimal(
        &mut self,
        name: &'static str,
        range: RangeInclusive<f64>,
        parts: f64,
    ) -> Option<Option<u64>> {
        let Some(Decimal(value)) = self.optional(name)? else {
            return Some(None);
        };
        if range.contains(&value) {
            return Some(Some((value * parts).round() as u64));
        }
        let path = self.path_of(name);
        let nearest = value.clamp(*range.start(), *range.end());
        let (found, used) = (format!("'{value}'"), format!("used {nearest}"));
        if self.mistakes.adjust(&path, &found, &used) {
            return Some(Some((nearest * parts).round() as u64));
        }
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let location = self.find_field(name).map_or(self.location, |node| node.location);
        add_mistake(location, &path, found, expected, self.mistakes);
        None
    }

    /// Records a mistake for each field of the map that was not read.
    pub(crate) fn finish(self) {
        for entry in self.entries {
            if self.known.contains(&entry.key.as_str()) {
                continue;
            }
            let path = join_path(&self.path, &entry.key);
            let found = format!("the unknown field '{}'", entry.key.escape_debug());
            if self.mistakes.adjust(&path, &found, "ignored") {
                continue;
            }
            let expected = describe_expected_field(&entry.key, &self.known);
            add_mistake(entry.key_location, &path, found, expected, self.mistakes);
        }
    }

    fn check_range(
        &mut self,
        name: &'static str,
        value: u64,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        if range.contains(&value) {
            return Some(value);
        }
        let location = self.find_field(name).map_or(self.location, |node| node.location);
        let path = self.path_of(name);
        let nearest = value.clamp(*range.start(), *range.end());
        let (found, used) = (format!("'{value}'"), format!("used {nearest}"));
        if self.mistakes.adjust(&path, &found, &used) {
            return Some(nearest);
        }
        let expected = format!("a number from {} to {}", range.start(), range.end());
        add_mistake(location, &path, found, expected, self.mistakes);
        None
    }

    fn find_field(&mut self, name: &'static str) -> Option<&'n Node> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        self.entries.iter().find(|entry| entry.key == name).map(|entry| &entry.value)
    }

    fn path_of(&self, name: &str) -> String {
        join_path(&self.path, name)
    }
}

/// Decodes each entry of a list by itself, and leaves out those with a mistake. In paths, the entries
/// go by their names.
fn decode_each<T: Decode>(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Vec<T>> {
    let items = match &node.content {
        Content::List(items) => items,
        _ if node.is_null() => return Some(Vec::new()),
        _ => return report_unexpected(node, path, "a list", mistakes),
    };
    let mut decoded = Vec::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        let name = item.text_of("name").map_or_else(|| index.to_string(), str::to_owned);
        let path = join_path(path, &name);
        let mut own_mistakes = Mistakes::with_adjustments();
        decoded.extend(T::decode(item, &path, &mut own_mistakes));
        for Adjustment { place, found, used } in own_mistakes.take_adjustments() {
            mistakes.adjust(&place, &found, &used);
        }
        if let Some(mistake) = own_mistakes.listed().first() {
            mistakes.adjust(&path, &mistake.without_location(), LEFT_OUT);
        }
    }
    Some(decoded)
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn describe_expected_field(key: &str, known: &[&'static str]) -> String {
    let closest = known
        .iter()
        .map(|name| (strsim::jaro_winkler(key, name), name))
        .filter(|(similarity, _)| *similarity >= SUGGESTION_SIMILARITY_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match closest {
        Some((_, name)) => format!("a known field (did you mean '{name}'?)"),
        None => format!("one of: {}", known.join(", ")),
    }
}

fn scalar<'n>(
    node: &'n Node,
    path: &str,
    expected: &str,
    mistakes: &mut Mistakes,
) -> Option<(&'n str, bool)> {
    match &node.content {
        Content::Scalar { text, is_quoted } => Some((text, *is_quoted)),
        _ => report_unexpected(node, path, expected, mistakes),
    }
}

impl Decode for String {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let (text, is_quoted) = scalar(node, path, "a text", mistakes)?;
        if text.is_empty() && !is_quoted {
            return report_unexpected(node, path, "a text", mistakes);
        }
        Some(text.to_owned())
    }
}

impl Decode for bool {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        match scalar(node, path, "true or false", mistakes)? {
            ("true", false) => Some(true),
            ("false", false) => Some(false),
            _ => report_unexpected(node, path, "true or false", mistakes),
        }
    }
}

impl Decode for u64 {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let (text, is_quoted) = scalar(node, path, "a whole number", mistakes)?;
        let is_plain = !is_quoted && text.bytes().all(|byte| byte.is_ascii_digit());
        match text.parse() {
            Ok(number) if is_plain => Some(number),
            _ => report_unexpected(node, path, "a whole number", mistakes),
        }
    }
}

impl Decode for Incarnation {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        u64::decode(node, path, mistakes).map(Self::new)
    }
}

impl Decode for Capacity {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let expected = "processors as a number such as 0.2 or 4, from 0.001 to 1000";
        let (text, is_quoted) = scalar(node, path, expected, mistakes)?;
        let capacity = text.parse().ok().and_then(Self::from_processors);
        match capacity {
            Some(capacity) if !is_quoted => Some(capacity),
            _ => report_unexpected(node, path, expected, mistakes),
        }
    }
}

impl Decode for SocketAddr {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let expected = "an IP number and port such as 10.0.0.7:8080";
        let (text, _) = scalar(node, path, expected, mistakes)?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => report_unexpected(node, path, expected, mistakes),
        }
    }
}

impl Decode for IpAddr {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let expected = "an IP number such as 10.0.0.7";
        let (text, _) = scalar(node, path, expected, mistakes)?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => report_unexpected(node, path, expected, mistakes),
        }
    }
}

impl Decode for KeyDigest {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let expected = "the digest of a key, 32 hexadecimal digits";
        let (text, _) = scalar(node, path, expected, mistakes)?;
        let digest = text.parse().ok();
        if digest.is_none() {
            // The text found is not shown, because it may be the key itself, which is a secret.
            add_mistake(
                node.location,
                path,
                "another text".to_owned(),
                expected.to_owned(),
                mistakes,
            );
        }
        digest
    }
}

impl<T: Decode> Decode for Vec<T> {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let Content::List(items) = &node.content else {
            return report_unexpected(node, path, "a list", mistakes);
        };
        let decoded: Vec<Option<T>> = items
            .iter()
            .enumerate()
            .map(|(index, item)| T::decode(item, &format!("{path}[{index}]"), mistakes))
            .collect();
        decoded.into_iter().collect()
    }
}

macro_rules! decode_name {
    ($($name:ident),+) => {$(
        impl Decode for $name {
            fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
                let (text, _) = scalar(node, path, "a name", mistakes)?;
                match Self::new(text) {
                    Ok(name) => Some(name),
                    Err(error) => report_unexpected(node, path, error.to_string(), mistakes),
                }
            }
        }
    )+};
}

decode_name!(DataHallName, KindName, OrganisationName, ServiceName, TargetName, VmName);

/// Implements [`Decode`] for an enum whose variants are written as keywords.
macro_rules! decode_keyword {
    ($name:ident { $($keyword:literal => $variant:ident),+ $(,)? }) => {
        impl $crate::decode::Decode for $name {
            fn decode(
                node: &$crate::tree::Node,
                path: &str,
                mistakes: &mut $crate::Mistakes,
            ) -> Option<Self> {
                let text = match &node.content {
                    $crate::tree::Content::Scalar { text, .. } => text.as_str(),
                    _ => "",
                };
                match text {
                    $($keyword => Some(Self::$variant),)+
                    _ => {
                        let keywords = [$($keyword),+].join(", ");
                        $crate::decode::report_unexpected(node, path, format!("one of: {keywords}"), mistakes)
                    }
                }
            }
        }
    };
}

pub(crate) use decode_keyword;
