//! Queued and refused requests. The tests cover priority ranks, starvation, expiry and requests that
//! cannot meet their deadline.

mod support;

use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Decision;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Ticket;
use thymeshift_dispatch::Wake;
use thymeshift_types::Reason;

use crate::support::at;
use crate::support::configuration;
use crate::support::dispatcher;
use crate::support::expect_grant;
use crate::support::ms;
use crate::support::request;
use crate::support::rng;

fn wait(dispatcher: &mut Dispatcher<AnyStrategy>, request: Request, millis: u64) -> Ticket {
    match dispatcher.request(request, at(millis), &mut rng()) {
        Decision::Wait(ticket) => ticket,
        other => panic!("does not wait: {other:?}"),
    }
}

/// Releases the only slot `count` times and returns the tickets of the requests that got the slot, in
/// the order in which the requests were served.
fn served(
    dispatcher: &mut Dispatcher<AnyStrategy>,
    grant: thymeshift_dispatch::Grant,
    count: usize,
) -> Vec<Ticket> {
    let mut rng = rng();
    let mut grant = grant;
    let mut tickets = Vec::new();
    for step in 0..count as u64 {
        dispatcher.release(grant, at(10 + step));
        match dispatcher.next_wake(at(10 + step), &mut rng) {
            Some(Wake::Send(ticket, next)) => {
                tickets.push(ticket);
                grant = next;
            }
            other => panic!("step {step}: {other:?}"),
        }
    }
    tickets
}

#[test]
fn higher_ranks_are_served_first_and_within_a_rank_the_oldest() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
    let archive = wait(&mut dispatcher, request(3, at(9_000)), 0);
    let switch = wait(&mut dispatcher, request(2, at(9_000)), 1);
    let first = wait(&mut dispatcher, request(1, at(9_000)), 2);
    let second = wait(&mut dispatcher, request(1, at(9_000)), 3);
    assert_eq!(served(&mut dispatcher, held, 4), [first, second, switch, archive]);
}

#[test]
fn requests_that_can_be_in_time_go_before_those_that_cannot() {
    struct Case {
        note: &'static str,
        /// Rank and end of the objective, in milliseconds, of each queued request; oldest first.
        waiting: &'static [(u8, u64)],
        /// Indices into `waiting` in the order of service.
        served: &'static [usize],
    }
    // Until the first answer, a response time of 5 ms is assumed.
    let cases = [
        Case { note: "all in time", waiting: &[(1, 500), (1, 400)], served: &[0, 1] },
        Case { note: "the oldest is late", waiting: &[(1, 0), (1, 500)], served: &[1, 0] },
        Case { note: "the oldest would be late", waiting: &[(1, 12), (1, 500)], served: &[1, 0] },
        Case {
            note: "the late one has a higher rank",
            waiting: &[(1, 0), (2, 500)],
            served: &[1, 0],
        },
        Case {
            note: "late requests in order of rank",
            waiting: &[(2, 0), (1, 0), (2, 500), (1, 500)],
            served: &[3, 2, 1, 0],
        },
    ];
    for Case { note, waiting, served: expected } in cases {
        let mut dispatcher = dispatcher(&configuration(1, 1, ""));
        let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
        let tickets: Vec<Ticket> = waiting
            .iter()
            .map(|(rank, until)| {
                let queued = Request { objective: at(*until), ..request(*rank, at(9_000)) };
                wait(&mut dispatcher, queued, 0)
            })
            .collect();
        let expected: Vec<Ticket> = expected.iter().map(|index| tickets[*index]).collect();
        assert_eq!(served(&mut dispatcher, held, waiting.len()), expected, "{note}");
    }
}

#[test]
fn late_requests_are_not_starved_by_new_ones() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(90_000)), at(0), &mut rng());
    let late = wait(&mut dispatcher, Request { objective: at(0), ..request(1, at(90_000)) }, 0);
    for _ in 0..40 {
        wait(&mut dispatcher, request(1, at(90_000)), 0);
    }
    let tickets = served(&mut dispatcher, held, 20);
    assert!(tickets.contains(&late), "served within sixteen turns");
}

#[test]
fn a_queued_request_that_finds_no_target_keeps_its_place() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
    let first = wait(&mut dispatcher, request(1, at(9_000)), 0);
    let second = wait(&mut dispatcher, request(1, at(9_000)), 1);
    for step in 2..9 {
        assert!(dispatcher.next_wake(at(step), &mut rng()).is_none(), "the target is full");
    }
    assert_eq!(served(&mut dispatcher, held, 2), [first, second]);
}

#[test]
fn the_lowest_rank_is_not_starved() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(90_000)), at(0), &mut rng());
    let archive = wait(&mut dispatcher, request(9, at(90_000)), 0);
    for _ in 0..40 {
        wait(&mut dispatcher, request(1, at(90_000)), 0);
    }
    let tickets = served(&mut dispatcher, held, 20);
    assert!(tickets.contains(&archive), "served within sixteen turns");
}

#[test]
fn an_overloaded_rank_serves_its_newest_request_first() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
    wait(&mut dispatcher, request(1, at(15)), 0);
    let new = wait(&mut dispatcher, request(1, at(60)), 9);
    assert_eq!(
        served(&mut dispatcher, held, 1),
        [new],
        "the oldest has used more than half of its wait limit"
    );
}

#[test]
fn expired_requests_are_refused_and_the_others_are_served() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let mut rng = rng();
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng);
    let short = wait(&mut dispatcher, request(1, at(20)), 0);
    let long = wait(&mut dispatcher, request(1, at(9_000)), 0);
    dispatcher.release(held, at(21));
    let Some(Wake::Refuse(ticket, refusal)) = dispatcher.next_wake(at(21), &mut rng) else {
        panic!("the expired request is not refused first");
    };
    assert_eq!((ticket, refusal.reason), (short, Reason::DeadlineUnreachable));
    assert!(matches!(dispatcher.next_wake(at(21), &mut rng), Some(Wake::Send(t, _)) if t == long));
}

struct Refused {
    name: &'static str,
    targets: usize,
    request: Request,
    reason: Reason,
}

#[test]
fn refusals_are_immediate_and_state_when_to_retry() {
    let cases = [
        Refused {
            name: "no target at all",
            targets: 0,
            request: request(1, at(100)),
            reason: Reason::NoTarget,
        },
        Refused {
            name: "deadline passed",
            targets: 1,
            request: request(1, at(0)),
            reason: Reason::Deadline,
        },
        Refused {
            name: "queue full",
            targets: 1,
            request: Request { queue_max: 0, ..request(1, at(100)) },
            reason: Reason::QueueFull,
        },
        Refused {
            name: "no chance in time",
            targets: 1,
            request: Request { wait_until: at(0), ..request(1, at(100)) },
            reason: Reason::DeadlineUnreachable,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&configuration(case.targets, 1, ""));
        let mut rng = rng();
        // The grant is not released, so that the only target stays full.
        let held = dispatcher.request(request(1, at(9_000)), at(0), &mut rng);
        let mut waits = Vec::new();
        for _ in 0..3 {
            let Decision::Refuse(refusal) = dispatcher.request(case.request, at(0), &mut rng)
            else {
                panic!("{}: not refused", case.name);
            };
            assert_eq!(refusal.reason, case.reason, "{}", case.name);
            assert!(refusal.retry_after >= ms(50), "{}", case.name);
            waits.push(refusal.retry_after);
        }
        waits.dedup();
        assert!(waits.len() > 1, "{}: callers would retry at the same time", case.name);
        assert!(matches!(held, Decision::Send(_)) || case.targets == 0, "{}", case.name);
    }
}

#[test]
fn a_cancelled_request_gives_up_its_place() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
    let gone = wait(&mut dispatcher, request(1, at(9_000)), 0);
    let stays = wait(&mut dispatcher, request(1, at(9_000)), 0);
    assert!(dispatcher.cancel(gone));
    assert!(!dispatcher.cancel(gone), "only once");
    assert_eq!(served(&mut dispatcher, held, 1), [stays]);
}
