//! Mistakes found in the text of settings or a configuration, and values that were adjusted instead.

use std::fmt;

use derive_more::Display;
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

/// Value of a published configuration that was not taken as written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Display)]
#[display("{place}: found {found}, {used}")]
pub struct Adjustment {
    /// Path of the value, such as `limits.body_bytes_max` or `kinds.lookup.deadline_ms`.
    pub place: String,
    /// Description of the value found.
    pub found: String,
    /// Description of what is in force instead.
    pub used: String,
}

/// All mistakes of one text, in the order in which they were found.
#[derive(Debug, Clone, PartialEq, Eq, Default, Error, Serialize)]
pub struct Mistakes {
    listed: Vec<Mistake>,
    unlisted: usize,
    /// Values that were adjusted; `None` if each of them is a mistake.
    #[serde(skip)]
    adjustments: Option<Vec<Adjustment>>,
}

impl Mistakes {
    /// Returns an empty list whose text is adjusted where a value can be, in place of a mistake.
    pub(crate) fn with_adjustments() -> Self {
        Self { adjustments: Some(Vec::new()), ..Self::default() }
    }

    /// Records an adjusted value. Returns `false` if the value is a mistake instead.
    pub(crate) fn adjust(&mut self, place: &str, found: &str, used: &str) -> bool {
        let Some(adjustments) = &mut self.adjustments else {
            return false;
        };
        adjustments.push(Adjustment {
            place: place.to_owned(),
            found: found.to_owned(),
            used: used.to_owned(),
        });
        true
    }

    /// Returns whether values are adjusted in place of a mistake.
    pub(crate) fn is_adjusting(&self) -> bool {
        self.adjustments.is_some()
    }

    /// Removes and returns the adjusted values.
    pub(crate) fn take_adjustments(&mut self) -> Vec<Adjustment> {
        self.adjustments.as_mut().map(std::mem::take).unwrap_or_default()
    }

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

impl From<Mistake> for Mistakes {
    fn from(mistake: Mistake) -> Self {
        let mut mistakes = Self::default();
        mistakes.add(mistake);
        mistakes
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
