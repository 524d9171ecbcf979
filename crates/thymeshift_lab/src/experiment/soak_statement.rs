//! Targets of a soak that say that they leave, or refuse and ask for a backoff.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::path::Path;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;
use crate::standin::Behaviour;
use crate::standin::Disregarded;
use crate::standin::Fault;

/// One seed in so many has such targets.
const SPEAKING_EVERY: u64 = 5;
const SPEAKING_REST: u64 = 2;
/// Targets that leave, and that refuse, and the seconds for which these ask.
const LEAVING: usize = 3;
const REFUSING: usize = 4;
const BACKOFF_S: std::ops::RangeInclusive<u64> = 1..=3;
/// Tells these draws from those of faults, which keep their order.
const SEED_OF_STATEMENTS: u64 = 0x7361_6964;

/// What a target says.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SoakStatement {
    pub(super) target: usize,
    behaviour: Behaviour,
}

/// The statements of a seed; none for most.
pub(super) fn draw_statements(seed: u64, targets: usize) -> Vec<SoakStatement> {
    if seed % SPEAKING_EVERY != SPEAKING_REST {
        return Vec::new();
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_OF_STATEMENTS);
    let statement = |index| {
        let behaviour = if index < LEAVING {
            Behaviour { is_draining: true, ..Behaviour::default() }
        } else {
            let backoff_s = Some(rng.random_range(BACKOFF_S));
            Behaviour { fault: Fault::Shedding, backoff_s, ..Behaviour::default() }
        };
        SoakStatement { target: rng.random_range(0..targets), behaviour }
    };
    (0..LEAVING + REFUSING).map(statement).collect()
}

/// The targets say so from now on.
pub(super) async fn apply_statements(
    fleet: &Fleet,
    statements: &[SoakStatement],
) -> Result<(), FleetError> {
    for statement in statements {
        fleet.targets[statement.target].set_behaviour(&statement.behaviour).await?;
    }
    Ok(())
}

/// They serve again; those that leave go on leaving.
pub(super) async fn end_refusals(
    fleet: &Fleet,
    statements: &[SoakStatement],
) -> Result<(), FleetError> {
    for SoakStatement { target, behaviour } in statements {
        let is_draining = behaviour.is_draining;
        let behaviour = Behaviour { is_draining, ..Behaviour::default() };
        fleet.targets[*target].set_behaviour(&behaviour).await?;
    }
    Ok(())
}

/// The worst of what reached the targets against what they had said. A process that stood still is
/// excused: the answers lay unread meanwhile.
pub(super) async fn disregarded(
    fleet: &Fleet,
    statements: &[SoakStatement],
    folder: &Path,
) -> Result<Disregarded, FleetError> {
    let paused = paused_processes(folder)?;
    let mut worst = Disregarded::default();
    for statement in statements {
        let by_process = fleet.targets[statement.target].disregarded().await?;
        let counted = by_process.iter().filter(|(process, _)| !paused.contains(*process));
        worst = counted.fold(worst, |worst, (_, disregarded)| worst.max(*disregarded));
    }
    Ok(worst)
}

/// Addresses of the processes whose logs tell that they stood still.
fn paused_processes(folder: &Path) -> io::Result<HashSet<String>> {
    let mut paused = HashSet::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let log = fs::read_to_string(&path)?;
        if log.contains("event=process_was_paused")
            && let Some(address) =
                log.split_whitespace().find_map(|pair| pair.strip_prefix("caller="))
        {
            paused.insert(address.to_owned());
        }
    }
    Ok(paused)
}
