//! Activity of a caller connection: what a planned stop needs to know before it closes it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;

/// Reads, writes and requests of a connection.
pub(crate) struct ConnectionActivity {
    accepted_at: Timestamp,
    /// Time at which the connection was accepted, or bytes were read or written last.
    active_at: Mutex<Timestamp>,
    /// Time at which bytes were written last; `None` if none were.
    written_at: Mutex<Option<Timestamp>>,
    /// Whether bytes of an answer wait until the socket takes more.
    is_write_blocked: AtomicBool,
    /// Number of requests that have been read and not answered completely.
    in_progress: AtomicU64,
    /// Number of requests whose answers have begun.
    answered: AtomicU64,
    has_received_request: AtomicBool,
    /// Whether hyper has read bytes other than empty lines since it read the last request head.
    has_read_bytes: AtomicBool,
    is_http2: AtomicBool,
}

/// Counts a request as in progress until the guard is dropped.
pub(crate) struct InProgressGuard(Arc<ConnectionActivity>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionActivity {
    /// Creates the activity of a connection that is accepted now.
    pub(crate) fn new() -> Arc<Self> {
        let now = BootClock.now();
        Arc::new(Self {
            accepted_at: now,
            active_at: Mutex::new(now),
            written_at: Mutex::new(None),
            is_write_blocked: AtomicBool::new(false),
            in_progress: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            has_received_request: AtomicBool::new(false),
            has_read_bytes: AtomicBool::new(false),
            is_http2: AtomicBool::new(false),
        })
    }

    /// Records a request that hyper has read.
    pub(crate) fn begin_request(self: &Arc<Self>, is_http2: bool) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.has_received_request.store(true, Ordering::Relaxed);
        self.has_read_bytes.store(false, Ordering::Relaxed);
        self.is_http2.store(is_http2, Ordering::Relaxed);
        InProgressGuard(self.clone())
    }

    /// Records that the answer to a request begins.
    pub(crate) fn record_answer(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that bytes can be read.
    pub(crate) fn record_read(&self) {
        *self.active_at.lock() = BootClock.now();
    }

    /// Records bytes that hyper has read while no request is in progress. Empty lines before a request do
    /// not count (RFC 9112, 2.2).
    pub(crate) fn record_bytes(&self, bytes: &[u8]) {
        let is_idle = self.in_progress.load(Ordering::Relaxed) == 0;
        if is_idle && bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.has_read_bytes.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether hyper has read bytes that may belong to a head since it read the last one.
    pub(crate) fn has_read_bytes(&self) -> bool {
        self.has_read_bytes.load(Ordering::Relaxed)
    }

    /// Records whether the socket took the bytes that were written to it.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        self.is_write_blocked.store(is_blocked, Ordering::Relaxed);
        if !is_blocked {
            let now = BootClock.now();
            *self.active_at.lock() = now;
            *self.written_at.lock() = Some(now);
        }
    }

    /// Records that the connection begins as HTTP/2 ones do.
    pub(crate) fn record_http2_preface(&self) {
        self.is_http2.store(true, Ordering::Relaxed);
    }

    /// Returns for how long no bytes have been read or written.
    pub(crate) fn idle_time(&self) -> Duration {
        BootClock.now().since(*self.active_at.lock())
    }

    /// Returns how long the connection has been open.
    pub(crate) fn open_time(&self) -> Duration {
        BootClock.now().since(self.accepted_at)
    }

    /// Returns whether a request has been read and not been answered completely.
    pub(crate) fn has_request_in_progress(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) > 0
    }

    /// Returns whether no request is in progress and no byte of an answer waits to be sent.
    pub(crate) fn is_idle(&self) -> bool {
        !self.has_request_in_progress() && !self.is_write_blocked.load(Ordering::Relaxed)
    }

    /// Returns whether the caller may still be reading an answer that was sent within `period`.
    pub(crate) fn has_written_within(&self, period: Duration) -> bool {
        self.written_at.lock().is_some_and(|written_at| BootClock.now().since(written_at) < period)
    }

    /// Returns whether hyper has read a request on the connection.
    pub(crate) fn has_received_request(&self) -> bool {
        self.has_received_request.load(Ordering::Relaxed)
    }

    /// Returns whether the requests of the connection are HTTP/2 streams.
    pub(crate) fn is_http2(&self) -> bool {
        self.is_http2.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose answers have begun.
    pub(crate) fn answered_count(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}
