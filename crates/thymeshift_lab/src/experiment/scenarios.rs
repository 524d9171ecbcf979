//! Strategies under faults: the same arrivals, real processes, one row for each run.

use std::path::PathBuf;
use std::time::Duration;

use http::Method;
use thymeshift_config::Configuration;
use thymeshift_config::StrategyName;
use thymeshift_wire::StateDump;

use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::FleetPlan;
use crate::experiment::fleet::dump;
use crate::experiment::ideal::IdealQueue;
use crate::experiment::scenario::Scenario;
use crate::experiment::scenario_row::ScenarioRow;
use crate::load;
use crate::load::EntryAddresses;
use crate::load::KindLoad;
use crate::load::KindResult;
use crate::load::LoadPlan;

/// Targets of the service under test, as the tariff calculator has.
const TARGETS: usize = 10;
/// Slots of each.
const SLOTS: usize = 3;
/// Mean service time, in microseconds.
const SERVICE_US: u64 = 8_000;
/// One way between callers and entry processes, in microseconds.
const CALLER_ONE_WAY_US: u64 = 3_000;
/// One way between entry processes and targets, in microseconds.
const TARGET_ONE_WAY_US: u64 = 1_500;
/// An answer later than this is late, in milliseconds.
const IN_TIME_MS: u64 = 100;
/// Load before each run that is not counted.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Steps in which a scenario changes.
const CHANGES: u32 = 10;

/// What to run.
#[derive(Debug, Clone)]
pub struct ScenarioPlan {
    /// Entry processes.
    pub entries: usize,
    /// Length of each run.
    pub duration: Duration,
    /// Seeds; each is a run.
    pub seeds: Vec<u64>,
    /// Scenarios.
    pub scenarios: Vec<Scenario>,
    /// Strategies.
    pub strategies: Vec<StrategyName>,
    /// Loads, in percent of the capacity that is left.
    pub loads_percent: Vec<u64>,
    /// Whether targets are probed.
    pub has_probes: bool,
    /// Time after which a second attempt is started, in milliseconds; 0 never does.
    pub hedge_after_ms: u64,
    /// Where logs go.
    pub folder: PathBuf,
}

/// Runs the plan; `on_row` hears each row as it is measured.
pub async fn scenarios(
    plan: &ScenarioPlan,
    mut on_row: impl FnMut(&ScenarioRow),
) -> Result<(), FleetError> {
    let fleet_plan = FleetPlan {
        configuration: configuration(plan)?,
        entries: plan.entries,
        service_us: [("calculator".to_owned(), SERVICE_US)].into(),
        target_queue_max: 30,
        one_way_us: TARGET_ONE_WAY_US,
        seed: 1,
        folder: plan.folder.clone(),
        worker_threads: 1,
        has_datagrams: false,
    };
    let mut lab = Lab { fleet: Fleet::start(fleet_plan).await?, revision: 1 };
    for scenario in &plan.scenarios {
        for load_percent in &plan.loads_percent {
            for seed in &plan.seeds {
                for strategy in &plan.strategies {
                    let run = Run {
                        scenario: *scenario,
                        load_percent: *load_percent,
                        seed: *seed,
                        strategy: *strategy,
                    };
                    on_row(&lab.run(plan, run).await?);
                }
            }
        }
    }
    Ok(())
}

#[derive(Clone, Copy)]
struct Run {
    scenario: Scenario,
    load_percent: u64,
    seed: u64,
    strategy: StrategyName,
}

struct Lab {
    fleet: Fleet,
    revision: u64,
}

impl Lab {
    async fn run(&mut self, plan: &ScenarioPlan, run: Run) -> Result<ScenarioRow, FleetError> {
        self.set_strategy(run.strategy).await?;
        self.behave(run.scenario, 0.0).await?;
        let capacity = (TARGETS * SLOTS) as f64 / (SERVICE_US as f64 / 1_000_000.0);
        let rate = capacity * run.scenario.capacity() * run.load_percent as f64 / 100.0;
        let load = |duration, seed| -> Result<LoadPlan, FleetError> {
            Ok(LoadPlan {
                entries: EntryAddresses::new(self.fleet.caller_addresses()?),
                kinds: vec![lookup(rate)],
                duration,
                seed,
                one_way_us: CALLER_ONE_WAY_US,
                warm_connections: 16,
            })
        };
        load::run(load(WARM_UP, run.seed + 1_000)?).await;
        let measured = load(plan.duration, run.seed)?;
        let before = self.totals().await?;
        let result =
            tokio::join!(load::run(measured.clone()), self.change(run.scenario, plan.duration));
        result.1?;
        let after = self.totals().await?;
        let kind = result.0.kinds.into_iter().next().unwrap_or_else(|| KindResult::new("none"));
        let failed = kind.failed as f64;
        let odd = (after.odd - before.odd) as f64 + failed;
        let ideal = IdealQueue {
            slots: ((TARGETS * SLOTS) as f64 * run.scenario.capacity()).round() as usize,
            service_us: SERVICE_US,
            round_trip_us: 2 * (CALLER_ONE_WAY_US + TARGET_ONE_WAY_US),
        };
        Ok(ScenarioRow {
            scenario: run.scenario,
            load_percent: run.load_percent,
            strategy: run.strategy,
            seed: run.seed,
            ideal_p99_us: ideal.latency_us(&measured, 0.99),
            faulty_target_share: odd / (kind.sent as f64).max(1.0),
            retries: after.retries - before.retries,
            waited: after.waited - before.waited,
            kind,
        })
    }

    /// Publishes the strategy and waits until every process runs that revision.
    async fn set_strategy(&mut self, strategy: StrategyName) -> Result<(), FleetError> {
        for service in &mut self.fleet.configuration.services {
            service.strategy = strategy;
        }
        self.revision += 1;
        self.fleet.publish(self.revision).await?;
        for entry in &self.fleet.entries {
            while revision(&dump(entry).await?) < self.revision {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    async fn behave(&self, scenario: Scenario, share: f64) -> Result<(), FleetError> {
        for (index, target) in self.fleet.targets.iter().enumerate() {
            target.set_behaviour(&scenario.behaviour(index, share)).await?;
        }
        Ok(())
    }

    /// What changes while the load runs.
    async fn change(&self, scenario: Scenario, duration: Duration) -> Result<(), FleetError> {
        if !scenario.changes() {
            return Ok(());
        }
        for step in 1..CHANGES {
            tokio::time::sleep(duration / CHANGES).await;
            self.behave(scenario, f64::from(step) / f64::from(CHANGES)).await?;
        }
        Ok(())
    }

    async fn totals(&self) -> Result<Totals, FleetError> {
        let mut totals = Totals::default();
        for entry in &self.fleet.entries {
            for kind in dump(entry).await?.kinds {
                totals.retries += kind.retries;
                totals.waited += kind.waited;
            }
        }
        let ledger = self.fleet.targets[0].ledger().await?;
        totals.odd = ledger.values().map(|entry| entry.begun).sum();
        Ok(totals)
    }
}

#[derive(Default)]
struct Totals {
    retries: u64,
    waited: u64,
    odd: u64,
}

fn revision(dump: &StateDump) -> u64 {
    dump.configuration.in_force.map_or(0, |head| head.revision.as_u64())
}

fn lookup(rate_per_s: f64) -> KindLoad {
    KindLoad {
        name: "tariff-lookup".to_owned(),
        method: Method::GET,
        path: "/tariffs/compare".to_owned(),
        rate_per_s,
        answer_bytes: 600,
        request_bytes: 0,
        in_time_ms: IN_TIME_MS,
    }
}

/// The calculator alone, in one data hall.
fn configuration(plan: &ScenarioPlan) -> Result<Configuration, FleetError> {
    let mut configuration = crate::experiment::demo::tariff_configuration()?;
    configuration.services.truncate(1);
    configuration.kinds.truncate(1);
    configuration.data_halls.truncate(1);
    for kind in &mut configuration.kinds {
        kind.hedge_after_ms = plan.hedge_after_ms;
    }
    for service in &mut configuration.services {
        if !plan.has_probes {
            service.measuring_budget_us_per_s = 0;
            service.probe = None;
        }
        for target in &mut service.targets {
            target.data_hall = configuration.data_halls[0].clone();
        }
    }
    Ok(configuration)
}
