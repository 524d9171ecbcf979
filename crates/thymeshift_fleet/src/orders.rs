//! Operators' temporary orders, held in the fleet's memory until they expire.
//!
//! For each subject the order with the largest stamp holds. Taking the larger of two
//! stamps does not depend on the order or number of messages, so two operators who give
//! opposite orders at two VMs end with the same one everywhere, and both can see which.
//!
//! An order is lost if every process that knows it is replaced before it is passed on, or
//! at its expiry. What must outlive the fleet belongs into the configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::DataHallName;
use thymeshift_types::Fingerprint;
use thymeshift_types::Revision;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// Orders kept and passed on at most.
const ORDERS_MAX: usize = 128;
/// Longest time an order may hold.
const EXPIRY_MAX: Duration = Duration::from_hours(24);

/// What an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderSubject {
    /// Whether a target gets new work.
    #[display("target {_0}/{_1}")]
    Target(ServiceName, TargetName),
    /// Whether a service's targets are probed.
    #[display("probing {_0}")]
    Probing(ServiceName),
    /// Whether the targets of a data hall get new work.
    #[display("hall {_0}")]
    DataHall(DataHallName),
    /// Whether a request is refused, whatever is known of it.
    #[display("request {_0}")]
    Request(Fingerprint),
}

/// What an order says about its subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderChange {
    /// Stop: drain the target, pause the probing.
    #[display("stop")]
    Stop,
    /// As configured: undrain the target, go on probing.
    #[display("resume")]
    Resume,
}

/// Decides between two orders on one subject. Larger holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderStamp {
    /// Counts up: larger than every counter its VM knew.
    pub counter: u64,
    /// The VM that took the order; decides between equal counters.
    pub vm: VmName,
}

/// An order as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What it is about.
    pub subject: OrderSubject,
    /// What it says.
    pub change: OrderChange,
    /// Which of two orders holds.
    pub stamp: OrderStamp,
    /// Who gave it.
    pub operator: String,
    /// The configuration's revision in force where it was given.
    pub revision: Option<Revision>,
    /// Time left, in milliseconds.
    pub expires_in_ms: u64,
}

/// An order before it has a stamp.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderDraft {
    /// What it is about.
    pub subject: OrderSubject,
    /// What it says.
    pub change: OrderChange,
    /// Who gives it.
    pub operator: String,
    /// The configuration's revision in force where it is given.
    pub revision: Option<Revision>,
    /// How long it shall hold.
    pub expires_in: Duration,
}

#[derive(Debug, Clone)]
struct Held {
    order: Order,
    expires_at: Timestamp,
}

/// All orders known to this process.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    held: BTreeMap<OrderSubject, Held>,
    counter: u64,
}

impl Orders {
    /// A new order taken at `vm`, with a stamp larger than that of every order known here.
    ///
    /// It holds at least as long as the order it ends. Otherwise a process that was cut
    /// off could bring the ended one back after the new one has expired.
    pub fn issue(&mut self, vm: VmName, draft: OrderDraft, now: Timestamp) -> Order {
        self.counter += 1;
        let ended = self.held.get(&draft.subject).map(|held| now.until(held.expires_at));
        let expiry = draft.expires_in.max(ended.unwrap_or_default()).min(EXPIRY_MAX);
        Order {
            subject: draft.subject,
            change: draft.change,
            stamp: OrderStamp { counter: self.counter, vm },
            operator: draft.operator,
            revision: draft.revision,
            expires_in_ms: expiry.as_millis() as u64,
        }
    }

    /// Takes in an order. Returns whether it holds now and did not before.
    pub fn add(&mut self, order: &Order, now: Timestamp) -> bool {
        self.counter = self.counter.max(order.stamp.counter);
        let expiry = Duration::from_millis(order.expires_in_ms).min(EXPIRY_MAX);
        if expiry.is_zero() {
            return false;
        }
        let held = Held { order: order.clone(), expires_at: now + expiry };
        let is_full = self.held.len() >= ORDERS_MAX;
        match self.held.get_mut(&order.subject) {
            Some(known) if known.order.stamp >= order.stamp => false,
            Some(known) => {
                *known = held;
                true
            }
            None if is_full => false,
            None => {
                self.held.insert(order.subject.clone(), held);
                true
            }
        }
    }

    /// Whether no order is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether the order that holds for `subject` says stop.
    pub fn is_stopped(&self, subject: &OrderSubject, now: Timestamp) -> bool {
        let held = self.held.get(subject).filter(|held| now < held.expires_at);
        held.is_some_and(|held| held.order.change == OrderChange::Stop)
    }

    /// What the order that holds for `subject` says, and for how long.
    pub fn holding(
        &self,
        subject: &OrderSubject,
        now: Timestamp,
    ) -> Option<(OrderChange, Duration)> {
        let held = self.held.get(subject)?;
        let left = now.until(held.expires_at);
        (!left.is_zero()).then_some((held.order.change, left))
    }

    /// Data halls that orders which hold say to drain.
    pub fn drained_halls(&self, now: Timestamp) -> Vec<DataHallName> {
        let stopped = self.held.keys().filter(|subject| self.is_stopped(subject, now));
        let hall = |subject: &OrderSubject| match subject {
            OrderSubject::DataHall(hall) => Some(hall.clone()),
            OrderSubject::Target(..) | OrderSubject::Probing(_) | OrderSubject::Request(_) => None,
        };
        stopped.filter_map(hall).collect()
    }

    /// The orders that hold, with the time they have left.
    pub fn list(&self, now: Timestamp) -> Vec<Order> {
        let holding = self.held.values().filter(|held| now < held.expires_at);
        let with_time_left = holding.map(|held| Order {
            expires_in_ms: now.until(held.expires_at).as_millis() as u64,
            ..held.order.clone()
        });
        with_time_left.collect()
    }

    /// Forgets expired orders. Returns whether there were any.
    pub fn forget_expired(&mut self, now: Timestamp) -> bool {
        let before = self.held.len();
        self.held.retain(|_, held| now < held.expires_at);
        self.held.len() < before
    }
}
