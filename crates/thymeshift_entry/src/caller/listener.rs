//! Accepts caller connections, up to a limit, until the process stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use spdlog::info;
use spdlog::warn;
use thymeshift_config::Limits;
use thymeshift_fleet::Phase;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_wire::Dialect;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::caller::connection::serve;
use crate::shared::Shared;

/// Delay after a failed accept.
/// The usual cause is too many open files, which resolves only as other connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for which a process without a configuration defers accepting connections.
const START_WAIT_MAX: Duration = Duration::from_millis(400);

/// Accepts connections until `closing` becomes true.
pub(crate) async fn run_listener<D: Dialect>(
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
    closing: watch::Receiver<bool>,
) -> Result<(), TaskError> {
    let mut stop = closing.clone();
    let mut phase = shared.phase.subscribe();
    // A caller that connects during the start waits in the accept queue instead of being refused.
    // Without a configuration after `START_WAIT_MAX`, callers receive a `not_ready` refusal.
    let _ = timeout(START_WAIT_MAX, phase.wait_for(|phase| *phase != Phase::Starting)).await;
    let mut accepted_count = 0_u64;
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|is_closing| *is_closing) => {
                let has_waiting = has_waiting_connection(&listener);
                info!("accepting_stopped", kv: { accepted: = accepted_count, has_waiting });
                return Ok(());
            }
            accepted = listener.accept() => accepted,
        };
        let (stream, caller) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("accept_failed", kv: { error: = error });
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        accepted_count += 1;
        let limits = limits(&shared);
        let Some(guard) = ConnectionGuard::new(&shared, &limits) else {
            counter!(metric::CALLER_CONNECTIONS_REJECTED).increment(1);
            continue;
        };
        if let Err(error) = configure(&stream) {
            warn!("accept_failed", kv: { error: = error });
            continue;
        }
        let shared = shared.clone();
        let mut closing = closing.clone();
        tokio::spawn(async move {
            let _guard = guard;
            let closing = async move {
                // An error means that the process is ending, which also closes the connection.
                let _ = closing.wait_for(|is_closing| *is_closing).await;
            };
            serve::<D>(shared, stream, caller, limits, closing).await;
        });
    }
}

/// Returns whether a connection waits to be accepted.
pub(crate) fn has_waiting_connection(listener: &TcpListener) -> bool {
    let mut listeners = [PollFd::new(listener, PollFlags::IN)];
    poll(&mut listeners, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|ready| ready > 0)
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)
}

fn limits(shared: &Shared) -> Limits {
    let routing = shared.routing();
    routing.map_or_else(Limits::default, |routing| routing.configuration.limits.clone())
}

/// Counts a caller connection until it is dropped.
struct ConnectionGuard(Arc<Shared>);

impl ConnectionGuard {
    /// Returns `None` if the maximum number of caller connections is open.
    fn new(shared: &Arc<Shared>, limits: &Limits) -> Option<Self> {
        let open_count = shared.metrics.caller_connections.fetch_add(1, Ordering::Relaxed);
        let guard = Self(shared.clone());
        (open_count < limits.caller_connections_max).then_some(guard)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.metrics.caller_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
