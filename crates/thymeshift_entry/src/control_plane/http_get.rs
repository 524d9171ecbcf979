//! HTTP GET over a new connection, bounded in time and size.
//!
//! Calls to the platform are rare, so a connection pool would only add failure modes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::message_parts::MessageParts;
use crate::message_parts::PartLimitedStream;
use crate::message_parts::READ_BUFFER_BYTES;

/// Maximum time to open the connection of a GET.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time without a byte of the body after which the answer counts as lost.
const BODY_STALL_LIMIT: Duration = Duration::from_millis(700);
/// Maximum time for the body of an answer: 4 MiB at 5 Mbit/s.
const BODY_LIMIT: Duration = Duration::from_secs(7);

/// Error of a GET that returned no complete answer.
#[derive(Debug, Display, Error, From)]
pub enum GetError {
    /// The connection could not be opened.
    #[display("connecting: {_0}")]
    Connect(io::Error),
    /// The connection was not open within the connect timeout.
    #[display("no connection within {CONNECT_LIMIT:?}")]
    ConnectTimedOut,
    /// The connection broke, or the answer is not valid HTTP.
    #[display("HTTP exchange: {_0}")]
    Http(hyper::Error),
    /// The path is not valid in an HTTP request.
    #[display("building the request: {_0}")]
    Request(http::Error),
    #[display("no answer within {limit:?}")]
    #[from(ignore)]
    /// No complete answer arrived within the caller's time limit.
    TimedOut {
        /// Time limit of the request and its answer.
        limit: Duration,
    },
    #[display("the answer body is longer than {bytes_max} bytes")]
    #[from(ignore)]
    /// The answer body is longer than the limit.
    TooLong {
        /// Maximum size of an accepted body, in bytes.
        bytes_max: usize,
    },
    /// The answer body stopped arriving before its end.
    #[display("the answer body stalled for {BODY_STALL_LIMIT:?}")]
    Stalled,
}

/// Sends `GET path` to `address` and returns the answer with its whole body.
///
/// `limit` bounds the time until the head of the answer, and `bytes_max` the size of the body. A body
/// may take longer while it arrives, because the largest documents take over a second on a narrow link.
/// Opening the connection has a separate time limit.
/// Returns a [`GetError`] if no complete answer arrives within the limits.
pub async fn http_get(
    address: SocketAddr,
    path: &str,
    limit: Duration,
    bytes_max: usize,
) -> Result<Response<Bytes>, GetError> {
    let Ok(connected) = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await else {
        return Err(GetError::ConnectTimedOut);
    };
    let parts = MessageParts::new(READ_BUFFER_BYTES);
    let stream = TokioIo::new(PartLimitedStream::new(connected?, parts.clone()));
    let mut builder = http1::Builder::new();
    let (mut sender, connection) =
        builder.max_buf_size(READ_BUFFER_BYTES).handshake(stream).await?;
    let request = Request::get(path).header(HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new())?;
    let exchange = async {
        let head = timeout(limit, sender.send_request(request)).await;
        let (head, body) = head.map_err(|_| GetError::TimedOut { limit })??.into_parts();
        Ok(Response::from_parts(head, read_body(body, bytes_max, &parts).await?))
    };
    // The connection is driven in this future, so dropping the future closes the connection.
    let driven_exchange = async {
        tokio::select! {
            answer = exchange => answer,
            Err(error) = connection => Err(GetError::Http(error)),
        }
    };
    let limit = limit + BODY_LIMIT;
    timeout(limit, driven_exchange).await.unwrap_or(Err(GetError::TimedOut { limit }))
}

async fn read_body(
    mut body: Incoming,
    bytes_max: usize,
    parts: &MessageParts,
) -> Result<Bytes, GetError> {
    let mut bytes = BytesMut::new();
    loop {
        parts.record_part();
        let frame = timeout(BODY_STALL_LIMIT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| GetError::Stalled)? else {
            return Ok(bytes.freeze());
        };
        let Ok(data) = frame?.into_data() else { continue };
        if bytes.len() + data.len() > bytes_max {
            return Err(GetError::TooLong { bytes_max });
        }
        bytes.extend_from_slice(&data);
    }
}
