//! Waiting and refusing: rank, starvation, expiry, chance of success.

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

/// Releases the only slot `count` times and lists who got it.
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
fn higher_ranks_go_first_and_within_a_rank_the_oldest() {
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
        /// Rank and end of the objective of each waiting request, oldest first.
        waiting: &'static [(u8, u64)],
        served: &'static [usize],
    }
    // An answer takes 5 ms as long as nothing is known.
    let cases = [
        Case { note: "all in time", waiting: &[(1, 500), (1, 400)], served: &[0, 1] },
        Case { note: "the oldest is late", waiting: &[(1, 0), (1, 500)], served: &[1, 0] },
        Case { note: "it would be late", waiting: &[(1, 12), (1, 500)], served: &[1, 0] },
        Case { note: "a late one of a higher rank", waiting: &[(1, 0), (2, 500)], served: &[1, 0] },
        Case {
            note: "late ones by rank",
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
                let wanted = Request { objective: at(*until), ..request(*rank, at(9_000)) };
                wait(&mut dispatcher, wanted, 0)
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
    assert!(tickets.contains(&late), "served within one turn in sixteen");
}

#[test]
fn a_waiter_that_finds_no_target_keeps_its_place() {
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
    assert!(tickets.contains(&archive), "served within one turn in sixteen");
}

#[test]
fn an_overloaded_rank_serves_its_newest() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
    wait(&mut dispatcher, request(1, at(15)), 0);
    let new = wait(&mut dispatcher, request(1, at(60)), 9);
    assert_eq!(served(&mut dispatcher, held, 1), [new], "the oldest has used half of its time");
}

#[test]
fn expired_waits_are_refused_and_the_rest_goes_on() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let mut rng = rng();
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng);
    let short = wait(&mut dispatcher, request(1, at(20)), 0);
    let long = wait(&mut dispatcher, request(1, at(9_000)), 0);
    dispatcher.release(held, at(21));
    let Some(Wake::Refuse(ticket, refusal)) = dispatcher.next_wake(at(21), &mut rng) else {
        panic!("the expired one first");
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
fn refusals_are_immediate_and_say_when_to_come_back() {
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
        // The grant stays out: the only target is full.
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
        assert!(waits.len() > 1, "{}: callers would come back together", case.name);
        assert!(matches!(held, Decision::Send(_)) || case.targets == 0, "{}", case.name);
    }
}

#[test]
fn a_cancelled_wait_gives_its_place_up() {
    let mut dispatcher = dispatcher(&configuration(1, 1, ""));
    let held = expect_grant(&mut dispatcher, request(1, at(9_000)), at(0), &mut rng());
    let gone = wait(&mut dispatcher, request(1, at(9_000)), 0);
    let stays = wait(&mut dispatcher, request(1, at(9_000)), 0);
    assert!(dispatcher.cancel(gone));
    assert!(!dispatcher.cancel(gone), "only once");
    assert_eq!(served(&mut dispatcher, held, 1), [stays]);
}
