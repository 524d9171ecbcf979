//! Compares dispatch strategies under faults of targets. Real processes serve the same arrivals
//! with each strategy, and each run gives one row of a table.

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

/// Number of targets of the service under test, as in the tariff example's calculator service.
const TARGETS: usize = 10;
/// Slots of each target.
const SLOTS: usize = 3;
/// Mean service time, in microseconds.
const SERVICE_US: u64 = 8_000;
/// One-way network delay between callers and entry processes, in microseconds.
const CALLER_ONE_WAY_US: u64 = 3_000;
/// One-way network delay between entry processes and targets, in microseconds.
const TARGET_ONE_WAY_US: u64 = 1_500;
/// Latency up to which an answer counts as in time, in milliseconds.
const IN_TIME_MS: u64 = 100;
/// Duration of the unmeasured load before each run.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Number of steps into which a run is divided for scenarios that change over time.
const SCENARIO_STEPS: u32 = 10;

/// Scenarios, loads, seeds and strategies to run in all combinations.
#[derive(Debug, Clone)]
pub struct ScenarioPlan {
    /// Number of entry processes.
    pub entries: usize,
    /// Measured duration of each run.
    pub duration: Duration,
    /// Seeds of the arrivals; each seed is a separate run.
    pub seeds: Vec<u64>,
    /// Scenarios to run.
    pub scenarios: Vec<Scenario>,
    /// Dispatch strategies to compare.
    pub strategies: Vec<StrategyName>,
    /// Offered loads, in percent of the capacity that remains under the scenario.
    pub loads_percent: Vec<u64>,
    /// Whether entry processes probe targets.
    pub has_probes: bool,
    /// Hedging delay: time after which a second attempt starts, in milliseconds; 0 disables
    /// hedging.
    pub hedge_after_ms: u64,
    /// Folder for logs and settings.
    pub folder: PathBuf,
}

/// Runs all combinations of the plan and calls `on_row` with each result as soon as it is measured.
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
    let mut under_test = FleetUnderTest { fleet: Fleet::start(fleet_plan).await?, revision: 1 };
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
                    on_row(&under_test.run(plan, run).await?);
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

struct FleetUnderTest {
    fleet: Fleet,
    revision: u64,
}

impl FleetUnderTest {
    async fn run(&mut self, plan: &ScenarioPlan, run: Run) -> Result<ScenarioRow, FleetError> {
        self.set_strategy(run.strategy).await?;
        self.set_behaviours(run.scenario, 0.0).await?;
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
        let result = tokio::join!(
            load::run(measured.clone()),
            self.update_during_run(run.scenario, plan.duration)
        );
        result.1?;
        let after = self.totals().await?;
        let kind = result.0.kinds.into_iter().next().unwrap_or_else(|| KindResult::new("none"));
        let failed = kind.failed as f64;
        let faulty_target_requests =
            (after.faulty_target_requests - before.faulty_target_requests) as f64 + failed;
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
            faulty_target_share: faulty_target_requests / (kind.sent as f64).max(1.0),
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

    async fn set_behaviours(&self, scenario: Scenario, share: f64) -> Result<(), FleetError> {
        for (index, target) in self.fleet.targets.iter().enumerate() {
            target.set_behaviour(&scenario.behaviour(index, share)).await?;
        }
        Ok(())
    }

    /// Adjusts the targets step by step while the load runs, if the scenario changes over time.
    async fn update_during_run(
        &self,
        scenario: Scenario,
        duration: Duration,
    ) -> Result<(), FleetError> {
        if !scenario.changes_during_run() {
            return Ok(());
        }
        for step in 1..SCENARIO_STEPS {
            tokio::time::sleep(duration / SCENARIO_STEPS).await;
            self.set_behaviours(scenario, f64::from(step) / f64::from(SCENARIO_STEPS)).await?;
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
        totals.faulty_target_requests = ledger.values().map(|entry| entry.begun).sum();
        Ok(totals)
    }
}

#[derive(Default)]
struct Totals {
    retries: u64,
    waited: u64,
    faulty_target_requests: u64,
}

fn revision(dump: &StateDump) -> u64 {
    dump.configuration.in_force.map_or(0, |head| head.revision.number())
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

/// Returns the tariff example's configuration reduced to its first service and kind, with all
/// targets in one data hall.
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
