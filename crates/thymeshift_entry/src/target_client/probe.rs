//! Probes of targets within this VM's share of the measuring budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use metrics::counter;
use rand::Rng;
use thymeshift_config::Probe;
use thymeshift_config::Service;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::MeasuringShare;
use thymeshift_fleet::OrderSubject;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_wire::Dialect;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::service::Destination;
use crate::service::ServiceRuntime;
use crate::shared::Shared;
use crate::target_client::RequestBody;
use crate::target_client::connector::OpenedConnection;
use crate::target_client::pool::Connection;

/// Interval between two scans for due probes.
const PROBE_SCAN_INTERVAL: Duration = Duration::from_millis(20);

/// Target of a probe, as key of its budget share.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ProbedTarget {
    service: ServiceName,
    target: TargetName,
}

/// Settings from which a target's budget share was computed; changed settings require a new share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ShareSettings {
    budget_us_per_s: u64,
    cost_us: u64,
    entry_vms_max: u64,
}

struct Share {
    share_settings: ShareSettings,
    share: MeasuringShare,
}

type Shares = HashMap<ProbedTarget, Share>;

/// Result of a finished probe: the probed target and the time that the probe took.
struct FinishedProbe {
    probed_target: ProbedTarget,
    spent: Duration,
}

/// Starts due probes in an endless loop.
pub(crate) async fn run_probes<D: Dialect>(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut share_by_target = Shares::new();
    let mut probes: JoinSet<FinishedProbe> = JoinSet::new();
    loop {
        sleep(PROBE_SCAN_INTERVAL).await;
        while let Some(finished) = probes.try_join_next() {
            if let Ok(FinishedProbe { probed_target, spent }) = finished
                && let Some(share) = share_by_target.get_mut(&probed_target)
            {
                share.share.charge_overrun(spent);
            }
        }
        start_due_probes::<D>(&shared, &mut share_by_target, &mut probes);
    }
}

fn start_due_probes<D: Dialect>(
    shared: &Arc<Shared>,
    share_by_target: &mut Shares,
    probes: &mut JoinSet<FinishedProbe>,
) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let entry_vms_max = routing.configuration.entry_vms_max;
    for runtime in &routing.services {
        let settings = runtime.settings();
        let Some(probe) = settings.probe.clone() else {
            continue;
        };
        if is_paused(shared, runtime.name()) {
            continue;
        }
        let share_settings = share_settings_of(&settings, &probe, entry_vms_max);
        for destination in runtime.probe_targets() {
            let target = destination.name.clone();
            let probed_target = ProbedTarget { service: runtime.name().clone(), target };
            if try_begin(share_by_target, &probed_target, share_settings) {
                let shared = shared.clone();
                probes.spawn(run_probe::<D>(shared, runtime.clone(), destination, probe.clone()));
            }
        }
    }
}

fn share_settings_of(service: &Service, probe: &Probe, entry_vms_max: u64) -> ShareSettings {
    ShareSettings {
        budget_us_per_s: service.measuring_budget_us_per_s,
        cost_us: probe.cost_us,
        entry_vms_max,
    }
}

/// Returns whether an operator's order stops the probes of the service.
pub(super) fn is_paused(shared: &Shared, service: &ServiceName) -> bool {
    let subject = OrderSubject::Probing(service.clone());
    shared.fleet.lock().orders.is_stopped(&subject, BootClock.now())
}

/// Returns whether the target's budget share allows a probe now, and charges the probe if so.
fn try_begin(
    share_by_target: &mut Shares,
    probed_target: &ProbedTarget,
    share_settings: ShareSettings,
) -> bool {
    let now = BootClock.now();
    let new_share = || {
        let phase = rand::rng().random::<f64>();
        let ShareSettings { budget_us_per_s, cost_us, entry_vms_max } = share_settings;
        let share = MeasuringShare::new(budget_us_per_s, cost_us, entry_vms_max, now, phase);
        Share { share_settings, share }
    };
    let share = share_by_target.entry(probed_target.clone()).or_insert_with(new_share);
    if share.share_settings != share_settings {
        *share = new_share();
    }
    share.share.try_begin(now)
}

async fn run_probe<D: Dialect>(
    shared: Arc<Shared>,
    service: Arc<ServiceRuntime>,
    destination: Destination,
    probe: Probe,
) -> FinishedProbe {
    let began = BootClock.now();
    let limit = Duration::from_millis(probe.timeout_ms);
    let answer = timeout(limit, send_probe::<D>(&service, &destination, &probe, limit)).await;
    let spent = BootClock.now().since(began);
    // The time is charged even without an answer, because the target may have worked on the probe.
    let counted_us = (spent.as_micros() as u64).max(probe.cost_us);
    let name = service.name().as_str().to_owned();
    counter!(metric::PROBES, "service" => name.clone()).increment(1);
    counter!(metric::MEASURING_US, "service" => name).increment(counted_us);
    if let Ok(Some(report)) = answer
        && let Some(mark) = service.record_probe(&destination.name, report)
    {
        shared.record_leaving(&mark, "probe");
    }
    let probed_target = ProbedTarget { service: service.name().clone(), target: destination.name };
    FinishedProbe { probed_target, spent }
}

/// Sends one probe and returns the load that the target reports in its answer.
///
/// Returns `None` without sending a probe if the target is in a backoff, or if this process has
/// lost its links, since the missing answer would say nothing about the target. Only links that were
/// lost for missing answers are tried by a probe from time to time.
/// Also returns `None` on any error, or if the answer reports no load.
pub(super) async fn send_probe<D: Dialect>(
    service: &Arc<ServiceRuntime>,
    destination: &Destination,
    probe: &Probe,
    limit: Duration,
) -> Option<LoadReport> {
    if service.is_backing_off(&destination.name) || !service.pool().may_probe() {
        return None;
    }
    let address = destination.address;
    let pool = service.pool();
    let connection = match pool.idle(address).await {
        Some(connection) => connection,
        None => pool.connect_direct(address, limit).await.ok()?,
    };
    exchange::<D>(service, destination, probe, connection).await?
}

/// Sends one probe over a new connection of this process's own, to learn whether the target answers it.
/// An open connection could have gone silent by itself.
///
/// Returns `None` if no connection opens or lasts, or if the target is in a backoff.
pub(super) async fn send_check<D: Dialect>(
    service: &Arc<ServiceRuntime>,
    destination: &Destination,
    probe: &Probe,
) -> Option<()> {
    if service.is_backing_off(&destination.name) {
        return None;
    }
    let limit = Duration::from_millis(service.settings().connect_timeout_ms);
    let connection = service.pool().connect_direct(destination.address, limit).await.ok()?;
    exchange_check::<D>(service, destination, probe, connection).await
}

/// Sends one probe through a peer that has opened a connection to the target, to learn whether the target
/// answers anybody. Returns `None` if no answer arrives.
pub(super) async fn send_check_through_peer<D: Dialect>(
    service: &Arc<ServiceRuntime>,
    destination: &Destination,
    probe: &Probe,
    opened: OpenedConnection,
) -> Option<()> {
    let connection = service.pool().relayed(destination.address, opened).await.ok()?;
    exchange_check::<D>(service, destination, probe, connection).await
}

async fn exchange_check<D: Dialect>(
    service: &ServiceRuntime,
    destination: &Destination,
    probe: &Probe,
    connection: Connection,
) -> Option<()> {
    let name = service.name().as_str().to_owned();
    counter!(metric::PROBES, "service" => name.clone()).increment(1);
    counter!(metric::MEASURING_US, "service" => name).increment(probe.cost_us);
    exchange::<D>(service, destination, probe, connection).await.map(drop)
}

/// Sends a probe over `connection` and returns the load that the answer reports, or `None` if no answer
/// arrives. Records a backoff that the answer requests.
async fn exchange<D: Dialect>(
    service: &ServiceRuntime,
    destination: &Destination,
    probe: &Probe,
    mut connection: Connection,
) -> Option<Option<LoadReport>> {
    let pool = service.pool();
    let address = destination.address;
    let host = HeaderValue::try_from(address.to_string()).ok()?;
    let request = Request::get(probe.path.as_str()).header(http::header::HOST, host);
    let request = request.body(RequestBody::Whole(Bytes::new())).ok()?;
    let response = connection.sender()?.try_send_request(request).await.ok()?;
    pool.record_answer(&connection, None);
    let report = D::probe_report(response.status(), response.headers());
    if let Ok(Some(wait)) = D::backoff(response.status(), response.headers()) {
        service.back_off_probed(&destination.name, wait);
    }
    if http_body_util::BodyExt::collect(response.into_body()).await.is_ok() {
        connection.put_back();
    }
    Some(report)
}
