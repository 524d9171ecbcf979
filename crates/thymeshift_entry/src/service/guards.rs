//! RAII guards for a granted target and for a place in the local dispatcher's queue.

use std::sync::Arc;
use std::time::Duration;

use thymeshift_config::RequestRate;
use thymeshift_dispatch::CrossingCause;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Ticket;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::Timestamp;
use tokio::sync::oneshot;

use crate::allocation_client::AllocationLease;
use crate::service::Destination;
use crate::service::ServiceRuntime;
use crate::service::WaitResult;

/// Grant of a target; dropping the guard returns the grant to the dispatcher.
pub(crate) struct GrantGuard {
    service: Arc<ServiceRuntime>,
    grant: Option<Grant>,
    /// Lease of the same request at the allocator; `None` if the local dispatcher chose the target.
    lease: Option<AllocationLease>,
    /// Why the target is in another data hall than this process; `None` if it is not.
    crossing: Option<CrossingCause>,
}

impl GrantGuard {
    pub(super) fn new(service: &Arc<ServiceRuntime>, grant: Grant) -> Self {
        Self { service: service.clone(), grant: Some(grant), lease: None, crossing: None }
    }

    pub(super) fn with_lease(mut self, lease: AllocationLease) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Records why the target is in another data hall than this process, if it is.
    pub(super) fn with_crossing_of(mut self, request: &Request) -> Self {
        let grant = self.grant.as_ref();
        let crossing =
            grant.filter(|grant| !self.service.local.lock().dispatcher.is_in_own_hall(grant));
        self.crossing = crossing.map(|grant| request.crossing_cause(grant.sent_at()));
        self
    }

    /// Returns why the target is in another data hall than this process, or `None` if it is not.
    pub(crate) fn crossing(&self) -> Option<CrossingCause> {
        self.crossing
    }

    pub(crate) fn service(&self) -> &Arc<ServiceRuntime> {
        &self.service
    }

    pub(crate) fn destination(&self) -> Option<Destination> {
        let grant = self.grant.as_ref()?;
        let local = self.service.local.lock();
        let name = local.dispatcher.target_name(grant);
        Some(Destination {
            service: self.service.name().clone(),
            index: Some(grant.target()),
            name,
            address: local.dispatcher.address(grant),
        })
    }

    /// Returns who chose the target, as logged: `allocator`, or `alone` for the local dispatcher.
    pub(crate) fn obtained_by(&self) -> &'static str {
        if self.lease.is_some() { "allocator" } else { "alone" }
    }

    pub(crate) fn target(&self) -> Option<thymeshift_dispatch::TargetIndex> {
        self.grant.as_ref().map(Grant::target)
    }

    /// Returns the incarnation of the target that the grant is valid for.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.grant.as_ref().map(Grant::incarnation)
    }

    /// Returns the time that the target was expected to need when it was chosen.
    pub(crate) fn expected(&self) -> Duration {
        self.grant.as_ref().map_or(Duration::ZERO, Grant::expected)
    }

    /// Returns whether the request may still be sent; called immediately before its first byte.
    ///
    /// Since the grant, the target may have started to leave, or the process may have been paused.
    pub(crate) fn may_send(&self, deadline: Timestamp) -> bool {
        let Some(grant) = &self.grant else {
            return false;
        };
        self.service.local.lock().dispatcher.may_send(grant, deadline, BootClock.now())
    }

    /// Records the rate limit that an answer stated, or the absence of a limit.
    /// Returns whether the known limit changed.
    pub(crate) fn record_rate_limit(&self, stated: Option<RequestRate>) -> bool {
        let Some(grant) = &self.grant else {
            return false;
        };
        let now = BootClock.now();
        self.service.local.lock().dispatcher.record_rate_limit(grant, stated, now)
    }

    /// Starts the backoff that the target requested, up to the service's maximum.
    pub(crate) fn back_off(&self, wait: Duration) {
        if let Some(grant) = &self.grant {
            let wait = wait.min(self.service.settings().backoff_max());
            self.service.local.lock().dispatcher.record_backoff(grant, wait, BootClock.now());
        }
    }

    /// Marks the target as leaving, as its answer announced.
    /// Returns the leaving mark to forward to peers, or `None` if the mark is already known.
    pub(crate) fn mark_leaving(&self) -> Option<LeavingMark> {
        let grant = self.grant.as_ref()?;
        self.service.local.lock().dispatcher.mark_granted_leaving(grant)
    }

    /// Records the result of an attempt in the local dispatcher and in the lease report.
    /// Returns a leaving mark to forward to peers if the result shows that the target is leaving.
    pub(crate) fn record_observation(&mut self, observation: Observation) -> Option<LeavingMark> {
        if let Some(lease) = &mut self.lease {
            lease.set_observation(observation);
        }
        let grant = self.grant.as_ref()?;
        let now = BootClock.now();
        self.service.local.lock().dispatcher.record_attempt(grant, observation, now)
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        if let Some(lease) = &mut self.lease {
            let local = self.service.local.lock();
            lease.set_rate_limit(local.dispatcher.rate_limit_update(&grant, BootClock.now()));
            lease.set_leaving(local.dispatcher.leaving_incarnation(grant.target()));
        }
        self.service.release(grant);
    }
}

/// Place in the local dispatcher's queue; dropping the guard cancels the wait.
pub(crate) struct WaitGuard {
    pub(super) service: Arc<ServiceRuntime>,
    pub(super) ticket: Ticket,
    pub(super) receiver: oneshot::Receiver<WaitResult>,
}

impl WaitGuard {
    /// Waits for the dispatcher's decision. Returns `None` if the service was removed meanwhile.
    pub(crate) async fn decision(mut self) -> Option<Result<GrantGuard, Refusal>> {
        let woken = (&mut self.receiver).await.ok()?;
        Some(woken.map(|grant| GrantGuard::new(&self.service, grant)))
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let granted = {
            let mut local = self.service.local.lock();
            local.waiting.remove(&self.ticket);
            local.dispatcher.cancel(self.ticket);
            self.receiver.try_recv()
        };
        if let Ok(Ok(grant)) = granted {
            self.service.release(grant);
        }
    }
}
