//! Fingerprints that identify repeated arrivals of the same request.

use crate::hash::hash_type;

hash_type! {
    /// 128-bit hash of a request's content and caller, identical on every VM and in every version.
    ///
    /// Repeated arrivals of one request have the same fingerprint, although their request ids
    /// differ. The hash is cryptographic, so that nobody can craft a request with the fingerprint
    /// of another request.
    Fingerprint, FingerprintError, "a fingerprint is written as 32 hexadecimal digits"
}

impl Fingerprint {
    /// Creates a fingerprint from its big-endian bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_be_bytes(bytes))
    }
}
