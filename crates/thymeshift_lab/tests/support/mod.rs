//! Helpers for tests with real entry processes.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use thymeshift_config::Configuration;
use thymeshift_lab::http_client::send_request;
use thymeshift_lab::standin::ServerHandle;
use thymeshift_lab::standin::Target;
use thymeshift_lab::standin::TargetSettings;
use thymeshift_lab::standin::expected_answer;
use tokio::net::TcpSocket;

/// Maximum time to wait for an expected condition.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Stand-in target that runs inside the test process.
pub(crate) struct TargetStandIn {
    pub(crate) target: Arc<Target>,
    pub(crate) ports: ServerHandle,
}

/// Port that refuses connections for as long as the value lives. The socket stays bound without
/// listening, because the system may give a closed port to the next listener, also to one of
/// another test, which would then answer.
pub(crate) struct RefusingPort {
    pub(crate) address: SocketAddr,
    _socket: TcpSocket,
}

impl RefusingPort {
    pub(crate) fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(any_port()).expect("a port");
        let address = socket.local_addr().expect("an address");
        Self { address, _socket: socket }
    }
}

pub(crate) async fn target(settings: TargetSettings) -> TargetStandIn {
    let target = Target::new(settings);
    let ports = target.start(any_port()).await.expect("a target");
    TargetStandIn { target, ports }
}

/// Starts a stand-in target that needs 1 ms for each request.
pub(crate) async fn quick_target() -> TargetStandIn {
    let settings =
        TargetSettings { service_us: 1_000, has_random_service_time: false, ..Default::default() };
    target(settings).await
}

/// Returns a configuration with one service `s` over `targets`. Its kinds are `read` (`GET /r`,
/// safe) and `write` (`POST /w`, unsafe). `service` holds further YAML lines of the service, `kind`
/// further lines of both kinds.
pub(crate) fn configuration(targets: &[SocketAddr], service: &str, kind: &str) -> Configuration {
    let mut text = String::from(
        "entry_vms_max: 4\ndata_halls: [a]\n\
         limits: { header_read_timeout_ms: 500, body_bytes_max: 100000, \
         body_stall_timeout_ms: 500 }\n\
         services:\n  - name: s\n    slots_per_target: 3\n    connections_per_target: 80\n",
    );
    text.push_str(service);
    text.push_str("    targets:\n");
    for (index, address) in targets.iter().enumerate() {
        writeln!(text, "      - {{ name: t{index}, address: '{address}', data_hall: a }}")
            .expect("writing to a string cannot fail");
    }
    for (name, method, path, repeat) in
        [("read", "GET", "/r", "safe"), ("write", "POST", "/w", "unsafe")]
    {
        if name == "read" {
            text.push_str("kinds:\n");
        }
        write!(
            text,
            "  - name: {name}\n    match: {{ methods: [{method}], path_prefix: {path} }}\n    \
             service: s\n    priority: 1\n    repeat: {repeat}\n    deadline_ms: 2000\n{kind}"
        )
        .expect("writing to a string cannot fail");
    }
    Configuration::parse(&text).unwrap_or_else(|mistakes| panic!("{mistakes}\n{text}"))
}

/// Asserts that an entry process answers a simple request completely and correctly.
pub(crate) async fn assert_serves(caller: SocketAddr, note: &str) {
    let path = "/r?nonce=good&bytes=300";
    let answer =
        send_request(caller, Method::GET, path, "").await.unwrap_or_else(|e| panic!("{note}: {e}"));
    assert_eq!(answer.status(), 200, "{note}");
    assert_eq!(answer.body().as_ref(), expected_answer(path, b"", 300), "{note}");
}

/// Polls the condition until it holds; fails the test after [`LIMIT`].
pub(crate) async fn wait_until<F: Future<Output = bool>>(
    note: &str,
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        tokio::time::timeout(LIMIT, waiting).await.is_ok(),
        "condition not met in time: {note}"
    );
}
