//! Targets that have left the source's list, to recognise their entries in a restored copy.
//!
//! A copy of the source may still contain the entry of a target that has left since. The target
//! must not be used again: it may be gone, or be about to end. If the target does run, the entry
//! stays; otherwise the source removes the entry of the silent target after a while.
//! An entry that a copy brings back is therefore withheld for [`RESTORED_ENTRY_DOUBT`].

use std::collections::BTreeMap;
use std::time::Duration;

use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

/// Time for which a departed target is remembered; a copy of the source is only some seconds old.
const DEPARTED_TTL: Duration = Duration::from_mins(1);
/// Maximum number of remembered targets. Beyond it, further targets are not remembered.
const DEPARTED_MAX: usize = 65_536;
/// Time for which an entry that a copy brings back is withheld. A target writes its entry every
/// 1.5 s, and the source removes an entry after three such intervals without a write.
const RESTORED_ENTRY_DOUBT: Duration = Duration::from_secs(6);

/// Name and incarnation of a listed target.
pub type ListedTarget<'a> = (&'a TargetName, Incarnation);

/// Targets that have left the list, and those of them that a copy has brought back.
#[derive(Debug, Clone, Default)]
pub struct DepartedTargets {
    departed: BTreeMap<TargetName, Departed>,
    /// End of the doubt about each entry that a copy has brought back.
    withheld: BTreeMap<TargetName, Timestamp>,
}

#[derive(Debug, Clone)]
struct Departed {
    incarnation: Incarnation,
    at: Timestamp,
}

impl DepartedTargets {
    /// Records that `target` has left the list.
    pub fn record(&mut self, (name, incarnation): ListedTarget<'_>, now: Timestamp) {
        if self.departed.len() < DEPARTED_MAX {
            self.departed.insert(name.clone(), Departed { incarnation, at: now });
        }
    }

    /// Records a list of the same history. A target that is listed again has written its entry,
    /// unless a copy brought the entry back and it has been there ever since.
    pub fn record_listed<'a>(&mut self, listed: impl Iterator<Item = ListedTarget<'a>>) {
        if self.departed.is_empty() {
            return;
        }
        let mut still_withheld = BTreeMap::new();
        for (name, _) in listed {
            match self.withheld.remove_entry(name) {
                Some((name, until)) => {
                    still_withheld.insert(name, until);
                }
                None => {
                    self.departed.remove(name);
                }
            }
        }
        self.withheld = still_withheld;
    }

    /// Records the first list after the source was restored from a copy,
    /// and withholds the departed targets on it.
    pub fn record_restored<'a>(
        &mut self,
        listed: impl Iterator<Item = ListedTarget<'a>>,
        now: Timestamp,
    ) {
        self.departed.retain(|_, departed| now.since(departed.at) < DEPARTED_TTL);
        self.withheld.clear();
        for (name, incarnation) in listed {
            let departed = self.departed.get(name);
            if departed.is_some_and(|departed| incarnation <= departed.incarnation) {
                self.withheld.insert(name.clone(), now + RESTORED_ENTRY_DOUBT);
            }
        }
    }

    /// Returns whether any target may be withheld.
    pub fn withholds_any(&self) -> bool {
        !self.withheld.is_empty()
    }

    /// Returns whether `name` is listed only because a copy brought its entry back.
    pub fn is_withheld(&self, name: &TargetName, now: Timestamp) -> bool {
        self.withheld.get(name).is_some_and(|until| now < *until)
    }

    /// Ends the doubts whose time is over. A target that is still listed then is running.
    pub fn end_doubts(&mut self, now: Timestamp) {
        let departed = &mut self.departed;
        self.withheld.retain(|name, until| {
            let is_withheld = now < *until;
            if !is_withheld {
                departed.remove(name);
            }
            is_withheld
        });
    }
}
