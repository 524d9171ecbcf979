//! Demo of the tariff example: platform, targets, entry processes and load on one machine.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use http::Method;
use thymeshift_config::Configuration;

use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::FleetPlan;
use crate::experiment::violations::Violations;
use crate::experiment::violations::count_violations;
use crate::load;
use crate::load::EntryAddresses;
use crate::load::KindLoad;
use crate::load::LoadPlan;
use crate::load::LoadResult;
use crate::load::Series;

/// Quantiles of latency that the plot shows.
const QUANTILES: [f64; 11] = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.99, 0.999];

/// Result of a demo run.
pub struct DemoReport {
    /// Results of the load as callers saw them.
    pub result: LoadResult,
    /// Broken promises, counted from the targets' ledgers.
    pub violations: Violations,
}

/// Returns the configuration of the tariff example.
pub fn tariff_configuration() -> Result<Configuration, FleetError> {
    let text = include_str!("../../../../examples/tariff/configuration.yaml");
    Ok(Configuration::parse(text)?)
}

/// Returns the fleet plan of the tariff example, with one worker thread in each entry process.
pub fn tariff_plan(folder: PathBuf, entries: usize) -> Result<FleetPlan, FleetError> {
    Ok(FleetPlan {
        configuration: tariff_configuration()?,
        entries,
        service_us: tariff_service_us(),
        target_queue_max: 30,
        one_way_us: 1_500,
        seed: 1,
        folder,
        worker_threads: 1,
        has_datagrams: false,
    })
}

/// Returns the load of the tariff example with all rates multiplied by `factor`.
pub fn tariff_load(factor: f64) -> Vec<KindLoad> {
    let kind =
        |name: &str, method, path: &str, rate_per_s: f64, bytes, body, in_time_ms| KindLoad {
            name: name.to_owned(),
            method,
            path: path.to_owned(),
            rate_per_s: rate_per_s * factor,
            answer_bytes: bytes,
            request_bytes: body,
            in_time_ms,
        };
    vec![
        kind("tariff-lookup", Method::GET, "/tariffs/compare", 1_800.0, 600, 0, 100),
        kind("contract-switch", Method::POST, "/switches", 300.0, 120, 400, 1_000),
        kind("meter-history", Method::GET, "/meters/history", 500.0, 20_000, 0, 5_000),
        kind("price-sheet", Method::GET, "/price-sheets/installer", 200.0, 60_000, 0, 5_000),
    ]
}

/// Mean service time of each service of the tariff example, in microseconds, by service name.
fn tariff_service_us() -> BTreeMap<String, u64> {
    let times = [("calculator", 8_000), ("switching", 20_000), ("archive", 30_000)];
    times.into_iter().map(|(name, micros)| (name.to_owned(), micros)).collect()
}

/// Runs the demo and writes its logs, `demo.json` and `demo.svg` into `folder`.
pub async fn demo(
    folder: &Path,
    entries: usize,
    duration: Duration,
) -> Result<DemoReport, FleetError> {
    let plan = FleetPlan { worker_threads: 2, ..tariff_plan(PathBuf::from(folder), entries)? };
    let fleet = Fleet::start(plan).await?;
    let load = LoadPlan {
        entries: EntryAddresses::new(fleet.caller_addresses()?),
        kinds: tariff_load(1.0),
        duration,
        seed: 1,
        one_way_us: 3_000,
        warm_connections: 32,
    };
    let result = load::run(load).await;
    let mut ledgers = Vec::new();
    for target in &fleet.targets {
        ledgers.push(target.ledger().await?);
    }
    let violations = count_violations(&result, &ledgers, &["contract-switch"]);
    std::fs::write(folder.join("demo.json"), result.to_json().to_string())?;
    plot(&result, &folder.join("demo.svg"));
    Ok(DemoReport { result, violations })
}

fn plot(result: &LoadResult, path: &Path) {
    let line = |kind: &load::KindResult| {
        let at = |quantile: f64| (quantile * 100.0, kind.latency_us(quantile) as f64 / 1_000.0);
        Series { name: kind.name.clone(), points: QUANTILES.into_iter().map(at).collect() }
    };
    let lines: Vec<Series> = result.kinds.iter().map(line).collect();
    let drawn = load::draw(path, "Latency by quantile", "percentile", "milliseconds", &lines);
    if let Err(error) = drawn {
        eprintln!("{error}");
    }
}
