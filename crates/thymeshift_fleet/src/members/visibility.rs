//! How much of the fleet a process still hears of.

use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::Member;
use crate::Members;
use crate::Phase;
use crate::members::known::Known;

/// The processes that may be given a task, as far as their heartbeats tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VisibleMembers<'a> {
    /// Those whose heartbeats arrive, directly or passed on by others, and this one if it may be
    /// given the task. Whether they answered this process the last time does not matter.
    pub visible: Vec<&'a Member>,
    /// How many there are with those that fell silent and did not say that they stop: they may
    /// still serve others, behind a cut.
    pub known_count: usize,
}

impl Members {
    /// The contacts of all data halls.
    pub fn visible_contacts(&self, now: Timestamp) -> VisibleMembers<'_> {
        let patience = self.patience();
        let is_serving = |known: &Known| known.member.phase == Phase::Serving;
        let visible = self.contacts_of(|known| is_serving(known) && known.is_heard(patience, now));
        VisibleMembers { visible, known_count: self.contacts_of(is_serving).len() }
    }

    /// The processes of one data hall.
    pub fn visible_in(&self, hall: &DataHallName, now: Timestamp) -> VisibleMembers<'_> {
        let patience = self.patience();
        let own = (self.own.data_hall == *hall).then_some(&self.own);
        let serving = self.known.values().filter(|known| {
            known.member.phase == Phase::Serving && known.member.data_hall == *hall
        });
        let known_count = serving.clone().count() + usize::from(own.is_some());
        let visible = serving.filter(|known| known.is_heard(patience, now));
        VisibleMembers {
            visible: visible.map(|known| &known.member).chain(own).collect(),
            known_count,
        }
    }
}
