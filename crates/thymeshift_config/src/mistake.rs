//! Mistakes found in the text of settings or a configuration.

use std::fmt;

use derive_more::Error;
use serde::Serialize;

/// Maximum number of mistakes listed per text; further mistakes are only counted.
const MISTAKES_MAX: usize = 50;

/// A mistake in a text and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Mistake {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number, starting at 1.
    pub column: usize,
    /// Path of the field, such as `services[0].targets[2].address`; empty for the top level.
    pub field: String,
    /// Description of the text found at the location.
    pub found: String,
    /// Description of the text expected at the location.
    pub expected: String,
}

impl Mistake {
    /// Formats the mistake without line and column, for text whose location is not known.
    pub(crate) fn without_location(&self) -> String {
        let Self { field, found, expected, .. } = self;
        format!("{field}: found {found}, expected {expected}")
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, column, field, found, expected } = self;
        let field = if field.is_empty() { "(top)" } else { field };
        write!(f, "line {line}, column {column}: {field}: found {found}, expected {expected}")
    }
}

/// All mistakes of one text, in the order in which they were found.
#[derive(Debug, Clone, PartialEq, Eq, Default, Error, Serialize)]
pub struct Mistakes {
    listed: Vec<Mistake>,
    unlisted: usize,
}

impl Mistakes {
    /// Returns the listed mistakes, at most 50.
    pub fn listed(&self) -> &[Mistake] {
        &self.listed
    }

    /// Returns whether no mistakes were found.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    pub(crate) fn add(&mut self, mistake: Mistake) {
        if self.listed.len() < MISTAKES_MAX {
            self.listed.push(mistake);
        } else {
            self.unlisted += 1;
        }
    }
}

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.listed.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{mistake}")?;
        }
        if self.unlisted > 0 {
            write!(f, "\n… and {} more", self.unlisted)?;
        }
        Ok(())
    }
}
