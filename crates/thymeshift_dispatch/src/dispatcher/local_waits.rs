//! Requests that wait for a target in their own data hall.

use thymeshift_types::Timestamp;

use crate::Dispatcher;
use crate::Request;
use crate::Strategy;
use crate::Ticket;
use crate::locality::HomeState;
use crate::queue::Waiter;

impl<S: Strategy> Dispatcher<S> {
    /// Whether a new request takes only targets in its own data hall, and waits for one of them.
    ///
    /// It does not if no target there is worth waiting for, if demand exceeds their capacity, or
    /// if the queue is full. It is then handled as a request without a local wait.
    pub fn waits_at_home(&self, request: &Request, now: Timestamp) -> bool {
        self.home_to_wait_for(request, now).is_some()
    }

    /// Returns the state of the request's home hall if the request waits for a target there.
    pub(super) fn home_to_wait_for(&self, request: &Request, now: Timestamp) -> Option<HomeState> {
        let wait = request.local_wait_left(now);
        if wait.is_zero() || self.queue.waiting_at(request.priority) >= request.queue_max as usize {
            return None;
        }
        let answered_at = self.expected_answer_at(now);
        let ahead = self.queue.count_ahead_at_home(request, answered_at);
        let home = self.table.home_state(request, self.view, now);
        home.is_expected_within(wait, ahead, now.until(answered_at)).then_some(home)
    }

    /// Whether the request's home hall has an open target that answers soon enough.
    pub(super) fn is_open_for(&self, home: HomeState, request: &Request, now: Timestamp) -> bool {
        let service_time = now.until(self.expected_answer_at(now));
        home.is_open_within(request.local_wait_left(now), service_time)
    }

    /// Returns the ticket of a waiting request whose local wait has ended, each request once.
    /// After [`Self::next_wake`] has returned `None`, such a request may be sent elsewhere.
    pub fn next_ended_local_wait(&mut self) -> Option<Ticket> {
        self.queue.next_ended_local_wait()
    }

    /// Ends local waits and returns the waiting request to serve next.
    /// The state of the halls is computed once, for all requests that wait at home.
    pub(super) fn next_waiter(&mut self, now: Timestamp) -> Option<Waiter> {
        let answered_at = self.expected_answer_at(now);
        if !self.queue.has_local_waits() {
            return self.queue.peek(now, answered_at, self.callers.as_ref(), |_| true);
        }
        let (table, view) = (&self.table, self.view);
        let states = table.home_states(self.queue.halls_waited_for(), view, now);
        let home_of = |request: &Request| {
            if request.excluded.is_empty() {
                states.get(request.origin)
            } else {
                table.home_state(request, view, now)
            }
        };
        self.queue.end_local_waits(now, answered_at, home_of);
        let service_time = now.until(answered_at);
        self.queue.peek(now, answered_at, self.callers.as_ref(), |request| {
            home_of(request).is_open_within(request.local_wait_left(now), service_time)
        })
    }
}
