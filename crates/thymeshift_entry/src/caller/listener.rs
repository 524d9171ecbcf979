//! Accepts caller connections, up to a limit, until the process stops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use rustix::net::Shutdown;
use rustix::net::shutdown;
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
        serve_accepted::<D>(&shared, accepted, &closing).await;
    }
    // The handshake of a waiting connection is complete, so its caller may have sent a request.
    let accepted_late = &shared.metrics.accepted_late;
    while has_waiting_connection(&listener) {
        accepted_late.fetch_add(1, Ordering::Relaxed);
        counter!(metric::CALLERS_ACCEPTED_LATE).increment(1);
        serve_accepted::<D>(&shared, listener.accept().await, &closing).await;
    }
    refuse_connections(&listener);
    let waiting = accepted_late.load(Ordering::Relaxed);
    info!("accepting_stopped", kv: { waiting });
    shared.is_accepting.send_replace(false);
    Ok(())
}

/// Starts a task that serves the accepted connection, if the limits allow another one.
async fn serve_accepted<D: Dialect>(
    shared: &Arc<Shared>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
    closing: &watch::Receiver<bool>,
) {
    let (stream, caller) = match accepted {
        Ok(accepted) => accepted,
        Err(error) => {
            warn!("accept_failed", kv: { error: = error });
            sleep(ACCEPT_RETRY_DELAY).await;
            return;
        }
    };
    let limits = limits(shared);
    let Some(guard) = ConnectionGuard::new(shared, &limits) else {
        counter!(metric::CALLER_CONNECTIONS_REJECTED).increment(1);
        return;
    };
    if let Err(error) = configure(&stream) {
        warn!("accept_failed", kv: { error: = error });
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

/// Stops listening, so that a caller that connects from now on is refused at once. Other handles of
/// the socket would keep it listening if this one were only closed.
fn refuse_connections(listener: &TcpListener) {
    if let Err(error) = shutdown(listener, Shutdown::Read) {
        warn!("accept_failed", kv: { error: = io::Error::from(error) });
    }
}

/// Returns whether a connection waits to be accepted.
fn has_waiting_connection(listener: &TcpListener) -> bool {
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
