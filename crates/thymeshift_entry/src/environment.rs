//! What the process stands between: the dialect of clients and targets, and the source of
//! configuration and targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::StatusCode;
use thymeshift_fleet::Published;
use thymeshift_wire::Dialect;
use thymeshift_wire::Document;
use tokio::sync::Mutex;

use crate::control_plane::GetError;

/// A pair of dialect and source.
pub trait Environment: Send + Sync + 'static {
    /// How clients and targets speak.
    type Dialect: Dialect;
    /// Where configuration and targets are published.
    type Source: Source;
    /// Whether the source never answers with less than what is published.
    const SOURCE_IS_CURRENT: bool;
    /// Whether targets are discovered apart from the configuration: then a process serves
    /// only once it knows both.
    const HAS_TARGET_DISCOVERY: bool;
}

/// The process's only reader of the source: what the start has read need not be read again
/// when it is this process's turn.
pub(crate) type SharedSource<E> = Arc<Mutex<<E as Environment>::Source>>;

/// Reads what is published. One reader makes one call at a time. A call may be dropped before
/// its end: then nothing counts as told.
pub trait Source: Send + 'static {
    /// A reader of the source at `address` that knows nothing yet.
    fn new(address: SocketAddr) -> Self;

    /// Where it reads.
    fn address(&self) -> SocketAddr;

    /// Reads the first part of what is published, before the first call of `changes`, which goes
    /// on from there.
    fn read_first_page(&mut self) -> impl Future<Output = Result<FirstPage, SourceError>> + Send {
        std::future::ready(Ok(FirstPage::Complete))
    }

    /// Forgets what `read_first_page` read, if no call has used it: it grows old.
    fn discard_first_page(&mut self) {}

    /// The documents that changed since the last answered call, all of them at the first. The
    /// source may hold the call for up to `wait` until something changes.
    fn changes(
        &mut self,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<(Document, Published)>, SourceError>> + Send;
}

/// What the first part of what is published shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstPage {
    /// There is no more, or the source is not read in parts.
    Complete,
    /// There is more.
    Partial,
}

/// A call to the source that brought nothing.
#[derive(Debug, Display, Error, From)]
pub enum SourceError {
    /// No answer.
    #[display("{_0}")]
    Get(GetError),
    /// An answer with a status that is none of those expected.
    #[display("answered with status {status}")]
    #[from(ignore)]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The source no longer knows what changed; the next call reads everything.
    #[display("the changes since the last call are no longer known")]
    HistoryLost,
    /// An answer that cannot be read.
    #[display("at {place}: {mistake}")]
    #[from(ignore)]
    Unreadable {
        /// Which part of the answer.
        place: String,
        /// What is wrong with it.
        mistake: String,
    },
}
