//! State in force at this process: configuration, discovered targets, leaving marks and orders.

use std::collections::HashMap;
use std::sync::Arc;

use metrics::counter;
use metrics::gauge;
use spdlog::error;
use spdlog::info;
use spdlog::warn;
use thymeshift_config::Adjustment;
use thymeshift_config::Configuration;
use thymeshift_config::Discovery;
use thymeshift_config::Mistakes;
use thymeshift_config::SkippedEntry;
use thymeshift_config::TargetState;
use thymeshift_fleet::Adoption;
use thymeshift_fleet::OfferOutcome;
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
use thymeshift_wire::Heads;

use crate::control_plane::notify_relay_children;
use crate::discovered::Difference;
use crate::fleet::Fleet;
use crate::routing::Routing;
use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Maximum number of log lines about skipped entries of one list of targets.
const SKIPPED_ENTRY_LOG_LINES_MAX: usize = 10;
/// Maximum number of log lines about adjusted values of one configuration.
const ADJUSTMENT_LOG_LINES_MAX: usize = 10;

impl Shared {
    /// Adopts a published configuration if it is newer than the configuration in force.
    pub(crate) fn offer_configuration(&self, published: &Published, source: &str) -> OfferOutcome {
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        let previous = fleet.base_configuration.take();
        let check = |text: &str| self.read_configuration(text, previous.as_ref());
        let (offer, adopted) = fleet.configuration.offer(published, now, check);
        if let Some((configuration, adjustments)) = adopted {
            log_adjustments(&adjustments, published);
            fleet.base_configuration = Some(configuration);
            fleet.adjustments = adjustments;
            self.rebuild_routing(&mut fleet, now);
        } else {
            fleet.base_configuration = previous;
        }
        log_offer("configuration", offer, published, source, &fleet.configuration);
        drop(fleet);
        if offer == OfferOutcome::Adopted {
            gauge!(metric::CONFIGURATION_REVISION).set(published.head().revision.number() as f64);
            self.announce_document();
        }
        offer
    }

    /// Reads a configuration. One that the source has validated is adjusted where it must be, and what
    /// cannot be read of it keeps its form in `previous`.
    fn read_configuration(
        &self,
        text: &str,
        previous: Option<&Configuration>,
    ) -> Result<(Configuration, Vec<Adjustment>), Mistakes> {
        if self.is_source_validated {
            return Configuration::parse_published(text, previous);
        }
        Configuration::parse(text).map(|configuration| (configuration, Vec::new()))
    }

    /// Adopts a published list of discovered targets if it is newer than the list in force.
    pub(crate) fn offer_targets(&self, published: &Published, source: &str) -> OfferOutcome {
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        let previous = fleet.discovered.in_force().map(|known| known.left_out.clone());
        let (offer, adopted) = fleet.offer_targets(published, now);
        if let Some(difference) = adopted {
            log_skipped_entries(&previous.unwrap_or_default(), fleet.discovered.in_force());
            if difference != Difference::default() {
                let Difference { kept, withheld } = difference;
                info!("targets_kept", kv: { kept, withheld, revision: = published.head().revision });
            }
            self.rebuild_routing(&mut fleet, now);
        }
        log_offer("targets", offer, published, source, &fleet.targets);
        drop(fleet);
        if offer == OfferOutcome::Adopted {
            let ended = BootClock.now();
            self.list_pace.lock().record_applied(ended.since(now), ended);
            self.announce_document();
        }
        offer
    }

    /// Records the documents that another process has in force.
    pub(crate) fn record_announced(&self, theirs: Heads) {
        if self.fleet.lock().record_announced(theirs, BootClock.now()) {
            self.is_behind.notify_one();
        }
    }

    /// Drops targets that were kept after an outage of the source and are still not listed,
    /// and takes targets that were withheld and are still listed.
    pub(crate) fn settle_targets(&self, now: Timestamp) {
        let mut fleet = self.fleet.lock();
        if fleet.settle_targets(now) {
            info!("kept_targets_dropped");
            self.rebuild_routing(&mut fleet, now);
        }
    }

    /// Announces a new document to this process's children in the data hall's relay tree.
    /// A process without a datagram socket exchanges state with a few peers instead.
    fn announce_document(&self) {
        if self.allocation.socket().is_some() {
            notify_relay_children(self);
        } else {
            self.peer_exchange_due.notify_one();
        }
    }

    /// Builds a routing from the fleet state and puts it in force.
    ///
    /// The caller holds the fleet's lock, so routings take effect in the order of their revisions.
    fn rebuild_routing(&self, fleet: &mut Fleet, now: Timestamp) {
        let configuration = match (&fleet.base_configuration, fleet.discovered.in_force()) {
            (None, _) => return,
            (Some(_), None) if self.has_discovery => return,
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
        let previous = self.routing();
        log_halls(previous.as_deref().map(|previous| &*previous.configuration), &configuration);
        let own_data_hall = &self.settings().data_hall;
        let routing = Routing::new(
            configuration,
            previous.as_deref(),
            own_data_hall,
            &self.service_context(),
        );
        let routing = Arc::new(routing);
        for service in &routing.services {
            apply_marks(service, fleet);
            apply_orders(service, fleet, now);
        }
        self.quotas.retain_organisations(routing.keys.organisations());
        *self.routing.write() = Some(routing);
        self.has_configuration.send_replace(true);
    }

    /// Records that a target announced to this process that it is leaving.
    pub(crate) fn record_leaving(&self, mark: &LeavingMark, source: &str) {
        let is_new = self.fleet.lock().add_mark(mark);
        if is_new {
            self.apply_mark(mark, source);
        }
    }

    /// Stops new requests to a target with a new leaving mark and triggers an exchange with peers.
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

    /// Applies the operators' orders that are currently effective.
    pub(crate) fn apply_orders(&self) {
        let Some(routing) = self.routing() else {
            return;
        };
        let now = BootClock.now();
        let mut fleet = self.fleet.lock();
        if fleet.orders.drained_halls(now) != *self.drained_by_order.lock() {
            self.rebuild_routing(&mut fleet, now);
            return;
        }
        for service in &routing.services {
            apply_orders(service, &fleet, now);
        }
    }
}

/// Removes the leaving marks of targets that are listed with a later incarnation.
/// Also removes the marks of targets that have been unlisted for a long time.
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

/// Logs up to [`SKIPPED_ENTRY_LOG_LINES_MAX`] newly skipped entries of the target list.
/// Also sets the gauge that counts all skipped entries.
fn log_skipped_entries(previous: &[SkippedEntry], now: Option<&Discovery>) {
    let Some(now) = now else {
        return;
    };
    let new_entries = now.left_out.iter().filter(|entry| !previous.contains(entry));
    for entry in new_entries.take(SKIPPED_ENTRY_LOG_LINES_MAX) {
        let (name, mistake) = (entry.name.as_str(), entry.mistake.as_str());
        warn!("entry_left_out", kv: { name, mistake });
    }
    gauge!(metric::ENTRIES_LEFT_OUT).set(now.left_out.len() as f64);
}

/// Logs up to [`ADJUSTMENT_LOG_LINES_MAX`] values of a configuration that are not in force as published.
/// Also sets the gauge that counts them all.
fn log_adjustments(adjustments: &[Adjustment], published: &Published) {
    let revision = published.head().revision;
    for Adjustment { place, found, used } in adjustments.iter().take(ADJUSTMENT_LOG_LINES_MAX) {
        let (place, found, used) = (place.as_str(), found.as_str(), used.as_str());
        warn!("configuration_adjusted", kv: { place, found, used, revision: = revision });
    }
    gauge!(metric::CONFIGURATION_ADJUSTMENTS).set(adjustments.len() as f64);
}

/// Logs each data hall that is newly drained or no longer drained.
/// Also sets the gauge of drained halls.
fn log_halls(previous: Option<&Configuration>, now: &Configuration) {
    let previous = previous.map_or(&[][..], |previous| &previous.drained_halls);
    for hall in now.drained_halls.iter().filter(|hall| !previous.contains(hall)) {
        info!("data_hall_drained", kv: { hall: = hall });
    }
    for hall in previous.iter().filter(|hall| !now.drained_halls.contains(hall)) {
        info!("data_hall_taken_back", kv: { hall: = hall });
    }
    gauge!(metric::DRAINED_HALLS).set(now.drained_halls.len() as f64);
}

fn log_offer(
    document: &str,
    offer: OfferOutcome,
    published: &Published,
    source: &str,
    adoption: &Adoption,
) {
    let head = published.head();
    let revision_in_force = adoption.head().map(|head| head.revision).unwrap_or_default();
    match offer {
        OfferOutcome::Adopted => {
            info!("document_in_force", kv: {
                document, epoch: = head.revision.epoch(), revision: = head.revision, digest: = head.digest, source,
                bytes = published.text().len()
            });
        }
        OfferOutcome::Conflicting => {
            counter!(metric::DOCUMENTS_REFUSED, "offer" => "conflicting").increment(1);
            error!("document_conflicting", kv: {
                document, epoch: = head.revision.epoch(), revision: = head.revision, digest: = head.digest, source,
                epoch_in_force: = revision_in_force.epoch(), revision_in_force: = revision_in_force
            });
        }
        OfferOutcome::Rejected => {
            counter!(metric::DOCUMENTS_REFUSED, "offer" => "rejected").increment(1);
            let mistakes = adoption.rejection().map_or("", |rejection| &rejection.mistakes);
            error!("document_rejected", kv: {
                document, epoch: = head.revision.epoch(), revision: = head.revision, source, bytes = published.text().len(),
                mistakes
            });
        }
        OfferOutcome::Older => {
            counter!(metric::DOCUMENTS_REFUSED, "offer" => "older").increment(1);
            info!("document_older", kv: {
                document, epoch: = head.revision.epoch(), revision: = head.revision, digest: = head.digest, source,
                epoch_in_force: = revision_in_force.epoch(), revision_in_force: = revision_in_force
            });
        }
        OfferOutcome::Confirmed => {}
    }
}
