//! YAML text parsed into a tree whose nodes know their location.
//!
//! Aliases and tags are rejected, so that the size of the tree is bounded by the size of the text
//! and every reader interprets the text in the same way.
//! A repeated key is a mistake; the last value does not silently take precedence.

pub(crate) mod json_lines;

use std::borrow::Cow;
use std::fmt;

use saphyr_parser::Event;
use saphyr_parser::Marker;
use saphyr_parser::Parser;
use saphyr_parser::ScalarStyle;
use saphyr_parser::ScanError;
use saphyr_parser::Span;
use saphyr_parser::StrInput;

use crate::Mistake;

/// Maximum nesting depth.
const DEPTH_MAX: usize = 24;

/// Line and column at which a node starts, both counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

impl Location {
    fn of(marker: &Marker) -> Self {
        Self { line: marker.line(), column: marker.col() + 1 }
    }
}

/// Key and value of a map.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) key_location: Location,
    pub(crate) value: Node,
}

/// Content of a node.
#[derive(Debug)]
pub(crate) enum Content {
    /// Scalar value; a quoted scalar is always a string.
    Scalar {
        text: String,
        is_quoted: bool,
    },
    List(Vec<Node>),
    Map(Vec<Entry>),
}

/// Node of the tree and its location.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) location: Location,
    pub(crate) content: Content,
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.content {
            Content::Scalar { text, is_quoted: false } if text.is_empty() => f.write_str("nothing"),
            Content::Scalar { text, .. } => write!(f, "'{}'", text.escape_debug()),
            Content::List(items) => write!(f, "a list of {}", items.len()),
            Content::Map(entries) => write!(f, "a map of {}", entries.len()),
        }
    }
}

impl Node {
    /// Parses `text`, which must contain exactly one YAML document.
    pub(crate) fn parse(text: &str) -> Result<Self, Mistake> {
        let mut builder = Builder { parser: Parser::new_from_str(text) };
        builder.parse_document()
    }

    /// Returns the text of the scalar field `name` if the node is a map with that field.
    pub(crate) fn text_of(&self, name: &str) -> Option<&str> {
        let Content::Map(entries) = &self.content else {
            return None;
        };
        let entry = entries.iter().find(|entry| entry.key == name)?;
        match &entry.value.content {
            Content::Scalar { text, .. } => Some(text),
            Content::List(_) | Content::Map(_) => None,
        }
    }

    /// Returns whether the node is an empty value or `null`.
    pub(crate) fn is_null(&self) -> bool {
        matches!(&self.content, Content::Scalar { text, is_quoted: false } if text.is_empty())
    }

    /// Returns the location of the node at `path`, or of its deepest existing ancestor.
    pub(crate) fn location_of(&self, path: &str) -> Location {
        let mut node = self;
        for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
            let next = match (&node.content, step.strip_suffix(']')) {
                (Content::List(items), Some(index)) => {
                    index.parse::<usize>().ok().and_then(|index| items.get(index))
                }
                (Content::Map(entries), None) => {
                    entries.iter().find(|entry| entry.key == step).map(|entry| &entry.value)
                }
                _ => None,
            };
            let Some(next) = next else { break };
            node = next;
        }
        node.location
    }
}

struct Builder<'input> {
    parser: Parser<'input, StrInput<'input>>,
}

impl<'input> Builder<'input> {
    fn parse_document(&mut self) -> Result<Node, Mistake> {
        loop {
            let (event, span) = self.next()?;
            match event {
                Event::StreamStart | Event::DocumentStart(_) | Event::Nothing => {}
                Event::StreamEnd => return Err(mistake(span, "an empty text", "a map")),
                event => {
                    let node = self.parse_node(event, span, 0)?;
                    self.expect_end()?;
                    return Ok(node);
                }
            }
        }
    }

    fn expect_end(&mut self) -> Result<(), Mistake> {
        loop {
            let (event, span) = self.next()?;
            match event {
                Event::DocumentEnd | Event::Nothing => {}
                Event::StreamEnd => return Ok(()),
                _ => return Err(mistake(span, "a second document", "the end of the text")),
            }
        }
    }

    fn next(&mut self) -> Result<(Event<'input>, Span), Mistake> {
        match self.parser.next_event() {
            Some(Ok(next)) => Ok(next),
            Some(Err(error)) => Err(syntax_mistake(&error)),
            None => Ok((Event::StreamEnd, Span::default())),
        }
    }

    fn parse_node(
        &mut self,
        event: Event<'input>,
        span: Span,
        depth: usize,
    ) -> Result<Node, Mistake> {
        if depth > DEPTH_MAX {
            return Err(mistake(span, "nesting too deep", "at most 24 levels"));
        }
        let location = Location::of(&span.start);
        let content = match event {
            Event::Scalar(text, style, _, None) => scalar(text, style),
            Event::SequenceStart(_, None) => Content::List(self.parse_list(depth)?),
            Event::MappingStart(_, None) => Content::Map(self.parse_map(depth)?),
            Event::Alias(_) => return Err(mistake(span, "an alias", "the value itself")),
            _ => return Err(mistake(span, "a tag", "a value without tag")),
        };
        Ok(Node { location, content })
    }

    fn parse_list(&mut self, depth: usize) -> Result<Vec<Node>, Mistake> {
        let mut items = Vec::new();
        loop {
            let (event, span) = self.next()?;
            if event == Event::SequenceEnd {
                return Ok(items);
            }
            items.push(self.parse_node(event, span, depth + 1)?);
        }
    }

    fn parse_map(&mut self, depth: usize) -> Result<Vec<Entry>, Mistake> {
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let (event, span) = self.next()?;
            if event == Event::MappingEnd {
                return Ok(entries);
            }
            let Event::Scalar(key, ..) = event else {
                return Err(mistake(span, "a list or map as a key", "a field name"));
            };
            if entries.iter().any(|entry| entry.key == key) {
                return Err(mistake(span, &format!("'{key}' a second time"), "each field once"));
            }
            let key_location = Location::of(&span.start);
            let (event, span) = self.next()?;
            let value = self.parse_node(event, span, depth + 1)?;
            entries.push(Entry { key: key.into_owned(), key_location, value });
        }
    }
}

fn scalar(text: Cow<'_, str>, style: ScalarStyle) -> Content {
    let is_quoted = style != ScalarStyle::Plain;
    let is_null = !is_quoted && matches!(text.as_ref(), "~" | "null");
    let text = if is_null { String::new() } else { text.into_owned() };
    Content::Scalar { text, is_quoted }
}

fn mistake(span: Span, found: &str, expected: &str) -> Mistake {
    let Location { line, column } = Location::of(&span.start);
    Mistake {
        line,
        column,
        field: String::new(),
        found: found.to_owned(),
        expected: expected.to_owned(),
    }
}

fn syntax_mistake(error: &ScanError) -> Mistake {
    let Location { line, column } = Location::of(error.marker());
    Mistake {
        line,
        column,
        field: String::new(),
        found: format!("text that is not YAML ({})", error.info()),
        expected: "YAML".to_owned(),
    }
}
