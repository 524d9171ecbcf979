//! Description of a request that was not answered, to find its trace in the entry process's log.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::load::CallResult;

/// Connection that carried a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallConnection {
    /// Address of the caller, as the entry process sees it.
    pub local: SocketAddr,
    /// Number of requests that were sent on the connection before this one.
    pub earlier_requests: u64,
}

/// Request without a complete answer.
#[derive(Debug, Clone)]
pub struct FailedCall {
    /// Nonce in the path of the request.
    pub nonce: String,
    /// Entry process that the request was sent to.
    pub entry: SocketAddr,
    /// Result as the caller sees it.
    pub result: CallResult,
    /// Connection of the request; none if it could not be opened or the caller gave up.
    pub connection: Option<CallConnection>,
    /// Error of the connection; empty if the entry process answered.
    pub error: String,
    /// Due time of the request on the wall clock, which the entry process's log uses too.
    pub due_at: SystemTime,
    /// Time from the start of the load to the due time of the request.
    pub due: Duration,
    /// Time from the due time to the sending on an open connection; none if it was not sent.
    pub sent_after: Option<Duration>,
    /// Time from the due time to the result.
    pub taken: Duration,
}

impl fmt::Display for FailedCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?} entry={} ", self.nonce, self.result, self.entry)?;
        match self.connection {
            Some(CallConnection { local, earlier_requests }) => {
                write!(f, "caller={local} earlier_requests={earlier_requests} ")?;
            }
            None => write!(f, "caller=none ")?,
        }
        let sent_ms = self.sent_after.map(|after| after.as_millis());
        write!(
            f,
            "due_unix_ms={} due_ms={} sent_after_ms={sent_ms:?} taken_ms={} error={:?}",
            unix_ms(self.due_at),
            self.due.as_millis(),
            self.taken.as_millis(),
            self.error
        )
    }
}

/// Returns a time on the wall clock as milliseconds since the Unix epoch.
pub(crate) fn unix_ms(time: SystemTime) -> u128 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}
