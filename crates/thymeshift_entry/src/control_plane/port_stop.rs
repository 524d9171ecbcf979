//! Planned stop of the ports of peers, operators and collectors.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

/// Maximum time for which a stopping process answers the calls that have arrived.
/// It is longer than an exchange with a peer that does not answer, which an order waits for.
const ANSWERS_LIMIT: Duration = Duration::from_secs(1);
/// Time before the end of the wait at which an order is answered without further confirmations.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Tells ports and connections to close, and waits until the calls that have arrived are answered.
#[derive(Default)]
pub(crate) struct PortStop {
    closing: CancellationToken,
    ends_at: OnceLock<Instant>,
    /// Each open port and connection holds a receiver.
    open: watch::Sender<()>,
    connections_answered: AtomicU64,
}

/// Counts an open port or connection until it is dropped.
pub(super) struct OpenGuard {
    _receiver: watch::Receiver<()>,
}

/// Outcome of closing the ports.
pub(crate) struct Closed {
    /// Number of connections on which answers were sent while the ports closed.
    pub(crate) answered: u64,
    /// Number of ports and connections that were still open at the end of the wait.
    pub(crate) open: usize,
}

impl PortStop {
    /// Closes all ports and waits for the answers, until `ends_at` or [`ANSWERS_LIMIT`] from now.
    pub(crate) async fn run(&self, ends_at: Instant) -> Closed {
        let ends_at = *self.ends_at.get_or_init(|| ends_at.min(Instant::now() + ANSWERS_LIMIT));
        self.closing.cancel();
        let _ = timeout_at(ends_at, self.open.closed()).await;
        Closed {
            answered: self.connections_answered.load(Ordering::Relaxed),
            open: self.open.receiver_count(),
        }
    }

    /// Returns the token that is cancelled when the ports close.
    pub(super) fn closing(&self) -> &CancellationToken {
        &self.closing
    }

    /// Waits until a call in progress must be answered with what is known.
    pub(super) async fn answers_due(&self) {
        self.closing.cancelled().await;
        if let Some(ends_at) = self.ends_at.get() {
            sleep_until(*ends_at - ANSWER_MARGIN).await;
        }
    }

    pub(super) fn open_guard(&self) -> OpenGuard {
        OpenGuard { _receiver: self.open.subscribe() }
    }

    pub(super) fn count_answered_connection(&self) {
        self.connections_answered.fetch_add(1, Ordering::Relaxed);
    }
}
