//! Probing targets within this VM's share of the measuring budget.

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

/// Time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(20);

/// A target to measure.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Subject {
    service: ServiceName,
    target: TargetName,
}

/// The terms under which a share was made; other terms need another share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Terms {
    budget_us_per_s: u64,
    cost_us: u64,
    entry_vms_max: u64,
}

struct Share {
    terms: Terms,
    share: MeasuringShare,
}

type Shares = HashMap<Subject, Share>;

/// A probe that has ended.
struct Ended {
    subject: Subject,
    spent: Duration,
}

/// Probes for ever.
pub(crate) async fn run_probes<D: Dialect>(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut known = Shares::new();
    let mut probes: JoinSet<Ended> = JoinSet::new();
    loop {
        sleep(LOOK).await;
        while let Some(ended) = probes.try_join_next() {
            if let Ok(Ended { subject, spent }) = ended
                && let Some(share) = known.get_mut(&subject)
            {
                share.share.charge_overrun(spent);
            }
        }
        begin_due::<D>(&shared, &mut known, &mut probes);
    }
}

fn begin_due<D: Dialect>(shared: &Arc<Shared>, known: &mut Shares, probes: &mut JoinSet<Ended>) {
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
        let terms = terms_of(&settings, &probe, entry_vms_max);
        for destination in runtime.probe_targets() {
            let target = destination.name.clone();
            let subject = Subject { service: runtime.name().clone(), target };
            if try_begin(known, &subject, terms) {
                let shared = shared.clone();
                probes.spawn(run_probe::<D>(shared, runtime.clone(), destination, probe.clone()));
            }
        }
    }
}

fn terms_of(service: &Service, probe: &Probe, entry_vms_max: u64) -> Terms {
    Terms {
        budget_us_per_s: service.measuring_budget_us_per_s,
        cost_us: probe.cost_us,
        entry_vms_max,
    }
}

fn is_paused(shared: &Shared, service: &ServiceName) -> bool {
    let subject = OrderSubject::Probing(service.clone());
    shared.fleet.lock().orders.is_stopped(&subject, BootClock.now())
}

fn try_begin(known: &mut Shares, subject: &Subject, terms: Terms) -> bool {
    let now = BootClock.now();
    let new_share = || {
        let phase = rand::rng().random::<f64>();
        let Terms { budget_us_per_s, cost_us, entry_vms_max } = terms;
        let share = MeasuringShare::new(budget_us_per_s, cost_us, entry_vms_max, now, phase);
        Share { terms, share }
    };
    let share = known.entry(subject.clone()).or_insert_with(new_share);
    if share.terms != terms {
        *share = new_share();
    }
    share.share.try_begin(now)
}

async fn run_probe<D: Dialect>(
    shared: Arc<Shared>,
    service: Arc<ServiceRuntime>,
    destination: Destination,
    probe: Probe,
) -> Ended {
    let began = BootClock.now();
    let limit = Duration::from_millis(probe.timeout_ms);
    let answer = timeout(limit, ask::<D>(&service, &destination, &probe, limit)).await;
    let spent = BootClock.now().since(began);
    // Whether or not an answer came: the target may have worked for it.
    let counted_us = (spent.as_micros() as u64).max(probe.cost_us);
    let name = service.name().as_str().to_owned();
    counter!(metric::PROBES, "service" => name.clone()).increment(1);
    counter!(metric::MEASURING_US, "service" => name).increment(counted_us);
    if let Ok(Some(report)) = answer
        && let Some(mark) = service.record_probe(&destination.name, report)
    {
        shared.record_leaving(&mark, "probe");
    }
    let subject = Subject { service: service.name().clone(), target: destination.name };
    Ended { subject, spent }
}

pub(super) async fn ask<D: Dialect>(
    service: &Arc<ServiceRuntime>,
    destination: &Destination,
    probe: &Probe,
    limit: Duration,
) -> Option<LoadReport> {
    if service.is_backing_off(&destination.name) {
        return None;
    }
    let address = destination.address;
    let pool = service.pool();
    let mut connection = match pool.idle(address).await {
        Some(connection) => connection,
        None => pool.connect(address, limit).await.ok()?,
    };
    let host = HeaderValue::try_from(address.to_string()).ok()?;
    let request = Request::get(probe.path.as_str()).header(http::header::HOST, host);
    let request = request.body(RequestBody::Whole(Bytes::new())).ok()?;
    let response = connection.sender()?.try_send_request(request).await.ok()?;
    let report = D::probe_report(response.status(), response.headers());
    if let Ok(Some(wait)) = D::backoff(response.status(), response.headers()) {
        service.back_off_probed(&destination.name, wait);
    }
    if http_body_util::BodyExt::collect(response.into_body()).await.is_ok() {
        connection.put_back();
    }
    report
}
