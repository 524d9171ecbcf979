//! What an allocator knows of the other groups of its service.
//!
//! Allocators tell each other now and then how many more requests their targets would take.
//! A group without room sends requests to one that has some, drawn by room, and counts down
//! what it was told, so that it does not send more than was offered before it hears anew.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use thymeshift_types::Timestamp;

use crate::Group;

/// Time after which what a group told is worth nothing.
const WORTH: Duration = Duration::from_millis(1_200);

#[derive(Debug, Clone, Copy)]
struct Told {
    room: u32,
    at: Timestamp,
}

/// The room that other groups told of.
#[derive(Debug, Clone, Default)]
pub struct GroupHeadroom {
    told: BTreeMap<Group, Told>,
}

impl GroupHeadroom {
    /// A group told its room.
    pub fn record(&mut self, group: Group, room: u32, now: Timestamp) {
        self.told.insert(group, Told { room, at: now });
    }

    /// Whether another group than `own` has room.
    pub fn is_available_outside(&self, own: &Group, now: Timestamp) -> bool {
        self.told
            .iter()
            .any(|(group, told)| group != own && told.room > 0 && now.since(told.at) < WORTH)
    }

    /// Takes a place in another group than `own`, drawn by room.
    pub fn reserve<R: Rng>(&mut self, own: &Group, now: Timestamp, rng: &mut R) -> Option<Group> {
        let is_usable = |group: &Group, told: &Told| group != own && now.since(told.at) < WORTH;
        let mut usable: Vec<(&Group, &mut Told)> = self
            .told
            .iter_mut()
            .filter(|(group, told)| told.room > 0 && is_usable(group, told))
            .collect();
        let total: u32 = usable.iter().map(|(_, told)| told.room).sum();
        if total == 0 {
            return None;
        }
        let mut left = rng.random_range(0..total);
        for (group, told) in &mut usable {
            if left < told.room {
                told.room -= 1;
                return Some((*group).clone());
            }
            left -= told.room;
        }
        None
    }
}
