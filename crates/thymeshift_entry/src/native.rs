//! The product's own environment.
//!
//! The platform serves `GET /v1/configuration?after=R&wait_ms=W` and the same for
//! `/v1/targets`: `200` with the document and its revision in `thymeshift-revision`, or `204`
//! if nothing newer than `R` came within `W`.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use thymeshift_fleet::Published;
use thymeshift_types::Revision;
use thymeshift_wire::Document;
use thymeshift_wire::Native;
use thymeshift_wire::headers;

use crate::control_plane::http_get;
use crate::environment::Environment;
use crate::environment::Source;
use crate::environment::SourceError;

/// How long beyond the wait an answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Largest document, and a little for what surrounds it.
const DOCUMENT_BYTES_MAX: usize = 1_024 * 1_024 + 1_024;

/// The product's own environment.
#[derive(Debug, Clone, Copy)]
pub struct NativeEnvironment;

impl Environment for NativeEnvironment {
    type Dialect = Native;
    type Source = NativeSource;
    const SOURCE_IS_CURRENT: bool = false;
    const HAS_TARGET_DISCOVERY: bool = false;
}

/// Reads the platform's configuration service.
#[derive(Debug)]
pub struct NativeSource {
    address: SocketAddr,
    configuration: u64,
}

impl Source for NativeSource {
    fn new(address: SocketAddr) -> Self {
        Self { address, configuration: 0 }
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn changes(&mut self, wait: Duration) -> Result<Vec<(Document, Published)>, SourceError> {
        let after = self.configuration;
        let Some(published) = fetch_document(self.address, "configuration", after, wait).await?
        else {
            return Ok(Vec::new());
        };
        self.configuration = published.head().revision.as_u64();
        Ok(vec![(Document::Configuration, published)])
    }
}

/// Asks for the document called `name` if it is newer than `after`.
pub(crate) async fn fetch_document(
    address: SocketAddr,
    name: &str,
    after: u64,
    wait: Duration,
) -> Result<Option<Published>, SourceError> {
    let path = format!("/v1/{name}?after={after}&wait_ms={}", wait.as_millis());
    let response = http_get(address, &path, wait + ANSWER_LIMIT, DOCUMENT_BYTES_MAX).await?;
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
