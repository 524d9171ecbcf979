//! Accept loop with a connection limit, for the ports of peers, operators and collectors.

use std::sync::Arc;
use std::time::Duration;

use spdlog::debug;
use spdlog::warn;
use thymeshift_supervisor::TaskError;
use thymeshift_wire::set_dead_peer_timeouts;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::accept_queue::close_listener;
use crate::control_plane::port_stop::PortStop;
use crate::control_plane::port_stream::PortStream;

/// Delay after a failed accept.
/// The usual cause is too many open files, which resolves only as other connections close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Properties of a port.
pub(super) struct Port {
    /// Maximum number of connections that are open at a time.
    pub(super) connections_max: usize,
    /// Name under which a failed accept is logged.
    pub(super) failed_event: &'static str,
}

/// Accepts connections until the process stops, and serves each one in its own task.
///
/// At a planned stop, the connections in the accept queue are served too, and later ones refused.
/// Returns an error only if the semaphore that limits the connections is closed.
pub(super) async fn accept<F>(
    listener: &TcpListener,
    port: Port,
    stop: &Arc<PortStop>,
    serve: impl Fn(PortStream) -> F,
) -> Result<(), TaskError>
where
    F: Future<Output = ()> + Send + 'static,
{
    let _open = stop.open_guard();
    let permits = Arc::new(Semaphore::new(port.connections_max));
    let spawn = |stream: TcpStream, permit| {
        if let Err(error) = set_dead_peer_timeouts(&stream) {
            // The peer has just disconnected, or the connection is served without this timeout.
            debug!("silence_unbounded", kv: { error: = error });
        }
        let open = stop.open_guard();
        let serving = serve(PortStream::new(stream, stop));
        tokio::spawn(async move {
            let _held = (permit, open);
            serving.await;
        });
    };
    loop {
        let (permit, accepted) = tokio::select! {
            biased;
            () = stop.closing().cancelled() => break,
            accepted = accept_one(listener, &permits) => accepted?,
        };
        match accepted {
            Ok(stream) => spawn(stream, permit),
            Err(error) => {
                warn!("{}", port.failed_event, kv: { error: = error });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    for (stream, _) in close_listener(listener, port.failed_event) {
        spawn(stream, permits.clone().acquire_owned().await?);
    }
    Ok(())
}

/// Waits until another connection is allowed, and accepts it.
async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Result<(OwnedSemaphorePermit, std::io::Result<TcpStream>), TaskError> {
    let permit = permits.clone().acquire_owned().await?;
    let accepted = listener.accept().await;
    Ok((permit, accepted.map(|(stream, _)| stream)))
}
