//! Probes that keep the allocator's load reports of its targets fresh.
//!
//! The allocator probes targets whose last load report is older than a short age.
//! The request rate limits the number of these probes.
//! The allocator also probes the best targets just before one of them is granted.
//! Busy targets report often enough in their answers, and services without requests are not probed.
//!
//! The service time of a target may change many times a second, and older reports become useless.
//! Only the allocator probes, for the whole fleet, so the cost does not grow with the fleet.
//! The service's measuring budget bounds the probes of one target.
//! Each allocator uses only part of the budget, as several processes may briefly act as allocator.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use metrics::counter;
use parking_lot::Mutex;
use thymeshift_config::Probe;
use thymeshift_config::Service;
use thymeshift_dispatch::ProbePacing;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_wire::Dialect;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::service::Destination;
use crate::service::GroupRuntime;
use crate::service::PendingAcquire;
use crate::service::ServiceRuntime;
use crate::shared::Shared;
use crate::target_client::probe::send_probe;

/// Interval between two scans for targets to probe.
const PROBE_SCAN_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between two scans while no targets are granted by this process.
const IDLE_PROBE_SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Age of a target's last load report from which the target is probed, if the budget allows it.
const REPORT_AGE_MIN: Duration = Duration::from_millis(40);
/// Number of processes that may consider themselves the allocator at the same time.
const CONCURRENT_ALLOCATORS_MAX: u64 = 2;
/// Time after its last acquire request for which a group counts as in use.
const IN_USE_WINDOW: Duration = Duration::from_millis(250);

/// Maximum time for which an acquire request waits for probes.
///
/// A probe takes 6 ms at the target, and its network round trip 1 to 3 ms.
const PROBES_BEFORE_GRANT_LIMIT: Duration = Duration::from_millis(12);

/// Maximum number of targets in a group that a process probes while it knows no peers.
///
/// Many processes of a large fleet may start at the same time.
/// Their probes would overload the targets and the processes' own CPUs.
pub(crate) const STANDALONE_PROBE_TARGETS_MAX: usize = 16;

/// Probe pacing per target.
type PacingByTarget = Arc<Mutex<HashMap<Destination, ProbePacing>>>;

/// Starts due probes, and decides pending acquire requests after their probes, in an endless loop.
pub(crate) async fn run_pace_probes<D: Dialect>(shared: Arc<Shared>) -> Result<(), TaskError> {
    let pacings = PacingByTarget::default();
    let mut queue = shared.pending_acquires_receiver.lock().await;
    loop {
        let now = BootClock.now();
        pacings.lock().retain(|_, pacing| !pacing.is_idle(now));
        let is_allocating = start_due_probes::<D>(&shared, &pacings);
        let wait = if is_allocating { PROBE_SCAN_INTERVAL } else { IDLE_PROBE_SCAN_INTERVAL };
        let until = sleep(wait);
        tokio::pin!(until);
        loop {
            tokio::select! {
                () = &mut until => break,
                () = shared.group_activated.notified() => break,
                Some(pending) = queue.recv() => probe_then_decide::<D>(&shared, &pacings, pending),
            }
        }
    }
}

/// Probes the candidate targets of an acquire request and then decides the request.
fn probe_then_decide<D: Dialect>(
    shared: &Arc<Shared>,
    pacings: &PacingByTarget,
    pending: PendingAcquire,
) {
    let probes = start_probes_before_grant::<D>(shared, pacings, &pending);
    if probes.is_empty() {
        pending.decide();
        return;
    }
    tokio::spawn(async move {
        // A probe that exceeds the limit continues; its result serves later decisions.
        let _ = timeout(PROBES_BEFORE_GRANT_LIMIT, join_all(probes)).await;
        pending.decide();
    });
}

/// Starts the probes for an acquire request that the budget allows.
///
/// Starts none if the service no longer exists or has no probe configured.
fn start_probes_before_grant<D: Dialect>(
    shared: &Arc<Shared>,
    pacings: &PacingByTarget,
    pending: &PendingAcquire,
) -> Vec<JoinHandle<()>> {
    let routing = shared.routing();
    let service = routing.as_ref().and_then(|all| all.service(pending.acquire.service.as_str()));
    let Some(service) = service else {
        return Vec::new();
    };
    let settings = service.settings();
    let Some(probe) = &settings.probe else {
        return Vec::new();
    };
    let Some(interval) = probe_interval_min(&settings, probe) else {
        return Vec::new();
    };
    let now = BootClock.now();
    let mut probes = Vec::new();
    for (name, address) in &pending.targets {
        let destination = service.destination(name.clone(), *address);
        let may_start = {
            let mut pacings = pacings.lock();
            pacings.entry(destination.clone()).or_default().try_begin_early(interval, now)
        };
        if may_start {
            let probed_group =
                ProbedGroup { service: service.clone(), group: pending.group.clone() };
            probes.push(start_probe::<D>(
                shared,
                probed_group,
                destination,
                probe.clone(),
                pacings.clone(),
            ));
        }
    }
    probes
}

/// Starts due probes. Returns whether this process currently grants targets of any service.
fn start_due_probes<D: Dialect>(shared: &Arc<Shared>, pacings: &PacingByTarget) -> bool {
    let Some(routing) = shared.routing() else {
        return false;
    };
    let mut is_allocating = false;
    let is_alone = shared.fleet.lock().members.is_alone(BootClock.now());
    for service in &routing.services {
        let settings = service.settings();
        let Some(probe) = &settings.probe else {
            continue;
        };
        let Some(interval) = probe_interval_min(&settings, probe) else {
            continue;
        };
        let now = BootClock.now();
        for group in service.groups() {
            let is_too_large = is_alone && group.target_count() > STANDALONE_PROBE_TARGETS_MAX;
            if is_too_large || !group.was_acquired_within(IN_USE_WINDOW, now) {
                continue;
            }
            is_allocating = true;
            let mut started = 0;
            for (name, address) in group.stale_targets(interval, now) {
                let destination = service.destination(name, address);
                let may_start = {
                    let mut pacings = pacings.lock();
                    pacings.entry(destination.clone()).or_default().try_begin(interval, now)
                };
                if may_start {
                    let probed_group =
                        ProbedGroup { service: service.clone(), group: group.clone() };
                    start_probe::<D>(
                        shared,
                        probed_group,
                        destination,
                        probe.clone(),
                        pacings.clone(),
                    );
                    started += 1;
                }
            }
            group.spend_probe_budget(started);
        }
    }
    is_allocating
}

/// Service and group of a probed target.
struct ProbedGroup {
    service: Arc<ServiceRuntime>,
    group: Arc<GroupRuntime>,
}

fn start_probe<D: Dialect>(
    shared: &Arc<Shared>,
    probed_group: ProbedGroup,
    destination: Destination,
    probe: Probe,
    pacings: PacingByTarget,
) -> JoinHandle<()> {
    let shared = shared.clone();
    tokio::spawn(async move {
        let is_answered = run_probe::<D>(&shared, &probed_group, &destination, &probe).await;
        if let Some(pacing) = pacings.lock().get_mut(&destination) {
            pacing.finish(is_answered);
        }
    })
}

/// Returns the minimum interval between two probes of a target by one allocator.
/// `None` if the measuring budget allows no probes.
fn probe_interval_min(service: &Service, probe: &Probe) -> Option<Duration> {
    let probes_per_s =
        service.measuring_budget_us_per_s / probe.cost_us.max(1) / CONCURRENT_ALLOCATORS_MAX;
    let interval = Duration::from_secs(1).checked_div(u32::try_from(probes_per_s).ok()?)?;
    Some(interval.max(REPORT_AGE_MIN))
}

/// Probes a target once and records its load report. Returns whether the target reported its load.
async fn run_probe<D: Dialect>(
    shared: &Arc<Shared>,
    probed_group: &ProbedGroup,
    destination: &Destination,
    probe: &Probe,
) -> bool {
    let ProbedGroup { service, group } = probed_group;
    let limit = Duration::from_millis(probe.timeout_ms);
    let answer = timeout(limit, send_probe::<D>(service, destination, probe, limit)).await;
    let name = service.name().as_str().to_owned();
    counter!(metric::PROBES, "service" => name.clone()).increment(1);
    counter!(metric::MEASURING_US, "service" => name).increment(probe.cost_us);
    let Ok(Some(report)) = answer else {
        return false;
    };
    if let Some(mark) = group.record_probe(&destination.name, report) {
        shared.record_leaving(&mark, "probe");
    }
    true
}
