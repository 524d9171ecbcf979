//! How a service's targets are divided among allocators.
//!
//! One allocator for all targets of a service decides best, and costs the least while there
//! are few. With many targets it would have to hear of every request of the fleet, and most
//! requests would go to another data hall. So a service that has many targets in each hall
//! is divided by hall: each hall has an allocator of its own, and a request goes to another
//! hall only if the own one has no room. The rule depends on the discovered targets alone,
//! so that processes with the same documents divide alike; if they differ for a moment, two
//! allocators count the same target, which load reports bring to light.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_config::Target;
use thymeshift_config::TargetState;
use thymeshift_types::DataHallName;

/// Targets in each hall, in the mean, from which on a service is divided by hall.
const TARGETS_PER_HALL_MIN: usize = 8;

/// Targets of a service that one process allocates.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Group {
    /// All of them.
    #[display("all")]
    All,
    /// Those of one data hall.
    #[display("{_0}")]
    Hall(DataHallName),
}

impl Group {
    /// Whether it holds the targets of this data hall alone.
    pub fn is_of_hall(&self, hall: &DataHallName) -> bool {
        matches!(self, Self::Hall(own) if own == hall)
    }

    /// Whether a target belongs to it.
    pub fn contains(&self, target: &Target) -> bool {
        match self {
            Self::All => true,
            Self::Hall(hall) => target.data_hall == *hall,
        }
    }
}

/// The groups of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grouping {
    /// With the number of targets in each.
    groups: Vec<(Group, usize)>,
}

impl Grouping {
    /// How `targets`, all of one service, are divided. Those of drained data halls are in no
    /// group: their callers' requests go to the other halls.
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

    /// The group to which requests from `hall` go first. From a hall without targets they
    /// are spread over all groups by their sizes; `draw` decides.
    pub fn preferred_group(&self, hall: &DataHallName, draw: u64) -> &Group {
        let own = self.groups.iter().find(|(group, _)| group.is_of_hall(hall));
        let (group, _) = own.unwrap_or_else(|| self.drawn(draw));
        group
    }

    /// A group other than `group`, spread by their sizes; none if there is no other.
    pub fn alternative_group(&self, group: &Group, draw: u64) -> Option<&Group> {
        let others = self.groups.iter().filter(|(other, _)| other != group).cloned().collect();
        let others = Self { groups: others };
        if others.groups.is_empty() {
            return None;
        }
        let (drawn, _) = others.drawn(draw);
        self.iter().find(|group| *group == drawn)
    }

    fn drawn(&self, draw: u64) -> &(Group, usize) {
        let total: usize = self.groups.iter().map(|(_, count)| count).sum();
        let mut left = draw % (total.max(1) as u64);
        let is_drawn = |(_, count): &&(Group, usize)| {
            let is_here = left < *count as u64;
            left = left.saturating_sub(*count as u64);
            is_here
        };
        self.groups.iter().find(is_drawn).unwrap_or(&self.groups[0])
    }

    /// All groups.
    pub fn iter(&self) -> impl Iterator<Item = &Group> {
        self.groups.iter().map(|(group, _)| group)
    }

    /// Whether there is more than one group.
    pub fn is_divided(&self) -> bool {
        self.groups.len() > 1
    }
}
