//! State that this process shares with the fleet, guarded by one lock.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use spdlog::warn;
use thymeshift_config::Adjustment;
use thymeshift_config::Configuration;
use thymeshift_config::DiscoveryReader;
use thymeshift_config::Settings;
use thymeshift_config::Target;
use thymeshift_fleet::Adoption;
use thymeshift_fleet::Behind;
use thymeshift_fleet::Boot;
use thymeshift_fleet::ForwardingFilter;
use thymeshift_fleet::GossipScope;
use thymeshift_fleet::Head;
use thymeshift_fleet::LeavingRegister;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::OfferOutcome;
use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderSubject;
use thymeshift_fleet::Orders;
use thymeshift_fleet::Phase;
use thymeshift_fleet::Published;
use thymeshift_fleet::Quarantine;
use thymeshift_fleet::Readers;
use thymeshift_fleet::ReceivedSummary;
use thymeshift_fleet::SuspectReport;
use thymeshift_fleet::Verdict;
use thymeshift_fleet::WatcherSelection;
use thymeshift_types::Fingerprint;
use thymeshift_types::LeavingMark;
use thymeshift_types::Timestamp;
use thymeshift_wire::Document;
use thymeshift_wire::Exchange;
use thymeshift_wire::Heads;

use crate::discovered::Difference;
use crate::discovered::DiscoveredTargets;
use crate::discovered::SourceState;

/// Number of leaving marks per message that are repeated for processes that missed them.
/// Successive messages rotate through all leaving marks.
const REPEATED_MARKS_MAX: usize = 4;
/// Number of newest leaving marks that every message includes.
const RECENT_MARKS_MAX: usize = 4;
/// Maximum number of suspects in one message, about 300 bytes each.
/// Successive messages rotate through all suspects.
/// The repetition reaches processes that missed the datagram sent when a suspect changed.
const REPEATED_SUSPECTS_MAX: usize = 4;
/// Maximum number of suspects in an answer to a newly started process.
const NEWCOMER_SUSPECTS_MAX: usize = 64;

/// State that is synchronised with other processes by messages.
pub(crate) struct Fleet {
    pub(crate) configuration: Adoption,
    pub(crate) vm_list: Adoption,
    /// Targets that are discovered separately from the configuration.
    pub(crate) targets: Adoption,
    discovery_reader: DiscoveryReader,
    pub(crate) readers: Readers,
    /// Filter for readers' reports that were already forwarded within the data hall.
    pub(crate) news_forwarding: ForwardingFilter<Heads>,
    /// Configuration in force, without discovered targets.
    pub(crate) base_configuration: Option<Configuration>,
    /// Values of the configuration in force that are not as published.
    pub(crate) adjustments: Vec<Adjustment>,
    /// Discovered targets in force.
    pub(crate) discovered: DiscoveredTargets,
    pub(crate) watcher_selection: WatcherSelection,
    pub(crate) members: Members,
    pub(crate) leaving: LeavingRegister,
    pub(crate) orders: Orders,
    /// Requests that are known or suspected to crash targets.
    pub(crate) quarantine: Quarantine,
    /// Last suspect in the previous message; the next message starts with the following suspect.
    suspects_cursor: Option<Fingerprint>,
    /// Last repeated leaving mark in the previous message; the next message starts after that mark.
    marks_cursor: Option<LeavingMark>,
    /// Up to [`RECENT_MARKS_MAX`] most recently added leaving marks, newest first.
    recent_marks: VecDeque<LeavingMark>,
}

/// Changes from a peer's summary that require follow-up work.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ExchangeOutcome {
    /// Documents of which the sender has a newer revision.
    pub(crate) wanted_documents: Vec<Document>,
    /// Leaving marks that were not known before.
    pub(crate) new_marks: Vec<LeavingMark>,
    /// Whether an order changed.
    pub(crate) has_new_orders: bool,
    /// Suspects that are new or have changed.
    pub(crate) new_suspects: Vec<Fingerprint>,
    /// Boot of this process, if it was raised above a later boot of its VM.
    pub(crate) raised_boot: Option<Boot>,
    /// Head of the sender's configuration, if its content differs under the revision in force here.
    /// Set only the first time that the conflict is seen.
    pub(crate) conflicting_head: Option<Head>,
}

impl Fleet {
    pub(crate) fn new(settings: &Settings, boot: Boot, now: Timestamp) -> Self {
        let own = Member {
            vm: settings.vm.clone(),
            boot,
            heartbeat: 0,
            peer_address: settings.peer_address,
            control_address: settings.control_address,
            datagram_address: settings.datagram_address,
            data_hall: settings.data_hall.clone(),
            capacity: settings.processor_share,
            phase: Phase::Starting,
            revision: None,
        };
        Self {
            configuration: Adoption::default(),
            vm_list: Adoption::default(),
            targets: Adoption::default(),
            discovery_reader: DiscoveryReader::default(),
            readers: Readers::new(settings.vm.clone(), settings.processor_share, now),
            news_forwarding: ForwardingFilter::default(),
            base_configuration: None,
            adjustments: Vec::new(),
            discovered: DiscoveredTargets::default(),
            watcher_selection: WatcherSelection::new(settings.vm.clone(), boot),
            members: Members::new(own, settings.peers.clone(), now),
            leaving: LeavingRegister::default(),
            orders: Orders::default(),
            quarantine: Quarantine::default(),
            suspects_cursor: None,
            marks_cursor: None,
            recent_marks: VecDeque::new(),
        }
    }

    /// Returns the summary of this process's fleet state to send to a peer.
    pub(crate) fn summary(
        &mut self,
        scope: GossipScope<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Exchange {
        Exchange {
            is_new: self.members.is_new(),
            members: self.members.members_to_send(scope, now, rng),
            digest: self.members.digest(now),
            configuration: self.configuration.head(),
            vm_list: self.vm_list.head(),
            targets: self.targets.head(),
            watchers: self.watcher_selection.watchers(now),
            leaving: self.marks_to_send(),
            orders: self.orders.list(now),
            suspects: self.suspects_to_send(REPEATED_SUSPECTS_MAX, now),
            rate_limits: Vec::new(),
            is_settled: self.members.is_settled(now),
        }
    }

    /// Returns the summary to send in reply to the peer's summary `theirs`.
    pub(crate) fn answer(
        &mut self,
        theirs: &Exchange,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Exchange {
        let scope = theirs.members.first().map_or(GossipScope::SenderOnly, |sender| {
            let received = ReceivedSummary {
                sender: &sender.member,
                digest: theirs.digest,
                is_new: theirs.is_new,
                is_regular: theirs.members.len() > 1,
            };
            self.members.answer_scope(&received, now)
        });
        let mut answer = self.summary(scope, now, rng);
        let sender = theirs.members.first().map(|sender| &sender.member);
        answer.members.extend(sender.and_then(|sender| self.members.later_boot_of(sender, now)));
        if theirs.is_new {
            answer.suspects = self.quarantine.page(None, NEWCOMER_SUSPECTS_MAX, now);
        }
        answer
    }

    /// Returns whether a request may be sent to a target.
    /// An operator's order overrides the quarantine.
    pub(crate) fn verdict(&self, fingerprint: Fingerprint, now: Timestamp) -> Verdict {
        match self.orders.in_effect(&OrderSubject::Request(fingerprint), now) {
            Some((OrderChange::Stop, left)) => Verdict::Refused(left),
            Some((OrderChange::Resume, _)) => Verdict::Free,
            None => self.quarantine.verdict(fingerprint, now),
        }
    }

    /// Returns the next `count` suspects in rotation.
    fn suspects_to_send(&mut self, count: usize, now: Timestamp) -> Vec<SuspectReport> {
        let mut page = self.quarantine.page(self.suspects_cursor, count, now);
        if page.is_empty() {
            page = self.quarantine.page(None, count, now);
        }
        self.suspects_cursor = page.last().map(|suspect| suspect.fingerprint);
        page
    }

    /// Returns the newest leaving marks and [`REPEATED_MARKS_MAX`] further marks in rotation.
    fn marks_to_send(&mut self) -> Vec<LeavingMark> {
        let mut repeated = self.leaving.page(self.marks_cursor.as_ref(), REPEATED_MARKS_MAX);
        if repeated.is_empty() {
            repeated = self.leaving.page(None, REPEATED_MARKS_MAX);
        }
        self.marks_cursor = repeated.last().cloned();
        let recent = self.recent_marks.iter().filter(|mark| !repeated.contains(mark));
        recent.cloned().chain(repeated.iter().cloned()).collect()
    }

    /// Offers a published list of discovered targets and puts it in force if it is adopted.
    ///
    /// Shortly after an outage of the source, or after it was restored from a copy, the targets in
    /// force differ from its list; the difference is returned.
    pub(crate) fn offer_targets(
        &mut self,
        published: &Published,
        now: Timestamp,
    ) -> (OfferOutcome, Option<Difference>) {
        let held = self.targets.head();
        let reader = &mut self.discovery_reader;
        let (outcome, listed) = self.targets.offer(published, now, |text| reader.parse(text));
        let Some(listed) = listed else {
            return (outcome, None);
        };
        let epoch = published.head().revision.epoch();
        let state = if held.is_some_and(|held| held.revision.epoch() < epoch) {
            self.readers.restored(now);
            SourceState::Restored
        } else if self.readers.has_just_been_restored(now) {
            SourceState::RecoveringFromCopy
        } else if self.readers.has_just_recovered(now) {
            SourceState::Recovering
        } else {
            SourceState::Stable
        };
        let difference = self.discovered.adopt(listed, state, now);
        if let Some(held) = held.filter(|_| state == SourceState::Restored) {
            log_restored(held, published.head(), difference);
        }
        (outcome, Some(difference))
    }

    /// Settles the targets in force that differ from the source's list.
    /// Returns whether any target was dropped or taken.
    pub(crate) fn settle_targets(&mut self, now: Timestamp) -> bool {
        let is_recovering = self.readers.has_just_recovered(now);
        self.discovered.settle(is_recovering, now)
    }

    /// Adds a leaving mark. Returns whether the mark was not known before.
    pub(crate) fn add_mark(&mut self, mark: &LeavingMark) -> bool {
        let is_new = self.leaving.add(mark);
        if is_new {
            self.recent_marks.truncate(RECENT_MARKS_MAX - 1);
            self.recent_marks.push_front(mark.clone());
        } else if !self.leaving.is_leaving(&mark.service, &mark.target, mark.incarnation) {
            warn!("leaving_mark_dropped", kv: { service: = mark.service, target: = mark.target });
        }
        is_new
    }

    /// Applies a peer's summary to the fleet state.
    pub(crate) fn apply_exchange(
        &mut self,
        exchange: &Exchange,
        now: Timestamp,
    ) -> ExchangeOutcome {
        let boot = self.members.own().boot;
        if let Some((sender, others)) = exchange.members.split_first() {
            self.members.record_answer(&sender.member, now);
            for member in others {
                self.members.merge(member, now);
            }
        }
        for watcher in &exchange.watchers {
            self.watcher_selection.merge(watcher, now);
        }
        let marks = exchange.leaving.iter();
        let marks = marks.filter(|mark| self.concerns_known_target(mark) && self.add_mark(mark));
        let marks = marks.cloned().collect();
        let mut has_new_orders = false;
        for order in &exchange.orders {
            has_new_orders |= self.orders.add(order, now);
        }
        let mut suspects = Vec::new();
        for suspect in &exchange.suspects {
            if self.quarantine.merge(suspect, now) {
                suspects.push(suspect.fingerprint);
            }
        }
        let conflicting_head =
            exchange.configuration.filter(|head| self.configuration.observe_peer_head(*head));
        ExchangeOutcome {
            wanted_documents: self.newer_documents(exchange),
            new_marks: marks,
            has_new_orders,
            new_suspects: suspects,
            raised_boot: Some(self.members.own().boot).filter(|raised| *raised != boot),
            conflicting_head,
        }
    }

    /// Returns whether a peer's leaving mark is about a target that this process knows.
    ///
    /// Otherwise, the mark of a removed target would count as new each time that it had expired.
    fn concerns_known_target(&self, mark: &LeavingMark) -> bool {
        if self.leaving.is_leaving(&mark.service, &mark.target, mark.incarnation) {
            // Marks that are already recorded skip the search through the long list of targets.
            return true;
        }
        let Some(discovery) = self.discovered.in_force() else {
            return true;
        };
        let is_named = |target: &Target| target.name == mark.target;
        let is_discovered = discovery.targets.iter().any(|found| is_named(&found.target));
        let services = self.base_configuration.iter().flat_map(|base| &base.services);
        is_discovered || services.flat_map(|service| &service.targets).any(is_named)
    }

    /// Records the documents that another process has in force. Returns whether this process is behind
    /// from now on.
    pub(crate) fn record_announced(&mut self, theirs: Heads, now: Timestamp) -> bool {
        let announce = |adoption: &mut Adoption, head: Option<Head>| {
            head.is_some_and(|head| adoption.record_announced(head, now))
        };
        let is_behind = announce(&mut self.configuration, theirs.configuration);
        announce(&mut self.targets, theirs.targets) || is_behind
    }

    /// Returns since when newer documents than those in force have been known.
    pub(crate) fn behind(&self) -> Behind {
        Behind {
            configuration_since: self.configuration.behind_since(),
            targets_since: self.targets.behind_since(),
        }
    }

    /// Returns whether a document in force here is newer than that of another process.
    pub(crate) fn has_newer_than(&self, theirs: Heads) -> bool {
        is_newer(self.configuration.head(), theirs.configuration)
            || is_newer(self.targets.head(), theirs.targets)
    }

    /// Returns the documents of which the sender of `exchange` has a newer revision.
    fn newer_documents(&self, exchange: &Exchange) -> Vec<Document> {
        let mut wanted = Vec::new();
        if is_newer(exchange.configuration, self.configuration.head()) {
            wanted.push(Document::Configuration);
        }
        if is_newer(exchange.targets, self.targets.head()) {
            wanted.push(Document::Targets);
        }
        if is_newer(exchange.vm_list, self.vm_list.head()) {
            wanted.push(Document::VmList);
        }
        wanted
    }

    pub(crate) fn document(&self, document: Document) -> &Adoption {
        match document {
            Document::Configuration => &self.configuration,
            Document::VmList => &self.vm_list,
            Document::Targets => &self.targets,
        }
    }

    /// Adjusts time-based state after this process was paused for `gap`.
    pub(crate) fn paused(&mut self, gap: Duration) {
        self.watcher_selection.paused();
        self.readers.paused(gap);
        self.members.paused(gap);
    }
}

fn log_restored(held: Head, adopted: Head, difference: Difference) {
    warn!("source_restored", kv: {
        epoch_held: = held.revision.epoch(), revision_held: = held.revision,
        epoch: = adopted.revision.epoch(), revision: = adopted.revision,
        kept = difference.kept, withheld = difference.withheld
    });
}

/// Returns whether `left` has a larger revision than `right`. Any revision is larger than none.
fn is_newer(left: Option<Head>, right: Option<Head>) -> bool {
    left.map(|head| head.revision) > right.map(|head| head.revision)
}
