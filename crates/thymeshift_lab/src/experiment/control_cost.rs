//! What the control plane costs at several sizes of the fleet, and how fast a revision is in
//! force everywhere. The slopes are what `docs/CAPACITY.md` is worked out from.

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

/// Time until the fleet has settled.
const SETTLE: Duration = Duration::from_secs(8);
/// Time over which the idle cost is measured.
const IDLE: Duration = Duration::from_secs(10);
/// Revisions published in turn.
const REVISIONS: u64 = 5;
/// Time between two looks at who runs a revision.
const LOOK: Duration = Duration::from_millis(20);
/// Longest time for a revision.
const REVISION_LIMIT: Duration = Duration::from_secs(20);

/// Cost at one size.
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
    /// Head of the table.
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

/// How large the configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSize {
    /// The tariff example's services, without targets.
    TariffExample,
    /// 100 services of 23 targets each.
    TargetSize,
}

/// Measures one size. Targets are listed and not run: nothing calls them.
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
    sleep(IDLE).await;
    let after = sample(&fleet).await?;
    let mut in_force = Vec::new();
    for revision in 3..3 + REVISIONS {
        in_force.push(publish(&mut fleet, revision).await?);
        sleep(Duration::from_millis(500)).await;
    }
    in_force.sort();
    let last = sample(&fleet).await?;
    let each = entries as f64;
    let idle_s = IDLE.as_secs_f64();
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

/// Services of the target size.
const SERVICES: usize = 100;
/// Targets of each.
const TARGETS: usize = 23;

/// The configuration of the target size; its targets are listed and not run.
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

/// Publishes a small change; returns the time until every process runs it.
async fn publish(fleet: &mut Fleet, revision: u64) -> Result<Duration, FleetError> {
    fleet.configuration.limits.body_bytes_max += 1;
    fleet.publish(revision).await?;
    let start = Instant::now();
    while start.elapsed() < REVISION_LIMIT {
        let is_there = |dump: &StateDump| {
            dump.configuration.in_force.is_some_and(|head| head.revision.as_u64() >= revision)
        };
        if dumps(fleet).await?.iter().all(is_there) {
            return Ok(start.elapsed());
        }
        sleep(LOOK).await;
    }
    Ok(REVISION_LIMIT)
}
