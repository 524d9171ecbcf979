//! Targets of a soak that say that they leave, or refuse and ask for a backoff.

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
pub(super) async fn begin_statements(
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

/// The worst of what reached the targets against what they had said.
pub(super) async fn disregarded(
    fleet: &Fleet,
    statements: &[SoakStatement],
) -> Result<Disregarded, FleetError> {
    let mut worst = Disregarded::default();
    for statement in statements {
        worst = worst.max(fleet.targets[statement.target].disregarded().await?);
    }
    Ok(worst)
}
