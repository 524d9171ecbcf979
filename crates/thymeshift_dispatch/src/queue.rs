//! Requests that wait for a target, by rank.
//!
//! What it does: lower ranks wait for higher ones, except that every
//! [`STARVATION_TURN`]th turn goes to the lowest rank that waits. Within a rank the
//! oldest goes first, until the oldest has used up half of its time: then the rank is
//! overloaded, and the newest goes first, because it has the best chance in time.
//!
//! Why: archives may wait, but they must arrive; and in overload a first-in-first-out
//! queue answers everybody too late.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use thymeshift_types::Timestamp;

use crate::Request;

/// Ranks 1 to 9.
const RANKS: usize = 9;
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

    fn is_half_spent(&self, now: Timestamp) -> bool {
        let whole = self.since.until(self.request.wait_until);
        now.since(self.since) * 2 > whole
    }
}

#[derive(Debug)]
pub(crate) struct Queue {
    ranks: [VecDeque<Waiter>; RANKS],
    next_ticket: u64,
    turn: u32,
}

impl Queue {
    pub(crate) fn new() -> Self {
        Self { ranks: Default::default(), next_ticket: 0, turn: 0 }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.iter().all(VecDeque::is_empty)
    }

    pub(crate) fn len_of(&self, priority: u8) -> usize {
        self.ranks[rank_of(priority)].len()
    }

    /// Waiting requests that go before a new one of this priority.
    pub(crate) fn ahead_of(&self, priority: u8) -> usize {
        self.ranks[..=rank_of(priority)].iter().map(VecDeque::len).sum()
    }

    pub(crate) fn push(&mut self, request: Request, now: Timestamp) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, request, since: now };
        self.ranks[rank_of(request.priority)].push_back(waiter);
        ticket
    }

    /// Takes a waiter out, for example because its caller has gone away.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for rank in &mut self.ranks {
            if let Some(index) = rank.iter().position(|waiter| waiter.ticket == ticket) {
                rank.remove(index);
                return true;
            }
        }
        false
    }

    /// Takes out one waiter whose time is over.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<Waiter> {
        for rank in &mut self.ranks {
            if let Some(index) = rank.iter().position(|waiter| waiter.is_expired(now)) {
                return rank.remove(index);
            }
        }
        None
    }

    /// Takes out the waiter whose turn it is.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<Waiter> {
        self.turn = self.turn.wrapping_add(1);
        let is_lowest_turn = self.turn.is_multiple_of(STARVATION_TURN);
        let rank = if is_lowest_turn {
            self.ranks.iter_mut().rev().find(|rank| !rank.is_empty())
        } else {
            self.ranks.iter_mut().find(|rank| !rank.is_empty())
        }?;
        if rank.front()?.is_half_spent(now) { rank.pop_back() } else { rank.pop_front() }
    }

    /// Puts a waiter back that could not be sent after all.
    pub(crate) fn put_back(&mut self, waiter: Waiter) {
        self.ranks[rank_of(waiter.request.priority)].push_front(waiter);
    }
}

fn rank_of(priority: u8) -> usize {
    usize::from(priority).clamp(1, RANKS) - 1
}
