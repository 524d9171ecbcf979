//! Requests that arrive around the moments of a planned stop, in a forced order of events: the
//! entry process is suspended while bytes arrive, so that it finds them together with the stop.

mod cases;
mod crowd;
mod forced;
mod http2;
mod idle;
mod stalls;
#[path = "../support/mod.rs"]
mod support;

use crate::crowd::accept_queue_crowd_failure;
use crate::crowd::crowd_failures;
use crate::forced::failures_of;
use crate::http2::http2_failures;
use crate::idle::idle_failures;
use crate::stalls::answer_failures;
use crate::stalls::late_reader_failures;
use crate::stalls::request_failures;

/// The process left connections in its accept queue at a planned stop, and reset them at its exit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_in_the_accept_queue_of_a_stopping_process_were_reset() {
    let mut failures = failures_of(cases::ACCEPT_QUEUE).await;
    failures.extend(accept_queue_crowd_failure().await);
    assert!(failures.is_empty(), "lost answers:\n{failures}");
}

/// The process closed connections whose requests had arrived in the socket and were not read yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn open_connections_with_unread_requests_were_closed_at_a_planned_stop() {
    let failures = failures_of(cases::OPEN_CONNECTIONS).await;
    assert!(failures.is_empty(), "lost answers:\n{failures}");
}

/// As above, on many connections at once, suspended in the middle of closing them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_of_connections_with_unread_requests_were_closed_at_a_planned_stop() {
    let failures = crowd_failures().await;
    assert!(failures.is_empty(), "lost answers:\n{failures}");
}

/// As above, on HTTP/2 connections, also before the protocol is detected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_connections_with_unread_requests_were_closed_at_a_planned_stop() {
    let failures = http2_failures().await;
    assert!(failures.is_empty(), "lost answers:\n{failures}");
}

/// The bytes behind a chunked request were not counted as a request that had arrived.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_behind_a_chunked_request_were_lost_at_a_planned_stop() {
    let failures = failures_of(cases::BEHIND_CHUNKED).await;
    assert!(failures.is_empty(), "lost answers:\n{failures}");
}

/// Closing a connection with unread bytes reset it, which discarded the rest of the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_were_cut_by_requests_behind_theirs_at_a_planned_stop() {
    let failures = failures_of(cases::ANSWERS_IN_PROGRESS).await;
    assert!(failures.is_empty(), "lost answers:\n{failures}");
}

/// The idle timer closed connections whose requests had arrived while the process was suspended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_with_unread_requests_were_closed_by_the_idle_timer() {
    let failures = failures_of(cases::IDLE_TIMEOUTS).await;
    assert!(failures.is_empty(), "lost answers:\n{failures}");
}

/// The stall timer cut a target's answer whose rest had arrived while the process was suspended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_had_arrived_were_cut_by_the_stall_timer() {
    let failures = answer_failures().await;
    assert!(failures.is_empty(), "cut answers:\n{failures}");
}

/// The write timer cut an answer whose caller had read on while the process was suspended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_were_cut_by_the_write_timer_though_their_callers_had_read_on() {
    let failures = late_reader_failures().await;
    assert!(failures.is_empty(), "cut answers:\n{failures}");
}

/// The stall timer ended a streamed request whose rest had arrived while the process was suspended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_requests_that_had_arrived_were_ended_by_the_stall_timer() {
    let failures = request_failures().await;
    assert!(failures.is_empty(), "lost requests:\n{failures}");
}

/// Connections without a request in progress kept a planned stop waiting for their head timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_request_held_a_planned_stop() {
    let failures = idle_failures().await;
    assert!(failures.is_empty(), "held the stop:\n{failures}");
}
