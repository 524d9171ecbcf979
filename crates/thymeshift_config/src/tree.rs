//! A YAML text as a tree whose nodes know their place.
//!
//! Aliases and tags are refused: a published text has a bounded size and means the same
//! to every reader. A repeated key is a mistake and not silently the last one.

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

/// Deepest nesting allowed.
const DEPTH_MAX: usize = 24;

/// Where a node starts.
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

/// One key of a map with its value.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) key_location: Location,
    pub(crate) value: Node,
}

/// What a node is.
#[derive(Debug)]
pub(crate) enum Content {
    /// A scalar; a quoted one is always text.
    Scalar {
        text: String,
        is_quoted: bool,
    },
    List(Vec<Node>),
    Map(Vec<Entry>),
}

/// A node and its place.
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
    /// Parses `text`, which must hold one YAML document.
    pub(crate) fn parse(text: &str) -> Result<Self, Mistake> {
        let mut builder = Builder { parser: Parser::new_from_str(text) };
        builder.document()
    }

    /// The text of a field, if this is a map that has it.
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

    /// Whether nothing stands there.
    pub(crate) fn is_null(&self) -> bool {
        matches!(&self.content, Content::Scalar { text, is_quoted: false } if text.is_empty())
    }

    /// The place of the node at `path`, or of the deepest one on the way that exists.
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
    fn document(&mut self) -> Result<Node, Mistake> {
        loop {
            let (event, span) = self.next()?;
            match event {
                Event::StreamStart | Event::DocumentStart(_) | Event::Nothing => {}
                Event::StreamEnd => return Err(mistake(span, "an empty text", "a map")),
                event => {
                    let node = self.node(event, span, 0)?;
                    self.end()?;
                    return Ok(node);
                }
            }
        }
    }

    fn end(&mut self) -> Result<(), Mistake> {
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

    fn node(&mut self, event: Event<'input>, span: Span, depth: usize) -> Result<Node, Mistake> {
        if depth > DEPTH_MAX {
            return Err(mistake(span, "nesting too deep", "at most 24 levels"));
        }
        let location = Location::of(&span.start);
        let content = match event {
            Event::Scalar(text, style, _, None) => scalar(text, style),
            Event::SequenceStart(_, None) => Content::List(self.list(depth)?),
            Event::MappingStart(_, None) => Content::Map(self.map(depth)?),
            Event::Alias(_) => return Err(mistake(span, "an alias", "the value itself")),
            _ => return Err(mistake(span, "a tag", "a value without tag")),
        };
        Ok(Node { location, content })
    }

    fn list(&mut self, depth: usize) -> Result<Vec<Node>, Mistake> {
        let mut items = Vec::new();
        loop {
            let (event, span) = self.next()?;
            if event == Event::SequenceEnd {
                return Ok(items);
            }
            items.push(self.node(event, span, depth + 1)?);
        }
    }

    fn map(&mut self, depth: usize) -> Result<Vec<Entry>, Mistake> {
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
            let value = self.node(event, span, depth + 1)?;
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
