//! Requests that wait for a target, by rank.
//!
//! What it does: requests that can still be answered within their objective go before those
//! that cannot, and among either lower ranks wait for higher ones; but every
//! [`STARVATION_TURN`]th turn goes to the lowest rank that waits. Within a rank the
//! oldest goes first, until the oldest has used up half of its time: then the rank is
//! overloaded, and the newest goes first, because it has the best chance in time.
//!
//! Why: archives may wait, but they must arrive; in overload a first-in-first-out
//! queue answers everybody too late; and an answer that is late anyway is worth the same
//! a little later.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Timestamp;

use crate::Request;

/// One turn in this many goes to the lowest rank that waits.
const STARVATION_TURN: u32 = 16;

/// A place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(u64);

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) request: Request,
    pub(crate) since: Timestamp,
}

impl Waiter {
    fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.request.wait_until
    }

    /// Whether an answer that comes at `answered_at` is within the objective.
    fn is_in_time(&self, answered_at: Timestamp) -> bool {
        answered_at <= self.request.objective
    }

    fn is_half_spent(&self, now: Timestamp) -> bool {
        let whole = self.since.until(self.request.wait_until);
        now.since(self.since) * 2 > whole
    }
}

#[derive(Debug)]
pub(crate) struct Queue {
    /// Waiting requests by rank, which differ by organisation and kind; a rank that nobody waits
    /// in is not kept.
    ranks: BTreeMap<u8, VecDeque<Waiter>>,
    next_ticket: u64,
    turn: u32,
}

impl Queue {
    pub(crate) fn new() -> Self {
        Self { ranks: BTreeMap::new(), next_ticket: 0, turn: 0 }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    pub(crate) fn waiting_at(&self, priority: u8) -> usize {
        self.ranks.get(&priority).map_or(0, VecDeque::len)
    }

    /// Waiting requests of each rank.
    pub(crate) fn waiting_by_priority(&self) -> impl Iterator<Item = (u8, usize)> {
        self.ranks.iter().map(|(priority, rank)| (*priority, rank.len()))
    }

    /// Waiting requests that go before a new one of this priority; `is_in_time` is whether that
    /// can be answered within its objective, and answers to requests that are sent now come
    /// at `answered_at`.
    pub(crate) fn count_ahead(
        &self,
        priority: u8,
        is_in_time: bool,
        answered_at: Timestamp,
    ) -> usize {
        let higher = self.ranks.range(..=priority).flat_map(|(_, rank)| rank);
        if is_in_time {
            return higher.filter(|waiter| waiter.is_in_time(answered_at)).count();
        }
        let lower = self.ranks.range((Bound::Excluded(priority), Bound::Unbounded));
        let lower = lower.flat_map(|(_, rank)| rank);
        higher.count() + lower.filter(|waiter| waiter.is_in_time(answered_at)).count()
    }

    pub(crate) fn push(&mut self, request: Request, now: Timestamp) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, request, since: now };
        self.ranks.entry(request.priority).or_default().push_back(waiter);
        ticket
    }

    /// Takes a waiter out, for example because its caller has gone away.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        self.take_out(|waiter| waiter.ticket == ticket).is_some()
    }

    /// Takes out one waiter whose time is over.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<Waiter> {
        self.take_out(|waiter| waiter.is_expired(now))
    }

    /// Takes out the first waiter that is `wanted`.
    fn take_out(&mut self, is_wanted: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        let place = |(priority, rank): (&u8, &VecDeque<Waiter>)| {
            rank.iter().position(&is_wanted).map(|index| (*priority, index))
        };
        let (priority, index) = self.ranks.iter().find_map(place)?;
        let rank = self.ranks.get_mut(&priority)?;
        let waiter = rank.remove(index);
        if rank.is_empty() {
            self.ranks.remove(&priority);
        }
        waiter
    }

    /// The waiter whose turn it is; [`Self::take`] takes it out. Answers to requests that are
    /// sent now come at `answered_at`.
    pub(crate) fn peek(&self, now: Timestamp, answered_at: Timestamp) -> Option<Waiter> {
        if (self.turn + 1).is_multiple_of(STARVATION_TURN) {
            return self.ranks.values().next_back().and_then(VecDeque::front).copied();
        }
        let is_in_time = |waiter: &Waiter| waiter.is_in_time(answered_at);
        let in_time = self.ranks.values().find_map(|rank| next_of(rank, now, is_in_time));
        in_time.or_else(|| self.ranks.values().find_map(|rank| next_of(rank, now, |_| true)))
    }

    /// Takes out a waiter that is served.
    pub(crate) fn dequeue(&mut self, ticket: Ticket) {
        self.turn = (self.turn + 1) % STARVATION_TURN;
        self.remove(ticket);
    }
}

/// The waiter of a rank that goes first, among those that may go.
fn next_of(
    rank: &VecDeque<Waiter>,
    now: Timestamp,
    may_go: impl Fn(&Waiter) -> bool,
) -> Option<Waiter> {
    let oldest = rank.iter().find(|waiter| may_go(waiter))?;
    let newest = || rank.iter().rev().find(|waiter| may_go(waiter));
    let next = if oldest.is_half_spent(now) { newest()? } else { oldest };
    Some(*next)
}
