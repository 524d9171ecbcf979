//! Accept loop with a connection limit, for the ports of peers, operators and collectors.

use std::sync::Arc;
use std::time::Duration;

use spdlog::debug;
use spdlog::warn;
use thymeshift_supervisor::TaskError;
use thymeshift_wire::set_dead_peer_timeouts;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Delay after a failed accept.
/// The usual cause is too many open files, which resolves only as other connections close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections in an endless loop and serves each one in its own task.
///
/// At most `connections_max` connections are open at a time.
/// A failed accept is logged as `failed_event`.
/// Returns an error only if the semaphore that limits the connections is closed.
pub(crate) async fn accept<F>(
    listener: &TcpListener,
    connections_max: usize,
    failed_event: &'static str,
    serve: impl Fn(TcpStream) -> F,
) -> Result<(), TaskError>
where
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(connections_max));
    loop {
        let permit = permits.clone().acquire_owned().await?;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("{}", failed_event, kv: { error: = error });
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = set_dead_peer_timeouts(&stream) {
            // The peer has just disconnected, or the connection is served without this timeout.
            debug!("silence_unbounded", kv: { error: = error });
        }
        let serving = serve(stream);
        tokio::spawn(async move {
            let _permit = permit;
            serving.await;
        });
    }
}
