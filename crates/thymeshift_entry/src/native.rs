//! Native environment: Thymeshift's own headers and the platform's configuration service.
//!
//! The platform serves `GET /v1/configuration?after=R&wait_ms=W`, and likewise `/v1/targets`.
//! Status `200` comes with the document, and its revision in the `thymeshift-revision` header.
//! Status `204` means that no revision newer than `R` was published within `W` milliseconds.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use thymeshift_config::TEXT_BYTES_MAX;
use thymeshift_fleet::Published;
use thymeshift_types::Revision;
use thymeshift_wire::Document;
use thymeshift_wire::Native;
use thymeshift_wire::headers;

use crate::control_plane::http_get;
use crate::environment::Environment;
use crate::environment::Source;
use crate::environment::SourceError;

/// Maximum time that an answer may take beyond the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size in bytes of a response: a document of the maximum size and 1 KiB of overhead.
const RESPONSE_BYTES_MAX: usize = TEXT_BYTES_MAX + 1_024;

/// Environment with the native dialect and configuration service.
#[derive(Debug, Clone, Copy)]
pub struct NativeEnvironment;

impl Environment for NativeEnvironment {
    type Dialect = Native;
    type Source = NativeSource;
    const SOURCE_IS_CURRENT: bool = false;
    const HAS_TARGET_DISCOVERY: bool = false;
    const SOURCE_IS_VALIDATED: bool = false;
}

/// Reader of the platform's configuration service.
#[derive(Debug)]
pub struct NativeSource {
    address: SocketAddr,
    /// Revision of the configuration that was read last; 0 before the first read.
    configuration_revision: u64,
}

impl Source for NativeSource {
    fn new(address: SocketAddr) -> Self {
        Self { address, configuration_revision: 0 }
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn changes(&mut self, wait: Duration) -> Result<Vec<(Document, Published)>, SourceError> {
        let after = self.configuration_revision;
        let Some(published) = fetch_document(self.address, "configuration", after, wait).await?
        else {
            return Ok(Vec::new());
        };
        self.configuration_revision = published.head().revision.number();
        Ok(vec![(Document::Configuration, published)])
    }
}

/// Fetches the document `name` if a revision newer than `after` is published within `wait`.
///
/// Returns `None` if there is no newer revision.
pub(crate) async fn fetch_document(
    address: SocketAddr,
    name: &str,
    after: u64,
    wait: Duration,
) -> Result<Option<Published>, SourceError> {
    let path = format!("/v1/{name}?after={after}&wait_ms={}", wait.as_millis());
    let response = http_get(address, &path, wait + RESPONSE_TIMEOUT, RESPONSE_BYTES_MAX).await?;
    match response.status() {
        StatusCode::NO_CONTENT => return Ok(None),
        StatusCode::OK => {}
        status => return Err(SourceError::Status { status }),
    }
    let unreadable = |place: &str, mistake: &str| SourceError::Unreadable {
        place: place.to_owned(),
        mistake: mistake.to_owned(),
    };
    let revision = response.headers().get(headers::REVISION);
    let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
    let revision = revision.ok_or_else(|| unreadable("revision", "not a whole number"))?;
    let text = str::from_utf8(response.body()).map_err(|_| unreadable("body", "not text"))?;
    Ok(Some(Published::new(Revision::new(revision), text)))
}
