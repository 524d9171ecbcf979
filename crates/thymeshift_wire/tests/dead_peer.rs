//! Tests of the TCP options that detect an unreachable peer.
//!
//! A loopback connection cannot lose its peer silently, so the tests check only the options.

use std::sync::Arc;
use std::time::Duration;

use rustix::net::sockopt::socket_keepalive;
use rustix::net::sockopt::tcp_keepcnt;
use rustix::net::sockopt::tcp_keepidle;
use rustix::net::sockopt::tcp_keepintvl;
use rustix::net::sockopt::tcp_user_timeout;
use thymeshift_wire::KEEPALIVE_PROBES_MAX;
use thymeshift_wire::UNACKNOWLEDGED_DATA_TIMEOUT;
use thymeshift_wire::set_dead_peer_timeouts;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

#[tokio::test]
async fn a_silent_connection_ends_within_seconds() {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    assert!(!socket_keepalive(&stream).expect("an option"), "default of the kernel");
    set_dead_peer_timeouts(&stream).expect("options");
    assert!(socket_keepalive(&stream).expect("an option"));
    let idle = tcp_keepidle(&stream).expect("an option");
    let between = tcp_keepintvl(&stream).expect("an option");
    let count = tcp_keepcnt(&stream).expect("an option");
    assert_eq!(count, KEEPALIVE_PROBES_MAX);
    assert!(idle + between * count <= Duration::from_secs(3), "an idle connection");
    let unacknowledged_ms = tcp_user_timeout(&stream).expect("an option");
    assert_eq!(
        u128::from(unacknowledged_ms),
        UNACKNOWLEDGED_DATA_TIMEOUT.as_millis(),
        "a connection with unacknowledged data"
    );
}
