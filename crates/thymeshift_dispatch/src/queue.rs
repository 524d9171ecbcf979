//! Priority queue of the requests that wait for a target.
//!
//! Requests that can still be answered within their objective are served before those that cannot,
//! and among each of these, higher priorities are served first.
//! Every [`STARVATION_INTERVAL`]th request served is from the lowest priority with waiting
//! requests. Within a priority, the oldest request is served first until the oldest has used up
//! half of its wait limit. The priority is then overloaded and the newest request is served first,
//! because it is the most likely to be in time.
//!
//! A request that waits for a target in its own data hall is skipped while that hall has no open
//! target, so that it does not block the requests behind it. When its local wait ends, its age
//! decides its place like that of any other request.
//!
//! If callers are served fairly, an overloaded priority serves the request of the class of callers
//! with the fewest recent requests first, and the newest one among equal classes. Without overload
//! the order stays the same: an order by callers would let old requests expire that are in time.
//!
//! The lowest priority, such as archive requests, may wait but must not starve.
//! Under overload, a first-in-first-out queue would answer every request too late.
//! A request that is late anyway loses no further value by waiting a little longer.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Timestamp;

use crate::CallerShares;
use crate::Request;
use crate::locality::HallSet;
use crate::locality::HomeDemand;
use crate::locality::HomeState;
use crate::strategy::Reach;

/// Interval, in served requests, at which the lowest priority with waiting requests is served.
const STARVATION_INTERVAL: u32 = 16;

/// Identifier of a waiting request in the queue of one dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(u64);

/// Whether a waiting request takes only targets in its own data hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LocalWait {
    /// The request was queued without a local wait.
    None,
    /// The request waits for a target in its own hall.
    AtHome,
    /// The local wait has ended, which [`Queue::next_ended_local_wait`] has not returned yet.
    Ended,
    /// The end of the local wait was returned.
    EndReported,
}

/// Request in the queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) request: Request,
    pub(crate) queued_at: Timestamp,
    local_wait: LocalWait,
    /// Whether the request is refused in favour of a caller who asks for less.
    pub(crate) is_evicted: bool,
}

impl Waiter {
    fn is_expired(&self, now: Timestamp) -> bool {
        self.is_evicted || now >= self.request.wait_until
    }

    /// Whether an answer that arrives at `answered_at` meets the objective of the request.
    fn is_in_time(&self, answered_at: Timestamp) -> bool {
        answered_at <= self.request.objective
    }

    /// Whether half of the wait limit is used up. A local wait does not count: the request waited
    /// for a home target although others were open, so its age does not indicate overload.
    fn is_half_expired(&self, now: Timestamp) -> bool {
        let since = self.queued_at.max(self.request.local_until.min(now));
        let whole = since.until(self.request.wait_until);
        now.since(since) * 2 > whole
    }

    /// Returns the data halls whose targets the request may be sent to.
    pub(crate) fn reach(&self) -> Reach {
        if self.is_at_home() { Reach::Home } else { Reach::Anywhere }
    }

    fn is_at_home(&self) -> bool {
        self.local_wait == LocalWait::AtHome
    }

    /// Whether the request competes for the targets in the home hall of `request`.
    fn may_take_home_targets_of(&self, request: &Request) -> bool {
        !self.is_at_home() || self.request.origin == request.origin
    }
}

/// Waiting requests of one service at this VM.
#[derive(Debug)]
pub(crate) struct Queue {
    /// Waiting requests by priority, in order of arrival.
    /// Priorities follow from the organisation and the kind of a request;
    /// a priority without waiting requests has no entry.
    by_priority: BTreeMap<u8, VecDeque<Waiter>>,
    next_ticket: u64,
    /// Number of requests served, modulo [`STARVATION_INTERVAL`].
    served_count: u32,
    /// Number of requests that wait for a target in their own hall.
    at_home: usize,
    /// Number of ended local waits that [`Self::next_ended_local_wait`] has not returned yet.
    ended_unreported: usize,
}

impl Queue {
    pub(crate) fn new() -> Self {
        Self {
            by_priority: BTreeMap::new(),
            next_ticket: 0,
            served_count: 0,
            at_home: 0,
            ended_unreported: 0,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_priority.is_empty()
    }

    /// Whether any request waits for a target in its own hall.
    pub(crate) fn has_local_waits(&self) -> bool {
        self.at_home > 0
    }

    /// Returns the home halls of the requests that wait for a target in their own hall.
    pub(crate) fn halls_waited_for(&self) -> HallSet {
        let mut halls = HallSet::default();
        for waiter in self.by_priority.values().flatten().filter(|waiter| waiter.is_at_home()) {
            halls.add(waiter.request.origin);
        }
        halls
    }

    /// Whether a request waits that takes targets of all halls.
    pub(crate) fn is_any_waiting_anywhere(&self) -> bool {
        let waiting: usize = self.by_priority.values().map(VecDeque::len).sum();
        waiting > self.at_home
    }

    pub(crate) fn waiting_at(&self, priority: u8) -> usize {
        self.by_priority.get(&priority).map_or(0, VecDeque::len)
    }

    /// Returns the number of waiting requests of each priority that has any,
    /// and how many of these wait for a target in their own hall.
    pub(crate) fn waiting_by_priority(&self) -> impl Iterator<Item = (u8, usize, usize)> {
        self.by_priority.iter().map(|(priority, waiters)| {
            let at_home = waiters.iter().filter(|waiter| waiter.is_at_home()).count();
            (*priority, waiters.len(), at_home)
        })
    }

    /// Returns the number of waiting requests that are served before a new request of `priority`.
    /// `is_in_time` is whether the new request can meet its objective, and `answered_at` is the
    /// expected time of an answer to a request that is sent now. Waiting requests of the same
    /// priority for which `yields` returns true are served after the new one.
    pub(crate) fn count_ahead(
        &self,
        priority: u8,
        is_in_time: bool,
        answered_at: Timestamp,
        yields: impl Fn(&Request) -> bool,
    ) -> usize {
        let same_or_higher = self.by_priority.range(..=priority).flat_map(|(_, waiters)| waiters);
        let same_or_higher = same_or_higher
            .filter(|waiter| waiter.request.priority != priority || !yields(&waiter.request));
        if is_in_time {
            return same_or_higher.filter(|waiter| waiter.is_in_time(answered_at)).count();
        }
        let lower = self.by_priority.range((Bound::Excluded(priority), Bound::Unbounded));
        let lower = lower.flat_map(|(_, waiters)| waiters);
        same_or_higher.count() + lower.filter(|waiter| waiter.is_in_time(answered_at)).count()
    }

    /// Returns the number of waiting requests that are served before a new request, which can meet
    /// its objective, and that may take targets in its home hall.
    pub(crate) fn count_ahead_at_home(&self, request: &Request, answered_at: Timestamp) -> usize {
        let same_or_higher = self.by_priority.range(..=request.priority);
        let waiters = same_or_higher.flat_map(|(_, waiters)| waiters);
        let is_ahead = |waiter: &&Waiter| {
            waiter.is_in_time(answered_at) && waiter.may_take_home_targets_of(request)
        };
        waiters.filter(is_ahead).count()
    }

    /// Queues a request that takes targets of all halls.
    pub(crate) fn push(&mut self, request: Request, now: Timestamp) -> Ticket {
        let request = Request { local_until: Timestamp::default(), ..request };
        self.push_waiter(request, LocalWait::None, now)
    }

    /// Queues a request that waits for a target in its own hall until its `local_until`.
    pub(crate) fn push_at_home(&mut self, request: Request, now: Timestamp) -> Ticket {
        self.at_home += 1;
        self.push_waiter(request, LocalWait::AtHome, now)
    }

    fn push_waiter(&mut self, request: Request, local_wait: LocalWait, now: Timestamp) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, request, queued_at: now, local_wait, is_evicted: false };
        self.by_priority.entry(request.priority).or_default().push_back(waiter);
        ticket
    }

    /// Removes a waiting request, for example because its caller has disconnected.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        self.remove_first(|waiter| waiter.ticket == ticket).is_some()
    }

    /// Removes and returns one waiting request whose wait limit has passed.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<Waiter> {
        self.remove_first(|waiter| waiter.is_expired(now))
    }

    /// Marks the waiting request of `priority` with the largest caller share as refused, if any
    /// is over its share. [`Self::pop_expired`] returns it next. Returns whether there was one.
    pub(crate) fn evict_over_share(&mut self, priority: u8, shares: &CallerShares) -> bool {
        let Some(waiters) = self.by_priority.get_mut(&priority) else {
            return false;
        };
        let over_share = waiters
            .iter_mut()
            .filter(|waiter| !waiter.is_evicted && shares.is_over_share(waiter.request.caller));
        let largest = over_share.max_by(|a, b| {
            shares.count(a.request.caller).total_cmp(&shares.count(b.request.caller))
        });
        largest.map(|waiter| waiter.is_evicted = true).is_some()
    }

    /// Removes and returns the first waiting request that `matches`.
    fn remove_first(&mut self, matches: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        let locate = |(priority, waiters): (&u8, &VecDeque<Waiter>)| {
            waiters.iter().position(&matches).map(|index| (*priority, index))
        };
        let (priority, index) = self.by_priority.iter().find_map(locate)?;
        let waiters = self.by_priority.get_mut(&priority)?;
        let waiter = waiters.remove(index)?;
        if waiters.is_empty() {
            self.by_priority.remove(&priority);
        }
        match waiter.local_wait {
            LocalWait::AtHome => self.at_home -= 1,
            LocalWait::Ended => self.ended_unreported -= 1,
            LocalWait::None | LocalWait::EndReported => {}
        }
        Some(waiter)
    }

    /// Ends the local waits whose time has passed, and those of requests that cannot expect a home
    /// target within their wait. `home_of` returns the state of a request's home hall.
    /// `answered_at` is the expected time of an answer to a request that is sent now.
    pub(crate) fn end_local_waits(
        &mut self,
        now: Timestamp,
        answered_at: Timestamp,
        home_of: impl Fn(&Request) -> HomeState,
    ) {
        let service_time = now.until(answered_at);
        let mut demand = HomeDemand::new();
        for waiter in self.by_priority.values_mut().flatten() {
            let hall = waiter.request.origin;
            if waiter.is_at_home() {
                let wait = now.until(waiter.request.local_until);
                let home = home_of(&waiter.request);
                if !wait.is_zero()
                    && home.is_expected_within(wait, demand.ahead(hall), service_time)
                {
                    demand.add_at_home(hall);
                    continue;
                }
                waiter.local_wait = LocalWait::Ended;
                waiter.request.local_until = now;
                self.at_home -= 1;
                self.ended_unreported += 1;
            }
            if waiter.is_in_time(answered_at) {
                demand.add_anywhere();
            }
        }
    }

    /// Returns a waiting request whose local wait has ended, each request once.
    pub(crate) fn next_ended_local_wait(&mut self) -> Option<Ticket> {
        if self.ended_unreported == 0 {
            return None;
        }
        let mut waiters = self.by_priority.values_mut().flatten();
        let ended = waiters.find(|waiter| waiter.local_wait == LocalWait::Ended)?;
        ended.local_wait = LocalWait::EndReported;
        self.ended_unreported -= 1;
        Some(ended.ticket)
    }

    /// Returns the request to serve next among those that are ready, which [`Self::dequeue`]
    /// removes. A request that waits at home is ready if `is_home_open` returns true for it.
    /// `answered_at` is the expected time of an answer to a request that is sent now.
    /// `shares` is `None` unless callers are served fairly.
    pub(crate) fn peek(
        &self,
        now: Timestamp,
        answered_at: Timestamp,
        shares: Option<&CallerShares>,
        is_home_open: impl Fn(&Request) -> bool,
    ) -> Option<Waiter> {
        let is_ready = |waiter: &Waiter| !waiter.is_at_home() || is_home_open(&waiter.request);
        if (self.served_count + 1).is_multiple_of(STARVATION_INTERVAL) {
            let mut by_priority = self.by_priority.values().rev();
            let first = |waiters: &VecDeque<Waiter>| {
                waiters.iter().find(|waiter| is_ready(waiter)).copied()
            };
            return by_priority.find_map(first);
        }
        let is_in_time = |waiter: &Waiter| waiter.is_in_time(answered_at) && is_ready(waiter);
        let in_time = self
            .by_priority
            .values()
            .find_map(|waiters| next_in_priority(waiters, now, shares, is_in_time));
        in_time.or_else(|| {
            self.by_priority
                .values()
                .find_map(|waiters| next_in_priority(waiters, now, shares, is_ready))
        })
    }

    /// Removes a request that is served, and counts it for the starvation interval.
    pub(crate) fn dequeue(&mut self, ticket: Ticket) {
        self.served_count = (self.served_count + 1) % STARVATION_INTERVAL;
        self.remove(ticket);
    }
}

/// Returns the request of one priority to serve next, among the eligible ones.
fn next_in_priority(
    waiters: &VecDeque<Waiter>,
    now: Timestamp,
    shares: Option<&CallerShares>,
    is_eligible: impl Fn(&Waiter) -> bool,
) -> Option<Waiter> {
    let oldest = waiters.iter().find(|waiter| is_eligible(waiter))?;
    if !oldest.is_half_expired(now) {
        return Some(*oldest);
    }
    let mut newest_first = waiters.iter().rev().filter(|waiter| is_eligible(waiter));
    let next = match shares {
        Some(shares) => fewest_requests(newest_first, shares),
        None => newest_first.next(),
    };
    next.copied()
}

/// Returns the first of the requests whose callers have the fewest recent requests.
fn fewest_requests<'a>(
    waiters: impl Iterator<Item = &'a Waiter>,
    shares: &CallerShares,
) -> Option<&'a Waiter> {
    let count = |waiter: &Waiter| shares.count(waiter.request.caller);
    waiters.min_by(|a, b| count(a).total_cmp(&count(b)))
}
