//! Parse error of a command line, with its column and the input that was expected.

use std::fmt;

use derive_more::Error;

/// Minimum Jaro-Winkler similarity, from 0 to 1, for a "did you mean" suggestion.
const SUGGESTION_SIMILARITY_MIN: f64 = 0.7;

/// First syntax error of a command line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ParseError {
    /// Position of the error in characters, counted from 1.
    pub column: usize,
    /// The unexpected text in quotes, or `the end` at the end of the line.
    pub found: String,
    /// Input expected at this position, with a suggestion if a known word is similar.
    pub expected: String,
}

impl ParseError {
    pub(crate) fn new(column: usize, found: &str, expected: impl Into<String>) -> Self {
        let found = match found {
            "" => "the end".to_owned(),
            found => format!("'{}'", found.escape_debug()),
        };
        Self { column, found, expected: expected.into() }
    }

    /// Returns the error for an unknown word. The message suggests the most similar known word, or
    /// lists all known words if none is similar enough.
    pub(crate) fn unknown_word(column: usize, found: &str, what: &str, known: &[&str]) -> Self {
        let suggestion = known
            .iter()
            .map(|word| (strsim::jaro_winkler(found, word), word))
            .filter(|(similarity, _)| *similarity >= SUGGESTION_SIMILARITY_MIN)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let expected = match suggestion {
            Some((_, word)) => format!("{what} (did you mean '{word}'?)"),
            None => format!("{what}: {}", known.join(", ")),
        };
        Self::new(column, found, expected)
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { column, found, expected } = self;
        write!(f, "column {column}: found {found}, expected {expected}")
    }
}
