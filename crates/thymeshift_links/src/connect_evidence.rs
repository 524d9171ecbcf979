//! Connections that targets did not open, grouped by what their failures prove.

use std::net::SocketAddr;
use std::time::Duration;

use thymeshift_types::Timestamp;

/// Number of targets that peers reach and this process does not, without a connection of its own to
/// any target in between, from which its links count as lost.
pub(crate) const CONTRADICTED_MIN: usize = 2;
/// Number of targets out of reach from which the links count as lost without a peer's evidence.
pub(crate) const MISSED_MIN: usize = 4;

/// How a connection failed to open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The connection was refused or reset, which a full link does not do.
    Refused,
    /// The connection was not open within its limit, or not when the peer's was. A full link
    /// delays connections, too.
    Slow,
}

/// Connection of this process that was not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedConnect {
    /// Address of the target.
    pub target: SocketAddr,
    /// Time at which the connection began.
    pub began_at: Timestamp,
    /// How the connection failed.
    pub failure: ConnectFailure,
}

/// Answer of a peer that connected to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAnswer {
    /// Time from the question to the peer until its answer.
    pub took: Duration,
    /// Time limit of the own connection.
    pub limit: Duration,
}

impl PeerAnswer {
    /// Returns whether the peer answered as fast as the own connection had to open. A full link
    /// delays the peer's answer as much as the connection.
    pub(crate) fn is_in_time(&self) -> bool {
        self.took <= self.limit
    }
}

/// Failed connections of one kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailedConnects {
    /// Time at which the first of the connections began.
    pub(crate) since: Option<Timestamp>,
    /// Targets out of reach, at most [`MISSED_MIN`].
    pub(crate) missed: Vec<SocketAddr>,
    /// Targets out of reach that a peer reached, at most [`CONTRADICTED_MIN`].
    pub(crate) contradicted: Vec<SocketAddr>,
    /// Whether a peer that was asked meanwhile answered late.
    pub(crate) has_late_peer: bool,
}

impl FailedConnects {
    pub(crate) fn add_missed(&mut self, connect: &FailedConnect) {
        self.since.get_or_insert(connect.began_at);
        add(&mut self.missed, connect.target, MISSED_MIN);
    }

    pub(crate) fn add_contradicted(&mut self, connect: &FailedConnect) {
        self.since.get_or_insert(connect.began_at);
        add(&mut self.contradicted, connect.target, CONTRADICTED_MIN);
    }

    pub(crate) fn clear(&mut self) {
        self.since = None;
        self.missed.clear();
        self.contradicted.clear();
        self.has_late_peer = false;
    }
}

/// Returns the number of distinct targets in two lists.
pub(crate) fn count_distinct(targets: &[SocketAddr], others: &[SocketAddr]) -> usize {
    targets.len() + others.iter().filter(|target| !targets.contains(target)).count()
}

/// Adds a target to a list of distinct targets with at most `max` entries.
fn add(targets: &mut Vec<SocketAddr>, target: SocketAddr, max: usize) {
    if targets.len() < max && !targets.contains(&target) {
        targets.push(target);
    }
}
