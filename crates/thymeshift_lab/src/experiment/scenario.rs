//! Scenarios: faults and load conditions of the targets during a run.

use std::fmt;

use crate::standin::Behaviour;
use crate::standin::Fault;
use crate::standin::ReportMode;

/// Fault or load condition of the targets during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// All targets work normally.
    NoFault,
    /// Every other target takes twice as long for each request.
    TwoSpeeds,
    /// Each target stalls for 30 ms about every 400 ms.
    NoisyNeighbours,
    /// Load reports of all targets are out of date by this many milliseconds.
    Stale(u64),
    /// Each target stalls for 30 ms about every 400 ms, and its load reports are 100 ms old.
    NoisyAndStale,
    /// One target always reports that it is idle, and takes three times as long for each request.
    MisreportingTarget,
    /// One target answers every request with an error immediately.
    FastFailer,
    /// One target slows down steadily over the run, towards ten times its normal service time.
    GradualSlowdown,
    /// One target announces after 40 % of the run that it is leaving.
    Drain,
}

impl Scenario {
    /// All scenarios in the order of a run. `Drain` is last, because a target that has announced
    /// that it is leaving gets no more requests in later scenarios.
    pub const ALL: [Self; 11] = [
        Self::NoFault,
        Self::TwoSpeeds,
        Self::NoisyNeighbours,
        Self::Stale(20),
        Self::Stale(100),
        Self::Stale(500),
        Self::NoisyAndStale,
        Self::MisreportingTarget,
        Self::FastFailer,
        Self::GradualSlowdown,
        Self::Drain,
    ];

    /// Returns the behaviour of the target with this index when the given share of the run, from 0
    /// to 1, has passed.
    pub(crate) fn behaviour(self, index: usize, share: f64) -> Behaviour {
        let good = Behaviour::default();
        let noisy = Behaviour { stall_every_ms: 400, stall_ms: 30, ..good.clone() };
        match self {
            Self::TwoSpeeds if index.is_multiple_of(2) => Behaviour { slowness: 2.0, ..good },
            Self::NoisyNeighbours => noisy,
            Self::Stale(stale_ms) => Behaviour { reports: ReportMode::Stale, stale_ms, ..good },
            Self::NoisyAndStale => Behaviour { reports: ReportMode::Stale, stale_ms: 100, ..noisy },
            Self::MisreportingTarget if index == 0 => {
                Behaviour { reports: ReportMode::Idle, slowness: 3.0, ..good }
            }
            Self::FastFailer if index == 0 => Behaviour { fault: Fault::Failing, ..good },
            Self::GradualSlowdown if index == 0 => {
                Behaviour { slowness: 1.0 + 9.0 * share, ..good }
            }
            Self::Drain if index == 0 => Behaviour { is_draining: share > 0.4, ..good },
            _ => good,
        }
    }

    /// Returns the share of the targets' full capacity that remains under this scenario.
    pub(crate) fn capacity(self) -> f64 {
        match self {
            Self::TwoSpeeds => 0.75,
            Self::NoisyNeighbours | Self::NoisyAndStale => 1.0 - 30.0 / 430.0,
            Self::FastFailer | Self::Drain | Self::GradualSlowdown => 0.9,
            Self::MisreportingTarget => 0.9 + 0.1 / 3.0,
            Self::NoFault | Self::Stale(_) => 1.0,
        }
    }

    /// Returns whether the behaviour of a target changes while the load runs.
    pub(crate) fn changes_during_run(self) -> bool {
        matches!(self, Self::GradualSlowdown | Self::Drain)
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFault => f.pad("even"),
            Self::TwoSpeeds => f.pad("two speeds"),
            Self::NoisyNeighbours => f.pad("noisy neighbours"),
            Self::Stale(ms) => f.pad(&format!("stale {ms} ms")),
            Self::NoisyAndStale => f.pad("noisy and stale"),
            Self::MisreportingTarget => f.pad("liar"),
            Self::FastFailer => f.pad("fast failer"),
            Self::GradualSlowdown => f.pad("slow death"),
            Self::Drain => f.pad("drain"),
        }
    }
}
