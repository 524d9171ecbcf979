//! Accepting callers' connections, within a limit, until the process stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
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

/// Pause after a failed accept: mostly too many open files, which only time mends.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for which connections to a process without a configuration are not accepted.
const START_WAIT: Duration = Duration::from_millis(400);

/// Accepts until `closing` turns true.
pub(crate) async fn run_listener<D: Dialect>(
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
    closing: watch::Receiver<bool>,
) -> Result<(), TaskError> {
    let mut until = closing.clone();
    let mut phase = shared.phase.subscribe();
    // Who connects to a process that has just started is served a moment later and need not
    // come back; without a configuration in that time it is told so.
    let _ = timeout(START_WAIT, phase.wait_for(|phase| *phase != Phase::Starting)).await;
    loop {
        let accepted = tokio::select! {
            biased;
            _ = until.wait_for(|is_closing| *is_closing) => return Ok(()),
            accepted = listener.accept() => accepted,
        };
        let (stream, caller) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("accept_failed", kv: { error: = error });
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let limits = limits(&shared);
        let Some(counted) = Counted::new(&shared, &limits) else {
            counter!(metric::CALLERS_TURNED_AWAY).increment(1);
            continue;
        };
        if let Err(error) = prepare(&stream) {
            warn!("accept_failed", kv: { error: = error });
            continue;
        }
        let shared = shared.clone();
        let mut closing = closing.clone();
        tokio::spawn(async move {
            let _counted = counted;
            let closing = async move {
                // An error means that the process is gone, which is closing too.
                let _ = closing.wait_for(|is_closing| *is_closing).await;
            };
            serve::<D>(shared, stream, caller, limits, closing).await;
        });
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)
}

fn limits(shared: &Shared) -> Limits {
    let routing = shared.routing();
    routing.map_or_else(Limits::default, |routing| routing.configuration.limits.clone())
}

/// Counts a connection until it is dropped.
struct Counted(Arc<Shared>);

impl Counted {
    /// None if there are too many.
    fn new(shared: &Arc<Shared>, limits: &Limits) -> Option<Self> {
        let before = shared.metrics.caller_connections.fetch_add(1, Ordering::Relaxed);
        let counted = Self(shared.clone());
        (before < limits.caller_connections_max).then_some(counted)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.metrics.caller_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
