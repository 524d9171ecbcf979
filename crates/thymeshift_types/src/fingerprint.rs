//! Knowing a request again that arrives more than once.

use crate::hash::hash_type;

hash_type! {
    /// What a request asks for and who asks, as a 128-bit hash; the same on every VM and version.
    ///
    /// Two arrivals of one request have the same fingerprint although their ids differ. The hash is
    /// cryptographic: nobody can make a request that has the fingerprint of another one.
    Fingerprint, FingerprintError, "a fingerprint is written as 32 hexadecimal digits"
}

impl Fingerprint {
    /// The fingerprint with these bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_be_bytes(bytes))
    }
}
