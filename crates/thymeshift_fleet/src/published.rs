//! Documents (configuration, target list) as the platform published them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Digest;
use thymeshift_types::Revision;

/// Revision and digest of a document, sufficient to compare the documents of two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Revision that the platform assigned to the document.
    pub revision: Revision,
    /// Digest of the document's text.
    pub digest: Digest,
}

/// A document with its revision and digest. The digest always matches the text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Raw", into = "Raw")]
pub struct Published {
    head: Head,
    text: Arc<str>,
}

/// Serialized form of [`Published`]. The digest is left out:
/// the receiver computes it from the text.
#[derive(Serialize, Deserialize)]
struct Raw {
    revision: Revision,
    text: Arc<str>,
}

impl Published {
    /// Creates a document from its `text` and the `revision` it was published under.
    pub fn new(revision: Revision, text: &str) -> Self {
        let digest = Digest::of(text.as_bytes());
        Self { head: Head { revision, digest }, text: Arc::from(text) }
    }

    /// Returns the document's revision and digest.
    pub fn head(&self) -> Head {
        self.head
    }

    /// Returns the document's text.
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
