//! The allocator's books under messages that are lost, late and doubled, under several allocators
//! at once, and under pauses.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_allocation::Allocation;
use thymeshift_allocation::Allocator;
use thymeshift_allocation::LeaseKey;
use thymeshift_allocation::LeaseReport;
use thymeshift_config::Configuration;
use thymeshift_dispatch::AnyStrategy;
use thymeshift_dispatch::Dispatcher;
use thymeshift_dispatch::Excluded;
use thymeshift_dispatch::HallIndex;
use thymeshift_dispatch::Observation;
use thymeshift_dispatch::Request;
use thymeshift_dispatch::Tried;
use thymeshift_dispatch::View;
use thymeshift_dispatch::Wake;
use thymeshift_types::DataHallName;
use thymeshift_types::Reason;
use thymeshift_types::Timestamp;

const TARGETS: usize = 3;
const SLOTS: u32 = 2;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn key(holder: u8, number: u64) -> LeaseKey<u8> {
    LeaseKey { holder, number }
}

fn request(now: Timestamp) -> Request {
    let deadline = now + Duration::from_secs(1);
    Request {
        priority: 1,
        deadline,
        wait_until: now + Duration::from_millis(200),
        objective: now + Duration::from_millis(200),
        queue_max: 100,
        tried: Tried::default(),
        excluded: Excluded::default(),
        origin: HallIndex::default(),
        answer_kib: 0,
    }
}

struct Books {
    dispatcher: Dispatcher<AnyStrategy>,
    allocator: Allocator<u8>,
    rng: SmallRng,
}

impl Books {
    fn new() -> Self {
        let targets = (0..TARGETS).map(|index| {
            format!("{{ name: t{index}, address: '127.0.0.1:{}', data_hall: a }}", index + 1)
        });
        let text = format!(
            "entry_vms_max: 4\ndata_halls: [a]\nkinds: []\nservices:\n- name: s\n  \
             slots_per_target: {SLOTS}\n  connections_per_target: 40\n  targets: [{}]\n",
            targets.collect::<Vec<_>>().join(", ")
        );
        let configuration = Configuration::parse(&text).expect("a configuration");
        let hall = DataHallName::new("a").expect("a name");
        let service = &configuration.services[0];
        let mut dispatcher = Dispatcher::configured(&configuration, service, &hall, at(0));
        dispatcher.set_view(View::Fleet);
        // All slots are known to be worth using: the books are looked at here, not the number.
        dispatcher.adopt_concurrency(SLOTS);
        Self { dispatcher, allocator: Allocator::default(), rng: SmallRng::seed_from_u64(3) }
    }

    fn acquire(&mut self, key: LeaseKey<u8>, now: Timestamp) -> Allocation {
        self.allocator.acquire(key, request(now), &mut self.dispatcher, now, &mut self.rng)
    }

    fn release(&mut self, key: &LeaseKey<u8>, now: Timestamp) {
        let observation = Some(Observation::Answered(None));
        let report = LeaseReport { observation, ..LeaseReport::default() };
        self.allocator.release(key, &report, &mut self.dispatcher, now);
    }

    /// Tells all that may be told now.
    fn wake(&mut self, now: Timestamp) -> Vec<(LeaseKey<u8>, Allocation)> {
        let mut told = Vec::new();
        while let Some(wake) = self.dispatcher.next_wake(now, &mut self.rng) {
            let (ticket, woken) = match wake {
                Wake::Send(ticket, grant) => (ticket, Ok(grant)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let known = self.allocator.resolve_ticket(ticket, woken, &self.dispatcher, now);
            told.push(known.expect("every ticket belongs to a lease here"));
        }
        told
    }

    fn in_flight(&self) -> u32 {
        let dump = self.dispatcher.dump(at(0));
        dump.targets.iter().map(|target| target.in_flight).sum()
    }
}

#[test]
fn targets_are_granted_up_to_their_number_and_the_next_waits_for_one_that_comes_back() {
    let mut books = Books::new();
    let most = TARGETS as u64 * u64::from(SLOTS);
    for number in 0..most {
        let allocation = books.acquire(key(1, number), at(0));
        assert!(matches!(allocation, Allocation::Granted(..)), "{number}: {allocation:?}");
    }
    assert_eq!(books.acquire(key(2, 0), at(0)), Allocation::Waiting);
    assert!(books.wake(at(1)).is_empty());
    books.release(&key(1, 3), at(10));
    let told = books.wake(at(10));
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].0, key(2, 0));
    assert!(matches!(told[0].1, Allocation::Granted(..)), "{told:?}");
    assert_eq!(u64::from(books.in_flight()), most);
}

#[test]
fn one_that_waited_for_too_long_is_refused_and_told_so() {
    let mut books = Books::new();
    for number in 0..=TARGETS as u64 * u64::from(SLOTS) {
        books.acquire(key(1, number), at(0));
    }
    let told = books.wake(at(250));
    assert_eq!(told.len(), 1);
    let Allocation::Refused(refusal) = &told[0].1 else {
        panic!("{told:?}");
    };
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn a_doubled_message_is_answered_alike_and_counted_once() {
    let mut books = Books::new();
    let first = books.acquire(key(1, 1), at(0));
    let second = books.acquire(key(1, 1), at(5));
    assert_eq!(first, second);
    assert_eq!(books.in_flight(), 1);
    books.release(&key(1, 1), at(10));
    books.release(&key(1, 1), at(11));
    assert_eq!(books.in_flight(), 0);
}

#[test]
fn a_lease_whose_end_was_lost_is_taken_back_by_the_next_message_or_by_time() {
    let mut books = Books::new();
    books.acquire(key(1, 1), at(0));
    books.acquire(key(1, 2), at(90));
    books.acquire(key(2, 1), at(0));
    let Books { dispatcher, allocator, .. } = &mut books;
    allocator.release_unlisted(&1, &[3], dispatcher, at(120));
    assert_eq!(books.in_flight(), 2, "the old one of this holder; a young one may be unheard");
    let Books { dispatcher, allocator, .. } = &mut books;
    allocator.expire(dispatcher, at(1_499));
    assert_eq!(books.in_flight(), 2);
    allocator_expires(&mut books, at(1_600));
    assert_eq!(books.in_flight(), 0);
    assert!(books.allocator.is_empty());
}

fn allocator_expires(books: &mut Books, now: Timestamp) {
    let Books { dispatcher, allocator, .. } = books;
    allocator.expire(dispatcher, now);
}

/// One event at one of two allocators that exist at the same time.
#[derive(Debug, Clone, Copy)]
enum Event {
    Acquire { allocator: bool, holder: u8, number: u8 },
    Release { allocator: bool, holder: u8, number: u8 },
    Held { allocator: bool, holder: u8, number: u8 },
    Pass { millis: u16 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (allocator, holder, number) =
            (bool::arbitrary(g), u8::arbitrary(g) % 3, u8::arbitrary(g) % 12);
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Acquire { allocator, holder, number },
            4..=5 => Self::Release { allocator, holder, number },
            6 => Self::Held { allocator, holder, number },
            _ => Self::Pass { millis: u16::arbitrary(g) % 800 },
        }
    }
}

#[test]
fn whatever_arrives_in_whatever_order_the_books_balance() {
    fn holds(events: Vec<Event>) -> bool {
        let mut both = [Books::new(), Books::new()];
        let mut now = at(0);
        // Loans that are out, as the messages sent so far tell.
        let mut out: [BTreeMap<LeaseKey<u8>, bool>; 2] = Default::default();
        for event in events {
            match event {
                Event::Acquire { allocator, holder, number } => {
                    let key = key(holder, u64::from(number));
                    let allocation = both[usize::from(allocator)].acquire(key.clone(), now);
                    match allocation {
                        Allocation::Granted(..) => out[usize::from(allocator)].insert(key, true),
                        Allocation::Waiting => out[usize::from(allocator)].insert(key, false),
                        Allocation::Refused(_) => None,
                    };
                }
                Event::Release { allocator, holder, number } => {
                    let key = key(holder, u64::from(number));
                    both[usize::from(allocator)].release(&key, now);
                    out[usize::from(allocator)].remove(&key);
                }
                Event::Held { allocator, holder, number } => {
                    let Books { dispatcher, allocator, .. } = &mut both[usize::from(allocator)];
                    allocator.release_unlisted(&holder, &[u64::from(number)], dispatcher, now);
                }
                Event::Pass { millis } => {
                    now = now + Duration::from_millis(u64::from(millis));
                    for books in &mut both {
                        allocator_expires(books, now);
                    }
                }
            }
            for books in &mut both {
                books.wake(now);
                if books.in_flight() > TARGETS as u32 * SLOTS
                    || books.in_flight() as usize > books.allocator.len()
                {
                    return false;
                }
            }
        }
        // Nothing more is heard: in the end nothing is out.
        now = now + Duration::from_secs(5);
        for books in &mut both {
            books.wake(now);
            allocator_expires(books, now);
            books.wake(now);
        }
        both.iter().all(|books| books.in_flight() == 0 && books.allocator.is_empty())
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(60, 11))
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}
