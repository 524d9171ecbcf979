//! The difference between two revisions of a document.
//!
//! A change of configuration touches one place of a long text. The difference keeps how
//! much of the start and of the end stays, and the bytes between. It is found in one pass
//! and needs no diff library; for changes at two distant places it carries what lies
//! between them, which is still right, only longer.

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
    /// Bytes kept from the start.
    prefix_bytes: u32,
    /// Bytes kept from the end.
    suffix_bytes: u32,
    /// Text between them.
    middle: String,
}

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
        Self {
            from: from.head(),
            to: to.head(),
            prefix_bytes: prefix as u32,
            suffix_bytes: suffix as u32,
            middle: new[prefix..new.len() - suffix].to_owned(),
        }
    }

    /// The document that this difference makes of `base`.
    pub fn apply(&self, base: &Published) -> Result<Published, DeltaError> {
        if base.head() != self.from {
            return Err(DeltaError::OtherBase);
        }
        let text = base.text();
        let prefix = text.get(..self.prefix_bytes as usize).ok_or(DeltaError::Damaged)?;
        let suffix_at = text.len().checked_sub(self.suffix_bytes as usize);
        let suffix = suffix_at.and_then(|at| text.get(at..)).ok_or(DeltaError::Damaged)?;
        let made = [prefix, &self.middle, suffix].concat();
        let published = Published::new(self.to.revision, &made);
        if published.head() == self.to { Ok(published) } else { Err(DeltaError::Damaged) }
    }

    /// Bytes that it carries.
    pub fn len_bytes(&self) -> usize {
        self.middle.len()
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
