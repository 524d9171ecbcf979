//! Statements of targets in a soak: some targets announce that they are leaving, others refuse
//! requests and ask for a backoff.

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
use crate::standin::Fault;
use crate::standin::StatementViolations;

/// Seeds whose remainder by this number is [`STATEMENT_SEED_REMAINDER`] have targets with
/// statements.
const STATEMENT_SEED_INTERVAL: u64 = 5;
const STATEMENT_SEED_REMAINDER: u64 = 2;
/// Number of targets that announce that they are leaving.
const LEAVING_TARGETS: usize = 3;
/// Number of targets that refuse requests and ask for a backoff.
const REFUSING_TARGETS: usize = 4;
/// Range of the backoffs that refusing targets ask for, in seconds.
const BACKOFF_S: std::ops::RangeInclusive<u64> = 1..=3;
/// Value combined with the soak's seed, so that drawing statements does not change the sequence of
/// drawn faults.
const STATEMENT_SEED: u64 = 0x7361_6964;

/// Target that announces that it is leaving, or refuses and asks for a backoff.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SoakStatement {
    pub(super) target: usize,
    behaviour: Behaviour,
}

/// Draws the statements of a seed; most seeds have none.
pub(super) fn draw_statements(seed: u64, targets: usize) -> Vec<SoakStatement> {
    if seed % STATEMENT_SEED_INTERVAL != STATEMENT_SEED_REMAINDER {
        return Vec::new();
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ STATEMENT_SEED);
    let statement = |index| {
        let behaviour = if index < LEAVING_TARGETS {
            Behaviour { is_draining: true, ..Behaviour::default() }
        } else {
            let backoff_s = Some(rng.random_range(BACKOFF_S));
            Behaviour { fault: Fault::Shedding, backoff_s, ..Behaviour::default() }
        };
        SoakStatement { target: rng.random_range(0..targets), behaviour }
    };
    (0..LEAVING_TARGETS + REFUSING_TARGETS).map(statement).collect()
}

/// Makes the targets behave according to their statements from now on.
pub(super) async fn apply_statements(
    fleet: &Fleet,
    statements: &[SoakStatement],
) -> Result<(), FleetError> {
    for statement in statements {
        fleet.targets[statement.target].set_behaviour(&statement.behaviour).await?;
    }
    Ok(())
}

/// Ends the refusals; targets that announced that they are leaving keep announcing it.
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

/// Returns the largest number of requests that one entry process sent to one target against the
/// target's statement. A process that was paused is not counted, because it could not read the
/// target's answers during the pause.
pub(super) async fn disregarded(
    fleet: &Fleet,
    statements: &[SoakStatement],
    folder: &Path,
) -> Result<StatementViolations, FleetError> {
    let paused = paused_processes(folder)?;
    let mut worst = StatementViolations::default();
    for statement in statements {
        let by_process = fleet.targets[statement.target].disregarded().await?;
        let counted = by_process.iter().filter(|(process, _)| !paused.contains(*process));
        worst = counted.fold(worst, |worst, (_, disregarded)| worst.max(*disregarded));
    }
    Ok(worst)
}

/// Returns the caller addresses of the entry processes whose logs report a pause.
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
