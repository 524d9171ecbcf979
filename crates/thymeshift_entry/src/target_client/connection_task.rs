//! Task that reads and writes one connection to a target.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::target_client::target_stream::DirectReads;

/// Handle of the task of one connection.
#[derive(Clone)]
pub(crate) struct ConnectionTask {
    abort: AbortHandle,
    catch_ups: UnboundedSender<oneshot::Sender<()>>,
}

impl ConnectionTask {
    /// Starts the task that runs `connection`, whose socket reads as `direct_reads` says.
    pub(crate) fn spawn<C: Future + Send + 'static>(
        connection: C,
        direct_reads: DirectReads,
    ) -> Self {
        let (catch_ups, asked) = mpsc::unbounded_channel();
        let abort = tokio::spawn(run(connection, direct_reads, asked)).abort_handle();
        Self { abort, catch_ups }
    }

    /// Waits until the task has processed the bytes that are in the socket now.
    ///
    /// A timer can end before the runtime has seen that bytes arrived, or before this task has run.
    pub(crate) async fn catch_up(&self) {
        let (asking, caught_up) = oneshot::channel();
        // Both channels close when the task ends, after which no bytes are left to process.
        let _ = self.catch_ups.send(asking);
        let _ = caught_up.await;
    }

    /// Ends the task, which closes the connection.
    pub(crate) fn abort(&self) {
        self.abort.abort();
    }
}

/// Runs `connection`. A run for which a sender in `asked` waits reads the socket directly, and
/// drops the sender at its end.
async fn run<C: Future>(
    connection: C,
    direct_reads: DirectReads,
    mut asked: UnboundedReceiver<oneshot::Sender<()>>,
) {
    let mut connection = pin!(connection);
    poll_fn(|context| {
        let asking = received(&mut asked, context);
        direct_reads.set(asking.is_some());
        // The sender of a request on this connection receives the result, too.
        connection.as_mut().poll(context).map(drop)
    })
    .await;
}

/// Returns the last value that waits in `channel`, if there is one.
fn received<T>(channel: &mut UnboundedReceiver<T>, context: &mut Context<'_>) -> Option<T> {
    let mut last = None;
    while let Poll::Ready(Some(value)) = channel.poll_recv(context) {
        last = Some(value);
    }
    last
}
