//! Decisions of a dispatcher on requests, and the results of attempts that a dispatcher records.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Reason;

use crate::Grant;
use crate::LoadReport;
use crate::Ticket;

/// Decision on a request.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// Send the request to the target of the grant.
    Send(Grant),
    /// Hold the request until [`crate::Dispatcher::next_wake`] returns its ticket.
    Wait(Ticket),
    /// Refuse the request and answer its caller immediately.
    Refuse(Refusal),
}

/// Refusal of a request before a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("refused: {reason}; retry after {retry_after:?}")]
pub struct Refusal {
    /// Reason that the caller and the log line receive.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Decision on a waiting request that leaves the queue.
#[derive(Debug, PartialEq)]
pub enum Wake {
    /// Send the waiting request to the target of the grant.
    Send(Ticket, Grant),
    /// Refuse the waiting request and answer its caller immediately.
    Refuse(Ticket, Refusal),
}

/// Result of an attempt, as evidence of the state of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// The target answered, and the answer does not state a failure of the target itself.
    Answered(Option<LoadReport>),
    /// The target answered that it failed while it ran the request.
    Failed(Option<LoadReport>),
    /// The target shed the request without a backoff.
    Shed(Option<LoadReport>),
    /// The target shed the request and requested a backoff from the process that sent it.
    ShedWithBackoff(Option<LoadReport>),
    /// The connection broke, or the bytes received on it are not a valid answer.
    Broken,
    /// No answer arrived before the attempt timed out.
    TimedOut,
    /// No connection to the target could be opened.
    Unreachable,
}

impl Observation {
    /// Returns the load report that the answer carried, if any.
    pub fn report(&self) -> Option<LoadReport> {
        match *self {
            Self::Answered(report)
            | Self::Failed(report)
            | Self::Shed(report)
            | Self::ShedWithBackoff(report) => report,
            Self::Broken | Self::TimedOut | Self::Unreachable => None,
        }
    }
}
