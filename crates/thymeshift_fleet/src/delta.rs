//! The difference between two revisions of a document.
//!
//! A difference keeps parts of the old text and puts new text between them. What the texts have in
//! common at both ends is kept first; if several lines lie between, they are compared line by line.
//!
//! Load pattern: targets of a large fleet that change a few at a time, anywhere in a long list.
//! Everything between the first and the last change is nearly the whole list: 226,590 bytes of
//! 226,741 for eleven lines of 6,000, to every process. The lines alone are below 1,000.

use std::collections::HashMap;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::Head;
use crate::Published;

/// Turns the document at `from` into the one at `to`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The document it applies to.
    pub from: Head,
    /// The document it makes.
    pub to: Head,
    /// From the start to the end; what stands behind the last one is kept.
    edits: Vec<Edit>,
}

/// One change, behind a part that is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Edit {
    /// Bytes kept before it.
    kept_bytes: u32,
    /// Bytes left out.
    dropped_bytes: u32,
    /// Text put in their place.
    text: String,
}

/// Bytes that an edit takes beside its text.
const EDIT_BYTES: usize = 10;

/// Why a difference was not applied. Nothing was changed; ask for the whole document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum DeltaError {
    /// It belongs to another document.
    #[display("the difference applies to another document")]
    OtherBase,
    /// Its lengths do not fit the document, or the result has another digest.
    #[display("the difference is damaged")]
    Damaged,
}

impl Delta {
    /// The difference between two documents.
    pub fn between(from: &Published, to: &Published) -> Self {
        let (old, new) = (from.text(), to.text());
        let prefix = common_prefix(old, new);
        let suffix = common_suffix(&old[prefix..], &new[prefix..]);
        let old = &old[prefix..old.len() - suffix];
        let new = &new[prefix..new.len() - suffix];
        Self { from: from.head(), to: to.head(), edits: edits(prefix, old, new) }
    }

    /// The document that this difference makes of `base`.
    pub fn apply(&self, base: &Published) -> Result<Published, DeltaError> {
        if base.head() != self.from {
            return Err(DeltaError::OtherBase);
        }
        let mut rest = base.text();
        let mut made = String::with_capacity(rest.len());
        for edit in &self.edits {
            let (kept, behind) = split(rest, edit.kept_bytes)?;
            let (_, behind) = split(behind, edit.dropped_bytes)?;
            made.push_str(kept);
            made.push_str(&edit.text);
            rest = behind;
        }
        made.push_str(rest);
        let published = Published::new(self.to.revision, &made);
        if published.head() == self.to { Ok(published) } else { Err(DeltaError::Damaged) }
    }

    /// Bytes that it carries.
    pub fn len_bytes(&self) -> usize {
        self.edits.iter().map(|edit| EDIT_BYTES + edit.text.len()).sum()
    }
}

fn split(text: &str, length_bytes: u32) -> Result<(&str, &str), DeltaError> {
    text.split_at_checked(length_bytes as usize).ok_or(DeltaError::Damaged)
}

/// The edits that turn `old` into `new`, both behind `prefix` bytes that are kept. A line of the old
/// text that stands in the new one, behind those found before, is kept.
fn edits(prefix: usize, old: &str, new: &str) -> Vec<Edit> {
    let mut places = HashMap::new();
    let mut begin = 0;
    for line in old.split_inclusive('\n') {
        places.entry(line).or_insert(begin);
        begin += line.len();
    }
    let mut edits = Vec::new();
    let (mut kept, mut passed) = (prefix, 0);
    let mut text = String::new();
    for line in new.split_inclusive('\n') {
        let Some(place) = places.get(line).copied().filter(|place| *place >= passed) else {
            text.push_str(line);
            continue;
        };
        if place > passed || !text.is_empty() {
            edits.push(Edit::new(kept, place - passed, std::mem::take(&mut text)));
            kept = 0;
        }
        kept += line.len();
        passed = place + line.len();
    }
    if passed < old.len() || !text.is_empty() {
        edits.push(Edit::new(kept, old.len() - passed, text));
    }
    edits
}

impl Edit {
    fn new(kept: usize, dropped: usize, text: String) -> Self {
        Self { kept_bytes: kept as u32, dropped_bytes: dropped as u32, text }
    }
}

/// Length of the longest common start that ends between characters.
fn common_prefix(a: &str, b: &str) -> usize {
    let mut length = a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count();
    while !a.is_char_boundary(length) || !b.is_char_boundary(length) {
        length -= 1;
    }
    length
}

/// Length of the longest common end that begins between characters.
fn common_suffix(a: &str, b: &str) -> usize {
    let pairs = a.bytes().rev().zip(b.bytes().rev());
    let mut length = pairs.take_while(|(a, b)| a == b).count();
    while !a.is_char_boundary(a.len() - length) || !b.is_char_boundary(b.len() - length) {
        length -= 1;
    }
    length
}
