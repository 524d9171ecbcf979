//! Time limits of a caller's connection between requests: for a request head that has begun to arrive,
//! and for a connection that rests.

use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use thymeshift_config::Limits;

use crate::caller::pipelining::PipelinedConnection;
use crate::target_client::StallTimer;

/// Time limit that has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Expired {
    /// A request head has not arrived completely in time.
    Head,
    /// No request has come for the time for which a connection may rest.
    Idle,
}

/// Timers of a connection. Each runs only while its condition holds.
pub(crate) struct RestTimers {
    head: StallTimer,
    idle: StallTimer,
}

impl RestTimers {
    pub(crate) fn new(limits: &Limits) -> Self {
        Self {
            head: StallTimer::new(Duration::from_millis(limits.header_read_timeout_ms)),
            idle: StallTimer::new(Duration::from_millis(limits.idle_timeout_ms)),
        }
    }

    /// Ready once a limit has passed; must be polled each time after the connection was.
    pub(crate) fn poll_expired(
        &mut self,
        connection: &PipelinedConnection,
        context: &mut Context<'_>,
    ) -> Poll<Expired> {
        let activity = connection.activity();
        let is_http2 = activity.is_http2() && activity.has_received_request();
        if is_http2 || !activity.is_idle() {
            self.head.reset();
            self.idle.reset();
            return Poll::Pending;
        }
        if connection.has_partial_head() {
            self.idle.reset();
            return self.head.poll_stalled(context).map(|()| Expired::Head);
        }
        self.head.reset();
        self.idle.poll_stalled(context).map(|()| Expired::Idle)
    }

    /// Starts the time of rest anew, because the connection is in use after all.
    pub(crate) fn restart(&mut self) {
        self.head.reset();
        self.idle.reset();
    }
}
