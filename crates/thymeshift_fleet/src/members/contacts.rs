//! Contacts of each data hall, the part of the fleet that all processes know.

use std::collections::BTreeMap;

use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::Liveness;
use crate::Member;
use crate::Members;
use crate::members::known::KnownMember;
use crate::rank::contact_score;

/// Members of one data hall that processes of other halls know.
/// Eight cover a small hall completely, and leave live contacts when several are dead.
pub(super) const CONTACTS_PER_HALL: usize = 8;
/// Contacts of a hall that receive announcements for the whole hall and relay them to its members.
const HUBS_PER_HALL: usize = 2;

impl Members {
    /// Returns whether a member that is not known yet is to be kept, and drops a
    /// lower-ranked member for it if necessary. Only contacts are kept of other data halls.
    /// A gone contact stays known as gone and does not count towards the limit:
    /// gossip from a process that has not noticed its end would otherwise bring it back as alive.
    pub(super) fn ensure_capacity_for(&mut self, member: &Member, now: Timestamp) -> bool {
        if member.data_hall == self.own.data_hall {
            return true;
        }
        let timeout_factor = self.timeout_factor();
        let is_hall_contact = |known: &&KnownMember| {
            known.member.data_hall == member.data_hall
                && known.liveness(timeout_factor, now) != Liveness::Gone
        };
        let hall_contacts = self.known.values().filter(is_hall_contact);
        if hall_contacts.clone().count() < CONTACTS_PER_HALL {
            return true;
        }
        let last =
            hall_contacts.max_by(|left, right| left.contact_score.total_cmp(&right.contact_score));
        let Some(last) = last else {
            return true;
        };
        if last.contact_score <= contact_score(member.candidate()) {
            return false;
        }
        let vm = last.member.vm.clone();
        self.known.remove(&vm);
        true
    }

    /// Returns the serving contacts of all data halls, including this process if it is a
    /// contact itself. All processes know this part of the fleet.
    pub fn contacts(&self, now: Timestamp) -> Vec<&Member> {
        let timeout_factor = self.timeout_factor();
        self.contacts_with_own(|known| known.is_serving(timeout_factor, now))
    }

    /// Returns the contacts of all data halls among the members that satisfy `is_wanted`,
    /// including this process if it is a contact itself.
    pub(super) fn contacts_with_own(
        &self,
        is_wanted: impl Fn(&KnownMember) -> bool,
    ) -> Vec<&Member> {
        let own = contact_score(self.own.candidate());
        let in_own_hall =
            self.known.values().filter(|known| self.is_in_own_hall(known) && is_wanted(known));
        let better_count = in_own_hall.filter(|known| known.contact_score < own).count();
        let is_contact = better_count < CONTACTS_PER_HALL;
        let mut own_hall_count = 0;
        let others = self.contacts_among(&is_wanted).into_iter().filter(|known| {
            own_hall_count += usize::from(self.is_in_own_hall(known));
            // The lowest-ranked contact of a full hall is left out in favour of this process.
            !is_contact || !self.is_in_own_hall(known) || own_hall_count < CONTACTS_PER_HALL
        });
        let others = others.map(|known| &known.member);
        others.chain(is_contact.then_some(&self.own)).collect()
    }

    /// Returns the highest-ranked members of each data hall among those that satisfy
    /// `is_wanted`, best first within a hall.
    pub(super) fn contacts_among(
        &self,
        is_wanted: impl Fn(&KnownMember) -> bool,
    ) -> Vec<&KnownMember> {
        let mut halls: BTreeMap<&DataHallName, Vec<&KnownMember>> = BTreeMap::new();
        for known in self.known.values().filter(|known| is_wanted(known)) {
            halls.entry(&known.member.data_hall).or_default().push(known);
        }
        for hall in halls.values_mut() {
            hall.sort_by(|left, right| left.contact_score.total_cmp(&right.contact_score));
            hall.truncate(CONTACTS_PER_HALL);
        }
        halls.into_values().flatten().collect()
    }

    /// Returns how many serving processes of the own data hall rank before this one as contacts.
    pub fn rank_in_hall(&self, now: Timestamp) -> usize {
        let timeout_factor = self.timeout_factor();
        let own = contact_score(self.own.candidate());
        let ranks_better = |known: &&KnownMember| {
            self.is_in_own_hall(known)
                && known.is_serving(timeout_factor, now)
                && known.contact_score < own
        };
        self.known.values().filter(ranks_better).count()
    }

    /// Returns whether other processes know this one as a contact of its data hall.
    pub fn is_contact(&self, now: Timestamp) -> bool {
        self.rank_in_hall(now) < CONTACTS_PER_HALL
    }

    /// Returns the hubs of each other data hall: contacts that relay announcements
    /// to all members of their hall.
    pub fn hubs(&self, now: Timestamp) -> Vec<&Member> {
        let timeout_factor = self.timeout_factor();
        let contacts = self.contacts_among(|known| {
            !self.is_in_own_hall(known) && known.liveness(timeout_factor, now) != Liveness::Gone
        });
        let mut hub_count: BTreeMap<&DataHallName, usize> = BTreeMap::new();
        let contacts = contacts.into_iter().filter(|known| {
            let hub_count = hub_count.entry(&known.member.data_hall).or_default();
            // Suspect contacts are notified in addition and do not use up the limit of hubs.
            *hub_count += usize::from(known.is_serving(timeout_factor, now));
            *hub_count <= HUBS_PER_HALL
        });
        contacts.map(|known| &known.member).collect()
    }
}
