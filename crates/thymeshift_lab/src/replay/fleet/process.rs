//! Simulated process, with the dispatchers and allocator of a real process.

use std::collections::BTreeMap;

use thymeshift_allocation::Allocator;
use thymeshift_config::Configuration;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::RateLimitUpdate;
use thymeshift_dispatch::View;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

use crate::replay::fleet::Call;

/// Time for which an allocator is passed over after its first timeout, in milliseconds.
const PASSED_OVER_MS: u64 = 500;
/// Maximum number of times that consecutive timeouts double `PASSED_OVER_MS`.
const DOUBLINGS_MAX: u32 = 4;

/// State that a process keeps for a group of targets while it acts as their allocator.
pub(super) struct GroupState {
    pub(super) dispatcher: Dispatcher<AnyStrategy>,
    pub(super) allocator: Allocator<usize>,
}

/// Call that waits for an allocator's reply.
pub(super) struct PendingCall {
    pub(super) allocator: usize,
    /// Number of allocators that did not reply to this attempt in time.
    pub(super) allocators_asked: usize,
    /// Number of grants that the process returned as unusable.
    pub(super) returned_grants: usize,
    pub(super) call: Call,
    /// Virtual time until which the process waits for the allocator's next reply, in milliseconds.
    pub(super) expires_at_ms: u64,
}

/// Call that is running at a target.
pub(super) struct RunningCall {
    pub(super) grant: Grant,
    /// Allocator that granted the call's lease; `None` if the process decided locally.
    pub(super) allocator: Option<usize>,
    pub(super) call: Call,
}

pub(super) struct Process {
    pub(super) own_dispatcher: Dispatcher<AnyStrategy>,
    pub(super) group_state: Option<GroupState>,
    /// Calls that wait for an allocator, by lease number.
    pub(super) pending: BTreeMap<u64, PendingCall>,
    /// Calls that are running at targets, by lease number.
    pub(super) running: BTreeMap<u64, RunningCall>,
    /// End of the pass-over time in milliseconds and number of consecutive timeouts, by allocator.
    passed_over: BTreeMap<usize, (u64, u32)>,
}

impl Process {
    pub(super) fn new(
        configuration: &Configuration,
        hall: &DataHallName,
        view: View,
        now: Timestamp,
    ) -> Self {
        let service = &configuration.services[0];
        let mut own_dispatcher = Dispatcher::configured(configuration, service, hall, now);
        own_dispatcher.set_view(view);
        Self {
            own_dispatcher,
            group_state: None,
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            passed_over: BTreeMap::new(),
        }
    }

    /// Returns the group's allocator state; creates the state on the first acquire request.
    pub(super) fn group_state(
        &mut self,
        configuration: &Configuration,
        hall: &DataHallName,
        now: Timestamp,
    ) -> &mut GroupState {
        self.group_state.get_or_insert_with(|| {
            let service = &configuration.services[0];
            let mut dispatcher = Dispatcher::configured(configuration, service, hall, now);
            dispatcher.set_view(View::Fleet);
            GroupState { dispatcher, allocator: Allocator::default() }
        })
    }

    /// Merges the targets' rate limits that another process knows.
    pub(super) fn merge_rate_limits(
        &mut self,
        known: &[(TargetName, Incarnation, RateLimitUpdate)],
        now: Timestamp,
    ) {
        for (name, incarnation, update) in known {
            self.own_dispatcher.merge_target_rate_limit(name, *incarnation, update, now);
            if let Some(GroupState { dispatcher, .. }) = &mut self.group_state {
                dispatcher.merge_target_rate_limit(name, *incarnation, update, now);
            }
        }
    }

    pub(super) fn pass_over(&mut self, allocator: usize, now_ms: u64) {
        let entry = self.passed_over.entry(allocator).or_insert((0, 0));
        entry.0 = now_ms + PASSED_OVER_MS * 2_u64.pow(entry.1.min(DOUBLINGS_MAX));
        entry.1 += 1;
    }

    pub(super) fn record_reply_from(&mut self, allocator: usize) {
        self.passed_over.remove(&allocator);
    }

    pub(super) fn is_passed_over(&self, allocator: usize, now_ms: u64) -> bool {
        self.passed_over.get(&allocator).is_some_and(|(retry_at_ms, _)| now_ms < *retry_at_ms)
    }

    /// Returns the numbers of the leases that this process holds at or requests from an allocator.
    pub(super) fn held_leases(&self, allocator: usize) -> Vec<u64> {
        let pending = self.pending.iter().filter(|(_, pending)| pending.allocator == allocator);
        let running = self.running.iter().filter(|(_, held)| held.allocator == Some(allocator));
        pending.map(|(number, _)| *number).chain(running.map(|(number, _)| *number)).collect()
    }
}
