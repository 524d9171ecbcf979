//! Discovered targets in force, which may differ from the source's list for a while.
//!
//! * After an outage, the source may have lost entries of targets that still run.
//!   Targets that are missing are kept until they have had the time to write their entry again.
//! * A source that is restored from a copy may also list targets that have left. Those are withheld
//!   until the source has had the time to remove the entries of silent targets.

use thymeshift_config::DiscoveredTarget;
use thymeshift_config::Discovery;
use thymeshift_fleet::DepartedTargets;
use thymeshift_fleet::ListedTarget;
use thymeshift_types::Timestamp;

/// Discovered targets in force, and the list of the source that they are derived from.
#[derive(Default)]
pub(crate) struct DiscoveredTargets {
    in_force: Option<Discovery>,
    /// Latest list of the source; `None` if it is in force as it is.
    listed: Option<Discovery>,
    departed: DepartedTargets,
}

/// State of the source when it published a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceState {
    /// The source has answered for some time.
    Stable,
    /// The source has answered again only recently; it may have lost entries.
    Recovering,
    /// The list is the first one after the source was restored from a copy.
    Restored,
    /// The list is a later one after the source was restored recently.
    RecoveringFromCopy,
}

/// Difference between the source's list and the targets in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Difference {
    /// Targets in force that the list lacks.
    pub(crate) kept: usize,
    /// Targets of the list that are not in force.
    pub(crate) withheld: usize,
}

impl DiscoveredTargets {
    /// Returns the targets in force, if a list has been adopted.
    pub(crate) fn in_force(&self) -> Option<&Discovery> {
        self.in_force.as_ref()
    }

    /// Puts a list of the source in force, with the targets that are kept and withheld.
    pub(crate) fn adopt(
        &mut self,
        listed: Discovery,
        state: SourceState,
        now: Timestamp,
    ) -> Difference {
        let previous = self.in_force.take();
        match state {
            SourceState::Stable => self.record_departed(previous.as_ref(), &listed, now),
            SourceState::Restored => self.departed.record_restored(targets(&listed), now),
            SourceState::Recovering | SourceState::RecoveringFromCopy => {}
        }
        if state != SourceState::Restored {
            self.departed.record_listed(targets(&listed));
        }
        if state == SourceState::Stable && !self.departed.withholds_any() {
            self.listed = None;
            self.in_force = Some(listed);
            return Difference::default();
        }
        let accepted = self.without_withheld(&listed, now);
        let withheld = listed.targets.len() - accepted.targets.len();
        let (in_force, kept) = match (previous, state) {
            (Some(previous), SourceState::Recovering) => accepted.retaining_missing(&previous),
            (Some(previous), SourceState::Restored | SourceState::RecoveringFromCopy) => {
                accepted.retaining_drained_halls(&previous).retaining_missing(&previous)
            }
            (_, SourceState::Stable) | (None, _) => (accepted, 0),
        };
        self.listed = (in_force != listed).then_some(listed);
        self.in_force = Some(in_force);
        Difference { kept, withheld }
    }

    /// Drops the kept targets unless the source is still recovering, and puts the withheld targets
    /// in force whose doubt is over. Returns whether the targets in force have changed.
    pub(crate) fn settle(&mut self, is_recovering: bool, now: Timestamp) -> bool {
        if is_recovering {
            return false;
        }
        let Some(listed) = self.listed.take() else {
            return false;
        };
        self.departed.end_doubts(now);
        let previous = self.in_force.take();
        self.record_departed(previous.as_ref(), &listed, now);
        let accepted = self.without_withheld(&listed, now);
        let has_changed = previous.as_ref() != Some(&accepted);
        self.listed = (accepted != listed).then_some(listed);
        self.in_force = Some(accepted);
        has_changed
    }

    fn without_withheld(&self, listed: &Discovery, now: Timestamp) -> Discovery {
        let is_accepted =
            |found: &&DiscoveredTarget| !self.departed.is_withheld(&found.target.name, now);
        let targets = listed.targets.iter().filter(is_accepted).cloned().collect();
        Discovery { targets, ..listed.clone() }
    }

    fn record_departed(
        &mut self,
        previous: Option<&Discovery>,
        listed: &Discovery,
        now: Timestamp,
    ) {
        let Some(previous) = previous else {
            return;
        };
        let names = listed.names();
        for target in targets(previous).filter(|(name, _)| !names.contains(name.as_str())) {
            self.departed.record(target, now);
        }
    }
}

fn targets(discovery: &Discovery) -> impl Iterator<Item = ListedTarget<'_>> {
    discovery.targets.iter().map(|found| (&found.target.name, found.target.incarnation))
}
