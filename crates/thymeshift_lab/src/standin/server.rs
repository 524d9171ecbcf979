//! HTTP/1 server of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::standin::LinkCuts;

/// Handle of a running stand-in; dropping it closes the ports and connections.
pub struct ServerHandle {
    /// Address of the data port, which entry processes connect to.
    pub address: SocketAddr,
    /// Address of the control port, which tests and operators connect to.
    pub control: SocketAddr,
    pub(crate) _tasks: JoinSet<()>,
}

/// Serves `listener` with `answer`, one task per connection. `None` closes the connection.
///
/// Processes that `cuts` names are cut off from the server.
pub(crate) async fn serve<F, B>(
    listener: TcpListener,
    cuts: Arc<LinkCuts>,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Option<Response<B>>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(stream) = cuts.accept(&listener).await else {
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let (answer, cuts) = (answer.clone(), cuts.clone());
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let answered = answer(request);
                async { answered.await.ok_or(io::Error::from(io::ErrorKind::ConnectionAborted)) }
            });
            let serving = async |stream| {
                // Errors of a connection are ignored: the peer detects them and decides what to do.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            };
            let _ = cuts.serve(stream, serving).await;
        });
    }
}
