//! What a dispatcher decides, and what it is told.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Reason;

use crate::Grant;
use crate::LoadReport;
use crate::Ticket;

/// What becomes of a request now.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Grant),
    /// Keep it until [`Dispatcher::next_wake`] names its ticket.
    Wait(Ticket),
    /// Answer the caller at once.
    Refuse(Refusal),
}

/// A refusal before any target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("refused: {reason}, come back after {retry_after:?}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// A waiting request whose time has come, or is over.
#[derive(Debug, PartialEq)]
pub enum Wake {
    /// Send it.
    Send(Ticket, Grant),
    /// Answer its caller at once.
    Refuse(Ticket, Refusal),
}

/// What an attempt showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// The target answered, and the answer is not the target's own failure.
    Answered(Option<LoadReport>),
    /// The target answered that it failed.
    Failed(Option<LoadReport>),
    /// The target shed the request.
    Shed(Option<LoadReport>),
    /// The target shed the request, and asked the process that sent it for a backoff.
    ShedWithBackoff(Option<LoadReport>),
    /// The connection broke, or what came on it is no answer.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
}

impl Observation {
    /// The report that came with the answer.
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
