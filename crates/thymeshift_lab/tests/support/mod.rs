//! What the tests with real processes share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use thymeshift_config::Configuration;
use thymeshift_lab::http_client::send_request;
use thymeshift_lab::standin::Running;
use thymeshift_lab::standin::Target;
use thymeshift_lab::standin::TargetSettings;
use thymeshift_lab::standin::expected_answer;
use tokio::net::TcpSocket;

/// Longest wait for something that must happen.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn any_local_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// A target within the test.
pub(crate) struct TargetStandIn {
    pub(crate) target: Arc<Target>,
    pub(crate) ports: Running,
}

/// A port at which connections are refused for as long as this lives. A port that is merely
/// closed again may be given to the next listener, also of another test, which then answers.
pub(crate) struct RefusingPort {
    pub(crate) address: SocketAddr,
    _socket: TcpSocket,
}

impl RefusingPort {
    pub(crate) fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(any_local_port()).expect("a port");
        let address = socket.local_addr().expect("an address");
        Self { address, _socket: socket }
    }
}

pub(crate) async fn target(settings: TargetSettings) -> TargetStandIn {
    let target = Target::new(settings);
    let ports = target.start(any_local_port()).await.expect("a target");
    TargetStandIn { target, ports }
}

/// A target that needs 1 ms for each request.
pub(crate) async fn quick_target() -> TargetStandIn {
    let settings = TargetSettings { service_us: 1_000, is_random: false, ..Default::default() };
    target(settings).await
}

/// A configuration with one service `s` over `targets`; `service` and `kind` are further
/// lines of both. The kinds are `read` (`GET /r`, safe) and `write` (`POST /w`, unsafe).
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
            .expect("a string takes it");
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
        .expect("a string takes it");
    }
    Configuration::parse(&text).unwrap_or_else(|mistakes| panic!("{mistakes}\n{text}"))
}

/// Asserts that a plain request is answered in full.
pub(crate) async fn assert_serves(caller: SocketAddr, note: &str) {
    let path = "/r?nonce=good&bytes=300";
    let answer =
        send_request(caller, Method::GET, path, "").await.unwrap_or_else(|e| panic!("{note}: {e}"));
    assert_eq!(answer.status(), 200, "{note}");
    assert_eq!(answer.body().as_ref(), expected_answer(path, b"", 300), "{note}");
}

/// Waits until `is_so` holds.
pub(crate) async fn wait_until<F: Future<Output = bool>>(note: &str, mut is_so: impl FnMut() -> F) {
    let waiting = async {
        while !is_so().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(LIMIT, waiting).await.is_ok(), "never: {note}");
}
