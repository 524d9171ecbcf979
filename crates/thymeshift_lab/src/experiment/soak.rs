//! Randomized soak test: real processes under load while overlapping faults are injected.
//!
//! The seed determines the faults and the load. During the load, the soak checks that the
//! configuration revision in force in a process never goes back. Afterwards the faults end and the
//! results that callers received are compared with the requests that targets ran. A new revision
//! must then come into force in all processes, and requests must be answered again. In seeds with
//! planned operations only (stops, reloads, new revisions), no answer may be lost. In some seeds,
//! entry processes are cut off from all targets, during the faults and once more after them.
//!
//! The soak sends signals only to processes that it has started.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use thymeshift_config::Configuration;
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
use crate::experiment::soak_cut::CutResult;
use crate::experiment::soak_cut::CutSwitch;
use crate::experiment::soak_cut::draw_cut;
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
use crate::load::unix_ms;
use crate::standin::Behaviour;
use crate::standin::PlatformMode;
use crate::standin::Proxy;
use crate::standin::ProxyMode;
use crate::standin::StatementViolations;

/// Seeds that are multiples of this number inject planned operations only.
const PLANNED_ONLY_SEED_INTERVAL: u64 = 3;
/// Factor that scales the request rates of the tariff example.
const LOAD_FACTOR: f64 = 0.15;
/// Duration of the load after all faults have ended.
const POST_FAULT_LOAD_DURATION: Duration = Duration::from_secs(2);
/// Maximum time until the last revision must be in force in all entry processes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);
/// Delay after which the platform's balancer notices that an entry process is stopping.
const BALANCER_LAG: Duration = Duration::from_millis(150);
/// Maximum time until a stopped or killed process must have ended.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of the revisions in force, and timeout of one check.
const REVISION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Wait for a home target for each KiB of an answer, while the published configuration has local waits.
const HALL_CROSSING_US_PER_KIB: u64 = 10_000;
/// Maximum number of requests from one entry process that may reach a target during a backoff
/// that the target has asked for.
const IN_BACKOFF_MAX: usize = 2;
/// Names of the kinds whose requests must not run twice.
const UNSAFE_KINDS: [&str; 1] = ["contract-switch"];

/// Seed, size and duration of a soak.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Number of entry processes.
    pub entries: usize,
    /// Duration of the load under faults.
    pub duration: Duration,
    /// Folder for logs and settings.
    pub folder: PathBuf,
}

/// Result of a soak with one seed.
pub struct SoakReport {
    seed: u64,
    faults: Vec<TimedFault>,
    planned_stops: Vec<PlannedStop>,
    result: LoadResult,
    /// Promises broken by the load under faults.
    pub violations: Violations,
    /// Number of times that the revision in force in an entry process went back.
    pub reverted: u64,
    /// Largest number of requests at a rate-limited target within any four seconds, as a ratio of
    /// the number that its limit allows.
    pub worst_window: f64,
    /// Largest number of requests that one entry process sent to one target later than a drain time
    /// after the target's announcement of leaving, or during a backoff that the target asked for.
    pub disregarded: StatementViolations,
    /// Number of answers lost or broken in a seed with planned operations only; 0 in other seeds.
    pub lost_by_planned_work: u64,
    /// Time until the last revision was in force in all entry processes; none if the limit passed.
    pub in_force_after: Option<Duration>,
    /// Load after the end of all faults.
    post_fault_load: PostFaultLoad,
    /// Load while some entry processes are cut off from all targets; none in most seeds.
    cut: Option<CutResult>,
}

/// Times of a planned stop on the wall clock, which the entry process's log uses too.
#[derive(Debug, Clone, Copy)]
struct PlannedStop {
    /// Caller address of the stopped entry process.
    entry: SocketAddr,
    signalled_at: SystemTime,
    /// Time at which the balancer's list of addresses no longer had the entry process.
    removed_at: SystemTime,
    exited_at: SystemTime,
}

impl fmt::Display for PlannedStop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { entry, signalled_at, removed_at, exited_at } = *self;
        let since = |time: SystemTime| time.duration_since(signalled_at).unwrap_or_default();
        write!(
            f,
            "entry={entry} signalled_unix_ms={} removed_after_ms={} exited_after_ms={}",
            unix_ms(signalled_at),
            since(removed_at).as_millis(),
            since(exited_at).as_millis()
        )
    }
}

impl SoakReport {
    /// Returns whether every promise held.
    pub fn is_clean(&self) -> bool {
        self.violations.is_clean()
            && self.reverted == 0
            && self.worst_window <= 1.0
            && self.disregarded.after_leaving == 0
            && self.disregarded.in_backoff <= IN_BACKOFF_MAX
            && self.lost_by_planned_work == 0
            && self.in_force_after.is_some()
            && self.post_fault_load.is_served()
            && self.cut.as_ref().is_none_or(CutResult::is_served)
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
            self.post_fault_load.answered_share(),
            self.post_fault_load.pressure
        )?;
        if let Some(cut) = &self.cut {
            write!(f, ", {cut}")?;
        }
        if !self.is_clean() {
            write!(f, "\nunder the faults:")?;
            write_failed_calls(f, &self.result)?;
            write!(f, "\nafter the faults:\n{}", self.post_fault_load.result)?;
            write_failed_calls(f, &self.post_fault_load.result)?;
            write!(f, "\nfaults:")?;
            for TimedFault { at, fault } in &self.faults {
                write!(f, "\n  {:>5} ms {fault}", at.as_millis())?;
            }
            write!(f, "\nplanned stops:")?;
            for stop in &self.planned_stops {
                write!(f, "\n  {stop}")?;
            }
        }
        Ok(())
    }
}

/// Writes a line for each request without a complete answer.
fn write_failed_calls(f: &mut fmt::Formatter<'_>, result: &LoadResult) -> fmt::Result {
    for kind in &result.kinds {
        for call in &kind.failed_calls {
            write!(f, "\n  {} {call}", kind.name)?;
        }
    }
    Ok(())
}

/// Runs the soak with the seed of the plan.
pub async fn soak(plan: SoakPlan) -> Result<SoakReport, FleetError> {
    let SoakPlan { seed, entries, duration, folder } = plan;
    let mut rng = SmallRng::seed_from_u64(seed);
    let is_planned_only = seed.is_multiple_of(PLANNED_ONLY_SEED_INTERVAL);
    let logs = folder.clone();
    let fleet_plan = FleetPlan { seed, has_datagrams: true, ..tariff_plan(folder, entries)? };
    let mut fleet = Fleet::start(fleet_plan).await?;
    let proxy = Proxy::start(fleet.platform.address("data")?).await?;
    fleet.platform_address_override = Some(proxy.address);
    replace_all(&mut fleet).await?;
    let mut faults = draw_faults(&mut rng, entries, fleet.targets.len(), duration, is_planned_only);
    let statements = draw_statements(seed, fleet.targets.len());
    // Targets with statements get no faults: a paused target reads requests long after they
    // arrived, and would count them as sent after its statement.
    faults.retain(|timed| {
        !statements.iter().any(|statement| timed.fault.affects_target(statement.target))
    });
    apply_statements(&fleet, &statements).await?;
    let rate_limits = draw_rate_limits(seed, fleet.targets.len());
    apply_rate_limits(&fleet, &rate_limits).await?;
    let balancer = EntryAddresses::new(fleet.caller_addresses()?);
    let mut revision = 1;
    let revision_monitor = Arc::new(RevisionMonitor::default());
    let cut = draw_cut(seed, entries, duration);
    let cut_switch = CutSwitch::new(&fleet)?;
    let sources: Vec<_> =
        fleet.entries.iter().filter_map(|entry| fleet.source_address(entry)).collect();
    let (result, injected, was_cut) = tokio::join!(
        load::run(load_plan(&balancer, duration, rng.random())),
        inject_faults(&mut fleet, &proxy, &balancer, &faults, &mut revision, &revision_monitor),
        cut_switch.run(cut.as_ref(), &sources)
    );
    was_cut?;
    let planned_stops = injected?;
    fleet.set_platform_mode(PlatformMode::Normal).await?;
    proxy.set_mode(ProxyMode::Pass);
    let disregarded = disregarded(&fleet, &statements, &logs).await?;
    end_refusals(&fleet, &statements).await?;
    let violations = count_violations(&result, &ledgers(&fleet).await?, &UNSAFE_KINDS);
    let in_force_after = publish_everywhere(&mut fleet, revision + 1, &revision_monitor).await?;
    let before = processor_time(&fleet)?;
    let result_after =
        load::run(load_plan(&balancer, POST_FAULT_LOAD_DURATION, rng.random())).await;
    let pressure = processor_time(&fleet)?.pressure_since(before);
    let post_fault_load = PostFaultLoad::new(result_after, &fleet.configuration.kinds, pressure);
    let cut = match &cut {
        Some(cut) => Some(cut_switch.measure(&fleet, cut, LOAD_FACTOR, rng.random()).await?),
        None => None,
    };
    let lost_answers = result.kinds.iter().map(|kind| kind.nothing + kind.broken).sum();
    Ok(SoakReport {
        seed,
        violations,
        reverted: revision_monitor.reverted(),
        worst_window: worst_window(&fleet, &rate_limits).await?,
        disregarded,
        lost_by_planned_work: if is_planned_only { lost_answers } else { 0 },
        in_force_after,
        post_fault_load,
        cut,
        faults,
        planned_stops,
        result,
    })
}

fn load_plan(balancer: &EntryAddresses, duration: Duration, seed: u64) -> LoadPlan {
    LoadPlan {
        entries: balancer.clone(),
        kinds: tariff_load(LOAD_FACTOR),
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

/// Returns the processor time of the entry processes and targets together.
pub(super) fn processor_time(fleet: &Fleet) -> Result<ProcessorTime, FleetError> {
    let targets = fleet.targets.iter().map(|target| &target.child);
    let processes = fleet.entries.iter().chain(targets).filter_map(Child::id);
    Ok(ProcessorTime::of(processes)?)
}

/// Replaces all entry processes, because the first ones use the platform's own address. Their
/// replacements connect to the platform through the proxy.
async fn replace_all(fleet: &mut Fleet) -> Result<(), FleetError> {
    for _ in 0..fleet.entries.len() {
        let replacement = fleet.start_entry().await?;
        fleet.entries.push(replacement);
        let old = fleet.entries.remove(0);
        old.signal(Signal::KILL);
    }
    Ok(())
}

/// Highest revision seen in force in each entry process, by control address, and the number of
/// times that a revision went back.
#[derive(Default)]
struct RevisionMonitor {
    highest_revisions: Mutex<BTreeMap<String, Revision>>,
    reverted: Mutex<u64>,
}

impl RevisionMonitor {
    /// Records and returns the revision in force in an entry process; none if the process does not
    /// answer in time, because it is paused or killed.
    async fn check(&self, entry: &Child) -> Option<Revision> {
        let key = entry.address("control").ok()?.to_string();
        let dumped = timeout(REVISION_CHECK_INTERVAL, dump(entry)).await.ok()?.ok()?;
        let revision = dumped.configuration.in_force?.revision;
        let mut highest_revisions = self.highest_revisions.lock();
        let highest = highest_revisions.entry(key).or_insert(revision);
        if revision < *highest {
            *self.reverted.lock() += 1;
        }
        *highest = revision.max(*highest);
        Some(revision)
    }

    fn reverted(&self) -> u64 {
        *self.reverted.lock()
    }
}

/// Begins each fault at its time and ends the faults that have a duration. Returns when all faults
/// have ended, with the times of the planned stops.
async fn inject_faults(
    fleet: &mut Fleet,
    proxy: &Proxy,
    balancer: &EntryAddresses,
    faults: &[TimedFault],
    revision: &mut u64,
    revision_monitor: &RevisionMonitor,
) -> Result<Vec<PlannedStop>, FleetError> {
    let mut planned_stops = Vec::new();
    let start = tokio::time::Instant::now();
    let mut ends: Vec<(tokio::time::Instant, SoakFault)> = Vec::new();
    let mut pending: Vec<TimedFault> = faults.to_vec();
    pending.reverse();
    while !pending.is_empty() || !ends.is_empty() {
        let begins = pending.last().map(|timed| start + timed.at);
        ends.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let ending = ends.last().map(|(at, _)| *at);
        match (begins, ending) {
            (Some(begin), end) if end.is_none_or(|end| begin <= end) => {
                sleep_until(begin).await;
                let Some(TimedFault { fault, .. }) = pending.pop() else { break };
                if let Some(duration) =
                    begin_fault(fleet, proxy, balancer, fault, revision, &mut planned_stops).await?
                {
                    ends.push((tokio::time::Instant::now() + duration, fault));
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
            revision_monitor.check(entry).await;
        }
    }
    Ok(planned_stops)
}

/// Begins a fault. Returns its duration if [`end_fault`] has to end it.
async fn begin_fault(
    fleet: &mut Fleet,
    proxy: &Proxy,
    balancer: &EntryAddresses,
    fault: SoakFault,
    revision: &mut u64,
    planned_stops: &mut Vec<PlannedStop>,
) -> Result<Option<Duration>, FleetError> {
    match fault {
        SoakFault::PauseEntry { entry, duration } => {
            fleet.entries[entry].signal(Signal::STOP);
            Ok(Some(duration))
        }
        SoakFault::KillEntry { entry } => {
            fleet.entries[entry].signal(Signal::KILL);
            let mut killed = fleet.entries.remove(entry);
            let _ = timeout(EXIT_TIMEOUT, killed.wait()).await;
            balancer.set(fleet.caller_addresses()?);
            let replacement = fleet.start_entry().await?;
            fleet.entries.push(replacement);
            balancer.set(fleet.caller_addresses()?);
            Ok(None)
        }
        SoakFault::StopEntry { entry } => {
            let replacement = fleet.start_entry().await?;
            fleet.entries.push(replacement);
            let mut old = fleet.entries.remove(entry);
            // A paused process does not handle SIGTERM until SIGCONT resumes it.
            old.signal(Signal::CONT);
            let signalled_at = SystemTime::now();
            old.signal(Signal::TERM);
            sleep(BALANCER_LAG).await;
            balancer.set(fleet.caller_addresses()?);
            let removed_at = SystemTime::now();
            if timeout(EXIT_TIMEOUT, old.wait()).await.is_err() {
                return Err(FleetError::NotReady);
            }
            let entry = old.address("caller")?;
            let exited_at = SystemTime::now();
            planned_stops.push(PlannedStop { entry, signalled_at, removed_at, exited_at });
            Ok(None)
        }
        SoakFault::ReloadEntry { entry } => {
            fleet.entries[entry].signal(Signal::HUP);
            Ok(None)
        }
        SoakFault::Target { target, fault, duration } => {
            let behaviour = Behaviour { fault, ..Behaviour::default() };
            fleet.targets[target].set_behaviour(&behaviour).await?;
            Ok(Some(duration))
        }
        SoakFault::PauseTarget { target, duration } => {
            // The pause ends here and not in `end_fault`: the control port of a paused target does
            // not answer, which would block other faults of the same target.
            fleet.targets[target].child.signal(Signal::STOP);
            sleep(duration).await;
            fleet.targets[target].child.signal(Signal::CONT);
            Ok(None)
        }
        SoakFault::Platform { mode, duration } => {
            fleet.set_platform_mode(mode).await?;
            Ok(Some(duration))
        }
        SoakFault::Link { mode, duration } => {
            proxy.set_mode(mode);
            Ok(Some(duration))
        }
        SoakFault::Publish => {
            *revision += 1;
            fleet.configuration.limits.body_bytes_max += 1;
            switch_local_waits(&mut fleet.configuration);
            fleet.publish(*revision).await?;
            Ok(None)
        }
    }
}

/// Turns local waits and the reserves of the halls on or off, so that requests that wait for a home
/// target meet a change of the configuration.
fn switch_local_waits(configuration: &mut Configuration) {
    let is_on = configuration.hall_crossing_us_per_kib > 0;
    configuration.hall_crossing_us_per_kib = if is_on { 0 } else { HALL_CROSSING_US_PER_KIB };
}

async fn end_fault(fleet: &Fleet, proxy: &Proxy, fault: SoakFault) -> Result<(), FleetError> {
    match fault {
        SoakFault::Target { target, .. } => {
            fleet.targets[target].set_behaviour(&Behaviour::default()).await
        }
        SoakFault::PauseEntry { .. } => {
            // The index of the paused process may have changed in the meantime, so SIGCONT goes to
            // all entry processes. The signal has no effect on running ones.
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

/// Publishes a revision and returns the time until every entry process has it in force; none if
/// [`IN_FORCE_LIMIT`] passes before.
async fn publish_everywhere(
    fleet: &mut Fleet,
    number: u64,
    revision_monitor: &RevisionMonitor,
) -> Result<Option<Duration>, FleetError> {
    fleet.configuration.limits.body_bytes_max += 1;
    fleet.publish(number).await?;
    let start = Instant::now();
    for entry in &fleet.entries {
        while revision_monitor.check(entry).await.is_none_or(|revision| revision.number() < number)
        {
            if start.elapsed() > IN_FORCE_LIMIT {
                return Ok(None);
            }
            sleep(REVISION_CHECK_INTERVAL).await;
        }
    }
    Ok(Some(start.elapsed()))
}
