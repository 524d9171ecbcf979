//! Recovery at scale: two thirds of the VMs replaced one by one under load while the platform
//! is silent, one revision published before and one after the silence.

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

/// Length of the load.
const LOAD: Duration = Duration::from_secs(20);
/// How late the platform's balancer notices that a process stops.
const BALANCER_LAG: Duration = Duration::from_millis(150);
/// Longest time for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Longest time for a revision.
const REVISION_LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// What the run showed.
pub struct RecoveryReport {
    before_silence: Duration,
    after_silence: Duration,
    replaced: usize,
    lowest_after_start: u64,
    platform_calls: u64,
    result: LoadResult,
    /// What the judge says.
    pub violations: Violations,
}

impl RecoveryReport {
    /// Whether nothing was lost.
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

/// Runs it with `entries` processes.
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
        duration: LOAD,
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

/// Replaces the oldest processes one by one. Returns the lowest revision that a new one had
/// in force when it was ready.
async fn replace(
    fleet: &mut Fleet,
    balancer: &EntryAddresses,
    count: usize,
) -> Result<u64, FleetError> {
    let mut lowest = u64::MAX;
    for _ in 0..count {
        let fresh = fleet.start_entry().await?;
        lowest = lowest.min(revision(&fresh).await?);
        fleet.entries.push(fresh);
        let mut old = fleet.entries.remove(0);
        old.signal(Signal::TERM);
        // The balancer notices late; until then the old process still gets requests.
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
    Ok(head.map_or(0, |head| head.revision.as_u64()))
}

/// Publishes a small change; returns the time until every process runs it.
async fn publish(fleet: &mut Fleet, number: u64) -> Result<Duration, FleetError> {
    fleet.configuration.limits.body_bytes_max += 1;
    fleet.publish(number).await?;
    let start = Instant::now();
    for entry in &fleet.entries {
        while revision(entry).await? < number && start.elapsed() < REVISION_LIMIT {
            sleep(LOOK).await;
        }
    }
    Ok(start.elapsed())
}
