//! Accepts caller connections, up to a limit, until the process stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
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

use crate::accept_queue::close_listener;
use crate::caller::connection::serve;
use crate::shared::Shared;

/// Name of the event of a failed accept.
const ACCEPT_FAILED: &str = "accept_failed";

/// Delay after a failed accept.
/// The usual cause is too many open files, which resolves only as other connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for which a process without a configuration defers accepting connections.
const START_WAIT_MAX: Duration = Duration::from_millis(400);

/// Accepts connections until `closing` becomes true, then serves the ones that wait in the accept
/// queue and refuses later ones.
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
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|is_closing| *is_closing) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(accepted) => serve_accepted::<D>(&shared, accepted, &closing),
            Err(error) => {
                warn!("{}", ACCEPT_FAILED, kv: { error: = error });
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for waiting in close_listener(&listener, ACCEPT_FAILED) {
        shared.metrics.accepted_late.fetch_add(1, Ordering::Relaxed);
        counter!(metric::CALLERS_ACCEPTED_LATE).increment(1);
        serve_accepted::<D>(&shared, waiting, &closing);
    }
    let waiting = shared.metrics.accepted_late.load(Ordering::Relaxed);
    info!("accepting_stopped", kv: { waiting });
    shared.is_accepting.send_replace(false);
    Ok(())
}

/// Starts a task that serves the accepted connection, if the limits allow another one.
fn serve_accepted<D: Dialect>(
    shared: &Arc<Shared>,
    (stream, caller): (TcpStream, SocketAddr),
    closing: &watch::Receiver<bool>,
) {
    let limits = limits(shared);
    let Some(guard) = ConnectionGuard::new(shared, &limits) else {
        counter!(metric::CALLER_CONNECTIONS_REJECTED).increment(1);
        return;
    };
    if let Err(error) = configure(&stream) {
        warn!("{}", ACCEPT_FAILED, kv: { error: = error });
        return;
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
