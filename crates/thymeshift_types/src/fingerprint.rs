//! Knowing a request again that arrives more than once.

use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// What a request asks for and who asks, as a 128-bit hash; the same on every VM and version.
///
/// Two arrivals of one request have the same fingerprint although their ids differ. The hash is
/// cryptographic: nobody can make a request that has the fingerprint of another one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
#[display("{_0:032x}")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// The fingerprint with these bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_be_bytes(bytes))
    }
}

/// A text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a fingerprint is written as 32 hexadecimal digits")]
pub struct FingerprintError;

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(FingerprintError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| FingerprintError)
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = FingerprintError;

    fn try_from(text: String) -> Result<Self, FingerprintError> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}
