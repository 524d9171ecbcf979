//! Faults of a soak, drawn from its seed.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::standin::Fault;
use crate::standin::PlatformMode;
use crate::standin::ProxyMode;

/// Longest time for which a fault lasts.
const LASTS_MS_MAX: u64 = 2_500;
/// Time between the beginnings of two faults, at most; they overlap.
const GAP_MS_MAX: u64 = 500;

/// What is done to the processes of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
pub enum SoakFault {
    /// An entry process is stopped and goes on later.
    #[display("entry {entry} paused for {lasts:?}")]
    PauseEntry {
        /// Which, counted among those that run.
        entry: usize,
        /// For how long.
        lasts: Duration,
    },
    /// An entry process is killed, and another one started.
    #[display("entry {entry} killed")]
    KillEntry {
        /// Which.
        entry: usize,
    },
    /// An entry process is told to stop, and another one started before.
    #[display("entry {entry} told to stop")]
    StopEntry {
        /// Which.
        entry: usize,
    },
    /// An entry process is told to read its settings again.
    #[display("entry {entry} reloads")]
    ReloadEntry {
        /// Which.
        entry: usize,
    },
    /// A target misbehaves.
    #[display("target {target} {fault:?} for {lasts:?}")]
    Target {
        /// Which.
        target: usize,
        /// How.
        fault: Fault,
        /// For how long.
        lasts: Duration,
    },
    /// A target is stopped and goes on later.
    #[display("target {target} paused for {lasts:?}")]
    PauseTarget {
        /// Which.
        target: usize,
        /// For how long.
        lasts: Duration,
    },
    /// The platform misbehaves.
    #[display("platform {mode:?} for {lasts:?}")]
    Platform {
        /// How.
        mode: PlatformMode,
        /// For how long.
        lasts: Duration,
    },
    /// The link to the platform misbehaves.
    #[display("link to the platform: {mode} for {lasts:?}")]
    Link {
        /// How.
        mode: ProxyMode,
        /// For how long.
        lasts: Duration,
    },
    /// A revision is published.
    #[display("revision published")]
    Publish,
}

impl SoakFault {
    /// Whether it strikes a target.
    pub fn affects_target(&self, index: usize) -> bool {
        matches!(
            self,
            Self::Target { target, .. } | Self::PauseTarget { target, .. } if *target == index
        )
    }

    /// Whether it is planned work, which must cost no caller an answer.
    pub fn is_planned(&self) -> bool {
        matches!(self, Self::StopEntry { .. } | Self::ReloadEntry { .. } | Self::Publish)
    }
}

/// A fault with the moment at which it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedFault {
    /// Time since the begin of the load.
    pub at: Duration,
    /// What happens.
    pub fault: SoakFault,
}

/// Draws faults for a load of `duration`; if `is_planned_only`, planned work alone.
pub fn draw_faults(
    rng: &mut SmallRng,
    entries: usize,
    targets: usize,
    duration: Duration,
    is_planned_only: bool,
) -> Vec<TimedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(0..GAP_MS_MAX));
        if at >= duration {
            return faults;
        }
        let fault =
            if is_planned_only { planned(rng, entries) } else { any(rng, entries, targets) };
        faults.push(TimedFault { at, fault });
    }
}

fn planned(rng: &mut SmallRng, entries: usize) -> SoakFault {
    let entry = rng.random_range(0..entries);
    match rng.random_range(0..3) {
        0 => SoakFault::StopEntry { entry },
        1 => SoakFault::ReloadEntry { entry },
        _ => SoakFault::Publish,
    }
}

fn any(rng: &mut SmallRng, entries: usize, targets: usize) -> SoakFault {
    let (entry, target) = (rng.random_range(0..entries), rng.random_range(0..targets));
    let lasts = Duration::from_millis(rng.random_range(50..LASTS_MS_MAX));
    match rng.random_range(0..10) {
        0 => SoakFault::PauseEntry { entry, lasts },
        1 => SoakFault::KillEntry { entry },
        2..=4 => SoakFault::Target { target, fault: target_fault(rng), lasts },
        5 => SoakFault::PauseTarget { target, lasts },
        6 => SoakFault::Platform { mode: platform_mode(rng), lasts },
        7 => SoakFault::Link { mode: link_mode(rng), lasts },
        _ => planned(rng, entries),
    }
}

fn target_fault(rng: &mut SmallRng) -> Fault {
    let faults = [
        Fault::Shedding,
        Fault::Failing,
        Fault::Frozen,
        Fault::Cutting,
        Fault::Closing,
        Fault::Confusing,
    ];
    faults.choose(rng).copied().unwrap_or_default()
}

fn platform_mode(rng: &mut SmallRng) -> PlatformMode {
    let modes = [
        PlatformMode::Silent,
        PlatformMode::Slow(rng.random_range(10..1_500)),
        PlatformMode::Stale,
        PlatformMode::Backwards,
        PlatformMode::Rubbish,
        PlatformMode::Failing,
    ];
    modes.choose(rng).copied().unwrap_or_default()
}

fn link_mode(rng: &mut SmallRng) -> ProxyMode {
    let modes = [
        ProxyMode::Delay(Duration::from_millis(rng.random_range(10..800))),
        ProxyMode::Reset,
        ProxyMode::Silent,
        ProxyMode::AnswersLost,
    ];
    modes.choose(rng).copied().unwrap_or_default()
}
