//! Members whose heartbeats this process still receives, compared to all members it knows.

use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::FleetBounds;
use crate::Member;
use crate::Members;
use crate::Phase;
use crate::members::known::KnownMember;

/// Candidates for a task, split by whether their heartbeats still arrive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VisibleMembers<'a> {
    /// Serving members whose heartbeats arrive directly or through gossip,
    /// and this process itself if it is a candidate. Unanswered calls are not considered.
    pub visible: Vec<&'a Member>,
    /// Number of all serving members, including silent ones that did not announce a shutdown.
    /// A silent member may be on the other side of a network partition
    /// and still serve callers there.
    /// While this process is not settled, at least the number of processes that may run.
    pub known_count: usize,
}

impl Members {
    /// Returns the visible members among the contacts of all data halls.
    pub fn visible_contacts(&self, bounds: FleetBounds, now: Timestamp) -> VisibleMembers<'_> {
        let timeout_factor = self.timeout_factor();
        let is_serving = |known: &KnownMember| known.member.phase == Phase::Serving;
        let visible = self
            .contacts_with_own(|known| is_serving(known) && known.is_visible(timeout_factor, now));
        let known_count = self.contacts_with_own(is_serving).len();
        let known_count = self.assumed_count(known_count, bounds.contacts_max(), now);
        VisibleMembers { visible, known_count }
    }

    /// Returns the visible members of one data hall.
    pub fn visible_in(
        &self,
        hall: &DataHallName,
        bounds: FleetBounds,
        now: Timestamp,
    ) -> VisibleMembers<'_> {
        let timeout_factor = self.timeout_factor();
        let own = (self.own.data_hall == *hall).then_some(&self.own);
        let serving = self.known.values().filter(|known| {
            known.member.phase == Phase::Serving && known.member.data_hall == *hall
        });
        let known_count = serving.clone().count() + usize::from(own.is_some());
        let visible = serving.filter(|known| known.is_visible(timeout_factor, now));
        VisibleMembers {
            visible: visible.map(|known| &known.member).chain(own).collect(),
            known_count: self.assumed_count(known_count, bounds.vms_max, now),
        }
    }
}
