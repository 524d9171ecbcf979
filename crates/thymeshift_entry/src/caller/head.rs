//! View of a request's head that the match rules of kinds are evaluated on.

use http::HeaderMap;
use http::header::HOST;
use http::request::Parts;
use http::uri::Authority;
use thymeshift_config::RequestHead;

/// Head of a request with its host normalised.
pub(crate) struct Head<'a> {
    parts: &'a Parts,
    host: Option<String>,
}

impl<'a> Head<'a> {
    pub(crate) fn new(parts: &'a Parts) -> Self {
        let authority = parts.uri.authority().map(Authority::as_str);
        let host = authority.or_else(|| host_header(&parts.headers)).map(host_of);
        Self { parts, host }
    }
}

fn host_header(headers: &HeaderMap) -> Option<&str> {
    headers.get(HOST).and_then(|value| value.to_str().ok())
}

/// Returns the host of an authority without port, in lower case.
fn host_of(authority: &str) -> String {
    let is_port = |port: &str| port.bytes().all(|byte| byte.is_ascii_digit());
    let host = match authority.rsplit_once(':') {
        Some((host, port)) if is_port(port) => host,
        _ => authority,
    };
    host.to_ascii_lowercase()
}

impl RequestHead for Head<'_> {
    fn method(&self) -> &str {
        self.parts.method.as_str()
    }

    fn host(&self) -> Option<&str> {
        self.host.as_deref()
    }

    fn path(&self) -> &str {
        self.parts.uri.path()
    }

    fn has_header(&self, name: &str, value: &str) -> bool {
        let mut values = self.parts.headers.get_all(name).iter();
        values.any(|found| found.as_bytes() == value.as_bytes())
    }
}
