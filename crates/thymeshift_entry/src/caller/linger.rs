//! Lingering close: keeps a connection readable until its caller has read the answer.
//!
//! If a socket is closed with unread bytes, or receives bytes afterwards, the kernel resets the
//! connection, and the caller loses the part of the answer that it has not read yet (RFC 9112, 9.6).

use std::io;
use std::time::Duration;

use rustix::net::Shutdown;
use rustix::net::shutdown;
use thymeshift_types::BootClock;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::caller::pipelining::PipelinedConnection;
use crate::fresh_check::act_if_fresh;

/// Maximum time for which a connection is kept after the last byte was sent on it. A caller that
/// reads slowly needs this time for the bytes in the send buffer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes of one read from the socket.
const READ_BYTES: usize = 4 * 1_024;

/// Ends the stream towards the caller if a planned stop may close the connection, right after the
/// check, so that no request arrives in between. Returns whether the stream was ended.
pub(crate) fn end_if_drained(connection: &PipelinedConnection) -> bool {
    act_if_fresh(&BootClock, || connection.is_drained(), || end_stream(connection.stream()))
}

/// Ends the stream towards the caller. If an answer was sent a short time ago, then discards what
/// arrives until the caller closes too. Returns the number of discarded bytes.
pub(crate) async fn linger(connection: &PipelinedConnection) -> u64 {
    let stream: &TcpStream = connection.stream();
    let mut discarded_bytes = 0;
    end_stream(stream);
    if !connection.is_eof() && connection.activity().has_written_within(LINGER_TIMEOUT) {
        // After the timeout or an error the caller cannot or does not read the answer.
        let _ = timeout(LINGER_TIMEOUT, discard(stream, &mut discarded_bytes)).await;
    }
    discarded_bytes
}

fn end_stream(stream: &TcpStream) {
    // An error means that the connection is broken, or that the stream has ended already.
    let _ = shutdown(stream, Shutdown::Write);
}

async fn discard(stream: &TcpStream, discarded_bytes: &mut u64) -> io::Result<()> {
    let mut bytes = [0; READ_BYTES];
    loop {
        stream.readable().await?;
        match stream.try_read(&mut bytes) {
            Ok(0) => return Ok(()),
            Ok(length) => {
                *discarded_bytes += length as u64;
                // Bytes may come as fast as they are read.
                yield_now().await;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
