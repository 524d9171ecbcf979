//! Requests on HTTP/2 connections around the moment at which a planned stop closes them.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rustix::process::Signal;
use thymeshift_lab::standin::expected_answer;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cases::READ_1_PATH;
use crate::cases::READ_2_PATH;
use crate::forced::Missed;
use crate::forced::SETUP_ATTEMPTS;
use crate::forced::SUSPENDED;
use crate::forced::connection_lines;
use crate::forced::has_begun_closing;
use crate::forced::start_with_head_timeout;
use crate::forced::stop;
use crate::forced::suspend;
use crate::support::LIMIT;

/// Requests on an HTTP/2 connection around the closing moment.
pub(crate) struct Http2Case {
    name: &'static str,
    service_ms: u64,
    /// Whether the connection has served a request before the stop.
    has_served: bool,
    /// Whether a request is in progress on the connection during the stop.
    has_stream_in_progress: bool,
    /// Whether a second stop signal arrives together with the request.
    is_lag_skipped: bool,
}

pub(crate) const HTTP2_CASES: &[Http2Case] = &[
    Http2Case {
        name: "f1 idle, request during the lag",
        service_ms: 1,
        has_served: true,
        has_stream_in_progress: false,
        is_lag_skipped: false,
    },
    Http2Case {
        name: "f2 idle, two signals at once",
        service_ms: 1,
        has_served: true,
        has_stream_in_progress: false,
        is_lag_skipped: true,
    },
    Http2Case {
        name: "f3 a stream in progress, two signals at once",
        service_ms: 600,
        has_served: false,
        has_stream_in_progress: true,
        is_lag_skipped: true,
    },
    Http2Case {
        name: "f4 fresh, protocol not detected",
        service_ms: 1,
        has_served: false,
        has_stream_in_progress: false,
        is_lag_skipped: true,
    },
];

pub(crate) type Http2Sender = SendRequest<Full<Bytes>>;

pub(crate) async fn http2_connection(stream: TcpStream) -> Http2Sender {
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, driving) = handshake.await.expect("HTTP/2");
    tokio::spawn(driving);
    sender
}

pub(crate) async fn http2_read(mut sender: Http2Sender, path: &'static str) -> Result<(), String> {
    let uri = format!("http://x{path}");
    let request = Request::get(uri).body(Full::new(Bytes::new())).expect("a request");
    let response = sender.send_request(request).await.map_err(|error| format!("{error:?}"))?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()));
    }
    let body = response.into_body().collect().await.map_err(|error| format!("{error:?}"))?;
    if body.to_bytes() != expected_answer(path, b"", 20) {
        return Err("wrong body".to_owned());
    }
    Ok(())
}

/// Returns what was wrong, or none.
pub(crate) async fn http2_failure(case: &Http2Case) -> Result<Option<String>, Missed> {
    let (_stand_in, mut single) = start_with_head_timeout(case.service_ms, LIMIT).await;
    let caller = single.entry.address("caller").expect("an address");
    let mut stream = Some(TcpStream::connect(caller).await.expect("a connection"));
    let mut sender = None;
    if case.has_served || case.has_stream_in_progress {
        sender = Some(http2_connection(stream.take().expect("a connection")).await);
    }
    let mut reads = JoinSet::new();
    if let Some(sender) = &sender {
        if case.has_served {
            http2_read(sender.clone(), READ_1_PATH).await.expect("an answer before the stop");
        } else {
            reads.spawn(http2_read(sender.clone(), READ_1_PATH));
        }
    }
    sleep(Duration::from_millis(50)).await;
    stop(&single).await;
    suspend(&single).await?;
    if has_begun_closing(&single) {
        return Err(Missed);
    }
    if case.is_lag_skipped {
        single.entry.signal(Signal::TERM);
    }
    let sender = match sender {
        Some(sender) => sender,
        None => http2_connection(stream.take().expect("a connection")).await,
    };
    reads.spawn(http2_read(sender, READ_2_PATH));
    sleep(SUSPENDED).await;
    single.entry.signal(Signal::CONT);
    let mut failures = Vec::new();
    while let Some(read) = timeout(LIMIT, reads.join_next()).await.expect("an end in time") {
        failures.extend(read.expect("no panic").err());
    }
    timeout(LIMIT, single.entry.wait()).await.expect("an end in time").expect("a status");
    let lines = connection_lines(&single.log().unwrap_or_default());
    let summary = format!("{}: failures {failures:?}\n{lines}", case.name);
    eprintln!("{summary}");
    Ok((!failures.is_empty()).then_some(summary))
}

/// Returns what was wrong with the cases that failed; empty if none did.
pub(crate) async fn http2_failures() -> String {
    let mut failures = String::new();
    for case in HTTP2_CASES {
        let mut outcome = Err(Missed);
        for _ in 0..SETUP_ATTEMPTS {
            outcome = http2_failure(case).await;
            if outcome.is_ok() {
                break;
            }
        }
        let missed = || Some(format!("{}: not forced in {SETUP_ATTEMPTS} attempts\n", case.name));
        failures.extend(outcome.unwrap_or_else(|Missed| missed()));
    }
    failures
}
