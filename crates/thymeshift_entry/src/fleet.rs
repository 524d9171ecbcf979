//! What this process knows of the fleet, under one lock.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use spdlog::warn;
use thymeshift_config::Configuration;
use thymeshift_config::Discovery;
use thymeshift_config::DiscoveryReader;
use thymeshift_config::Settings;
use thymeshift_config::Target;
use thymeshift_fleet::Adoption;
use thymeshift_fleet::Asked;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Breadth;
use thymeshift_fleet::Head;
use thymeshift_fleet::LeavingRegister;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::Offer;
use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderSubject;
use thymeshift_fleet::Orders;
use thymeshift_fleet::PassingOn;
use thymeshift_fleet::Phase;
use thymeshift_fleet::Published;
use thymeshift_fleet::Quarantine;
use thymeshift_fleet::Readers;
use thymeshift_fleet::SuspectReport;
use thymeshift_fleet::Verdict;
use thymeshift_fleet::WatchElection;
use thymeshift_types::Fingerprint;
use thymeshift_types::LeavingMark;
use thymeshift_types::Timestamp;
use thymeshift_wire::Document;
use thymeshift_wire::Exchange;
use thymeshift_wire::Heads;

/// Leaving marks in one message that are repeated in turn, for processes that missed them.
const MARKS_REPEATED: usize = 4;
/// Newest leaving marks, which every message holds.
const MARKS_RECENT: usize = 4;
/// Suspects in one message, in turn: about 300 bytes each. News of them is told at once by
/// datagram; this is for processes that missed it.
const SUSPECTS_REPEATED: usize = 4;
/// The same to a process that has hardly heard of others.
const SUSPECTS_TOLD_NEW: usize = 64;

/// State that is shared with other processes by messages.
pub(crate) struct Fleet {
    pub(crate) configuration: Adoption,
    pub(crate) vm_list: Adoption,
    /// Targets that are discovered apart from the configuration.
    pub(crate) targets: Adoption,
    discovery_reader: DiscoveryReader,
    pub(crate) readers: Readers,
    /// News of readers that was passed on within the data hall.
    pub(crate) news_forwarding: PassingOn<Heads>,
    /// The configuration in force, without discovered targets.
    pub(crate) base_configuration: Option<Configuration>,
    /// The discovered targets in force: those listed, and those kept for a moment.
    pub(crate) discovery: Option<Discovery>,
    /// The discovered targets as listed, while others are kept beside them.
    listed: Option<Discovery>,
    pub(crate) election: WatchElection,
    pub(crate) members: Members,
    pub(crate) leaving: LeavingRegister,
    pub(crate) orders: Orders,
    /// Requests that crash the targets which run them.
    pub(crate) quarantine: Quarantine,
    suspects_repeated_to: Option<Fingerprint>,
    repeated_to: Option<LeavingMark>,
    recent_marks: VecDeque<LeavingMark>,
}

/// What is to be done after a message was taken in.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ExchangeOutcome {
    /// Documents that the sender has newer.
    pub(crate) wanted_documents: Vec<Document>,
    /// Marks that are news.
    pub(crate) new_marks: Vec<LeavingMark>,
    /// Whether an order changed.
    pub(crate) has_new_orders: bool,
    /// Suspects of which something is news.
    pub(crate) new_suspects: Vec<Fingerprint>,
    /// Other content that the sender runs under the revision in force here.
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
            news_forwarding: PassingOn::default(),
            base_configuration: None,
            discovery: None,
            listed: None,
            election: WatchElection::new(settings.vm.clone(), boot),
            members: Members::new(own, settings.peers.clone()),
            leaving: LeavingRegister::default(),
            orders: Orders::default(),
            quarantine: Quarantine::default(),
            suspects_repeated_to: None,
            repeated_to: None,
            recent_marks: VecDeque::new(),
        }
    }

    /// The summary to send.
    pub(crate) fn summary(
        &mut self,
        breadth: Breadth<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Exchange {
        Exchange {
            is_new: self.members.is_new(),
            members: self.members.passed_on(breadth, now, rng),
            digest: self.members.digest(now),
            configuration: self.configuration.head(),
            vm_list: self.vm_list.head(),
            targets: self.targets.head(),
            watchers: self.election.watchers(now),
            leaving: self.marks_to_send(),
            orders: self.orders.list(now),
            suspects: self.suspects_to_send(SUSPECTS_REPEATED, now),
            rate_limits: Vec::new(),
        }
    }

    /// The summary that answers `theirs`.
    pub(crate) fn answer(
        &mut self,
        theirs: &Exchange,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Exchange {
        let breadth = theirs.members.first().map_or(Breadth::News, |sender| {
            let asked = Asked {
                sender: &sender.member,
                digest: theirs.digest,
                is_new: theirs.is_new,
                is_regular: theirs.members.len() > 1,
            };
            self.members.answer_breadth(&asked, now)
        });
        let mut answer = self.summary(breadth, now, rng);
        if theirs.is_new {
            answer.suspects = self.quarantine.page(None, SUSPECTS_TOLD_NEW, now);
        }
        answer
    }

    /// Whether a request may be sent to a target. An operator's order goes before what is known.
    pub(crate) fn verdict(&self, fingerprint: Fingerprint, now: Timestamp) -> Verdict {
        match self.orders.holding(&OrderSubject::Request(fingerprint), now) {
            Some((OrderChange::Stop, left)) => Verdict::Refused(left),
            Some((OrderChange::Resume, _)) => Verdict::Free,
            None => self.quarantine.verdict(fingerprint, now),
        }
    }

    /// A few of the suspects, in turn.
    fn suspects_to_send(&mut self, count: usize, now: Timestamp) -> Vec<SuspectReport> {
        let mut page = self.quarantine.page(self.suspects_repeated_to, count, now);
        if page.is_empty() {
            page = self.quarantine.page(None, count, now);
        }
        self.suspects_repeated_to = page.last().map(|told| told.fingerprint);
        page
    }

    /// The newest marks, and a few of all the others in turn.
    fn marks_to_send(&mut self) -> Vec<LeavingMark> {
        let mut repeated = self.leaving.page(self.repeated_to.as_ref(), MARKS_REPEATED);
        if repeated.is_empty() {
            repeated = self.leaving.page(None, MARKS_REPEATED);
        }
        self.repeated_to = repeated.last().cloned();
        let recent = self.recent_marks.iter().filter(|mark| !repeated.contains(mark));
        recent.cloned().chain(repeated.iter().cloned()).collect()
    }

    /// Offers a list of discovered targets; returns it if it is to be put in force.
    pub(crate) fn offer_targets(
        &mut self,
        published: &Published,
        now: Timestamp,
    ) -> (Offer, Option<Discovery>) {
        let reader = &mut self.discovery_reader;
        self.targets.offer(published, now, |text| reader.parse(text))
    }

    /// Takes in discovered targets. While the source has just returned from an outage,
    /// targets that served before are kept although it does not list them: it may have
    /// forgotten them meanwhile, and those that live are listed again soon. Returns how many
    /// are kept.
    pub(crate) fn adopt_discovery(&mut self, listed: Discovery, now: Timestamp) -> usize {
        let before = self.discovery.take().filter(|_| self.readers.is_just_back(now));
        let Some(before) = before else {
            self.listed = None;
            self.discovery = Some(listed);
            return 0;
        };
        let (kept, count) = listed.keeping(&before);
        self.discovery = Some(kept);
        self.listed = (count > 0).then_some(listed);
        count
    }

    /// Drops kept targets that were not listed again in time. Returns whether there were any.
    pub(crate) fn drop_kept_targets(&mut self, now: Timestamp) -> bool {
        if self.readers.is_just_back(now) {
            return false;
        }
        let Some(listed) = self.listed.take() else {
            return false;
        };
        self.discovery = Some(listed);
        true
    }

    /// Takes in a leaving mark. Returns whether it is news.
    pub(crate) fn add_mark(&mut self, mark: &LeavingMark) -> bool {
        let is_news = self.leaving.add(mark);
        if is_news {
            self.recent_marks.truncate(MARKS_RECENT - 1);
            self.recent_marks.push_front(mark.clone());
        } else if !self.leaving.is_leaving(&mark.service, &mark.target, mark.incarnation) {
            warn!("leaving_mark_dropped", kv: { service: = mark.service, target: = mark.target });
        }
        is_news
    }

    /// Takes in a summary.
    pub(crate) fn apply_exchange(
        &mut self,
        exchange: &Exchange,
        now: Timestamp,
    ) -> ExchangeOutcome {
        if let Some((sender, others)) = exchange.members.split_first() {
            self.members.answered(&sender.member, now);
            for told in others {
                self.members.learn(told, now);
            }
        }
        for watcher in &exchange.watchers {
            self.election.learn(watcher, now);
        }
        let marks = exchange.leaving.iter();
        let marks = marks.filter(|mark| self.is_wanted(mark) && self.add_mark(mark));
        let marks = marks.cloned().collect();
        let mut has_new_orders = false;
        for order in &exchange.orders {
            has_new_orders |= self.orders.add(order, now);
        }
        let mut suspects = Vec::new();
        for told in &exchange.suspects {
            if self.quarantine.take(told, now) {
                suspects.push(told.fingerprint);
            }
        }
        let seen = exchange.configuration.filter(|head| self.configuration.see(*head));
        ExchangeOutcome {
            wanted_documents: self.wanted(exchange),
            new_marks: marks,
            has_new_orders,
            new_suspects: suspects,
            conflicting_head: seen,
        }
    }

    /// Whether a mark of a peer is about a target that is known here. A discovered target
    /// that is gone would otherwise be news again each time its mark had been forgotten.
    fn is_wanted(&self, mark: &LeavingMark) -> bool {
        if self.leaving.is_leaving(&mark.service, &mark.target, mark.incarnation) {
            // Known already; the list of targets is long.
            return true;
        }
        let Some(discovery) = &self.discovery else {
            return true;
        };
        let is_named = |target: &Target| target.name == mark.target;
        let is_discovered = discovery.targets.iter().any(|found| is_named(&found.target));
        let services = self.base_configuration.iter().flat_map(|base| &base.services);
        is_discovered || services.flat_map(|service| &service.targets).any(is_named)
    }

    fn wanted(&self, exchange: &Exchange) -> Vec<Document> {
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

    /// This process was paused for `gap`.
    pub(crate) fn paused(&mut self, gap: Duration) {
        self.election.paused();
        self.readers.paused(gap);
        self.members.paused(gap);
    }
}

/// Whether the other side has a larger revision.
fn is_newer(theirs: Option<Head>, ours: Option<Head>) -> bool {
    match (theirs, ours) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(theirs), Some(ours)) => theirs.revision > ours.revision,
    }
}
