//! A randomized soak: real processes under load while faults come in series and overlap.
//!
//! The seed decides the faults and the load. While it runs, each process's revision in force is
//! watched; afterwards what callers were told is compared with what targets ran, the faults
//! end, and a new revision must be in force everywhere and requests be answered again. Seeds
//! with planned work alone must cost no caller an answer.
//!
//! Only processes that the soak started are signalled.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use thymeshift_types::Revision;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::experiment::children::Child;
use crate::experiment::demo::tariff_load;
use crate::experiment::demo::tariff_plan;
use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::FleetPlan;
use crate::experiment::fleet::dump;
use crate::experiment::post_fault_load::PostFaultLoad;
use crate::experiment::pressure::ProcessorTime;
use crate::experiment::soak_fault::SoakFault;
use crate::experiment::soak_fault::TimedFault;
use crate::experiment::soak_fault::draw_faults;
use crate::experiment::soak_rate_limit::apply_rate_limits;
use crate::experiment::soak_rate_limit::draw_rate_limits;
use crate::experiment::soak_rate_limit::worst_window;
use crate::experiment::soak_statement::apply_statements;
use crate::experiment::soak_statement::disregarded;
use crate::experiment::soak_statement::draw_statements;
use crate::experiment::soak_statement::end_refusals;
use crate::experiment::violations::Violations;
use crate::experiment::violations::count_violations;
use crate::load;
use crate::load::EntryAddresses;
use crate::load::LoadPlan;
use crate::load::LoadResult;
use crate::standin::Behaviour;
use crate::standin::Disregarded;
use crate::standin::PlatformMode;
use crate::standin::Proxy;
use crate::standin::ProxyMode;

/// One seed in so many has planned work alone.
const GENTLE_EVERY: u64 = 3;
/// Share of the tariff example's load.
const LOAD_SHARE: f64 = 0.15;
/// Length of the load after all faults have ended.
const CLOSING_LOAD: Duration = Duration::from_secs(2);
/// Time within which the last revision must be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
/// How late the platform's balancer notices that a process stops.
const BALANCER_LAG: Duration = Duration::from_millis(150);
/// Longest time for the end of a process.
const END_LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at the revisions.
const LOOK: Duration = Duration::from_millis(100);
/// Requests of one process that may reach a target within a backoff that it had asked for.
const IN_BACKOFF_MAX: usize = 2;
/// Kinds that must not run twice.
const UNSAFE_KINDS: [&str; 1] = ["contract-switch"];

/// What to run.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Decides faults and load.
    pub seed: u64,
    /// Entry processes.
    pub entries: usize,
    /// Length of the load under faults.
    pub duration: Duration,
    /// Where logs and settings are written.
    pub folder: PathBuf,
}

/// What a seed showed.
pub struct SoakReport {
    seed: u64,
    faults: Vec<TimedFault>,
    result: LoadResult,
    /// What the judge says of the load under faults.
    pub violations: Violations,
    /// Revisions that went down within one process.
    pub reverted: u64,
    /// Most requests in four seconds at a target that names a limit, in parts of what is allowed.
    pub worst_window: f64,
    /// The worst of what reached targets against what they had said.
    pub disregarded: Disregarded,
    /// Answers that planned work alone cost.
    pub lost_by_planned_work: u64,
    /// Time until the last revision was in force everywhere; none if it was not in time.
    pub in_force_after: Option<Duration>,
    /// The load after the faults.
    closing: PostFaultLoad,
}

impl SoakReport {
    /// Whether every promise held.
    pub fn is_clean(&self) -> bool {
        self.violations.is_clean()
            && self.reverted == 0
            && self.worst_window <= 1.0
            && self.disregarded.after_leaving == 0
            && self.disregarded.in_backoff <= IN_BACKOFF_MAX
            && self.lost_by_planned_work == 0
            && self.in_force_after.is_some()
            && self.closing.is_served()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_clean() { "clean" } else { "RED" };
        let sent: u64 = self.result.kinds.iter().map(|kind| kind.sent).sum();
        let answered: u64 = self.result.kinds.iter().map(|kind| kind.answered).sum();
        write!(
            f,
            "seed {}: {verdict}; {} faults; {answered} of {sent} answered under them; {}; \
             reverted {}, at limits {:.2}, after leaving {}, in a backoff {}, lost by planned work {}, last revision after {:?}, answered afterwards \
             {:.3}, waited for a processor {:.2}",
            self.seed,
            self.faults.len(),
            self.violations,
            self.reverted,
            self.worst_window,
            self.disregarded.after_leaving,
            self.disregarded.in_backoff,
            self.lost_by_planned_work,
            self.in_force_after,
            self.closing.answered_share(),
            self.closing.pressure
        )?;
        if !self.is_clean() {
            write!(f, "\nafter the faults:\n{}faults:", self.closing.result)?;
            for TimedFault { at, fault } in &self.faults {
                write!(f, "\n  {:>5} ms {fault}", at.as_millis())?;
            }
        }
        Ok(())
    }
}

/// Runs one seed.
pub async fn soak(plan: SoakPlan) -> Result<SoakReport, FleetError> {
    let SoakPlan { seed, entries, duration, folder } = plan;
    let mut rng = SmallRng::seed_from_u64(seed);
    let is_planned_only = seed.is_multiple_of(GENTLE_EVERY);
    let logs = folder.clone();
    let fleet_plan = FleetPlan { seed, has_datagrams: true, ..tariff_plan(folder, entries)? };
    let mut fleet = Fleet::start(fleet_plan).await?;
    let proxy = Proxy::start(fleet.platform.address("data")?).await?;
    fleet.platform_address_override = Some(proxy.address);
    replace_all(&mut fleet).await?;
    let mut faults = draw_faults(&mut rng, entries, fleet.targets.len(), duration, is_planned_only);
    let statements = draw_statements(seed, fleet.targets.len());
    // A target that is stopped reads what arrived long before.
    faults.retain(|timed| !statements.iter().any(|said| timed.fault.affects_target(said.target)));
    apply_statements(&fleet, &statements).await?;
    let needs = draw_rate_limits(seed, fleet.targets.len());
    apply_rate_limits(&fleet, &needs).await?;
    let balancer = EntryAddresses::new(fleet.caller_addresses()?);
    let mut revision = 1;
    let watched = Arc::new(Watched::default());
    let (result, played) = tokio::join!(
        load::run(load_plan(&balancer, duration, rng.random())),
        play(&mut fleet, &proxy, &balancer, &faults, &mut revision, &watched)
    );
    played?;
    fleet.set_platform_mode(PlatformMode::Normal).await?;
    proxy.set_mode(ProxyMode::Pass);
    let disregarded = disregarded(&fleet, &statements, &logs).await?;
    end_refusals(&fleet, &statements).await?;
    let violations = count_violations(&result, &ledgers(&fleet).await?, &UNSAFE_KINDS);
    let in_force_after = publish_everywhere(&mut fleet, revision + 1, &watched).await?;
    let before = processor_time(&fleet)?;
    let result_after = load::run(load_plan(&balancer, CLOSING_LOAD, rng.random())).await;
    let pressure = processor_time(&fleet)?.pressure_since(before);
    let closing = PostFaultLoad::new(result_after, &fleet.configuration.kinds, pressure);
    let lost = result.kinds.iter().map(|kind| kind.nothing + kind.broken).sum();
    Ok(SoakReport {
        seed,
        violations,
        reverted: watched.reverted(),
        worst_window: worst_window(&fleet, &needs).await?,
        disregarded,
        lost_by_planned_work: if is_planned_only { lost } else { 0 },
        in_force_after,
        closing,
        faults,
        result,
    })
}

fn load_plan(balancer: &EntryAddresses, duration: Duration, seed: u64) -> LoadPlan {
    LoadPlan {
        entries: balancer.clone(),
        kinds: tariff_load(LOAD_SHARE),
        duration,
        seed,
        one_way_us: 500,
        warm_connections: 4,
    }
}

async fn ledgers(
    fleet: &Fleet,
) -> Result<Vec<BTreeMap<String, crate::standin::LedgerEntry>>, FleetError> {
    let mut ledgers = Vec::new();
    for target in &fleet.targets {
        ledgers.push(target.ledger().await?);
    }
    Ok(ledgers)
}

/// Processor time of entry processes and targets.
fn processor_time(fleet: &Fleet) -> Result<ProcessorTime, FleetError> {
    let targets = fleet.targets.iter().map(|target| &target.child);
    let processes = fleet.entries.iter().chain(targets).filter_map(Child::id);
    Ok(ProcessorTime::of(processes)?)
}

/// The first processes know the platform's own address; those that take their place meet the
/// proxy.
async fn replace_all(fleet: &mut Fleet) -> Result<(), FleetError> {
    for _ in 0..fleet.entries.len() {
        let fresh = fleet.start_entry().await?;
        fleet.entries.push(fresh);
        let old = fleet.entries.remove(0);
        old.signal(Signal::KILL);
    }
    Ok(())
}

/// The largest revision seen in force at each process, by its control address.
#[derive(Default)]
struct Watched {
    seen: Mutex<BTreeMap<String, Revision>>,
    reverted: Mutex<u64>,
}

impl Watched {
    /// Looks at one process. One that is paused or killed does not answer.
    async fn look(&self, entry: &Child) -> Option<Revision> {
        let key = entry.address("control").ok()?.to_string();
        let dumped = timeout(LOOK, dump(entry)).await.ok()?.ok()?;
        let revision = dumped.configuration.in_force?.revision;
        let mut seen = self.seen.lock();
        let largest = seen.entry(key).or_insert(revision);
        if revision < *largest {
            *self.reverted.lock() += 1;
        }
        *largest = revision.max(*largest);
        Some(revision)
    }

    fn reverted(&self) -> u64 {
        *self.reverted.lock()
    }
}

/// Plays the faults; each that lasts is ended before this returns.
async fn play(
    fleet: &mut Fleet,
    proxy: &Proxy,
    balancer: &EntryAddresses,
    faults: &[TimedFault],
    revision: &mut u64,
    watched: &Watched,
) -> Result<(), FleetError> {
    let start = tokio::time::Instant::now();
    let mut ends: Vec<(tokio::time::Instant, SoakFault)> = Vec::new();
    let mut due: Vec<TimedFault> = faults.to_vec();
    due.reverse();
    while !due.is_empty() || !ends.is_empty() {
        let begins = due.last().map(|timed| start + timed.at);
        ends.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let ending = ends.last().map(|(at, _)| *at);
        match (begins, ending) {
            (Some(begin), end) if end.is_none_or(|end| begin <= end) => {
                sleep_until(begin).await;
                let Some(TimedFault { fault, .. }) = due.pop() else { break };
                if let Some(lasts) = begin_fault(fleet, proxy, balancer, fault, revision).await? {
                    ends.push((tokio::time::Instant::now() + lasts, fault));
                }
            }
            (_, Some(end)) => {
                sleep_until(end).await;
                let Some((_, fault)) = ends.pop() else { break };
                end_fault(fleet, proxy, fault).await?;
            }
            (_, None) => break,
        }
        for entry in &fleet.entries {
            watched.look(entry).await;
        }
    }
    Ok(())
}

/// Begins a fault; returns how long it lasts, if it has to be ended.
async fn begin_fault(
    fleet: &mut Fleet,
    proxy: &Proxy,
    balancer: &EntryAddresses,
    fault: SoakFault,
    revision: &mut u64,
) -> Result<Option<Duration>, FleetError> {
    match fault {
        SoakFault::PauseEntry { entry, lasts } => {
            fleet.entries[entry].signal(Signal::STOP);
            Ok(Some(lasts))
        }
        SoakFault::KillEntry { entry } => {
            fleet.entries[entry].signal(Signal::KILL);
            let mut killed = fleet.entries.remove(entry);
            let _ = timeout(END_LIMIT, killed.wait()).await;
            balancer.set(fleet.caller_addresses()?);
            let fresh = fleet.start_entry().await?;
            fleet.entries.push(fresh);
            balancer.set(fleet.caller_addresses()?);
            Ok(None)
        }
        SoakFault::StopEntry { entry } => {
            let fresh = fleet.start_entry().await?;
            fleet.entries.push(fresh);
            let mut old = fleet.entries.remove(entry);
            // It may be paused, and would not hear of the other signal.
            old.signal(Signal::CONT);
            old.signal(Signal::TERM);
            sleep(BALANCER_LAG).await;
            balancer.set(fleet.caller_addresses()?);
            if timeout(END_LIMIT, old.wait()).await.is_err() {
                return Err(FleetError::NotReady);
            }
            Ok(None)
        }
        SoakFault::ReloadEntry { entry } => {
            fleet.entries[entry].signal(Signal::HUP);
            Ok(None)
        }
        SoakFault::Target { target, fault, lasts } => {
            let behaviour = Behaviour { fault, ..Behaviour::default() };
            fleet.targets[target].set_behaviour(&behaviour).await?;
            Ok(Some(lasts))
        }
        SoakFault::PauseTarget { target, lasts } => {
            // Ended here: while it is stopped its control port does not answer.
            fleet.targets[target].child.signal(Signal::STOP);
            sleep(lasts).await;
            fleet.targets[target].child.signal(Signal::CONT);
            Ok(None)
        }
        SoakFault::Platform { mode, lasts } => {
            fleet.set_platform_mode(mode).await?;
            Ok(Some(lasts))
        }
        SoakFault::Link { mode, lasts } => {
            proxy.set_mode(mode);
            Ok(Some(lasts))
        }
        SoakFault::Publish => {
            *revision += 1;
            fleet.configuration.limits.body_bytes_max += 1;
            fleet.publish(*revision).await?;
            Ok(None)
        }
    }
}

async fn end_fault(fleet: &Fleet, proxy: &Proxy, fault: SoakFault) -> Result<(), FleetError> {
    match fault {
        SoakFault::Target { target, .. } => {
            fleet.targets[target].set_behaviour(&Behaviour::default()).await
        }
        SoakFault::PauseEntry { .. } => {
            // Its place may have changed meanwhile; those that run are not disturbed.
            for entry in &fleet.entries {
                entry.signal(Signal::CONT);
            }
            Ok(())
        }
        SoakFault::Platform { .. } => fleet.set_platform_mode(PlatformMode::Normal).await,
        SoakFault::Link { .. } => {
            proxy.set_mode(ProxyMode::Pass);
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Publishes a revision; returns the time until every process runs it, if that was in time.
async fn publish_everywhere(
    fleet: &mut Fleet,
    number: u64,
    watched: &Watched,
) -> Result<Option<Duration>, FleetError> {
    fleet.configuration.limits.body_bytes_max += 1;
    fleet.publish(number).await?;
    let start = Instant::now();
    for entry in &fleet.entries {
        while watched.look(entry).await.is_none_or(|revision| revision.as_u64() < number) {
            if start.elapsed() > IN_FORCE_WITHIN {
                return Ok(None);
            }
            sleep(LOOK).await;
        }
    }
    Ok(Some(start.elapsed()))
}
