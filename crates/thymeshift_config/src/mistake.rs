//! Mistakes found in a settings or configuration text.

use std::fmt;

use derive_more::Error;
use serde::Serialize;

/// Most mistakes kept of one text; the rest are only counted.
const MISTAKES_MAX: usize = 50;

/// One mistake and its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Mistake {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// The field, as a path such as `services[0].targets[2].address`.
    pub field: String,
    /// What stands there.
    pub found: String,
    /// What should stand there.
    pub expected: String,
}

impl Mistake {
    /// The mistake as it is told where its line is not known.
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
    /// The mistakes that are listed (at most 50).
    pub fn listed(&self) -> &[Mistake] {
        &self.listed
    }

    /// Whether there are none.
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
