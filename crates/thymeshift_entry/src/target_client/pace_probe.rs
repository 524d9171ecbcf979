//! Keeping the allocator's view of its targets fresh.
//!
//! What it does: while this process allocates a service's targets, it probes those of which no
//! answer or probe has told anything for a short while, as many as its requests are worth, and the
//! best ones once more just before one of them is granted. Busy targets tell enough by themselves; a
//! service without requests is not probed.
//!
//! Why: how long work takes at a target may change many times a second, and a report is
//! worth nothing after that. One process probes for the whole fleet, so that the cost does
//! not grow with it. The service's measuring budget bounds the probes of one target; a part
//! of it is used, because for a moment several processes may take themselves for the allocator.

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
use crate::target_client::probe::ask;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(15);
/// Time between two looks while nothing is granted.
const IDLE_LOOK: Duration = Duration::from_millis(100);
/// Age of the last report from which a target is probed, if the budget allows it.
const AGE: Duration = Duration::from_millis(40);
/// Processes that may take themselves for the allocator at one time.
const ALLOCATORS_MAX: u64 = 2;
/// Time after the last request within which a service counts as in use.
const IN_USE: Duration = Duration::from_millis(250);

/// Longest time for which a request for a target waits for probes: one takes 6 ms and the way
/// there and back 1 to 3 ms.
const PROBES_BEFORE_GRANT_LIMIT: Duration = Duration::from_millis(12);

/// Targets of a group that a process probes while it knows no other one: in a large fleet
/// many may be starting, and together they would swamp the targets and their own processors.
pub(crate) const PROBED_ALONE_MAX: usize = 16;

/// The probes of each target.
type Probing = Arc<Mutex<HashMap<Destination, ProbePacing>>>;

/// Probes for ever.
pub(crate) async fn run_pace_probes<D: Dialect>(shared: Arc<Shared>) -> Result<(), TaskError> {
    let probing = Probing::default();
    let mut wanted = shared.pending_acquires_receiver.lock().await;
    loop {
        let now = BootClock.now();
        probing.lock().retain(|_, pacing| !pacing.is_idle(now));
        let is_allocating = begin_due::<D>(&shared, &probing);
        let wait = if is_allocating { LOOK } else { IDLE_LOOK };
        let until = sleep(wait);
        tokio::pin!(until);
        loop {
            tokio::select! {
                () = &mut until => break,
                () = shared.group_activated.notified() => break,
                Some(pending) = wanted.recv() => probe_then_decide::<D>(&shared, &probing, pending),
            }
        }
    }
}

/// Probes the targets that a request would be sent to, and decides on it then.
fn probe_then_decide<D: Dialect>(shared: &Arc<Shared>, probing: &Probing, pending: PendingAcquire) {
    let probes = begin_early::<D>(shared, probing, &pending);
    if probes.is_empty() {
        pending.decide();
        return;
    }
    tokio::spawn(async move {
        // A probe that takes longer goes on, and tells what it finds to later decisions.
        let _ = timeout(PROBES_BEFORE_GRANT_LIMIT, join_all(probes)).await;
        pending.decide();
    });
}

/// Begins the probes that the budget allows; none if the service is gone or not probed.
fn begin_early<D: Dialect>(
    shared: &Arc<Shared>,
    probing: &Probing,
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
    let Some(interval) = age_allowed(&settings, probe) else {
        return Vec::new();
    };
    let now = BootClock.now();
    let mut probes = Vec::new();
    for (name, address) in &pending.targets {
        let destination = service.destination(name.clone(), *address);
        let may_begin = {
            let mut probing = probing.lock();
            probing.entry(destination.clone()).or_default().try_begin_early(interval, now)
        };
        if may_begin {
            let subject = Subject { service: service.clone(), group: pending.group.clone() };
            probes.push(begin::<D>(shared, subject, destination, probe.clone(), probing.clone()));
        }
    }
    probes
}

/// Returns whether targets of any service are granted here.
fn begin_due<D: Dialect>(shared: &Arc<Shared>, probing: &Probing) -> bool {
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
        let Some(age) = age_allowed(&settings, probe) else {
            continue;
        };
        let now = BootClock.now();
        for group in service.groups() {
            let is_too_large = is_alone && group.target_count() > PROBED_ALONE_MAX;
            if is_too_large || !group.was_acquired_within(IN_USE, now) {
                continue;
            }
            is_allocating = true;
            let mut begun = 0;
            for (name, address) in group.stale_targets(age, now) {
                let destination = service.destination(name, address);
                let may_begin = {
                    let mut probing = probing.lock();
                    probing.entry(destination.clone()).or_default().try_begin(age, now)
                };
                if may_begin {
                    let subject = Subject { service: service.clone(), group: group.clone() };
                    begin::<D>(shared, subject, destination, probe.clone(), probing.clone());
                    begun += 1;
                }
            }
            group.spend_probe_budget(begun);
        }
    }
    is_allocating
}

/// Whose target is probed.
struct Subject {
    service: Arc<ServiceRuntime>,
    group: Arc<GroupRuntime>,
}

fn begin<D: Dialect>(
    shared: &Arc<Shared>,
    subject: Subject,
    destination: Destination,
    probe: Probe,
    probing: Probing,
) -> JoinHandle<()> {
    let shared = shared.clone();
    tokio::spawn(async move {
        let is_answered = run_probe::<D>(&shared, &subject, &destination, &probe).await;
        if let Some(pacing) = probing.lock().get_mut(&destination) {
            pacing.finish(is_answered);
        }
    })
}

/// Shortest time between two probes of a target that the budget allows an allocator.
fn age_allowed(service: &Service, probe: &Probe) -> Option<Duration> {
    let probes_per_s = service.measuring_budget_us_per_s / probe.cost_us.max(1) / ALLOCATORS_MAX;
    let between = Duration::from_secs(1).checked_div(u32::try_from(probes_per_s).ok()?)?;
    Some(between.max(AGE))
}

/// Returns whether the target told its load.
async fn run_probe<D: Dialect>(
    shared: &Arc<Shared>,
    subject: &Subject,
    destination: &Destination,
    probe: &Probe,
) -> bool {
    let Subject { service, group } = subject;
    let limit = Duration::from_millis(probe.timeout_ms);
    let answer = timeout(limit, ask::<D>(service, destination, probe, limit)).await;
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
