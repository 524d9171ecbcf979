//! Cost of the control plane at several fleet sizes, and the time until a configuration revision is
//! in force in every entry process. `docs/CAPACITY.md` extrapolates larger fleets from the slopes.

use std::fmt;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use thymeshift_config::Configuration;
use thymeshift_wire::StateDump;
use tokio::time::sleep;

use crate::experiment::demo::tariff_configuration;
use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::FleetPlan;
use crate::experiment::fleet::dump;
use crate::experiment::usage::usage;

/// Time after the start of the fleet until its idle cost is measured.
const SETTLE: Duration = Duration::from_secs(8);
/// Duration of the measurement of the idle cost.
const IDLE_MEASUREMENT: Duration = Duration::from_secs(10);
/// Number of configuration revisions published one after the other.
const REVISIONS: u64 = 5;
/// Interval between two checks whether all entry processes run a revision.
const REVISION_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to wait until a revision is in force in all entry processes.
const REVISION_LIMIT: Duration = Duration::from_secs(20);

/// Cost of the control plane with one number of entry processes.
pub struct ControlCost {
    entries: usize,
    core_percent: f64,
    memory_mib: f64,
    bytes_per_s: f64,
    platform_calls_per_min: f64,
    watchers: usize,
    in_force: Vec<Duration>,
    bytes_per_revision: f64,
}

impl ControlCost {
    /// Returns the column headings of the table.
    pub fn table_header() -> String {
        format!(
            "{:>8}{:>10}{:>10}{:>12}{:>14}{:>10}{:>14}{:>14}{:>16}",
            "entries",
            "core %",
            "MiB",
            "bytes/s",
            "calls/min",
            "watchers",
            "in force p50",
            "in force max",
            "bytes/revision"
        )
    }
}

impl fmt::Display for ControlCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |at: usize| self.in_force.get(at).map_or(0.0, |d| d.as_secs_f64() * 1_000.0);
        write!(
            f,
            "{:>8}{:>10.3}{:>10.1}{:>12.0}{:>14.1}{:>10}{:>11.0} ms{:>11.0} ms{:>16.0}",
            self.entries,
            self.core_percent,
            self.memory_mib,
            self.bytes_per_s,
            self.platform_calls_per_min,
            self.watchers,
            ms(self.in_force.len() / 2),
            ms(self.in_force.len().saturating_sub(1)),
            self.bytes_per_revision
        )
    }
}

struct Sample {
    processor: Duration,
    memory_kib: u64,
    bytes: u64,
    calls: u64,
    watchers: usize,
}

/// Size of the configuration that the entry processes run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSize {
    /// Services of the tariff example, without their targets.
    TariffExample,
    /// Planned deployment size: 100 services of 23 targets each.
    TargetSize,
}

/// Measures the cost with `entries` entry processes. The configured targets are not started,
/// because no request and no probe is sent to them.
pub async fn control_cost(
    folder: &Path,
    entries: usize,
    size: ConfigurationSize,
) -> Result<ControlCost, FleetError> {
    let configuration = match size {
        ConfigurationSize::TariffExample => without_targets(tariff_configuration()?),
        ConfigurationSize::TargetSize => target_size()?,
    };
    let plan = FleetPlan {
        configuration: without_targets(configuration.clone()),
        entries,
        service_us: std::collections::BTreeMap::new(),
        target_queue_max: 1,
        one_way_us: 0,
        seed: 1,
        folder: folder.to_path_buf(),
        worker_threads: 1,
        has_datagrams: false,
    };
    let mut fleet = Fleet::start(plan).await?;
    fleet.configuration = configuration;
    publish(&mut fleet, 2).await?;
    sleep(SETTLE).await;
    let before = sample(&fleet).await?;
    sleep(IDLE_MEASUREMENT).await;
    let after = sample(&fleet).await?;
    let mut in_force = Vec::new();
    for revision in 3..3 + REVISIONS {
        in_force.push(publish(&mut fleet, revision).await?);
        sleep(Duration::from_millis(500)).await;
    }
    in_force.sort();
    let last = sample(&fleet).await?;
    let each = entries as f64;
    let idle_s = IDLE_MEASUREMENT.as_secs_f64();
    let bytes_per_s = (after.bytes - before.bytes) as f64 / idle_s / each;
    let busy_s: f64 =
        in_force.iter().map(Duration::as_secs_f64).sum::<f64>() + 0.5 * REVISIONS as f64;
    let busy_bytes = (last.bytes - after.bytes) as f64 / each - bytes_per_s * busy_s;
    Ok(ControlCost {
        entries,
        core_percent: (after.processor.saturating_sub(before.processor)).as_secs_f64()
            / idle_s
            / each
            * 100.0,
        memory_mib: after.memory_kib as f64 / 1_024.0 / each,
        bytes_per_s,
        platform_calls_per_min: (after.calls - before.calls) as f64 / idle_s * 60.0,
        watchers: after.watchers,
        in_force,
        bytes_per_revision: busy_bytes / REVISIONS as f64,
    })
}

fn without_targets(mut configuration: Configuration) -> Configuration {
    for service in &mut configuration.services {
        service.targets.clear();
        service.probe = None;
        service.measuring_budget_us_per_s = 0;
    }
    configuration
}

/// Number of services of the planned deployment size.
const SERVICES: usize = 100;
/// Number of targets of each service of the planned deployment size.
const TARGETS: usize = 23;

/// Returns the configuration of the planned deployment size. Its targets have addresses at
/// which no process listens.
fn target_size() -> Result<Configuration, FleetError> {
    let mut text = String::from("entry_vms_max: 2400\ndata_halls: [a]\nservices:\n");
    let mut kinds = String::from("kinds:\n");
    // Writing to a string cannot fail.
    for service in 0..SERVICES {
        let _ = write!(
            text,
            "  - name: service-{service}\n    slots_per_target: 3\n    \
             connections_per_target: 2400\n    targets:\n"
        );
        for target in 0..TARGETS {
            let _ = writeln!(
                text,
                "      - {{ name: target-{target}, address: '10.{service}.0.{target}:80', \
                 data_hall: a }}"
            );
        }
        let _ = write!(
            kinds,
            "  - name: kind-{service}\n    match: {{ path_prefix: /{service} }}\n    \
             service: service-{service}\n    priority: 1\n    deadline_ms: 1000\n    \
             repeat: safe\n"
        );
    }
    text.push_str(&kinds);
    Ok(Configuration::parse(&text)?)
}

async fn dumps(fleet: &Fleet) -> Result<Vec<StateDump>, FleetError> {
    join_all(fleet.entries.iter().map(dump)).await.into_iter().collect()
}

async fn sample(fleet: &Fleet) -> Result<Sample, FleetError> {
    let mut sample = Sample {
        processor: Duration::ZERO,
        memory_kib: 0,
        bytes: 0,
        calls: fleet.platform_calls().await?,
        watchers: 0,
    };
    for dump in dumps(fleet).await? {
        sample.bytes += dump.peer_bytes_received + dump.peer_bytes_sent;
        sample.watchers += usize::from(dump.platform.is_watching);
    }
    for entry in &fleet.entries {
        let used = usage(entry.id().unwrap_or(0))?;
        sample.processor += used.processor;
        sample.memory_kib += used.memory_kib;
    }
    Ok(sample)
}

/// Publishes a small configuration change and returns the time until every entry process has the
/// change in force, at most [`REVISION_LIMIT`].
async fn publish(fleet: &mut Fleet, revision: u64) -> Result<Duration, FleetError> {
    fleet.configuration.limits.body_bytes_max += 1;
    fleet.publish(revision).await?;
    let start = Instant::now();
    while start.elapsed() < REVISION_LIMIT {
        let is_in_force = |dump: &StateDump| {
            dump.configuration.in_force.is_some_and(|head| head.revision.number() >= revision)
        };
        if dumps(fleet).await?.iter().all(is_in_force) {
            return Ok(start.elapsed());
        }
        sleep(REVISION_CHECK_INTERVAL).await;
    }
    Ok(REVISION_LIMIT)
}
