//! Lending targets to other processes.

use std::sync::Arc;

use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_lending::Lending;
use thymeshift_lending::LoanKey;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_wire::Borrow;
use thymeshift_wire::GiveBack;
use thymeshift_wire::LoanNumber;
use thymeshift_wire::Message;

use crate::service::Borrower;
use crate::service::Desk;
use crate::service::ServiceRuntime;

impl ServiceRuntime {
    /// Another process asks for a target.
    pub(crate) fn lend(self: &Arc<Self>, borrower: Borrower, borrow: &Borrow) {
        let now = BootClock.now();
        let key = LoanKey { borrower, number: borrow.number.0 };
        let lending = {
            let desk = &mut *self.desk.lock();
            desk.set_view(View::Fleet, now);
            let Desk { dispatcher, lender, .. } = desk;
            lender.keep_only(&key.borrower, &numbers(&borrow.held), dispatcher, now);
            let mut tried = Tried::default();
            for name in &borrow.tried {
                if let Some(index) = dispatcher.index_of(name) {
                    tried.add(index);
                }
            }
            let deadline = now + borrow.deadline;
            let request = Request {
                priority: borrow.priority,
                deadline,
                wait_until: (now + borrow.wait).min(deadline),
                queue_max: borrow.queue_max,
                tried,
                origin: dispatcher.hall_index(&borrow.data_hall),
            };
            lender.borrow(key.clone(), request, dispatcher, now, &mut rand::rng())
        };
        if lending == Lending::Waiting {
            self.links.waiting.notify_one();
        }
        self.tell(&key, lending);
        self.wake_waiting(now);
    }

    /// Another process gives a target back.
    pub(crate) fn take_back(&self, borrower: Borrower, give_back: &GiveBack) {
        let now = BootClock.now();
        let key = LoanKey { borrower, number: give_back.number.0 };
        {
            let Desk { dispatcher, lender, .. } = &mut *self.desk.lock();
            lender.give_back(&key, give_back.observation, dispatcher, now);
            lender.keep_only(&key.borrower, &numbers(&give_back.held), dispatcher, now);
        }
        self.wake_waiting(now);
    }

    /// Tells a borrower what became of its wish.
    pub(super) fn tell(&self, key: &LoanKey<Borrower>, lending: Lending) {
        let number = LoanNumber(key.number);
        let message = match lending {
            Lending::Lent(target, concurrency) => Message::Lent(number, target, concurrency),
            Lending::Waiting => Message::Waiting(number),
            Lending::Refused(refusal) => {
                Message::Refused(number, refusal.reason, refusal.retry_after)
            }
        };
        self.links.post.send(key.borrower.address, message);
    }
}

fn numbers(held: &[LoanNumber]) -> Vec<u64> {
    held.iter().map(|number| number.0).collect()
}
