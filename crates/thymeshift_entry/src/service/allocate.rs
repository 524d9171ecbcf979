//! Allocation targets to other processes.

use std::sync::Arc;

use thymeshift_allocation::Allocation;
use thymeshift_allocation::LeaseKey;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_wire::Acquire;
use thymeshift_wire::LeaseNumber;
use thymeshift_wire::Message;
use thymeshift_wire::Release;

use crate::service::Desk;
use crate::service::LeaseHolder;
use crate::service::ServiceRuntime;

impl ServiceRuntime {
    /// Another process asks for a target.
    pub(crate) fn allocate(self: &Arc<Self>, holder: LeaseHolder, acquire: &Acquire) {
        let now = BootClock.now();
        let key = LeaseKey { holder, number: acquire.number.0 };
        let allocation = {
            let desk = &mut *self.desk.lock();
            desk.set_view(View::Fleet, now);
            let Desk { dispatcher, allocator, .. } = desk;
            allocator.keep_only(&key.holder, &numbers(&acquire.held), dispatcher, now);
            let mut tried = Tried::default();
            for name in &acquire.tried {
                if let Some(index) = dispatcher.index_of(name) {
                    tried.add(index);
                }
            }
            let deadline = now + acquire.deadline;
            let request = Request {
                priority: acquire.priority,
                deadline,
                wait_until: (now + acquire.wait).min(deadline),
                queue_max: acquire.queue_max,
                tried,
                origin: dispatcher.hall_index(&acquire.data_hall),
            };
            allocator.acquire(key.clone(), request, dispatcher, now, &mut rand::rng())
        };
        if allocation == Allocation::Waiting {
            self.links.waiting.notify_one();
        }
        self.tell(&key, allocation);
        self.wake_waiting(now);
    }

    /// Another process gives a target back.
    pub(crate) fn take_release(&self, holder: LeaseHolder, release: &Release) {
        let now = BootClock.now();
        let key = LeaseKey { holder, number: release.number.0 };
        {
            let Desk { dispatcher, allocator, .. } = &mut *self.desk.lock();
            allocator.release(&key, release.observation, dispatcher, now);
            allocator.keep_only(&key.holder, &numbers(&release.held), dispatcher, now);
        }
        self.wake_waiting(now);
    }

    /// Tells a holder what became of its wanted.
    pub(super) fn tell(&self, key: &LeaseKey<LeaseHolder>, allocation: Allocation) {
        let number = LeaseNumber(key.number);
        let message = match allocation {
            Allocation::Granted(target, concurrency) => {
                Message::Granted(number, target, concurrency)
            }
            Allocation::Waiting => Message::Waiting(number),
            Allocation::Refused(refusal) => {
                Message::Refused(number, refusal.reason, refusal.retry_after)
            }
        };
        self.links.allocation.send(key.holder.address, message);
    }
}

fn numbers(held: &[LeaseNumber]) -> Vec<u64> {
    held.iter().map(|number| number.0).collect()
}
