//! Which organisation holds a key.

use std::collections::HashMap;
use std::sync::Arc;

use thymeshift_config::Organisation;
use thymeshift_types::KeyDigest;

/// The keys of all organisations.
#[derive(Debug, Default)]
pub struct KeyRing {
    organisations: Arc<[Organisation]>,
    /// Places in `organisations`.
    holders: HashMap<KeyDigest, usize>,
}

impl KeyRing {
    /// The keys of these organisations, which were checked: no two hold the same.
    pub fn new(organisations: Arc<[Organisation]>) -> Self {
        let holders = organisations.iter().enumerate().flat_map(|(index, organisation)| {
            organisation.key_digests.iter().map(move |digest| (*digest, index))
        });
        Self { holders: holders.collect(), organisations }
    }

    /// Whether requests need no key: there are no organisations.
    pub fn allows_anonymous(&self) -> bool {
        self.organisations.is_empty()
    }

    /// The organisation that holds a key.
    pub fn owner(&self, digest: &KeyDigest) -> Option<&Organisation> {
        self.organisations.get(*self.holders.get(digest)?)
    }

    /// All organisations.
    pub fn organisations(&self) -> &Arc<[Organisation]> {
        &self.organisations
    }
}
