//! Allocator of one group, with the decisions of a real allocator.

use rand::rngs::SmallRng;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::Allocator;
use thymeshift_allocation::Group;
use thymeshift_allocation::GroupCapacity;
use thymeshift_allocation::GroupHeadroom;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::LeaseReport;
use thymeshift_allocation::RedirectCause;
use thymeshift_allocation::SpilloverReserve;
use thymeshift_config::Configuration;
use thymeshift_config::Service;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::DataHallName;
use thymeshift_types::Timestamp;

use crate::replay::halls::HallPolicy;

/// Reply of an allocator to a process.
#[derive(Debug, Clone)]
pub(super) enum Reply {
    Decided(Allocation),
    Redirected(Group),
}

/// Lease request of a process, as it arrives at an allocator.
#[derive(Debug, Clone)]
pub(super) struct Ask {
    pub(super) key: LeaseKey<usize>,
    pub(super) hall: DataHallName,
    pub(super) may_redirect: bool,
    pub(super) request: Request,
}

pub(super) struct GroupNode {
    pub(super) group: Group,
    policy: HallPolicy,
    /// Service with the targets of the group only.
    service: Service,
    dispatcher: Dispatcher<AnyStrategy>,
    allocator: Allocator<usize>,
    reserve: SpilloverReserve,
    pub(super) headroom: GroupHeadroom,
    /// Number of redirects because the spare capacity was reserved.
    pub(super) reserved_redirects: usize,
}

impl GroupNode {
    pub(super) fn new(
        group: Group,
        configuration: &Configuration,
        service: usize,
        hall: &DataHallName,
        policy: HallPolicy,
        now: Timestamp,
    ) -> Self {
        let service = service_of_group(&configuration.services[service], &group);
        let mut dispatcher = Dispatcher::configured(configuration, &service, hall, now);
        dispatcher.set_view(View::Fleet);
        Self {
            group,
            policy,
            service,
            dispatcher,
            allocator: Allocator::default(),
            reserve: SpilloverReserve::default(),
            headroom: GroupHeadroom::default(),
            reserved_redirects: 0,
        }
    }

    pub(super) fn reconfigure(
        &mut self,
        configuration: &Configuration,
        hall: &DataHallName,
        now: Timestamp,
    ) {
        self.dispatcher.reconfigure(configuration, &self.service, hall, now);
    }

    pub(super) fn decide(&mut self, ask: &Ask, now: Timestamp, rng: &mut SmallRng) -> Reply {
        let mut request = ask.request;
        request.origin = self.dispatcher.hall_index(&ask.hall);
        if self.policy == HallPolicy::HomeOnly && self.group == Group::All {
            request.excluded = self.targets_outside(&ask.hall);
        }
        if let Some(other) = self.redirect(ask, &request, now, rng) {
            return Reply::Redirected(other);
        }
        let key = ask.key.clone();
        Reply::Decided(self.allocator.acquire(key, request, &mut self.dispatcher, now, rng))
    }

    /// Returns the group that a new request is redirected to, if any.
    fn redirect(
        &mut self,
        ask: &Ask,
        request: &Request,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Option<Group> {
        if !ask.may_redirect || self.policy == HallPolicy::HomeOnly {
            return None;
        }
        if self.policy.reserves() && self.group.is_of_hall(&ask.hall) {
            self.reserve.record_arrival(request.answer_kib, now);
        }
        let capacity = GroupCapacity::of(&self.dispatcher, now);
        // Without arrivals, the reserve is zero, as before it was introduced.
        let cause = self.reserve.redirect_cause(request.answer_kib, &capacity, now)?;
        let may_wait = cause == RedirectCause::NoRoom || self.policy == HallPolicy::WaitFirst;
        if may_wait && self.dispatcher.waits_at_home(request, now) {
            return None;
        }
        let other = self.reserve_elsewhere(now, rng)?;
        self.reserved_redirects += usize::from(cause == RedirectCause::Reserved);
        Some(other)
    }

    fn reserve_elsewhere(&mut self, now: Timestamp, rng: &mut SmallRng) -> Option<Group> {
        let other = self.headroom.reserve(&self.group, now, rng)?;
        if self.policy.reserves() {
            self.reserve.record_redirect(now);
        }
        Some(other)
    }

    /// Returns the headroom that the group reports to the other groups.
    pub(super) fn reported_headroom(&self, now: Timestamp) -> u32 {
        self.reserve.reported_headroom(&GroupCapacity::of(&self.dispatcher, now), now)
    }

    pub(super) fn release(
        &mut self,
        key: &LeaseKey<usize>,
        observation: Option<Observation>,
        now: Timestamp,
    ) {
        let report = LeaseReport { observation, ..LeaseReport::default() };
        self.allocator.release(key, &report, &mut self.dispatcher, now);
    }

    pub(super) fn tick(&mut self, now: Timestamp) {
        self.allocator.expire(&mut self.dispatcher, now);
        self.dispatcher.tick(now);
    }

    /// Returns the decisions on waiting requests.
    pub(super) fn wake(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Vec<(LeaseKey<usize>, Reply)> {
        let mut replies = Vec::new();
        while let Some(wake) = self.dispatcher.next_wake(now, rng) {
            let (ticket, decided) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            match self.allocator.resolve_ticket(ticket, decided, &self.dispatcher, now) {
                Ok((key, allocation)) => replies.push((key, Reply::Decided(allocation))),
                Err(Ok(grant)) => self.dispatcher.release(grant, now),
                Err(Err(_)) => {}
            }
        }
        let Self { group, dispatcher, allocator, headroom, .. } = self;
        let mut other_group = || match group {
            Group::All => None,
            Group::Hall(_) => headroom.reserve(group, now, rng),
        };
        while let Some((key, other)) = allocator.next_redirected(dispatcher, now, &mut other_group)
        {
            if self.policy.reserves() {
                self.reserve.record_redirect(now);
            }
            replies.push((key, Reply::Redirected(other)));
        }
        replies
    }

    fn targets_outside(&self, hall: &DataHallName) -> Excluded {
        let outside = self.service.targets.iter().filter(|target| target.data_hall != *hall);
        outside.filter_map(|target| self.dispatcher.index_of(&target.name)).collect()
    }
}

fn service_of_group(service: &Service, group: &Group) -> Service {
    let targets = service.targets.iter().filter(|target| group.contains(target)).cloned().collect();
    Service { targets, ..service.clone() }
}
