//! Calls on the ports of operators and collectors that are in progress when a planned stop ends.

mod support;

use std::fs;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use rustix::process::Signal;
use tarpc::client::RpcError;
use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderSubject;
use thymeshift_lab::experiment::Child;
use thymeshift_lab::experiment::SingleEntry;
use thymeshift_lab::experiment::dump;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_wire::ControlClient;
use thymeshift_wire::Document;
use thymeshift_wire::LinkBytes;
use thymeshift_wire::OrderAnswer;
use thymeshift_wire::OrderRequest;
use thymeshift_wire::connect_control;
use thymeshift_wire::connect_peer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::support::LIMIT;
use crate::support::TargetStandIn;
use crate::support::configuration;
use crate::support::quick_target;
use crate::support::wait_until;

/// Longest time for which a suspended process stays suspended: longer than the lag of a stop.
const SUSPENDED: Duration = Duration::from_millis(200);
/// Attempts to suspend the process at the intended moment; on a busy machine some come too late.
const SETUP_ATTEMPTS: usize = 10;
/// Operator connections that a process serves at a time.
const OPERATORS_MAX: usize = 16;
/// Calls sent one after the other on a connection, without waiting for answers.
const ROW_CALLS: usize = 20;
/// Calls of a collector whose answers fill the buffers of its connection.
const UNREAD_CALLS: usize = 2_000;
/// Receive buffer of a collector that does not read, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 8 * 1_024;
const METRICS: &str = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";

/// Error of an attempt in which an event came too late for the intended order.
struct Missed;

async fn start() -> (TargetStandIn, SingleEntry) {
    let stand_in = quick_target().await;
    let configuration = configuration(&[stand_in.ports.address], "", "");
    let single = SingleEntry::start(&configuration).await.expect("a process");
    (stand_in, single)
}

fn log_contains(single: &SingleEntry, text: &str) -> bool {
    single.log().is_ok_and(|log| log.contains(text))
}

fn has_begun_closing(single: &SingleEntry) -> bool {
    log_contains(single, "event=accepting_stopped")
}

async fn stop(single: &SingleEntry) {
    single.entry.signal(Signal::TERM);
    while !log_contains(single, "phase=stopping") {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Suspends the process; fails if it has already ended.
async fn suspend(single: &SingleEntry) -> Result<(), Missed> {
    suspend_process(&single.entry).await
}

async fn suspend_process(process: &Child) -> Result<(), Missed> {
    process.signal(Signal::STOP);
    let path = format!("/proc/{}/stat", process.id().ok_or(Missed)?);
    let deadline = Instant::now() + LIMIT;
    while Instant::now() < deadline {
        let state = fs::read_to_string(&path).unwrap_or_default();
        if state.contains(") T ") {
            return Ok(());
        }
        if state.contains(") Z ") {
            return Err(Missed);
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("the process is neither suspended nor ended");
}

/// Returns the bodies of the complete final answers.
fn answers(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut bodies = Vec::new();
    while let Some(head_length) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&bytes[..head_length]).to_lowercase();
        bytes = &bytes[head_length + 4..];
        if head.starts_with("http/1.1 100") {
            continue;
        }
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(usize::MAX);
        if !head.starts_with("http/1.1 200") || bytes.len() < length {
            break;
        }
        bodies.push(&bytes[..length]);
        bytes = &bytes[length..];
    }
    bodies
}

/// Returns the names of the calls on the other ports that got no answer.
async fn lost_control_calls() -> Result<Vec<&'static str>, Missed> {
    let (_stand_in, mut single) = start().await;
    let control = single.entry.address("control").expect("an address");
    let observe = single.entry.address("observe").expect("an address");
    let open = connect_control(control, LIMIT).await.expect("a connection");
    open.dump(tarpc::context::current()).await.expect("a dump before the stop");
    let mut collector = TcpStream::connect(observe).await.expect("a connection");
    sleep(Duration::from_millis(50)).await;
    stop(&single).await;
    suspend(&single).await?;
    if has_begun_closing(&single) {
        return Err(Missed);
    }
    let mut calls = JoinSet::new();
    calls.spawn(async move {
        ("i1 dump, open connection", open.dump(tarpc::context::current()).await.is_ok())
    });
    calls.spawn(async move {
        let new = connect_control(control, LIMIT).await.expect("a connection");
        ("i2 dump, new connection", new.dump(tarpc::context::current()).await.is_ok())
    });
    calls.spawn(async move {
        collector.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
        let mut bytes = Vec::new();
        let _ = timeout(LIMIT, collector.read_to_end(&mut bytes)).await;
        ("i3 metrics, open connection", answers(&bytes).len() == 1)
    });
    sleep(SUSPENDED).await;
    single.entry.signal(Signal::CONT);
    let mut lost = Vec::new();
    while let Some(call) = calls.join_next().await {
        let (name, is_answered) = call.expect("no panic");
        if !is_answered {
            lost.push(name);
        }
    }
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    Ok(lost)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_of_operators_and_collectors_in_progress_at_the_exit_are_answered() {
    for _ in 0..SETUP_ATTEMPTS {
        if let Ok(lost) = lost_control_calls().await {
            assert!(lost.is_empty(), "lost answers: {lost:?}");
            return;
        }
    }
    panic!("not forced in {SETUP_ATTEMPTS} attempts");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_in_progress_at_the_exit_is_answered() {
    let (_stand_in, mut single) = start().await;
    let peer = single.entry.address("peer").expect("an address");
    let second = single.start_another(&format!("peers: ['{peer}']\n")).await.expect("a process");
    wait_until("the peers know each other", async || {
        dump(&single.entry).await.is_ok_and(|state| state.members.len() == 1)
    })
    .await;
    let control = single.entry.address("control").expect("an address");
    let client = connect_control(control, LIMIT).await.expect("a connection");
    // The order waits for the confirmation of a peer that does not answer.
    second.signal(Signal::STOP);
    let service = ServiceName::new("s").expect("a name");
    let request = OrderRequest {
        subject: OrderSubject::Target(service, TargetName::new("t0").expect("a name")),
        change: OrderChange::Stop,
        operator: "operator".to_owned(),
        expires_in_ms: 600_000,
    };
    let ordering =
        tokio::spawn(async move { client.order(tarpc::context::current(), request).await });
    wait_until("the order is taken", async || log_contains(&single, "event=order_taken")).await;
    single.entry.signal(Signal::TERM);
    let answer = ordering.await.expect("no panic");
    second.signal(Signal::KILL);
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    assert!(matches!(answer, Ok(OrderAnswer::Taken { .. })), "i4 the order is lost: {answer:?}");
}

/// Starts a process that knows the process of `single`, with further settings.
async fn start_peer(single: &mut SingleEntry, settings: &str) -> Child {
    let peer = single.entry.address("peer").expect("an address");
    let settings = format!("peers: ['{peer}']\n{settings}");
    let second = single.start_another(&settings).await.expect("a process");
    wait_until("the peers know each other", async || {
        let states = [dump(&single.entry).await, dump(&second).await];
        states.iter().all(|state| state.as_ref().is_ok_and(|state| state.members.len() == 1))
    })
    .await;
    second
}

async fn order(client: ControlClient) -> Result<OrderAnswer, RpcError> {
    let service = ServiceName::new("s").expect("a name");
    let request = OrderRequest {
        subject: OrderSubject::Target(service, TargetName::new("t0").expect("a name")),
        change: OrderChange::Stop,
        operator: "operator".to_owned(),
        expires_in_ms: 600_000,
    };
    client.order(tarpc::context::current(), request).await
}

/// Returns the error of a connect before the exit. Fails if the order was answered sooner.
async fn refusal_before_the_exit() -> Result<ErrorKind, Missed> {
    let (_stand_in, mut single) = start().await;
    let second = start_peer(&mut single, "").await;
    let control = single.entry.address("control").expect("an address");
    let client = connect_control(control, LIMIT).await.expect("a connection");
    // The order holds the stop until the exchange with the suspended peer has failed.
    suspend_process(&second).await?;
    let ordering = tokio::spawn(order(client.clone()));
    wait_until("the order is taken", async || log_contains(&single, "event=order_taken")).await;
    single.entry.signal(Signal::TERM);
    // The first failed connect may have begun before the last accept, the next one has not.
    let crossing = loop {
        match TcpStream::connect(control).await {
            Ok(_) => sleep(Duration::from_millis(1)).await,
            Err(error) => break error.kind(),
        }
    };
    assert!(matches!(crossing, ErrorKind::ConnectionReset | ErrorKind::ConnectionRefused));
    let refusal = TcpStream::connect(control).await.map_err(|error| error.kind());
    let is_order_in_progress = !ordering.is_finished();
    // A call that comes too late on the same connection must not cost the order its answer.
    let _ = client.dump(tarpc::context::current()).await;
    let answer = ordering.await.expect("no panic");
    second.signal(Signal::KILL);
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    assert!(matches!(answer, Ok(OrderAnswer::Taken { .. })), "the order is lost: {answer:?}");
    let refusal = refusal.expect_err("a closed port");
    if is_order_in_progress { Ok(refusal) } else { Err(Missed) }
}

/// A connect after the last accept used to hang until the exit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connect_to_a_closed_port_is_refused_before_the_exit() {
    for _ in 0..SETUP_ATTEMPTS {
        if let Ok(refusal) = refusal_before_the_exit().await {
            assert_eq!(refusal, ErrorKind::ConnectionRefused);
            return;
        }
    }
    panic!("no connect was refused before the exit in {SETUP_ATTEMPTS} attempts");
}

/// The answer to an order used to wait longer than a short grace allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_is_answered_within_a_short_grace() {
    let (_stand_in, mut single) = start().await;
    let mut second = start_peer(&mut single, "stop_grace_s: 0\n").await;
    let control = second.address("control").expect("an address");
    let client = connect_control(control, LIMIT).await.expect("a connection");
    assert!(suspend(&single).await.is_ok(), "the peer has ended");
    second.signal(Signal::TERM);
    let answer = order(client).await;
    single.entry.signal(Signal::KILL);
    timeout(LIMIT, second.wait()).await.expect("an end in time").expect("a status");
    let Ok(OrderAnswer::Taken { unconfirmed, .. }) = answer else {
        panic!("the order is lost: {answer:?}");
    };
    assert_eq!(unconfirmed.len(), 1, "the suspended peer has confirmed nothing");
}

/// Calls beyond the connection limit of a port used to be dropped with the accept queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_wait_for_a_connection_are_answered_at_the_stop() {
    let (_stand_in, mut single) = start().await;
    let control = single.entry.address("control").expect("an address");
    let mut idle = Vec::new();
    for _ in 0..OPERATORS_MAX {
        let client = connect_control(control, LIMIT).await.expect("a connection");
        client.dump(tarpc::context::current()).await.expect("a dump before the stop");
        idle.push(client);
    }
    let mut calls = JoinSet::new();
    for _ in 0..=OPERATORS_MAX {
        let client = connect_control(control, LIMIT).await.expect("a connection");
        calls.spawn(async move { client.dump(tarpc::context::current()).await.map(drop) });
    }
    sleep(Duration::from_millis(50)).await;
    single.entry.signal(Signal::TERM);
    let answers = calls.join_all().await;
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    let lost: Vec<_> = answers.iter().filter(|answer| answer.is_err()).collect();
    assert!(lost.is_empty(), "{} of {} lost: {lost:?}", lost.len(), answers.len());
}

/// A row of calls on one connection, and a peer's call, used to be dropped at the exit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rows_of_calls_and_calls_of_peers_are_answered_at_the_stop() {
    for _ in 0..SETUP_ATTEMPTS {
        if let Ok(lost) = lost_rows().await {
            assert!(lost.is_empty(), "lost answers: {lost:?}");
            return;
        }
    }
    panic!("not forced in {SETUP_ATTEMPTS} attempts");
}

async fn lost_rows() -> Result<Vec<String>, Missed> {
    let (_stand_in, mut single) = start().await;
    let control = single.entry.address("control").expect("an address");
    let operator = connect_control(control, LIMIT).await.expect("a connection");
    let observe = single.entry.address("observe").expect("an address");
    let mut collector = TcpStream::connect(observe).await.expect("a connection");
    let peer = single.entry.address("peer").expect("an address");
    let bytes = Arc::new(LinkBytes::default());
    let peer = connect_peer(peer, LIMIT, &bytes).await.expect("a connection");
    sleep(Duration::from_millis(50)).await;
    stop(&single).await;
    suspend(&single).await?;
    if has_begun_closing(&single) {
        return Err(Missed);
    }
    collector.write_all(METRICS.repeat(ROW_CALLS).as_bytes()).await.expect("sent");
    let dumps = (0..ROW_CALLS).map(|_| operator.dump(tarpc::context::current()));
    let fetch = peer.fetch(tarpc::context::current(), Document::Configuration, None);
    let resume = async {
        sleep(SUSPENDED).await;
        single.entry.signal(Signal::CONT);
        let mut bytes = Vec::new();
        let _ = timeout(LIMIT, collector.read_to_end(&mut bytes)).await;
        answers(&bytes).len()
    };
    let (dumps, fetched, metrics) = tokio::join!(join_all(dumps), fetch, resume);
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    let dumps = dumps.iter().filter(|answer| answer.is_ok()).count();
    let mut lost = Vec::new();
    if dumps != ROW_CALLS || metrics != ROW_CALLS {
        lost.push(format!("{dumps} dumps and {metrics} metrics of {ROW_CALLS}"));
    }
    lost.extend(fetched.err().map(|error| format!("fetch: {error}")));
    Ok(lost)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_collector_that_does_not_read_does_not_hold_the_stop() {
    let (_stand_in, mut single) = start().await;
    let observe = single.entry.address("observe").expect("an address");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES).expect("a buffer");
    let mut collector = socket.connect(observe).await.expect("a connection");
    let requests = METRICS.repeat(UNREAD_CALLS);
    let writing = async {
        // Ends with the connection, or is blocked as the answers are not read.
        let _ = collector.write_all(requests.as_bytes()).await;
    };
    let _ = timeout(SUSPENDED, writing).await;
    single.entry.signal(Signal::TERM);
    let status = timeout(LIMIT / 2, single.entry.wait()).await.expect("an end in time");
    assert!(status.expect("a status").success());
    let log = single.log().expect("a log");
    let line = log.lines().find(|line| line.contains("event=ports_closed"));
    assert!(line.is_some_and(|line| line.ends_with("open=1")), "{line:?}");
}
