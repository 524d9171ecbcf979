//! Turning a YAML tree into typed values while collecting every mistake.
//!
//! A decoder returns `None` after it has recorded a mistake; its caller goes on with the
//! next field, so that one pass finds them all.

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

use crate::Mistake;
use crate::Mistakes;
use crate::tree::Content;
use crate::tree::Entry;
use crate::tree::Node;
use crate::tree::Place;

/// Smallest likeness at which a known field is suggested for an unknown one.
const SUGGESTION_LIKENESS_MIN: f64 = 0.7;

/// A value that can be read from a node of the tree.
pub(crate) trait Decode: Sized {
    /// Reads the value, or records why it cannot be read.
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self>;
}

/// Reads a value from YAML; `path` names it in mistakes.
pub(crate) fn parse<T: Decode>(text: &str, path: &str) -> Result<T, Mistakes> {
    let mut mistakes = Mistakes::default();
    let node = match Node::parse(text) {
        Ok(node) => node,
        Err(mistake) => {
            mistakes.add(mistake);
            return Err(mistakes);
        }
    };
    match T::decode(&node, path, &mut mistakes) {
        Some(value) if mistakes.is_empty() => Ok(value),
        _ => Err(mistakes),
    }
}

/// Records that `node` is not what was expected.
pub(crate) fn refuse<T>(
    node: &Node,
    path: &str,
    expected: impl Into<String>,
    mistakes: &mut Mistakes,
) -> Option<T> {
    add(node.place, path, node.to_string(), expected.into(), mistakes);
    None
}

pub(crate) fn add(
    place: Place,
    path: &str,
    found: String,
    expected: String,
    mistakes: &mut Mistakes,
) {
    let Place { line, column } = place;
    mistakes.add(Mistake { line, column, field: path.to_owned(), found, expected });
}

/// A number that may have a fraction.
struct Decimal(f64);

impl Decode for Decimal {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let text = match &node.content {
            Content::Scalar { text, is_quoted: false } => text.as_str(),
            _ => "",
        };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Some(Self(number)),
            _ => refuse(node, path, "a number", mistakes),
        }
    }
}

/// Reads the fields of one map and at the end reports those nobody asked for.
pub(crate) struct MapReader<'n, 'm> {
    entries: &'n [Entry],
    place: Place,
    path: String,
    known: Vec<&'static str>,
    mistakes: &'m mut Mistakes,
}

impl<'n, 'm> MapReader<'n, 'm> {
    /// A reader of `node`, or a recorded mistake if it is not a map.
    pub(crate) fn new(node: &'n Node, path: &str, mistakes: &'m mut Mistakes) -> Option<Self> {
        let Content::Map(entries) = &node.content else {
            return refuse(node, path, "a map", mistakes);
        };
        let known = Vec::new();
        Some(Self { entries, place: node.place, path: path.to_owned(), known, mistakes })
    }

    /// A field that must be there.
    pub(crate) fn required<T: Decode>(&mut self, name: &'static str) -> Option<T> {
        let Some(node) = self.find(name) else {
            let path = self.path_of(name);
            let expected = format!("the field '{name}'");
            add(self.place, &path, "nothing".to_owned(), expected, self.mistakes);
            return None;
        };
        T::decode(node, &self.path_of(name), self.mistakes)
    }

    /// A field that has a default, taken too if nothing stands there.
    pub(crate) fn or<T: Decode>(&mut self, name: &'static str, default: T) -> Option<T> {
        match self.find(name) {
            Some(node) if !node.is_null() => T::decode(node, &self.path_of(name), self.mistakes),
            _ => Some(default),
        }
    }

    /// A field that may be missing: the outer option says whether it was read without
    /// mistake, the inner one whether it is there.
    #[expect(clippy::option_option, reason = "the two options answer different questions")]
    pub(crate) fn optional<T: Decode>(&mut self, name: &'static str) -> Option<Option<T>> {
        match self.find(name) {
            Some(node) if !node.is_null() => {
                T::decode(node, &self.path_of(name), self.mistakes).map(Some)
            }
            _ => Some(None),
        }
    }

    /// A whole number within `range` that must be there.
    pub(crate) fn number(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.required(name)?;
        self.within(name, value, range)
    }

    /// A whole number within `range` that has a default.
    pub(crate) fn number_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let value = self.or(name, default)?;
        self.within(name, value, range)
    }

    /// A whole number within `range` that may be missing; as [`Self::optional`].
    #[expect(clippy::option_option, reason = "the two options answer different questions")]
    pub(crate) fn optional_number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Option<u64>> {
        match self.optional(name)? {
            Some(value) => self.within(name, value, range).map(Some),
            None => Some(None),
        }
    }

    /// A number within `range` that may be missing, as whole parts of which `parts` make one; as
    /// [`Self::optional`].
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
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let place = self.find(name).map_or(self.place, |node| node.place);
        add(place, &self.path_of(name), format!("'{value}'"), expected, self.mistakes);
        None
    }

    /// Reports unknown fields.
    pub(crate) fn finish(self) {
        for entry in self.entries {
            if self.known.contains(&entry.key.as_str()) {
                continue;
            }
            let path = join(&self.path, &entry.key);
            let found = format!("the unknown field '{}'", entry.key.escape_debug());
            let expected = suggestion(&entry.key, &self.known);
            add(entry.key_place, &path, found, expected, self.mistakes);
        }
    }

    fn within(
        &mut self,
        name: &'static str,
        value: u64,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        if range.contains(&value) {
            return Some(value);
        }
        let place = self.find(name).map_or(self.place, |node| node.place);
        let path = self.path_of(name);
        let expected = format!("a number from {} to {}", range.start(), range.end());
        add(place, &path, format!("'{value}'"), expected, self.mistakes);
        None
    }

    fn find(&mut self, name: &'static str) -> Option<&'n Node> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        self.entries.iter().find(|entry| entry.key == name).map(|entry| &entry.value)
    }

    fn path_of(&self, name: &str) -> String {
        join(&self.path, name)
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn suggestion(key: &str, known: &[&'static str]) -> String {
    let like = known
        .iter()
        .map(|name| (strsim::jaro_winkler(key, name), name))
        .filter(|(likeness, _)| *likeness >= SUGGESTION_LIKENESS_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match like {
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
        _ => refuse(node, path, expected, mistakes),
    }
}

impl Decode for String {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let (text, is_quoted) = scalar(node, path, "a text", mistakes)?;
        if text.is_empty() && !is_quoted {
            return refuse(node, path, "a text", mistakes);
        }
        Some(text.to_owned())
    }
}

impl Decode for bool {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        match scalar(node, path, "true or false", mistakes)? {
            ("true", false) => Some(true),
            ("false", false) => Some(false),
            _ => refuse(node, path, "true or false", mistakes),
        }
    }
}

impl Decode for u64 {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let (text, is_quoted) = scalar(node, path, "a whole number", mistakes)?;
        let is_plain = !is_quoted && text.bytes().all(|byte| byte.is_ascii_digit());
        match text.parse() {
            Ok(number) if is_plain => Some(number),
            _ => refuse(node, path, "a whole number", mistakes),
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
            _ => refuse(node, path, expected, mistakes),
        }
    }
}

impl Decode for SocketAddr {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let expected = "an IP number and port such as 10.0.0.7:8080";
        let (text, _) = scalar(node, path, expected, mistakes)?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => refuse(node, path, expected, mistakes),
        }
    }
}

impl Decode for KeyDigest {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let expected = "the digest of a key, 32 hexadecimal digits";
        let (text, _) = scalar(node, path, expected, mistakes)?;
        let digest = text.parse().ok();
        if digest.is_none() {
            // What stands there may be the key itself, which is to be shown nowhere.
            add(node.place, path, "another text".to_owned(), expected.to_owned(), mistakes);
        }
        digest
    }
}

impl<T: Decode> Decode for Vec<T> {
    fn decode(node: &Node, path: &str, mistakes: &mut Mistakes) -> Option<Self> {
        let Content::List(items) = &node.content else {
            return refuse(node, path, "a list", mistakes);
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
                    Err(error) => refuse(node, path, error.to_string(), mistakes),
                }
            }
        }
    )+};
}

decode_name!(DataHallName, KindName, OrganisationName, ServiceName, TargetName, VmName);

/// Reads one of a few words as an enum's variant.
macro_rules! decode_word {
    ($name:ident { $($word:literal => $variant:ident),+ $(,)? }) => {
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
                    $($word => Some(Self::$variant),)+
                    _ => {
                        let words = [$($word),+].join(", ");
                        $crate::decode::refuse(node, path, format!("one of: {words}"), mistakes)
                    }
                }
            }
        }
    };
}

pub(crate) use decode_word;
