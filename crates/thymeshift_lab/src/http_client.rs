//! HTTP client for small requests to stand-ins and entry processes. Each request opens its own
//! connection.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of one request, including the connect.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Reason why a request got no complete answer.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The connection could not be opened.
    #[display("connecting: {_0}")]
    Connect(std::io::Error),
    /// The connection broke or the answer is not valid HTTP.
    #[display("HTTP exchange: {_0}")]
    Exchange(hyper::Error),
    /// The request could not be built from its method, path and headers.
    #[display("building the request: {_0}")]
    Request(http::Error),
    /// The answer was not complete within the request timeout of 15 s.
    #[display("no answer within {REQUEST_TIMEOUT:?}")]
    TimedOut,
}

/// Sends a request and returns the answer with its whole body.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, RequestError> {
    send_from(Ipv4Addr::UNSPECIFIED, address, request).await
}

/// Sends a request from the local address `own` and returns the answer with its whole body.
pub async fn send_from(
    own: Ipv4Addr,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, RequestError> {
    let exchange = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind((own, 0).into())?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
        let driver = tokio::spawn(connection);
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        driver.abort();
        Ok(Response::from_parts(parts, body))
    };
    timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or(Err(RequestError::TimedOut))
}

/// Sends a request with this method, path and body to `address`, which is also its host header.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>, RequestError> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header(http::header::HOST, address.to_string());
    send(address, request.body(Full::new(body.into()))?).await
}

/// Sends raw bytes and returns everything read until the server closes the connection or
/// `limit` passes.
pub async fn send_raw(
    address: SocketAddr,
    bytes: &[u8],
    limit: Duration,
) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    // A failed write is ignored: the server may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = timeout(limit, stream.read_to_end(&mut answer)).await;
    Ok(answer)
}
