//! Capacity that the group of one data hall keeps for requests with long answers.
//!
//! Traffic between data halls is charged by volume, so requests with small answers should leave an
//! overloaded hall first: they free a slot at the least cost. The group therefore redirects a
//! request while it still has spare capacity, if that capacity is not larger than a reserve for
//! requests with longer answers. This is trunk reservation, a method of telephone networks: a
//! reserve of a few slots shifts most of the overflow to the other classes, because a group that is
//! nearly full has a free slot only for short times.
//!
//! The state is a few numbers per class of answer length, whatever lengths and rates arrive. It
//! expires after [`LOAD_TTL`], so an allocator that takes over has a correct reserve within that
//! time, and an allocator that has just started reserves little, as if there were no reserve.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Strategy;
use thymeshift_types::Timestamp;

/// Number of classes of answer lengths; the last one has no upper bound.
/// The costs of two answers within a factor of two of each other hardly differ.
const CLASS_COUNT: usize = 8;
/// Time over which the rate of arrivals is averaged: long enough to count several requests of a
/// kind, short enough to follow callers that move between halls within seconds.
const LOAD_AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Time without an arrival after which a class has no load.
/// Without this bound, the load would decay forever and never reach a reserve of zero.
const LOAD_TTL: Duration = Duration::from_secs(2);
/// Largest share of the capacity that is reserved, as a divisor.
/// Small groups would otherwise keep a large share of their targets idle.
const RESERVE_DIVISOR_MIN: u32 = 4;
/// Time after a redirect during which the group reports no headroom. Two reports of headroom are
/// 250 ms apart, so each other group learns of a redirect before it is offered headroom again.
const REDIRECTING_WINDOW: Duration = Duration::from_millis(500);

/// Why a group redirects a request to another group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedirectCause {
    /// The group has no spare capacity.
    NoRoom,
    /// The spare capacity is reserved for requests with longer answers.
    Reserved,
}

impl RedirectCause {
    /// Returns the name of the cause in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::Reserved => "reserved",
        }
    }
}

/// Properties of a group that its reserve depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupCapacity {
    /// Further requests that the targets can serve at nearly their usual pace.
    pub spare: u32,
    /// Requests that the targets serve at the same time.
    pub total: u32,
    /// Mean time of a request at a target.
    pub service_time: Duration,
}

impl GroupCapacity {
    /// Returns the capacity of the group whose requests the dispatcher decides.
    pub fn of<S: Strategy>(dispatcher: &Dispatcher<S>, now: Timestamp) -> Self {
        Self {
            spare: dispatcher.spare_capacity(now),
            total: dispatcher.capacity(now),
            service_time: dispatcher.service_time(),
        }
    }
}

/// Offered load and reserve of one class of answer lengths, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SpilloverClassDump {
    /// Least answer length of the class, in KiB; the lowest class also contains unknown lengths.
    pub answer_kib_min: u32,
    /// Mean number of targets' slots that requests of the class occupy, or would occupy.
    pub offered_slots: f64,
    /// Spare capacity up to which requests of the class are redirected.
    pub reserve_above: u32,
}

/// Mean rate of arrivals of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivalRate {
    per_s: f64,
    last_at: Timestamp,
}

impl ArrivalRate {
    fn per_s(&self, now: Timestamp) -> f64 {
        let age = now.since(self.last_at);
        if age >= LOAD_TTL {
            return 0.0;
        }
        self.per_s * (-age.as_secs_f64() / LOAD_AVERAGE_TIME.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Timestamp) {
        self.per_s = self.per_s(now) + 1.0 / LOAD_AVERAGE_TIME.as_secs_f64();
        self.last_at = now;
    }
}

/// Reserve of one group for requests with long answers, kept by the group's allocator.
#[derive(Debug, Clone, Default)]
pub struct SpilloverReserve {
    classes: [ArrivalRate; CLASS_COUNT],
    redirected_at: Option<Timestamp>,
}

impl SpilloverReserve {
    /// Records a request of the group's own hall with this expected answer length.
    pub fn record_arrival(&mut self, answer_kib: u32, now: Timestamp) {
        self.classes[class_of(answer_kib)].record(now);
    }

    /// Returns the reserve for classes with longer answers than `answer_kib`, in requests.
    /// There is none against requests of unknown length, which may have the longest answers.
    pub fn reserve_above(
        &self,
        answer_kib: u32,
        service_time: Duration,
        capacity: u32,
        now: Timestamp,
    ) -> u32 {
        if answer_kib == 0 {
            return 0;
        }
        self.reserve_from(class_of(answer_kib) + 1, service_time, capacity, now)
    }

    /// Returns the reserve for all classes, which applies to requests of other halls, in requests.
    pub fn total_reserve(&self, service_time: Duration, capacity: u32, now: Timestamp) -> u32 {
        self.reserve_from(0, service_time, capacity, now)
    }

    /// Records that the group has redirected a request to another group.
    pub fn record_redirect(&mut self, now: Timestamp) {
        self.redirected_at = Some(now);
    }

    /// Whether the group has redirected a request to another group a moment ago.
    pub fn is_redirecting(&self, now: Timestamp) -> bool {
        self.redirected_at.is_some_and(|at| now.since(at) < REDIRECTING_WINDOW)
    }

    /// Returns why a request with this expected answer length is redirected if another group has
    /// headroom, or `None` if this group takes the request.
    pub fn redirect_cause(
        &self,
        answer_kib: u32,
        capacity: &GroupCapacity,
        now: Timestamp,
    ) -> Option<RedirectCause> {
        let GroupCapacity { spare, total, service_time } = *capacity;
        if spare == 0 {
            return Some(RedirectCause::NoRoom);
        }
        let reserve = self.reserve_above(answer_kib, service_time, total, now);
        (spare <= reserve).then_some(RedirectCause::Reserved)
    }

    /// Returns the headroom that the group reports to other groups. It is zero while the group
    /// redirects requests itself, so that two groups do not redirect to each other.
    pub fn reported_headroom(&self, capacity: &GroupCapacity, now: Timestamp) -> u32 {
        if self.is_redirecting(now) {
            return 0;
        }
        let reserve = self.total_reserve(capacity.service_time, capacity.total, now);
        capacity.spare.saturating_sub(reserve)
    }

    /// Returns the load and the reserve of each class that has any load.
    pub fn dump(&self, capacity: &GroupCapacity, now: Timestamp) -> Vec<SpilloverClassDump> {
        let GroupCapacity { total, service_time, .. } = *capacity;
        let class = |index: usize| SpilloverClassDump {
            answer_kib_min: 1 << index,
            offered_slots: self.classes[index].per_s(now) * service_time.as_secs_f64(),
            reserve_above: self.reserve_from(index + 1, service_time, total, now),
        };
        (0..CLASS_COUNT).map(class).filter(|class| class.offered_slots > 0.0).collect()
    }

    /// Returns the reserve for the classes from index `first` on: the square root of their load,
    /// which is the standard deviation of the number of slots that they occupy.
    fn reserve_from(
        &self,
        first: usize,
        service_time: Duration,
        capacity: u32,
        now: Timestamp,
    ) -> u32 {
        let per_s: f64 = self.classes[first..].iter().map(|class| class.per_s(now)).sum();
        let offered_slots = per_s * service_time.as_secs_f64();
        (offered_slots.sqrt().ceil() as u32).min(capacity / RESERVE_DIVISOR_MIN)
    }
}

/// Returns the index of the class: answers of 2 KiB and more but less than 4 are class 1, and so on.
fn class_of(answer_kib: u32) -> usize {
    (answer_kib.max(1).ilog2() as usize).min(CLASS_COUNT - 1)
}
