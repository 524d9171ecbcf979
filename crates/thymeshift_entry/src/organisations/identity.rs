//! Resolves a request's key to its organisation.

use http::HeaderMap;
use thymeshift_config::Kind;
use thymeshift_config::Organisation;
use thymeshift_organisations::KeyRing;
use thymeshift_types::KeyDigest;
use thymeshift_types::OrganisationName;
use thymeshift_wire::Dialect;

/// Number of kind priorities within one organisation rank.
const PRIORITIES_PER_RANK: u64 = 9;

/// Organisation that sent a request, and the digest of the key that identifies it.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) organisation: Organisation,
    pub(crate) digest: KeyDigest,
}

/// Error of a request that needs a key and carries no key of any organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UnknownKey;

/// Removes the key from the headers and returns the identity that belongs to it.
///
/// Returns `None` if no organisations are configured or the kind is public.
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

    /// Returns whether the key still belongs to the organisation in `keys`.
    pub(crate) fn is_valid(&self, keys: &KeyRing) -> bool {
        keys.owner(&self.digest).is_some_and(|holder| holder.name == self.organisation.name)
    }
}

/// Returns the queue priority of a request.
/// The rank of the organisation takes precedence over the priority of the kind.
pub(crate) fn request_priority(identity: Option<&Identity>, kind: &Kind) -> u8 {
    let organisation = identity.map_or(1, |identity| identity.organisation.rank);
    u8::try_from((organisation - 1) * PRIORITIES_PER_RANK + kind.priority).unwrap_or(u8::MAX)
}
