//! What is in force at this process: documents from any source, joined with what the fleet knows
//! of leaving targets and with operators' orders.

use std::collections::HashMap;
use std::sync::Arc;

use metrics::counter;
use metrics::gauge;
use spdlog::error;
use spdlog::info;
use spdlog::warn;
use thymeshift_config::Configuration;
use thymeshift_config::Discovery;
use thymeshift_config::TargetState;
use thymeshift_fleet::Offer;
use thymeshift_fleet::OrderSubject;
use thymeshift_fleet::Published;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::control_plane::tell_below;
use crate::fleet::Fleet;
use crate::routing::Routing;
use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Lines about entries that are left out, for one list.
const LEFT_OUT_LOGGED_MAX: usize = 10;

impl Shared {
    /// Offers a configuration from any source.
    pub(crate) fn offer_configuration(&self, published: &Published, source: &str) -> Offer {
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        let (offer, adopted) = fleet.configuration.offer(published, now, Configuration::parse);
        if let Some(configuration) = adopted {
            fleet.base_configuration = Some(configuration);
            self.put_in_force(&mut fleet, now);
        }
        let rejection = fleet.configuration.rejection().map(|rejection| rejection.mistakes.clone());
        drop(fleet);
        log_offer("configuration", offer, published, source, rejection);
        if offer == Offer::Adopted {
            gauge!(metric::REVISION).set(published.head().revision.as_u64() as f64);
            self.pass_on();
        }
        offer
    }

    /// Offers discovered targets from any source.
    pub(crate) fn offer_targets(&self, published: &Published, source: &str) -> Offer {
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        let (offer, adopted) = fleet.offer_targets(published, now);
        if let Some(discovery) = adopted {
            log_left_out(fleet.discovery.as_ref(), &discovery);
            let kept = fleet.adopt_discovery(discovery, now);
            if kept > 0 {
                info!("targets_kept", kv: { kept, revision: = published.head().revision });
            }
            self.put_in_force(&mut fleet, now);
        }
        let rejection = fleet.targets.rejection().map(|rejection| rejection.mistakes.clone());
        drop(fleet);
        log_offer("targets", offer, published, source, rejection);
        if offer == Offer::Adopted {
            let ended = BootClock.now();
            self.list_pace.lock().taken(ended.since(now), ended);
            self.pass_on();
        }
        offer
    }

    /// Drops targets that were kept after an outage of the source and not listed again.
    pub(crate) fn drop_kept_targets(&self, now: Timestamp) {
        let mut fleet = self.fleet.lock();
        if fleet.drop_kept_targets(now) {
            info!("kept_targets_dropped");
            self.put_in_force(&mut fleet, now);
        }
    }

    /// Tells other processes that there is a new document here: those below in the data hall
    /// where there are datagrams, else a few peers.
    fn pass_on(&self) {
        if self.allocation.socket().is_some() {
            tell_below(self);
        } else {
            self.peer_exchange_due.notify_one();
        }
    }

    /// Under the fleet's lock, so that routings replace each other in the order of their
    /// revisions.
    fn put_in_force(&self, fleet: &mut Fleet, now: Timestamp) {
        let configuration = match (&fleet.base_configuration, &fleet.discovery) {
            (None, _) => return,
            (Some(_), None) if self.discovers => return,
            (Some(base), None) => base.clone(),
            (Some(base), Some(discovery)) => base.with_discovered(discovery),
        };
        let by_order = fleet.orders.drained_halls(now);
        self.drained_by_order.lock().clone_from(&by_order);
        let mut configuration = configuration.with_drained(&by_order).capped(&self.settings());
        for service in &configuration.services {
            for target in &service.targets {
                if target.state == TargetState::Leaving {
                    fleet.add_mark(&LeavingMark {
                        service: service.name.clone(),
                        target: target.name.clone(),
                        incarnation: target.incarnation,
                    });
                }
            }
        }
        prune_marks(fleet, &configuration, now);
        configuration.mark_leaving(|service, target, incarnation| {
            fleet.leaving.is_leaving(service, target, incarnation)
        });
        let before = self.routing();
        log_halls(before.as_deref().map(|before| &*before.configuration), &configuration);
        let own_data_hall = &self.settings().data_hall;
        let routing =
            Routing::new(configuration, before.as_deref(), own_data_hall, &self.service_context());
        let routing = Arc::new(routing);
        for service in &routing.services {
            apply_marks(service, fleet);
            apply_orders(service, fleet, now);
        }
        self.quotas.keep_only(routing.keys.organisations());
        *self.routing.write() = Some(routing);
        self.has_configuration.send_replace(true);
    }

    /// A target said here that it is leaving.
    pub(crate) fn record_leaving(&self, mark: &LeavingMark, source: &str) {
        let is_news = self.fleet.lock().add_mark(mark);
        if is_news {
            self.apply_mark(mark, source);
        }
    }

    /// Stops new work for a target whose leaving is news, and passes that on.
    pub(crate) fn apply_mark(&self, mark: &LeavingMark, source: &str) {
        let routing = self.routing();
        let service = routing.as_ref().and_then(|routing| routing.service(mark.service.as_str()));
        if let Some(service) = service {
            service.mark_leaving(mark);
        }
        info!("target_leaving", kv: {
            service: = mark.service, target: = mark.target,
            incarnation: = mark.incarnation, source
        });
        self.peer_exchange_due.notify_one();
    }

    /// Applies the orders that hold now.
    pub(crate) fn apply_orders(&self) {
        let Some(routing) = self.routing() else {
            return;
        };
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        if fleet.orders.drained_halls(now) != *self.drained_by_order.lock() {
            self.put_in_force(&mut fleet, now);
            return;
        }
        for service in &routing.services {
            apply_orders(service, &fleet, now);
        }
    }
}

/// Forgets the marks of targets that have not been listed for long, or are listed with a later
/// incarnation.
fn prune_marks(fleet: &mut Fleet, configuration: &Configuration, now: Timestamp) {
    if fleet.leaving.is_empty() {
        return;
    }
    let listed: HashMap<(&ServiceName, &TargetName), Incarnation> = configuration
        .services
        .iter()
        .flat_map(|service| service.targets.iter().map(move |target| (&service.name, target)))
        .map(|(service, target)| ((service, &target.name), target.incarnation))
        .collect();
    fleet.leaving.prune(|service, target| listed.get(&(service, target)).copied(), now);
}

fn apply_marks(service: &ServiceRuntime, fleet: &Fleet) {
    for mark in fleet.leaving.of_service(service.name()) {
        service.mark_leaving(&mark);
    }
}

fn apply_orders(service: &ServiceRuntime, fleet: &Fleet, now: Timestamp) {
    if fleet.orders.is_empty() {
        service.set_stopped(|_| false);
        return;
    }
    service.set_stopped(|target| {
        let subject = OrderSubject::Target(service.name().clone(), target.clone());
        fleet.orders.is_stopped(&subject, now)
    });
}

/// One line for each entry that is left out and was not before, up to a number, and how many there
/// are.
fn log_left_out(before: Option<&Discovery>, now: &Discovery) {
    let before = before.map_or(&[][..], |before| &before.left_out);
    let news = now.left_out.iter().filter(|entry| !before.contains(entry));
    for entry in news.take(LEFT_OUT_LOGGED_MAX) {
        let (name, mistake) = (entry.name.as_str(), entry.mistake.as_str());
        warn!("entry_left_out", kv: { name, mistake });
    }
    gauge!(metric::ENTRIES_LEFT_OUT).set(now.left_out.len() as f64);
}

/// One line for each data hall that is drained or taken back, and the number of drained ones.
fn log_halls(before: Option<&Configuration>, now: &Configuration) {
    let before = before.map_or(&[][..], |before| &before.drained_halls);
    for hall in now.drained_halls.iter().filter(|hall| !before.contains(hall)) {
        info!("data_hall_drained", kv: { hall: = hall });
    }
    for hall in before.iter().filter(|hall| !now.drained_halls.contains(hall)) {
        info!("data_hall_taken_back", kv: { hall: = hall });
    }
    gauge!(metric::DRAINED_HALLS).set(now.drained_halls.len() as f64);
}

fn log_offer(
    document: &str,
    offer: Offer,
    published: &Published,
    source: &str,
    rejection: Option<String>,
) {
    let head = published.head();
    match offer {
        Offer::Adopted => {
            info!("document_in_force", kv: {
                document, revision: = head.revision, digest: = head.digest, source
            });
        }
        Offer::Conflicting => {
            counter!(metric::DOCUMENTS_REFUSED, "offer" => "conflicting").increment(1);
            error!("document_conflicting", kv: {
                document, revision: = head.revision, digest: = head.digest, source
            });
        }
        Offer::Rejected => {
            counter!(metric::DOCUMENTS_REFUSED, "offer" => "rejected").increment(1);
            let mistakes = rejection.unwrap_or_default();
            error!("document_rejected", kv: {
                document, revision: = head.revision, source, mistakes
            });
        }
        Offer::Confirmed | Offer::Older => {}
    }
}
