//! Revisions of documents that the platform publishes, and digests of their content.

use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

/// Number of a source's history of changes.
///
/// A source that is restored from an older copy continues with another history: it loses its latest
/// changes and assigns their revisions again. It increases the epoch each time.
/// Sources that never lose changes state no epoch and stay at 0.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Epoch(u64);

impl Epoch {
    /// Creates the epoch with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the epoch number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// Revision that the platform assigns to a published document. Larger is newer.
///
/// A revision of a later epoch is larger than all revisions of earlier epochs.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{number}")]
pub struct Revision {
    epoch: Epoch,
    number: u64,
}

impl Revision {
    /// Creates the revision with this number, in epoch 0.
    pub const fn new(number: u64) -> Self {
        Self { epoch: Epoch::new(0), number }
    }

    /// Returns the revision with the same number in `epoch`.
    pub const fn with_epoch(self, epoch: Epoch) -> Self {
        Self { epoch, ..self }
    }

    /// Returns the epoch of the history that the revision belongs to.
    pub const fn epoch(self) -> Epoch {
        self.epoch
    }

    /// Returns the revision number within its epoch.
    pub const fn number(self) -> u64 {
        self.number
    }
}

/// 128-bit digest of published bytes, identical on every VM and in every version.
///
/// The digest detects accidents, such as two contents with one revision or a corrupted diff. It is
/// not cryptographic and does not detect forgery.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
#[display("{_0:032x}")]
pub struct Digest(u128);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_128(bytes))
    }
}

/// Error for a string that is not 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a digest is written as 32 hexadecimal digits")]
pub struct DigestError;

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(DigestError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| DigestError)
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
