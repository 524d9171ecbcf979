//! Faults that a soak injects, drawn from its seed.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::standin::Fault;
use crate::standin::PlatformMode;
use crate::standin::ProxyMode;

/// Upper bound of a fault's duration, in milliseconds.
const FAULT_DURATION_MS_MAX: u64 = 2_500;
/// Upper bound of the time between the starts of two faults, in milliseconds. It is shorter than
/// most faults, so that faults overlap.
const FAULT_INTERVAL_MS_MAX: u64 = 500;

/// Fault or planned operation that a soak injects.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
pub enum SoakFault {
    /// An entry process is paused by SIGSTOP and resumed later.
    #[display("entry {entry} paused for {duration:?}")]
    PauseEntry {
        /// Index among the running entry processes, oldest first.
        entry: usize,
        /// Time until the process is resumed.
        duration: Duration,
    },
    /// An entry process is killed and then replaced.
    #[display("entry {entry} killed")]
    KillEntry {
        /// Index among the running entry processes, oldest first.
        entry: usize,
    },
    /// A replacement is started and then an entry process is stopped by SIGTERM.
    #[display("entry {entry} told to stop")]
    StopEntry {
        /// Index among the running entry processes, oldest first.
        entry: usize,
    },
    /// An entry process reloads its settings on SIGHUP.
    #[display("entry {entry} reloads")]
    ReloadEntry {
        /// Index among the running entry processes, oldest first.
        entry: usize,
    },
    /// A target shows a fault in its answers or connections.
    #[display("target {target} {fault:?} for {duration:?}")]
    Target {
        /// Index of the target in the fleet.
        target: usize,
        /// Kind of fault.
        fault: Fault,
        /// Time until the target works normally again.
        duration: Duration,
    },
    /// A target is paused by SIGSTOP and resumed later.
    #[display("target {target} paused for {duration:?}")]
    PauseTarget {
        /// Index of the target in the fleet.
        target: usize,
        /// Time until the target is resumed.
        duration: Duration,
    },
    /// The platform shows a fault in its answers.
    #[display("platform {mode:?} for {duration:?}")]
    Platform {
        /// Fault mode of the platform.
        mode: PlatformMode,
        /// Time until the platform works normally again.
        duration: Duration,
    },
    /// The proxy between the entry processes and the platform disturbs their connections.
    #[display("link to the platform: {mode} for {duration:?}")]
    Link {
        /// Fault mode of the proxy.
        mode: ProxyMode,
        /// Time until the proxy forwards normally again.
        duration: Duration,
    },
    /// A new configuration revision is published.
    #[display("revision published")]
    Publish,
}

impl SoakFault {
    /// Returns whether the fault affects the target with this index.
    pub fn affects_target(&self, index: usize) -> bool {
        matches!(
            self,
            Self::Target { target, .. } | Self::PauseTarget { target, .. } if *target == index
        )
    }

    /// Returns whether this is a planned operation, which must not lose any answer.
    pub fn is_planned(&self) -> bool {
        matches!(self, Self::StopEntry { .. } | Self::ReloadEntry { .. } | Self::Publish)
    }
}

/// Fault with the time at which it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedFault {
    /// Time from the start of the load to the start of the fault.
    pub at: Duration,
    /// Fault or planned operation to inject.
    pub fault: SoakFault,
}

/// Draws faults for a load of the given duration, ordered by their start. If `is_planned_only`,
/// draws planned operations only.
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
        at += Duration::from_millis(rng.random_range(0..FAULT_INTERVAL_MS_MAX));
        if at >= duration {
            return faults;
        }
        let fault = if is_planned_only {
            draw_planned(rng, entries)
        } else {
            draw_any(rng, entries, targets)
        };
        faults.push(TimedFault { at, fault });
    }
}

fn draw_planned(rng: &mut SmallRng, entries: usize) -> SoakFault {
    let entry = rng.random_range(0..entries);
    match rng.random_range(0..3) {
        0 => SoakFault::StopEntry { entry },
        1 => SoakFault::ReloadEntry { entry },
        _ => SoakFault::Publish,
    }
}

fn draw_any(rng: &mut SmallRng, entries: usize, targets: usize) -> SoakFault {
    let (entry, target) = (rng.random_range(0..entries), rng.random_range(0..targets));
    let duration = Duration::from_millis(rng.random_range(50..FAULT_DURATION_MS_MAX));
    match rng.random_range(0..10) {
        0 => SoakFault::PauseEntry { entry, duration },
        1 => SoakFault::KillEntry { entry },
        2..=4 => SoakFault::Target { target, fault: draw_target_fault(rng), duration },
        5 => SoakFault::PauseTarget { target, duration },
        6 => SoakFault::Platform { mode: draw_platform_mode(rng), duration },
        7 => SoakFault::Link { mode: draw_link_mode(rng), duration },
        _ => draw_planned(rng, entries),
    }
}

fn draw_target_fault(rng: &mut SmallRng) -> Fault {
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

fn draw_platform_mode(rng: &mut SmallRng) -> PlatformMode {
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

fn draw_link_mode(rng: &mut SmallRng) -> ProxyMode {
    let modes = [
        ProxyMode::Delay(Duration::from_millis(rng.random_range(10..800))),
        ProxyMode::Reset,
        ProxyMode::Silent,
        ProxyMode::AnswersLost,
    ];
    modes.choose(rng).copied().unwrap_or_default()
}
