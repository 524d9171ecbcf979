//! One process allocates a group of a service's targets to all others.
//!
//! Alone, each of many processes sees a small part of the load on a target. Here they ask
//! one of them, which decides with the [`Dispatcher`] that everybody has, but over the
//! requests of the whole fleet. [`Allocator`] keeps that process's state: which leases are out,
//! and which holders wait.
//!
//! Messages may be lost, late or doubled, two processes may allocate at the same time, and any
//! of them may pause. What a lease says is a hint: a holder checks by itself, just before
//! the first byte, whether the target may be used. The state mends itself: each message
//! of a holder names all leases that it holds, and what it does not name is taken back;
//! what is never heard of again ends by time.
//!
//! The cost is one message each way for a request and one at its end, whatever the size of
//! the fleet.

mod group;
mod headroom;
mod rank;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::RateLimitUpdate;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Strategy;
use thymeshift_dispatch::Ticket;
use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

pub use group::Group;
pub use group::Grouping;
pub use headroom::GroupHeadroom;
pub use rank::AllocatorRank;

/// A lease that its holder does not name is taken back once it is this old: the answer
/// that told of it may still have been on its way when the holder wrote.
const UNNAMED_AFTER: Duration = Duration::from_millis(100);
/// A lease ends this long after its request's deadline, if nothing is heard.
const LOST_AFTER_DEADLINE: Duration = Duration::from_millis(500);

/// A lease: who asked, and the number that it gave.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey<B> {
    /// The holder, with whatever tells two starts of it apart.
    pub holder: B,
    /// The number, counted by the holder.
    pub number: u64,
}

/// The right to send one request to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The target.
    pub target: TargetName,
    /// Most requests that one target of the group serves well at a time:
    /// [`Dispatcher::concurrency`].
    pub concurrency: u32,
    /// The target's limit that the grant is counted against; none if the allocator knows of none.
    pub rate_limit: Option<RateLimitUpdate>,
}

/// What a holder tells when it gives a lease back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// What the attempt showed, if there was one.
    pub observation: Option<Observation>,
    /// What it knows of the target's limit of requests a second; none if it never learnt of one.
    pub rate_limit: Option<RateLimitUpdate>,
    /// The incarnation of the target that it knows to leave, if it does.
    pub leaving: Option<Incarnation>,
}

/// What a holder is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Allocation {
    /// It may send to a target.
    Granted(LeaseGrant),
    /// It waits; [`Allocator::resolve_ticket`] tells the rest.
    Waiting,
    /// It gets none.
    Refused(Refusal),
}

#[derive(Debug)]
enum State {
    Waiting(Ticket),
    Granted(Grant),
}

#[derive(Debug)]
struct Lease {
    state: State,
    since: Timestamp,
    ends: Timestamp,
}

/// The state of an allocator, for one group of targets.
#[derive(Debug)]
pub struct Allocator<B> {
    leases: BTreeMap<LeaseKey<B>, Lease>,
}

impl<B> Default for Allocator<B> {
    fn default() -> Self {
        Self { leases: BTreeMap::new() }
    }
}

impl<B: Clone + Ord> Allocator<B> {
    /// A holder asks. A message that arrives twice is answered twice and counted once.
    pub fn acquire<S: Strategy, R: Rng>(
        &mut self,
        key: LeaseKey<B>,
        request: Request,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
        rng: &mut R,
    ) -> Allocation {
        if let Some(known) = self.leases.get(&key) {
            return match &known.state {
                State::Waiting(_) => Allocation::Waiting,
                State::Granted(grant) => granted(dispatcher, grant, now),
            };
        }
        let (state, allocation) = match dispatcher.request(request, now, rng) {
            Decision::Refuse(refusal) => return Allocation::Refused(refusal),
            Decision::Wait(ticket) => (State::Waiting(ticket), Allocation::Waiting),
            Decision::Send(grant) => {
                let allocation = granted(dispatcher, &grant, now);
                (State::Granted(grant), allocation)
            }
        };
        let ends = request.deadline + LOST_AFTER_DEADLINE;
        self.leases.insert(key, Lease { state, since: now, ends });
        allocation
    }

    /// A holder gives back, or no longer wants to wait.
    pub fn release<S: Strategy>(
        &mut self,
        key: &LeaseKey<B>,
        report: &LeaseReport,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        if let State::Granted(grant) = &lease.state {
            if let Some(told) = &report.rate_limit {
                dispatcher.merge_rate_limit(grant, told, now);
            }
            if let Some(incarnation) = report.leaving {
                dispatcher.mark_leaving(&dispatcher.target_name(grant), incarnation);
            }
        }
        end(lease, report.observation, dispatcher, now);
    }

    /// A holder named all leases that it holds: others of it are taken back.
    pub fn release_unlisted<S: Strategy>(
        &mut self,
        holder: &B,
        held: &[u64],
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let is_lost = |key: &LeaseKey<B>, lease: &Lease| {
            key.holder == *holder
                && !held.contains(&key.number)
                && now.since(lease.since) >= UNNAMED_AFTER
        };
        self.end_where(is_lost, dispatcher, now);
    }

    /// Takes back leases of which nothing was heard for too long.
    pub fn expire<S: Strategy>(&mut self, dispatcher: &mut Dispatcher<S>, now: Timestamp) {
        self.end_where(|_, lease| now >= lease.ends, dispatcher, now);
    }

    fn end_where<S: Strategy>(
        &mut self,
        is_over: impl Fn(&LeaseKey<B>, &Lease) -> bool,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let over = self.leases.extract_if(.., |key, lease| is_over(key, lease));
        for (_, lease) in over {
            end(lease, None, dispatcher, now);
        }
    }

    /// The dispatcher woke a ticket. Returns whom to tell, if it belongs to a lease, else
    /// what was given is handed back.
    pub fn resolve_ticket<S: Strategy>(
        &mut self,
        ticket: Ticket,
        woken: Result<Grant, Refusal>,
        dispatcher: &Dispatcher<S>,
        now: Timestamp,
    ) -> Result<(LeaseKey<B>, Allocation), Result<Grant, Refusal>> {
        let is_ticket =
            |lease: &Lease| matches!(lease.state, State::Waiting(waiting) if waiting == ticket);
        let found = self.leases.iter_mut().find(|(_, lease)| is_ticket(lease));
        let Some((key, lease)) = found else {
            return Err(woken);
        };
        let key = key.clone();
        match woken {
            Ok(grant) => {
                let allocation = granted(dispatcher, &grant, now);
                lease.state = State::Granted(grant);
                lease.since = now;
                Ok((key, allocation))
            }
            Err(refusal) => {
                self.leases.remove(&key);
                Ok((key, Allocation::Refused(refusal)))
            }
        }
    }

    /// Whether a lease is out or waited for.
    pub fn contains(&self, key: &LeaseKey<B>) -> bool {
        self.leases.contains_key(key)
    }

    /// Leases that are out or waited for.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}

fn granted<S: Strategy>(dispatcher: &Dispatcher<S>, grant: &Grant, now: Timestamp) -> Allocation {
    Allocation::Granted(LeaseGrant {
        target: dispatcher.target_name(grant),
        concurrency: dispatcher.concurrency(now),
        rate_limit: dispatcher.rate_limit_update(grant, now),
    })
}

fn end<S: Strategy>(
    lease: Lease,
    observation: Option<Observation>,
    dispatcher: &mut Dispatcher<S>,
    now: Timestamp,
) {
    match lease.state {
        State::Waiting(ticket) => {
            dispatcher.cancel(ticket);
        }
        State::Granted(grant) => {
            if let Some(observation) = observation {
                // A mark that a target is leaving is passed on by whoever saw it.
                let _ = dispatcher.record_attempt(&grant, observation, now);
            }
            dispatcher.release(grant, now);
        }
    }
}
