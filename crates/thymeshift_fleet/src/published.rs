//! A document as the platform published it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Digest;
use thymeshift_types::Revision;

/// Revision and digest of a document: enough to compare two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The platform's revision.
    pub revision: Revision,
    /// Digest of the text.
    pub digest: Digest,
}

/// A document with its revision. The digest always fits the text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Raw", into = "Raw")]
pub struct Published {
    head: Head,
    text: Arc<str>,
}

/// What travels: the digest is computed anew by whoever receives it.
#[derive(Serialize, Deserialize)]
struct Raw {
    revision: Revision,
    text: Arc<str>,
}

impl Published {
    /// The document `text` at `revision`.
    pub fn new(revision: Revision, text: &str) -> Self {
        let digest = Digest::of(text.as_bytes());
        Self { head: Head { revision, digest }, text: Arc::from(text) }
    }

    /// Revision and digest.
    pub fn head(&self) -> Head {
        self.head
    }

    /// The text.
    pub fn text(&self) -> &str {
        &self.text
    }
}

impl From<Raw> for Published {
    fn from(raw: Raw) -> Self {
        Self::new(raw.revision, &raw.text)
    }
}

impl From<Published> for Raw {
    fn from(published: Published) -> Self {
        Self { revision: published.head.revision, text: published.text }
    }
}
