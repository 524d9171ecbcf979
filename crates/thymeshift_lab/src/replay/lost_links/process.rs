//! Simulated process: its links, its helpers and its open connections.

use std::collections::BTreeSet;

use thymeshift_links::Helpers;
use thymeshift_links::TargetLinks;
use thymeshift_types::NameError;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// Whether the cut of the day affects a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cut {
    NotAffected,
    /// The process is affected, but its links work at this time.
    Affected,
    /// The process's links to all targets are cut.
    Active,
}

pub(super) struct Process {
    pub(super) vm: VmName,
    pub(super) hall: usize,
    pub(super) links: TargetLinks,
    pub(super) helpers: Helpers,
    /// Targets with an idle open connection.
    pub(super) open: BTreeSet<usize>,
    pub(super) cut: Cut,
    pub(super) is_killed: bool,
    /// Whether a trial of the links is scheduled.
    pub(super) has_trial: bool,
    /// Time since which the readiness check fails.
    pub(super) unready_since: Option<Timestamp>,
    /// Number of relays that this process served for others.
    pub(super) relays: u64,
    /// Number of kills, by which relays that were in progress at a kill are known.
    pub(super) kills: u32,
}

impl Process {
    pub(super) fn new(number: usize, hall: usize) -> Result<Self, NameError> {
        Ok(Self {
            vm: VmName::new(&format!("vm-{number}"))?,
            hall,
            links: TargetLinks::default(),
            helpers: Helpers::default(),
            open: BTreeSet::new(),
            cut: Cut::NotAffected,
            is_killed: false,
            has_trial: false,
            unready_since: None,
            relays: 0,
            kills: 0,
        })
    }

    /// Returns whether the cut of the day affects this process.
    pub(super) fn is_in_cut(&self) -> bool {
        self.cut != Cut::NotAffected
    }

    /// Returns whether the process's links are cut now.
    pub(super) fn is_cut(&self) -> bool {
        self.cut == Cut::Active
    }
}
