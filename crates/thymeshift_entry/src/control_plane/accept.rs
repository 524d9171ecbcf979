//! Accepting connections within a limit, for the ports that callers do not reach.

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

/// Pause after a failed accept: mostly too many open files, which only time mends.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts for ever, at most `connections_max` at a time, and serves each connection in a
/// task of its own. A failed accept is logged as `failed_event`.
pub(crate) async fn accept<F>(
    listener: &TcpListener,
    connections_max: usize,
    failed_event: &'static str,
    serve: impl Fn(TcpStream) -> F,
) -> Result<(), TaskError>
where
    F: Future<Output = ()> + Send + 'static,
{
    let places = Arc::new(Semaphore::new(connections_max));
    loop {
        let place = places.clone().acquire_owned().await?;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("{}", failed_event, kv: { error: = error });
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = set_dead_peer_timeouts(&stream) {
            // It went away in this very moment, or is served without.
            debug!("silence_unbounded", kv: { error: = error });
        }
        let serving = serve(stream);
        tokio::spawn(async move {
            let _place = place;
            serving.await;
        });
    }
}
