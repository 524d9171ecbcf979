//! Tries the own links to targets while they are lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use futures::future::Either;
use futures::future::select;
use rand::seq::IndexedRandom;
use spdlog::debug;
use spdlog::info;
use thymeshift_config::Probe;
use thymeshift_config::Service;
use thymeshift_links::AnswerTrial;
use thymeshift_links::PeerAnswer;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_wire::Dialect;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::service::Destination;
use crate::service::ServiceRuntime;
use crate::shared::Shared;
use crate::target_client::connector::Connect;
use crate::target_client::link_monitor::LinkState;
use crate::target_client::probe::is_paused;
use crate::target_client::probe::send_check;
use crate::target_client::probe::send_check_through_peer;

/// Interval between two checks whether a silence has lasted long enough.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time of a check from which it is late, so that what has arrived may not have been read.
const LATE_CHECK_MIN: Duration = Duration::from_millis(50);
/// Time in which a target must answer a check. Sound targets answer probes at once, and a loss of the
/// links must be judged within a second.
const CHECK_LIMIT: Duration = Duration::from_millis(150);
/// Time that a check over the own links has before the target is asked through a peer, too. Sound targets
/// answer within it, and then no second probe is sent.
const OWN_CHECK_HEAD_START: Duration = Duration::from_millis(40);
/// Probes of one check at most.
const PROBES_PER_CHECK: u64 = 2;
/// Divisor of a target's measuring budget that gives the part for checks of all VMs together.
const CHECK_BUDGET_DIVISOR: u64 = 4;
/// Number of these checks between two trials of the links, 200 ms apart.
const SILENCE_CHECKS_PER_TRIAL: u32 = 8;

/// Result of a check whether a target answers this process.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// The service has no probe.
    #[display("not_sent")]
    NotSent,
    /// The target answered the probe.
    #[display("answered")]
    Answered,
    /// The target did not answer in time, although the probe was sent.
    #[display("unanswered")]
    Unanswered,
    /// The probe could not be sent, or this process was late.
    #[display("inconclusive")]
    Inconclusive,
}

/// Times of the checks of each target, which share a part of its measuring budget with all other VMs.
#[derive(Default)]
struct SilenceChecks {
    next_at: HashMap<SocketAddr, Timestamp>,
}

impl SilenceChecks {
    /// Returns whether the target may be checked now, and charges the check if so.
    fn try_begin(
        &mut self,
        target: SocketAddr,
        settings: &Service,
        shared: &Shared,
        now: Timestamp,
    ) -> bool {
        self.next_at.retain(|_, next_at| now < *next_at);
        if self.next_at.contains_key(&target) {
            return false;
        }
        let vms = shared.routing().map_or(1, |routing| routing.configuration.entry_vms_max);
        let cost_us = settings.probe.as_ref().map_or(0, |probe| probe.cost_us);
        let budget_us_per_s = settings.measuring_budget_us_per_s / CHECK_BUDGET_DIVISOR;
        let cost_us = cost_us * PROBES_PER_CHECK;
        let interval_us = (cost_us * vms * 1_000_000).checked_div(budget_us_per_s);
        let interval = interval_us.map(Duration::from_micros);
        self.next_at.extend(interval.map(|interval| (target, now + interval)));
        interval.is_some()
    }
}

/// Judges the links until they are lost, and then tries them until they are restored, in an endless
/// loop.
pub(crate) async fn run_link_trials<D: Dialect>(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut state = shared.connector.links().state();
    let mut checks = SilenceChecks::default();
    loop {
        while *state.borrow_and_update() == LinkState::Connected {
            judge_silence::<D>(&shared, &mut checks).await;
        }
        // Open connections are judged only after a trial has failed: a false alarm ends with it. An
        // accepted connection proves nothing if targets accept and do not answer, but an answer does.
        if shared.connector.links().is_restored_by_connect() {
            try_one_target(&shared).await;
        } else {
            check_one_target::<D>(&shared, &mut checks).await;
        }
        for _ in 0..SILENCE_CHECKS_PER_TRIAL {
            sleep(SILENCE_CHECK_INTERVAL).await;
            shared.connector.links().judge_open_connections();
        }
    }
}

/// Waits for [`SILENCE_CHECK_INTERVAL`], and then judges whether a silence has lasted long enough.
async fn judge_silence<D: Dialect>(shared: &Shared, checks: &mut SilenceChecks) {
    let began_at = BootClock.now();
    sleep(SILENCE_CHECK_INTERVAL).await;
    if BootClock.now().since(began_at) > LATE_CHECK_MIN {
        // This process was paused; what arrived meanwhile has not been read yet.
        return;
    }
    let links = shared.connector.links();
    links.judge();
    if let Some(target) = links.take_silent_target() {
        ask_about_silence::<D>(shared, target, checks).await;
    }
}

/// Checks whether a target that owes an answer answers a probe, and whether it answers one through a peer.
/// A process without other traffic hears nothing while its targets work on slow requests, and nobody
/// hears anything of targets whose slots are all at work.
async fn ask_about_silence<D: Dialect>(
    shared: &Shared,
    target: SocketAddr,
    checks: &mut SilenceChecks,
) {
    let Some((runtime, destination)) = find_target(shared, target) else {
        return;
    };
    let settings = runtime.settings();
    let limit = Duration::from_millis(settings.connect_timeout_ms);
    let service = runtime.name();
    let connect = Connect { service, target, limit, request_id: "silence", is_about_silence: true };
    let asked = shared.connector.ask_about_silence(connect);
    let Some(probe) = checked_probe(shared, &runtime) else {
        let reached = asked.await.map(|(answer, _)| answer);
        return record_reached(shared, &destination, reached, Check::NotSent);
    };
    if !checks.try_begin(target, &settings, shared, BootClock.now()) {
        return;
    }
    let through_peer = async {
        sleep(OWN_CHECK_HEAD_START).await;
        let (answer, opened) = asked.await?;
        let sent = send_check_through_peer::<D>(&runtime, &destination, &probe, opened);
        timeout(CHECK_LIMIT, sent).await.ok()??;
        Some(answer)
    };
    let own = check_target::<D>(&runtime, &destination, &probe);
    let (check, reached) = match select(pin!(own), pin!(through_peer)).await {
        Either::Left((Check::Answered, _)) => (Check::Answered, None),
        Either::Left((check, through_peer)) => (check, through_peer.await),
        Either::Right((reached, own)) => (own.await, reached),
    };
    record_reached(shared, &destination, reached, check);
}

/// Records that a peer reached a target that does not answer this process, unless a check contradicts.
fn record_reached(
    shared: &Shared,
    destination: &Destination,
    reached: Option<PeerAnswer>,
    check: Check,
) {
    info!("silence_checked", kv: {
        service: = destination.service, target: = destination.name, check: = check,
        is_reached_by_peer = reached.is_some()
    });
    if let (Some(answer), Check::NotSent | Check::Unanswered) = (reached, check) {
        let is_checked = check == Check::Unanswered;
        let links = shared.connector.links();
        links.record_silent_target_reached(destination.address, answer, is_checked);
    }
}

/// Sends a probe over a new connection of this process's own.
async fn check_target<D: Dialect>(
    runtime: &Arc<ServiceRuntime>,
    destination: &Destination,
    probe: &Probe,
) -> Check {
    let began_at = BootClock.now();
    let sent = timeout(CHECK_LIMIT, send_check::<D>(runtime, destination, probe)).await;
    let is_late = BootClock.now().since(began_at) > CHECK_LIMIT + LATE_CHECK_MIN;
    match sent {
        Ok(Some(())) => Check::Answered,
        // The answer may lie unread, or the connection says nothing about answers.
        Err(_) if is_late => Check::Inconclusive,
        Ok(None) => Check::Inconclusive,
        Err(_) => Check::Unanswered,
    }
}

/// Tries links that were lost for missing answers with a probe of a target drawn at random.
async fn check_one_target<D: Dialect>(shared: &Shared, checks: &mut SilenceChecks) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let checked = |service: &&Arc<ServiceRuntime>| checked_probe(shared, service).is_some();
    let services: Vec<_> = routing.services.iter().filter(checked).collect();
    let Some(runtime) = services.choose(&mut rand::rng()) else {
        return;
    };
    let settings = runtime.settings();
    let target = settings.targets.choose(&mut rand::rng());
    let (Some(target), Some(probe)) = (target, &settings.probe) else {
        return;
    };
    if checks.try_begin(target.address, &settings, shared, BootClock.now())
        && shared.connector.links().take_answer_trial(AnswerTrial::Preferred)
    {
        let destination = runtime.destination(target.name.clone(), target.address);
        check_target::<D>(runtime, &destination, probe).await;
    }
}

/// Returns the probe of a service, unless the service has none or an operator's order stops it.
fn checked_probe(shared: &Shared, runtime: &ServiceRuntime) -> Option<Probe> {
    let probe = runtime.settings().probe.clone();
    probe.filter(|_| !is_paused(shared, runtime.name()))
}

fn find_target(shared: &Shared, target: SocketAddr) -> Option<(Arc<ServiceRuntime>, Destination)> {
    let routing = shared.routing()?;
    routing.services.iter().find_map(|runtime| {
        let settings = runtime.settings();
        let known = settings.targets.iter().find(|known| known.address == target)?;
        Some((runtime.clone(), runtime.destination(known.name.clone(), target)))
    })
}

/// Connects to a target drawn at random. The connection is kept for the next request.
async fn try_one_target(shared: &Shared) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let services: Vec<_> =
        routing.services.iter().filter(|service| !service.settings().targets.is_empty()).collect();
    let Some(service) = services.choose(&mut rand::rng()) else {
        return;
    };
    let settings = service.settings();
    let Some(target) = settings.targets.choose(&mut rand::rng()) else {
        return;
    };
    let limit = Duration::from_millis(settings.connect_timeout_ms);
    if let Err(error) = service.pool().try_links(target.address, limit).await {
        debug!("link_trial_failed", kv: {
            service: = service.name(), target: = target.name, error: = error
        });
    }
}
