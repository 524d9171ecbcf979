//! What this process knows of the fleet, under one lock.

use std::time::Duration;

use rand::Rng;
use thymeshift_config::Settings;
use thymeshift_fleet::Adoption;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Head;
use thymeshift_fleet::LeavingRegister;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::Orders;
use thymeshift_fleet::Phase;
use thymeshift_fleet::WatchElection;
use thymeshift_types::LeavingMark;
use thymeshift_types::Timestamp;
use thymeshift_wire::Document;
use thymeshift_wire::Exchange;

/// Leaving marks in one message.
const MARKS_IN_MESSAGE: usize = 32;

/// State that is shared with other processes by messages.
pub(crate) struct Fleet {
    pub(crate) configuration: Adoption,
    pub(crate) vm_list: Adoption,
    pub(crate) election: WatchElection,
    pub(crate) members: Members,
    pub(crate) leaving: LeavingRegister,
    pub(crate) orders: Orders,
    marks_sent_to: Option<LeavingMark>,
}

/// What is to be done after a message was taken in.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Taken {
    /// Documents that the sender has newer.
    pub(crate) wanted: Vec<Document>,
    /// Marks that are news.
    pub(crate) marks: Vec<LeavingMark>,
    /// Whether an order changed.
    pub(crate) has_new_orders: bool,
}

impl Fleet {
    pub(crate) fn new(settings: &Settings, boot: Boot) -> Self {
        let own = Member {
            vm: settings.vm.clone(),
            boot,
            heartbeat: 0,
            peer_address: settings.peer_address,
            control_address: settings.control_address,
            data_hall: settings.data_hall.clone(),
            phase: Phase::Starting,
            revision: None,
        };
        Self {
            configuration: Adoption::default(),
            vm_list: Adoption::default(),
            election: WatchElection::new(settings.vm.clone(), boot),
            members: Members::new(own, settings.peers.clone()),
            leaving: LeavingRegister::default(),
            orders: Orders::default(),
            marks_sent_to: None,
        }
    }

    /// The summary to send.
    pub(crate) fn summary(&mut self, now: Timestamp, rng: &mut impl Rng) -> Exchange {
        let mut leaving = self.leaving.page(self.marks_sent_to.as_ref(), MARKS_IN_MESSAGE);
        if leaving.is_empty() {
            leaving = self.leaving.page(None, MARKS_IN_MESSAGE);
        }
        self.marks_sent_to = leaving.last().cloned();
        Exchange {
            members: self.members.passed_on(now, rng),
            configuration: self.configuration.head(),
            vm_list: self.vm_list.head(),
            watchers: self.election.watchers(now),
            leaving,
            orders: self.orders.list(now),
        }
    }

    /// Takes in a summary.
    pub(crate) fn take(&mut self, exchange: &Exchange, now: Timestamp) -> Taken {
        if let Some((sender, others)) = exchange.members.split_first() {
            self.members.answered(sender, now);
            for member in others {
                self.members.learn(member, now);
            }
        }
        for watcher in &exchange.watchers {
            self.election.learn(watcher, now);
        }
        let marks = exchange.leaving.iter().filter(|mark| self.leaving.add(mark));
        let marks = marks.cloned().collect();
        let mut has_new_orders = false;
        for order in &exchange.orders {
            has_new_orders |= self.orders.add(order, now);
        }
        Taken { wanted: self.wanted(exchange), marks, has_new_orders }
    }

    fn wanted(&self, exchange: &Exchange) -> Vec<Document> {
        let mut wanted = Vec::new();
        if is_newer(exchange.configuration, self.configuration.head()) {
            wanted.push(Document::Configuration);
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
        }
    }

    /// This process was paused for `gap`.
    pub(crate) fn paused(&mut self, gap: Duration) {
        self.election.paused();
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
