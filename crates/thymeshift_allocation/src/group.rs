//! Division of a service's targets into groups, each with its own allocator.
//!
//! A single allocator for all targets of a service makes the best decisions, and is the cheapest
//! option while there are few targets. With many targets, that allocator would handle a message for
//! every request of the fleet, and most requests would cross to another data hall. A service with
//! many targets in each hall is therefore divided by hall: each hall has its own allocator, and a
//! request leaves its hall only if the group of the hall has no headroom.
//!
//! The division depends only on the discovered targets, so that processes with the same documents
//! compute the same groups. While processes have different documents, two allocators may count the
//! same target; the load reports of the target then show the excess.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::Target;
use thymeshift_config::TargetState;
use thymeshift_types::DataHallName;

/// Minimum average number of targets per hall at which a service is divided by hall.
const TARGETS_PER_HALL_MIN: usize = 8;

/// Group of targets of one service that share an allocator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Group {
    /// All targets of the service.
    #[display("all")]
    All,
    /// All targets in one data hall.
    #[display("{_0}")]
    Hall(DataHallName),
}

impl Group {
    /// Whether this is the group of this data hall.
    pub fn is_of_hall(&self, hall: &DataHallName) -> bool {
        matches!(self, Self::Hall(own) if own == hall)
    }

    /// Whether a target belongs to the group.
    pub fn contains(&self, target: &Target) -> bool {
        match self {
            Self::All => true,
            Self::Hall(hall) => target.data_hall == *hall,
        }
    }
}

/// Division of one service's targets into groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grouping {
    /// Groups, each with its number of targets.
    groups: Vec<(Group, usize)>,
}

impl Grouping {
    /// Divides `targets`, which all belong to one service, into groups. Targets in drained data
    /// halls are in no group: requests from these halls are routed to the other halls.
    pub fn of(targets: &[Target], is_drained: impl Fn(&DataHallName) -> bool) -> Self {
        let mut halls: BTreeMap<&DataHallName, usize> = BTreeMap::new();
        let is_used = |target: &&Target| {
            target.state == TargetState::Serving && !is_drained(&target.data_hall)
        };
        for target in targets.iter().filter(is_used) {
            *halls.entry(&target.data_hall).or_default() += 1;
        }
        let count: usize = halls.values().sum();
        if halls.len() < 2 || count < TARGETS_PER_HALL_MIN * halls.len() {
            return Self { groups: vec![(Group::All, count)] };
        }
        let groups = halls.into_iter().map(|(hall, count)| (Group::Hall(hall.clone()), count));
        Self { groups: groups.collect() }
    }

    /// Returns the preferred group of requests from `hall`. If the hall has no group, returns a
    /// group picked by the random number `draw`, weighted by number of targets.
    pub fn preferred_group(&self, hall: &DataHallName, draw: u64) -> &Group {
        let own = self.groups.iter().find(|(group, _)| group.is_of_hall(hall));
        let (group, _) = own.unwrap_or_else(|| self.weighted_pick(draw));
        group
    }

    /// Returns a group other than `group`, picked by the random number `draw` and weighted by
    /// number of targets. Returns `None` if there is no other group.
    pub fn alternative_group(&self, group: &Group, draw: u64) -> Option<&Group> {
        let others = self.groups.iter().filter(|(other, _)| other != group).cloned().collect();
        let others = Self { groups: others };
        if others.groups.is_empty() {
            return None;
        }
        let (picked, _) = others.weighted_pick(draw);
        self.iter().find(|group| *group == picked)
    }

    fn weighted_pick(&self, draw: u64) -> &(Group, usize) {
        let total: usize = self.groups.iter().map(|(_, count)| count).sum();
        let mut remaining = draw % (total.max(1) as u64);
        let is_picked = |(_, count): &&(Group, usize)| {
            let is_in_group = remaining < *count as u64;
            remaining = remaining.saturating_sub(*count as u64);
            is_in_group
        };
        self.groups.iter().find(is_picked).unwrap_or(&self.groups[0])
    }

    /// Returns all groups of the service.
    pub fn iter(&self) -> impl Iterator<Item = &Group> {
        self.groups.iter().map(|(group, _)| group)
    }

    /// Whether the service has more than one group.
    pub fn is_divided(&self) -> bool {
        self.groups.len() > 1
    }
}
