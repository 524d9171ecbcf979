//! The contacts of each data hall: the part of the fleet that all processes know.

use std::collections::BTreeMap;

use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::Liveness;
use crate::Member;
use crate::Members;
use crate::members::known::Known;
use crate::rank::contact_score;

/// Members of one data hall that others know: enough for some of them to be dead, and all of a
/// small hall.
const CONTACTS_PER_HALL: usize = 8;
/// Contacts of a hall that are told of what concerns the whole hall, and pass it on there.
const HUBS_PER_HALL: usize = 2;

impl Members {
    /// Whether a member that is not known yet is to be kept. Of another data hall only the
    /// contacts are: one that ranks later is dropped for it. One that is gone stays known as
    /// such, or whoever has not noticed yet would bring it back.
    pub(super) fn makes_room(&mut self, member: &Member, now: Timestamp) -> bool {
        if member.data_hall == self.own.data_hall {
            return true;
        }
        let patience = self.patience();
        let is_rival = |known: &&Known| {
            known.member.data_hall == member.data_hall
                && known.liveness(patience, now) != Liveness::Gone
        };
        let rivals = self.known.values().filter(is_rival);
        if rivals.clone().count() < CONTACTS_PER_HALL {
            return true;
        }
        let last = rivals.max_by(|left, right| left.contact_score.total_cmp(&right.contact_score));
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

    /// The contacts of all halls that serve, this process included if it is one: the part of
    /// the fleet that all processes know.
    pub fn contacts(&self, now: Timestamp) -> Vec<&Member> {
        let patience = self.patience();
        self.contacts_of(|known| known.is_serving(patience, now))
    }

    /// The contacts of all halls among those that are `wanted`, this process included if it is
    /// one.
    pub(super) fn contacts_of(&self, is_wanted: impl Fn(&Known) -> bool) -> Vec<&Member> {
        let own = contact_score(self.own.candidate());
        let near = self.known.values().filter(|known| self.is_near(known) && is_wanted(known));
        let before = near.filter(|known| known.contact_score < own).count();
        let is_contact = before < CONTACTS_PER_HALL;
        let mut near = 0;
        let others = self.contacts_where(&is_wanted).into_iter().filter(|known| {
            near += usize::from(self.is_near(known));
            // The last one of a full hall makes room for this process.
            !is_contact || !self.is_near(known) || near < CONTACTS_PER_HALL
        });
        let others = others.map(|known| &known.member);
        others.chain(is_contact.then_some(&self.own)).collect()
    }

    /// The first of each hall among those that `is_wanted`, best first within a hall.
    pub(super) fn contacts_where(&self, is_wanted: impl Fn(&Known) -> bool) -> Vec<&Known> {
        let mut halls: BTreeMap<&DataHallName, Vec<&Known>> = BTreeMap::new();
        for known in self.known.values().filter(|known| is_wanted(known)) {
            halls.entry(&known.member.data_hall).or_default().push(known);
        }
        for hall in halls.values_mut() {
            hall.sort_by(|left, right| left.contact_score.total_cmp(&right.contact_score));
            hall.truncate(CONTACTS_PER_HALL);
        }
        halls.into_values().flatten().collect()
    }

    /// How many serving processes of the own data hall rank before this one as contacts.
    pub fn rank_in_hall(&self, now: Timestamp) -> usize {
        let patience = self.patience();
        let own = contact_score(self.own.candidate());
        let is_before = |known: &&Known| {
            self.is_near(known) && known.is_serving(patience, now) && known.contact_score < own
        };
        self.known.values().filter(is_before).count()
    }

    /// Whether other processes know this one as a contact of its data hall.
    pub fn is_contact(&self, now: Timestamp) -> bool {
        self.rank_in_hall(now) < CONTACTS_PER_HALL
    }

    /// Of each other data hall the contacts that pass on what concerns all there.
    pub fn hubs(&self, now: Timestamp) -> Vec<&Member> {
        let patience = self.patience();
        let contacts = self.contacts_where(|known| {
            !self.is_near(known) && known.liveness(patience, now) != Liveness::Gone
        });
        let mut told: BTreeMap<&DataHallName, usize> = BTreeMap::new();
        let contacts = contacts.into_iter().filter(|known| {
            let told = told.entry(&known.member.data_hall).or_default();
            // One that may be dead is told beside those that are surely there.
            *told += usize::from(known.is_serving(patience, now));
            *told <= HUBS_PER_HALL
        });
        contacts.map(|known| &known.member).collect()
    }
}
