//! Central allocation: one process allocates a group of a service's targets to all processes.
//!
//! A process that selects targets on its own sees only a small part of the load on each target.
//! With central allocation, all processes request targets from one allocator process. The
//! allocator uses the same [`Dispatcher`] as every process, but applies it to the requests of the
//! whole fleet. [`Allocator`] is the state of that process: its active leases and waiting holders.
//!
//! Messages may be lost, delayed or duplicated, two processes may allocate at the same time, and
//! any process may pause. A lease is therefore only a hint: just before it sends the first byte,
//! the holder checks locally whether the target may be used. The state recovers from lost messages:
//! each message of a holder lists all its leases, the allocator releases leases that are not
//! listed, and leases without any further message expire.
//!
//! A request costs one message in each direction and one message at its end, independent of the
//! size of the fleet.

mod group;
mod headroom;
mod rank;
mod spillover;

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
pub use spillover::GroupCapacity;
pub use spillover::RedirectCause;
pub use spillover::SpilloverClassDump;
pub use spillover::SpilloverReserve;

/// Minimum age at which a lease that its holder does not list is released. A younger lease may be
/// unlisted because its grant was still in transit when the holder sent the list.
const UNLISTED_GRACE: Duration = Duration::from_millis(100);
/// Time after the request deadline at which a lease that was not released expires.
const EXPIRY_AFTER_DEADLINE: Duration = Duration::from_millis(500);

/// Identifier of a lease: the holder, and the lease number that the holder assigned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey<H> {
    /// Process that holds the lease, distinct for each start of the process.
    pub holder: H,
    /// Lease number, assigned by the holder in increasing order.
    pub number: u64,
}

/// Grant of a lease: permission to send one request to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Target that the request may be sent to.
    pub target: TargetName,
    /// Number of concurrent requests that each target of the group serves efficiently, from
    /// [`Dispatcher::concurrency`].
    pub concurrency: u32,
    /// Rate limit of the target that the grant is counted against; `None` if the allocator has
    /// received none.
    pub rate_limit: Option<RateLimitUpdate>,
}

/// Report that a holder sends when it releases a lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// Result of the request attempt; `None` if no attempt was made.
    pub observation: Option<Observation>,
    /// Rate limit of the target in requests per second; `None` if the holder has received none.
    pub rate_limit: Option<RateLimitUpdate>,
    /// Incarnation of the target that is leaving; `None` if the holder has received no mark.
    pub leaving: Option<Incarnation>,
}

/// Response of the allocator to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Allocation {
    /// The holder may send its request to a target.
    Granted(LeaseGrant),
    /// The request is queued until [`Allocator::resolve_ticket`] grants or refuses the lease.
    Waiting,
    /// The allocator granted no target.
    Refused(Refusal),
}

#[derive(Debug)]
enum LeaseState {
    Waiting(Ticket),
    Granted(Grant),
}

#[derive(Debug)]
struct Lease {
    state: LeaseState,
    /// Time of the last state change.
    changed_at: Timestamp,
    expires_at: Timestamp,
}

impl Lease {
    fn has_ticket(&self, ticket: Ticket) -> bool {
        matches!(self.state, LeaseState::Waiting(own) if own == ticket)
    }
}

/// Lease table of an allocator, for one group of targets.
#[derive(Debug)]
pub struct Allocator<H> {
    leases: BTreeMap<LeaseKey<H>, Lease>,
}

impl<H> Default for Allocator<H> {
    fn default() -> Self {
        Self { leases: BTreeMap::new() }
    }
}

impl<H: Clone + Ord> Allocator<H> {
    /// Handles a lease request of a holder. A duplicate request gets the same response and is
    /// counted once.
    pub fn acquire<S: Strategy, R: Rng>(
        &mut self,
        key: LeaseKey<H>,
        request: Request,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
        rng: &mut R,
    ) -> Allocation {
        if let Some(lease) = self.leases.get(&key) {
            return match &lease.state {
                LeaseState::Waiting(_) => Allocation::Waiting,
                LeaseState::Granted(grant) => granted(dispatcher, grant, now),
            };
        }
        let (state, allocation) = match dispatcher.request(request, now, rng) {
            Decision::Refuse(refusal) => return Allocation::Refused(refusal),
            Decision::Wait(ticket) => (LeaseState::Waiting(ticket), Allocation::Waiting),
            Decision::Send(grant) => {
                let allocation = granted(dispatcher, &grant, now);
                (LeaseState::Granted(grant), allocation)
            }
        };
        let expires_at = request.deadline + EXPIRY_AFTER_DEADLINE;
        self.leases.insert(key, Lease { state, changed_at: now, expires_at });
        allocation
    }

    /// Releases a granted lease, or cancels a lease request that is still waiting.
    pub fn release<S: Strategy>(
        &mut self,
        key: &LeaseKey<H>,
        report: &LeaseReport,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        if let LeaseState::Granted(grant) = &lease.state {
            if let Some(rate_limit) = &report.rate_limit {
                dispatcher.merge_rate_limit(grant, rate_limit, now);
            }
            if let Some(incarnation) = report.leaving {
                dispatcher.mark_leaving(&dispatcher.target_name(grant), incarnation);
            }
        }
        end_lease(lease, report.observation, dispatcher, now);
    }

    /// Releases the leases of a holder that are missing from `held`, the list of lease numbers
    /// in its message. Leases younger than the grace period are kept.
    pub fn release_unlisted<S: Strategy>(
        &mut self,
        holder: &H,
        held: &[u64],
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let is_unlisted = |key: &LeaseKey<H>, lease: &Lease| {
            key.holder == *holder
                && !held.contains(&key.number)
                && now.since(lease.changed_at) >= UNLISTED_GRACE
        };
        self.end_where(is_unlisted, dispatcher, now);
    }

    /// Ends all leases whose expiry time has passed.
    pub fn expire<S: Strategy>(&mut self, dispatcher: &mut Dispatcher<S>, now: Timestamp) {
        self.end_where(|_, lease| now >= lease.expires_at, dispatcher, now);
    }

    fn end_where<S: Strategy>(
        &mut self,
        should_end: impl Fn(&LeaseKey<H>, &Lease) -> bool,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let ended = self.leases.extract_if(.., |key, lease| should_end(key, lease));
        for (_, lease) in ended {
            end_lease(lease, None, dispatcher, now);
        }
    }

    /// Applies the dispatcher's decision on a waiting ticket to its lease.
    ///
    /// Returns the lease and the response for its holder. If no lease has this ticket, returns the
    /// decision as an error, so that the caller can release the grant.
    pub fn resolve_ticket<S: Strategy>(
        &mut self,
        ticket: Ticket,
        decision: Result<Grant, Refusal>,
        dispatcher: &Dispatcher<S>,
        now: Timestamp,
    ) -> Result<(LeaseKey<H>, Allocation), Result<Grant, Refusal>> {
        let found = self.leases.iter_mut().find(|(_, lease)| lease.has_ticket(ticket));
        let Some((key, lease)) = found else {
            return Err(decision);
        };
        let key = key.clone();
        match decision {
            Ok(grant) => {
                let allocation = granted(dispatcher, &grant, now);
                lease.state = LeaseState::Granted(grant);
                lease.changed_at = now;
                Ok((key, allocation))
            }
            Err(refusal) => {
                self.leases.remove(&key);
                Ok((key, Allocation::Refused(refusal)))
            }
        }
    }

    /// Whether a lease request belongs in another group, because this group has no spare capacity.
    /// A request that waits for a target in its own data hall is queued first.
    pub fn is_surplus<S: Strategy>(
        &self,
        key: &LeaseKey<H>,
        request: &Request,
        dispatcher: &Dispatcher<S>,
        now: Timestamp,
    ) -> bool {
        !self.contains(key)
            && dispatcher.spare_capacity(now) == 0
            && !dispatcher.waits_at_home(request, now)
    }

    /// Ends a waiting lease whose local wait has ended while the group has no spare capacity, and
    /// returns it with the headroom that `reserve` found in another group.
    /// If `reserve` finds none, the request stays queued here.
    ///
    /// Must be called until it returns `None` after [`Dispatcher::next_wake`] has.
    pub fn next_redirected<S: Strategy, T>(
        &mut self,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
        mut reserve: impl FnMut() -> Option<T>,
    ) -> Option<(LeaseKey<H>, T)> {
        while let Some(ticket) = dispatcher.next_ended_local_wait() {
            if dispatcher.spare_capacity(now) == 0
                && let Some(key) = self.waiting_lease(ticket)
                && let Some(reserved) = reserve()
            {
                self.leases.remove(&key);
                dispatcher.cancel(ticket);
                return Some((key, reserved));
            }
        }
        None
    }

    fn waiting_lease(&self, ticket: Ticket) -> Option<LeaseKey<H>> {
        let mut leases = self.leases.iter();
        leases.find(|(_, lease)| lease.has_ticket(ticket)).map(|(key, _)| key.clone())
    }

    /// Whether the lease is granted or waiting.
    pub fn contains(&self, key: &LeaseKey<H>) -> bool {
        self.leases.contains_key(key)
    }

    /// Returns the number of granted and waiting leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no lease is granted or waiting.
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

fn end_lease<S: Strategy>(
    lease: Lease,
    observation: Option<Observation>,
    dispatcher: &mut Dispatcher<S>,
    now: Timestamp,
) {
    match lease.state {
        LeaseState::Waiting(ticket) => {
            dispatcher.cancel(ticket);
        }
        LeaseState::Granted(grant) => {
            if let Some(observation) = observation {
                // The returned leaving mark is not needed: the process that observed it sends it to
                // its peers.
                let _ = dispatcher.record_attempt(&grant, observation, now);
            }
            dispatcher.release(grant, now);
        }
    }
}
