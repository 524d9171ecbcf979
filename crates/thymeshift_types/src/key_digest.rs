//! Telling keys apart without holding them.

use crate::hash::hash_type;

/// Sets digests of keys apart from other hashes of the same bytes.
const DIGEST_CONTEXT: &str = "thymeshift key of an organisation";

hash_type! {
    /// What the product keeps of a key: a 128-bit hash. The key itself is in no document, log line or
    /// dump. Keys must be random; a short one could be found by trying.
    KeyDigest, KeyDigestError, "a digest of a key is written as 32 hexadecimal digits"
}

impl KeyDigest {
    /// The digest of a key, or none if it is none: a key is of visible ASCII characters, so that
    /// it fits into a header.
    pub fn of(key: &[u8]) -> Option<Self> {
        let is_key = !key.is_empty() && key.iter().all(u8::is_ascii_graphic);
        if !is_key {
            return None;
        }
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(key);
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Some(Self(u128::from_be_bytes(bytes)))
    }
}
