//! One process lends a service's targets to all others.
//!
//! Alone, each of many processes sees a small part of the load on a target. Here they ask
//! one of them, which decides with the [`Dispatcher`] that everybody has, but over the
//! requests of the whole fleet. [`Lender`] keeps that process's books: which loans are out,
//! and which borrowers wait.
//!
//! Messages may be lost, late or doubled, two processes may lend at the same time, and any
//! of them may pause. What a loan says is a hint: a borrower checks by itself, just before
//! the first byte, whether the target may be used. The books mend themselves: each message
//! of a borrower names all loans that it holds, and what it does not name is taken back;
//! what is never heard of again ends by time.
//!
//! The cost is one message each way for a request and one at its end, whatever the size of
//! the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Grant;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Refusal;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Strategy;
use thymeshift_dispatch::Ticket;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;

/// A loan that its borrower does not name is taken back once it is this old: the answer
/// that told of it may still have been on its way when the borrower wrote.
const UNNAMED_AFTER: Duration = Duration::from_millis(100);
/// A loan ends this long after its request's deadline, if nothing is heard.
const LOST_AFTER_DEADLINE: Duration = Duration::from_millis(500);

/// A loan: who asked, and the number that it gave.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanKey<B> {
    /// The borrower, with whatever tells two starts of it apart.
    pub borrower: B,
    /// The number, counted by the borrower.
    pub number: u64,
}

/// What a borrower is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lending {
    /// It may send to this target; the number is [`Dispatcher::concurrency`].
    Lent(TargetName, u32),
    /// It waits; [`Lender::woken`] tells the rest.
    Waiting,
    /// It gets none.
    Refused(Refusal),
}

#[derive(Debug)]
enum State {
    Waiting(Ticket),
    Lent(Grant),
}

#[derive(Debug)]
struct Loan {
    state: State,
    since: Timestamp,
    ends: Timestamp,
}

/// The books of a lending process, for one service.
#[derive(Debug)]
pub struct Lender<B> {
    loans: BTreeMap<LoanKey<B>, Loan>,
}

impl<B> Default for Lender<B> {
    fn default() -> Self {
        Self { loans: BTreeMap::new() }
    }
}

impl<B: Clone + Ord> Lender<B> {
    /// A borrower asks. A message that arrives twice is answered twice and counted once.
    pub fn borrow<S: Strategy, R: Rng>(
        &mut self,
        key: LoanKey<B>,
        request: Request,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
        rng: &mut R,
    ) -> Lending {
        if let Some(known) = self.loans.get(&key) {
            return match &known.state {
                State::Waiting(_) => Lending::Waiting,
                State::Lent(grant) => lent(dispatcher, grant, now),
            };
        }
        let (state, lending) = match dispatcher.request(request, now, rng) {
            Decision::Refuse(refusal) => return Lending::Refused(refusal),
            Decision::Wait(ticket) => (State::Waiting(ticket), Lending::Waiting),
            Decision::Send(grant) => {
                let lending = lent(dispatcher, &grant, now);
                (State::Lent(grant), lending)
            }
        };
        let ends = request.deadline + LOST_AFTER_DEADLINE;
        self.loans.insert(key, Loan { state, since: now, ends });
        lending
    }

    /// A borrower gives back, or no longer wants to wait.
    pub fn give_back<S: Strategy>(
        &mut self,
        key: &LoanKey<B>,
        observation: Option<Observation>,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        if let Some(loan) = self.loans.remove(key) {
            end(loan, observation, dispatcher, now);
        }
    }

    /// A borrower named all loans that it holds: others of it are taken back.
    pub fn keep_only<S: Strategy>(
        &mut self,
        borrower: &B,
        held: &[u64],
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let is_lost = |key: &LoanKey<B>, loan: &Loan| {
            key.borrower == *borrower
                && !held.contains(&key.number)
                && now.since(loan.since) >= UNNAMED_AFTER
        };
        self.end_where(is_lost, dispatcher, now);
    }

    /// Takes back loans of which nothing was heard for too long.
    pub fn expire<S: Strategy>(&mut self, dispatcher: &mut Dispatcher<S>, now: Timestamp) {
        self.end_where(|_, loan| now >= loan.ends, dispatcher, now);
    }

    fn end_where<S: Strategy>(
        &mut self,
        is_over: impl Fn(&LoanKey<B>, &Loan) -> bool,
        dispatcher: &mut Dispatcher<S>,
        now: Timestamp,
    ) {
        let over = self.loans.extract_if(.., |key, loan| is_over(key, loan));
        for (_, loan) in over {
            end(loan, None, dispatcher, now);
        }
    }

    /// The dispatcher woke a ticket. Returns whom to tell, if it belongs to a loan, else
    /// what was given is handed back.
    pub fn woken<S: Strategy>(
        &mut self,
        ticket: Ticket,
        woken: Result<Grant, Refusal>,
        dispatcher: &Dispatcher<S>,
        now: Timestamp,
    ) -> Result<(LoanKey<B>, Lending), Result<Grant, Refusal>> {
        let is_ticket =
            |loan: &Loan| matches!(loan.state, State::Waiting(waiting) if waiting == ticket);
        let found = self.loans.iter_mut().find(|(_, loan)| is_ticket(loan));
        let Some((key, loan)) = found else {
            return Err(woken);
        };
        let key = key.clone();
        match woken {
            Ok(grant) => {
                let lending = lent(dispatcher, &grant, now);
                loan.state = State::Lent(grant);
                loan.since = now;
                Ok((key, lending))
            }
            Err(refusal) => {
                self.loans.remove(&key);
                Ok((key, Lending::Refused(refusal)))
            }
        }
    }

    /// Loans that are out or waited for.
    pub fn len(&self) -> usize {
        self.loans.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }
}

fn lent<S: Strategy>(dispatcher: &Dispatcher<S>, grant: &Grant, now: Timestamp) -> Lending {
    Lending::Lent(dispatcher.target_name(grant), dispatcher.concurrency(now))
}

fn end<S: Strategy>(
    loan: Loan,
    observation: Option<Observation>,
    dispatcher: &mut Dispatcher<S>,
    now: Timestamp,
) {
    match loan.state {
        State::Waiting(ticket) => {
            dispatcher.cancel(ticket);
        }
        State::Lent(grant) => {
            if let Some(observation) = observation {
                // A mark that a target is leaving is passed on by whoever saw it.
                let _ = dispatcher.learn(&grant, observation, now);
            }
            dispatcher.release(grant, now);
        }
    }
}
