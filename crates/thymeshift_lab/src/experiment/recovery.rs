//! Replacement of a fleet during a platform outage: under load, two thirds of the entry processes
//! are replaced one by one while the platform does not answer. One configuration revision is
//! published before the outage and one after it.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::experiment::children::Child;
use crate::experiment::demo::tariff_load;
use crate::experiment::demo::tariff_plan;
use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::dump;
use crate::experiment::violations::Violations;
use crate::experiment::violations::count_violations;
use crate::load;
use crate::load::EntryAddresses;
use crate::load::LoadPlan;
use crate::load::LoadResult;
use crate::standin::PlatformMode;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(20);
/// Delay after which the platform's balancer notices that an entry process is stopping.
const BALANCER_LAG: Duration = Duration::from_millis(150);
/// Maximum duration of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Maximum time to wait until a revision is in force in all entry processes.
const REVISION_LIMIT: Duration = Duration::from_secs(30);
/// Interval between two checks whether an entry process runs a revision.
const REVISION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Result of the replacement of a fleet during a platform outage.
pub struct RecoveryReport {
    before_silence: Duration,
    after_silence: Duration,
    replaced: usize,
    lowest_after_start: u64,
    platform_calls: u64,
    result: LoadResult,
    /// Broken promises, counted from the targets' ledgers.
    pub violations: Violations,
}

impl RecoveryReport {
    /// Returns whether every promise held, no answer was lost or broken, and each replacement was
    /// ready with revision 2 or later.
    pub fn is_clean(&self) -> bool {
        let lost: u64 = self.result.kinds.iter().map(|kind| kind.nothing + kind.broken).sum();
        self.violations.is_clean() && lost == 0 && self.lowest_after_start >= 2
    }
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |duration: Duration| duration.as_millis();
        writeln!(
            f,
            "revision 2, platform answering: in force everywhere after {} ms",
            ms(self.before_silence)
        )?;
        writeln!(
            f,
            "{} entry processes replaced one by one, platform silent; lowest revision of a ready process: {}",
            self.replaced, self.lowest_after_start
        )?;
        writeln!(
            f,
            "revision 3, published when the silence ended: in force everywhere after {} ms",
            ms(self.after_silence)
        )?;
        writeln!(f, "calls to the platform in the whole run: {}", self.platform_calls)?;
        write!(f, "{}{}", self.result, self.violations)
    }
}

/// Runs the experiment with `entries` entry processes; logs and settings go to `folder`.
pub async fn recovery(folder: PathBuf, entries: usize) -> Result<RecoveryReport, FleetError> {
    let plan = tariff_plan(folder, entries)?;
    let mut fleet = Fleet::start(plan).await?;
    let before_silence = publish(&mut fleet, 2).await?;
    fleet.set_platform_mode(PlatformMode::Silent).await?;
    let replaced = entries * 2 / 3;
    let balancer = EntryAddresses::new(fleet.caller_addresses()?);
    let load = LoadPlan {
        entries: balancer.clone(),
        kinds: tariff_load(0.5),
        duration: LOAD_DURATION,
        seed: 1,
        one_way_us: 3_000,
        warm_connections: 4,
    };
    let (result, replacing) =
        tokio::join!(load::run(load), replace(&mut fleet, &balancer, replaced));
    let lowest_after_start = replacing?;
    fleet.set_platform_mode(PlatformMode::Normal).await?;
    let after_silence = publish(&mut fleet, 3).await?;
    let mut ledgers = Vec::new();
    for target in &fleet.targets {
        ledgers.push(target.ledger().await?);
    }
    let violations = count_violations(&result, &ledgers, &["contract-switch"]);
    let platform_calls = fleet.platform_calls().await?;
    Ok(RecoveryReport {
        before_silence,
        after_silence,
        replaced,
        lowest_after_start,
        platform_calls,
        result,
        violations,
    })
}

/// Replaces the oldest entry processes one by one. Returns the lowest configuration revision that
/// a replacement had in force when it became ready.
async fn replace(
    fleet: &mut Fleet,
    balancer: &EntryAddresses,
    count: usize,
) -> Result<u64, FleetError> {
    let mut lowest = u64::MAX;
    for _ in 0..count {
        let replacement = fleet.start_entry().await?;
        lowest = lowest.min(revision(&replacement).await?);
        fleet.entries.push(replacement);
        let mut old = fleet.entries.remove(0);
        old.signal(Signal::TERM);
        // Until the balancer notices the stop, it still sends requests to the old process.
        sleep(BALANCER_LAG).await;
        balancer.set(fleet.caller_addresses()?);
        if timeout(STOP_LIMIT, old.wait()).await.is_err() {
            return Err(FleetError::NotReady);
        }
    }
    Ok(lowest)
}

async fn revision(entry: &Child) -> Result<u64, FleetError> {
    let head = dump(entry).await?.configuration.in_force;
    Ok(head.map_or(0, |head| head.revision.number()))
}

/// Publishes a small configuration change and returns the time until every entry process has the
/// change in force, or until [`REVISION_LIMIT`] has passed.
async fn publish(fleet: &mut Fleet, number: u64) -> Result<Duration, FleetError> {
    fleet.configuration.limits.body_bytes_max += 1;
    fleet.publish(number).await?;
    let start = Instant::now();
    for entry in &fleet.entries {
        while revision(entry).await? < number && start.elapsed() < REVISION_LIMIT {
            sleep(REVISION_CHECK_INTERVAL).await;
        }
    }
    Ok(start.elapsed())
}
