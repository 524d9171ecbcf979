//! One GET over a connection of its own, bounded in time and size. Calls to the platform
//! are few, so that a pool would only add ways to fail.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time to open the connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A GET that brought no answer.
#[derive(Debug, Display, Error, From)]
pub enum GetError {
    /// The connection could not be opened.
    #[display("connecting: {_0}")]
    Connect(io::Error),
    /// The connection was not open in time.
    #[display("no connection within {CONNECT_LIMIT:?}")]
    ConnectTimedOut,
    /// The connection broke, or what came is not HTTP.
    #[display("asking: {_0}")]
    Http(hyper::Error),
    /// The path cannot be asked for.
    #[display("the request: {_0}")]
    Request(http::Error),
    #[display("no answer within {limit:?}")]
    #[from(ignore)]
    /// No answer came in time.
    TimedOut {
        /// The time given.
        limit: Duration,
    },
    #[display("the answer breaks off or is longer than {bytes_max} bytes")]
    #[from(ignore)]
    /// The body is incomplete or too long.
    Body {
        /// Most bytes taken.
        bytes_max: usize,
    },
}

/// Asks `address` for `path`.
pub async fn http_get(
    address: SocketAddr,
    path: &str,
    limit: Duration,
    bytes_max: usize,
) -> Result<Response<Bytes>, GetError> {
    let Ok(connected) = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await else {
        return Err(GetError::ConnectTimedOut);
    };
    let (mut sender, driving) = http1::handshake(TokioIo::new(connected?)).await?;
    let request = Request::get(path).header(HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new())?;
    let asking = async {
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let body = Limited::new(body, bytes_max).collect().await;
        let body = body.map_err(|_| GetError::Body { bytes_max })?.to_bytes();
        Ok(Response::from_parts(parts, body))
    };
    // Both ends of the exchange run here, so that giving up closes the connection.
    let both = async {
        tokio::select! {
            answer = asking => answer,
            Err(error) = driving => Err(GetError::Http(error)),
        }
    };
    timeout(limit, both).await.unwrap_or(Err(GetError::TimedOut { limit }))
}
