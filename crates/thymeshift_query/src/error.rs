//! A mistake in a query, with its place and a way out.

use std::fmt;

use derive_more::Error;

/// Smallest likeness at which a known word is suggested.
const SUGGESTION_LIKENESS_MIN: f64 = 0.7;

/// What is wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ParseError {
    /// Column of the mistake, counted from 1.
    pub column: usize,
    /// What stands there.
    pub found: String,
    /// What should stand there.
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

    /// The same place, naming the known word that is most like the one found.
    pub(crate) fn unknown(column: usize, found: &str, what: &str, known: &[&str]) -> Self {
        let like = known
            .iter()
            .map(|word| (strsim::jaro_winkler(found, word), word))
            .filter(|(likeness, _)| *likeness >= SUGGESTION_LIKENESS_MIN)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let expected = match like {
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
