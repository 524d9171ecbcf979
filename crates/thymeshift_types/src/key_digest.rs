//! Digests that identify API keys without storing the keys.

use crate::hash::hash_type;

/// Key derivation context that separates key digests from other hashes of the same bytes.
const DIGEST_CONTEXT: &str = "thymeshift key of an organisation";

hash_type! {
    /// 128-bit hash of an API key. The key itself is not in any document, log line or state dump.
    ///
    /// Keys must be random, because a short key could be found by brute force.
    KeyDigest, KeyDigestError, "a digest of a key is written as 32 hexadecimal digits"
}

impl KeyDigest {
    /// Computes the digest of `key`, or returns `None` if `key` is empty or has characters other
    /// than visible ASCII: keys must be valid HTTP header values.
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
