//! Operators' temporary orders, held in the memory of the fleet's processes until they expire.
//!
//! For each subject the order with the largest stamp is in effect. Taking the larger stamp does
//! not depend on the order or number of messages. If two operators give opposite orders at two
//! VMs, the same order wins at every process, and both operators can see which one.
//!
//! An order is lost when it expires, or if every process that knows it is replaced before relaying
//! it. Settings that must outlive the fleet's processes belong in the configuration.

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

/// Maximum number of orders that a process keeps and relays.
const ORDERS_MAX: usize = 128;
/// Longest lifetime of an order.
const LIFETIME_MAX: Duration = Duration::from_hours(24);

/// Subject that an order changes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderSubject {
    /// Whether a target receives new work.
    #[display("target {_0}/{_1}")]
    Target(ServiceName, TargetName),
    /// Whether the targets of a service are probed.
    #[display("probing {_0}")]
    Probing(ServiceName),
    /// Whether the targets of a data hall receive new work.
    #[display("hall {_0}")]
    DataHall(DataHallName),
    /// Whether a request is refused, regardless of its crashes in the quarantine.
    #[display("request {_0}")]
    Request(Fingerprint),
}

/// Change that an order makes to its subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderChange {
    /// Drains the target or data hall, pauses the probing, or refuses the request.
    #[display("stop")]
    Stop,
    /// Undrains the target or data hall, resumes the probing,
    /// or lets the request through despite its crashes.
    #[display("resume")]
    Resume,
}

/// Version of an order; of two orders on one subject, the one with the larger stamp is in effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderStamp {
    /// Counter that is larger than all counters known to the issuing VM.
    pub counter: u64,
    /// VM at which the order was given; breaks ties between equal counters.
    pub vm: VmName,
}

/// An order as sent between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Subject that the order changes.
    pub subject: OrderSubject,
    /// Change that the order makes to its subject.
    pub change: OrderChange,
    /// Stamp that decides between several orders on the same subject.
    pub stamp: OrderStamp,
    /// Operator who gave the order.
    pub operator: String,
    /// Configuration revision in force at the process where the order was given.
    pub revision: Option<Revision>,
    /// Remaining lifetime of the order, in milliseconds.
    pub expires_in_ms: u64,
}

/// An operator's order before it has received a stamp.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderDraft {
    /// Subject that the order is to change.
    pub subject: OrderSubject,
    /// Change that the order is to make to its subject.
    pub change: OrderChange,
    /// Operator who gives the order.
    pub operator: String,
    /// Configuration revision in force at the process where the order is given.
    pub revision: Option<Revision>,
    /// Requested lifetime of the order.
    pub expires_in: Duration,
}

#[derive(Debug, Clone)]
struct HeldOrder {
    order: Order,
    expires_at: Timestamp,
}

/// All orders known to this process.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    held: BTreeMap<OrderSubject, HeldOrder>,
    counter: u64,
}

impl Orders {
    /// Creates an order given at `vm`, with a stamp larger than those of all orders known here.
    ///
    /// The order lives at least as long as the order that it replaces. Otherwise a process that
    /// was unreachable could bring the replaced order back after the new one has expired.
    pub fn issue(&mut self, vm: VmName, draft: OrderDraft, now: Timestamp) -> Order {
        self.counter += 1;
        let replaced = self.held.get(&draft.subject).map(|held| now.until(held.expires_at));
        let lifetime = draft.expires_in.max(replaced.unwrap_or_default()).min(LIFETIME_MAX);
        Order {
            subject: draft.subject,
            change: draft.change,
            stamp: OrderStamp { counter: self.counter, vm },
            operator: draft.operator,
            revision: draft.revision,
            expires_in_ms: lifetime.as_millis() as u64,
        }
    }

    /// Merges an order. Returns whether the order is now in effect and was not before.
    pub fn add(&mut self, order: &Order, now: Timestamp) -> bool {
        self.counter = self.counter.max(order.stamp.counter);
        let lifetime = Duration::from_millis(order.expires_in_ms).min(LIFETIME_MAX);
        if lifetime.is_zero() {
            return false;
        }
        let held = HeldOrder { order: order.clone(), expires_at: now + lifetime };
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

    /// Returns whether no orders are held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether the order in effect for `subject` is [`OrderChange::Stop`].
    pub fn is_stopped(&self, subject: &OrderSubject, now: Timestamp) -> bool {
        let held = self.held.get(subject).filter(|held| now < held.expires_at);
        held.is_some_and(|held| held.order.change == OrderChange::Stop)
    }

    /// Returns the change and remaining lifetime of the order in effect for `subject`.
    pub fn in_effect(
        &self,
        subject: &OrderSubject,
        now: Timestamp,
    ) -> Option<(OrderChange, Duration)> {
        let held = self.held.get(subject)?;
        let left = now.until(held.expires_at);
        (!left.is_zero()).then_some((held.order.change, left))
    }

    /// Returns the data halls that the orders in effect drain.
    pub fn drained_halls(&self, now: Timestamp) -> Vec<DataHallName> {
        let stopped = self.held.keys().filter(|subject| self.is_stopped(subject, now));
        let hall = |subject: &OrderSubject| match subject {
            OrderSubject::DataHall(hall) => Some(hall.clone()),
            OrderSubject::Target(..) | OrderSubject::Probing(_) | OrderSubject::Request(_) => None,
        };
        stopped.filter_map(hall).collect()
    }

    /// Returns the orders in effect, with their remaining lifetimes.
    pub fn list(&self, now: Timestamp) -> Vec<Order> {
        let unexpired = self.held.values().filter(|held| now < held.expires_at);
        let with_time_left = unexpired.map(|held| Order {
            expires_in_ms: now.until(held.expires_at).as_millis() as u64,
            ..held.order.clone()
        });
        with_time_left.collect()
    }

    /// Drops expired orders. Returns whether any order was dropped.
    pub fn forget_expired(&mut self, now: Timestamp) -> bool {
        let before = self.held.len();
        self.held.retain(|_, held| now < held.expires_at);
        self.held.len() < before
    }
}
