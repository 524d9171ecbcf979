//! What is wrong with the targets during a run.

use std::fmt;

use crate::standin::Behaviour;
use crate::standin::Fault;
use crate::standin::Reports;

/// What is wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    NoFault,
    /// Half of the targets are half as fast.
    TwoSpeeds,
    /// Each target stalls for 30 ms about every 400 ms.
    NoisyNeighbours,
    /// Reports are so many milliseconds old.
    Stale(u64),
    /// Noisy neighbours, and reports 100 ms old.
    NoisyAndStale,
    /// One target says that it is idle and is three times slower.
    MisreportingTarget,
    /// One target fails at once.
    FastFailer,
    /// One target gets slower and slower.
    GradualSlowdown,
    /// One target drains in the middle.
    Drain,
}

impl Scenario {
    /// All scenarios. The drain is last: leaving is sticky, so the target stays out.
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

    /// Behaviour of target number `index` at `share` of the run.
    pub(crate) fn behaviour(self, index: usize, share: f64) -> Behaviour {
        let good = Behaviour::default();
        let noisy = Behaviour { stall_every_ms: 400, stall_ms: 30, ..good.clone() };
        match self {
            Self::TwoSpeeds if index.is_multiple_of(2) => Behaviour { slowness: 2.0, ..good },
            Self::NoisyNeighbours => noisy,
            Self::Stale(stale_ms) => Behaviour { reports: Reports::Stale, stale_ms, ..good },
            Self::NoisyAndStale => Behaviour { reports: Reports::Stale, stale_ms: 100, ..noisy },
            Self::MisreportingTarget if index == 0 => {
                Behaviour { reports: Reports::Idle, slowness: 3.0, ..good }
            }
            Self::FastFailer if index == 0 => Behaviour { fault: Fault::Failing, ..good },
            Self::GradualSlowdown if index == 0 => {
                Behaviour { slowness: 1.0 + 9.0 * share, ..good }
            }
            Self::Drain if index == 0 => Behaviour { is_draining: share > 0.4, ..good },
            _ => good,
        }
    }

    /// Share of the full capacity that is left.
    pub(crate) fn capacity(self) -> f64 {
        match self {
            Self::TwoSpeeds => 0.75,
            Self::NoisyNeighbours | Self::NoisyAndStale => 1.0 - 30.0 / 430.0,
            Self::FastFailer | Self::Drain | Self::GradualSlowdown => 0.9,
            Self::MisreportingTarget => 0.9 + 0.1 / 3.0,
            Self::NoFault | Self::Stale(_) => 1.0,
        }
    }

    /// Whether it changes while the load runs.
    pub(crate) fn changes(self) -> bool {
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
