//! The organisation behind a request's key.

use http::HeaderMap;
use thymeshift_config::Kind;
use thymeshift_config::Organisation;
use thymeshift_organisations::KeyRing;
use thymeshift_types::KeyDigest;
use thymeshift_types::OrganisationName;
use thymeshift_wire::Dialect;

/// Ranks of kinds within the rank of one organisation.
const KIND_RANKS: u64 = 9;

/// Who sent a request.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) organisation: Organisation,
    pub(crate) digest: KeyDigest,
}

/// A request that needs a key and carries none that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UnknownKey;

/// Takes the key out of a request. None if requests of its kind need none.
pub(crate) fn identify<D: Dialect>(
    headers: &mut HeaderMap,
    keys: &KeyRing,
    kind: &Kind,
) -> Result<Option<Identity>, UnknownKey> {
    if keys.allows_anonymous() {
        return Ok(None);
    }
    let digest = D::take_key(headers);
    if kind.is_public {
        return Ok(None);
    }
    let digest = digest.ok_or(UnknownKey)?;
    let organisation = keys.owner(&digest).ok_or(UnknownKey)?.clone();
    Ok(Some(Identity { organisation, digest }))
}

impl Identity {
    pub(crate) fn name(&self) -> &OrganisationName {
        &self.organisation.name
    }

    /// Whether the key still belongs to the organisation.
    pub(crate) fn holds(&self, keys: &KeyRing) -> bool {
        keys.owner(&self.digest).is_some_and(|holder| holder.name == self.organisation.name)
    }
}

/// The rank of a request: that of its organisation goes before that of its kind.
pub(crate) fn rank(identity: Option<&Identity>, kind: &Kind) -> u8 {
    let organisation = identity.map_or(1, |identity| identity.organisation.rank);
    u8::try_from((organisation - 1) * KIND_RANKS + kind.priority).unwrap_or(u8::MAX)
}
