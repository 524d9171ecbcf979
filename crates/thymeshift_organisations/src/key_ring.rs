//! Lookup of the organisation that owns an API key.

use std::collections::HashMap;
use std::sync::Arc;

use thymeshift_config::Organisation;
use thymeshift_types::KeyDigest;

/// API key digests of all organisations.
#[derive(Debug, Default)]
pub struct KeyRing {
    organisations: Arc<[Organisation]>,
    /// Index in `organisations` of the owner of each key.
    owners: HashMap<KeyDigest, usize>,
}

impl KeyRing {
    /// Creates the key ring of `organisations`. The configuration has been validated, so that no
    /// key belongs to two organisations.
    pub fn new(organisations: Arc<[Organisation]>) -> Self {
        let owners = organisations.iter().enumerate().flat_map(|(index, organisation)| {
            organisation.key_digests.iter().map(move |digest| (*digest, index))
        });
        Self { owners: owners.collect(), organisations }
    }

    /// Whether requests without a key are accepted, because no organisation is configured.
    pub fn allows_anonymous(&self) -> bool {
        self.organisations.is_empty()
    }

    /// Returns the organisation that owns the key with this digest.
    pub fn owner(&self, digest: &KeyDigest) -> Option<&Organisation> {
        self.organisations.get(*self.owners.get(digest)?)
    }

    /// Returns all organisations of the configuration.
    pub fn organisations(&self) -> &Arc<[Organisation]> {
        &self.organisations
    }
}
