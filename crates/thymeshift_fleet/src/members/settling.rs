//! When a process may assume that it knows the other processes of the fleet.
//!
//! A process that has just started knows nobody and ranks first for every task. After a loss of all
//! processes, this holds for all of them at the same time. Until it is settled, a process therefore
//! assumes that as many processes run as configuration and settings allow.

use std::time::Duration;

use thymeshift_types::Timestamp;

use crate::Members;
use crate::members::contacts::CONTACTS_PER_HALL;

/// Time after its start after which a process that peers have answered counts as settled.
/// Processes that start in one moment know each other after a fraction of this time.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after its start after which every process counts as settled, also if no peer has answered:
/// the only process of a fleet must not wait for others for longer.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(5);

/// Upper bounds of the number of processes that run at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetBounds {
    /// Maximum number of VMs with an entry process.
    pub vms_max: usize,
    /// Number of data halls with entry processes; `None` if unknown.
    pub halls: Option<usize>,
}

impl FleetBounds {
    /// Returns the maximum number of contacts of all data halls.
    pub(super) fn contacts_max(self) -> usize {
        self.halls.map_or(self.vms_max, |halls| self.vms_max.min(halls * CONTACTS_PER_HALL))
    }
}

impl Members {
    /// Returns whether this process knows the other processes as well as they know each other.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        let age = now.since(self.started_at);
        let has_asked_enough = !self.is_new() || self.hints.is_empty();
        self.has_settled_view || age >= SETTLE_TIME && has_asked_enough || age >= SETTLE_TIME_MAX
    }

    /// Records that a settled process has answered with the members that it knows.
    pub fn record_settled_view(&mut self) {
        self.changes += u64::from(!self.has_settled_view);
        self.has_settled_view = true;
    }

    /// Returns the number of processes to assume, of which `known_count` are known and at most
    /// `count_max` run.
    pub(super) fn assumed_count(
        &self,
        known_count: usize,
        count_max: usize,
        now: Timestamp,
    ) -> usize {
        if self.is_settled(now) { known_count } else { known_count.max(count_max) }
    }
}
