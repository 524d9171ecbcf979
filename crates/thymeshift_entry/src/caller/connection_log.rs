//! Log line at the end of a caller connection.

use std::net::SocketAddr;
use std::sync::Arc;

use metrics::counter;
use spdlog::debug;
use spdlog::info;
use thymeshift_telemetry::metric;

use crate::caller::connection::ShutdownStage;
use crate::caller::pipelining::PipelinedConnection;
use crate::shared::Shared;

/// Logs the end of one connection.
pub(crate) struct ConnectionLog {
    pub(crate) shared: Arc<Shared>,
    pub(crate) connection: Arc<PipelinedConnection>,
    pub(crate) caller: SocketAddr,
}

impl ConnectionLog {
    /// Logs why and in which stage of a planned stop the connection ends. `discarded_bytes` were read
    /// and not served. Bytes that were never served may be a request that the caller believes to be
    /// in progress.
    pub(crate) fn write_end(&self, cause: &str, stage: ShutdownStage, discarded_bytes: u64) {
        let caller = self.caller;
        let unread_bytes = discarded_bytes + self.connection.unread_bytes();
        let open_ms = self.connection.activity().open_time().as_millis() as u64;
        let answered = self.connection.activity().answered_count();
        if unread_bytes == 0 {
            debug!("caller_connection_closed", kv: {
                caller: = caller, cause, stage: ? = stage, answered, unread_bytes, open_ms
            });
            return;
        }
        counter!(metric::CALLER_CONNECTIONS_CLOSED_UNREAD).increment(1);
        if self.shared.allows_request_log_line() {
            info!("caller_connection_closed", kv: {
                caller: = caller, cause, stage: ? = stage, answered, unread_bytes, open_ms
            });
        }
    }
}
