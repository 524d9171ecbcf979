//! Agreement between processes without a coordinator:
//! leaving targets, orders, members, and the selection of platform watchers.
#![allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]

use std::collections::BTreeSet;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thymeshift_fleet::Boot;
use thymeshift_fleet::FleetDigest;
use thymeshift_fleet::LeavingRegister;
use thymeshift_fleet::Liveness;
use thymeshift_fleet::Member;
use thymeshift_fleet::Members;
use thymeshift_fleet::MembersDigest;
use thymeshift_fleet::Order;
use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderDraft;
use thymeshift_fleet::OrderSubject;
use thymeshift_fleet::Orders;
use thymeshift_fleet::Phase;
use thymeshift_fleet::ReceivedSummary;
use thymeshift_fleet::WatcherSelection;
use thymeshift_types::Capacity;
use thymeshift_types::DataHallName;
use thymeshift_types::Incarnation;
use thymeshift_types::LeavingMark;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).expect("a name")
}

fn mark(target: u8, incarnation: u8) -> LeavingMark {
    LeavingMark {
        service: ServiceName::new("s").expect("a name"),
        target: TargetName::new(&format!("t{target}")).expect("a name"),
        incarnation: Incarnation::new(u64::from(incarnation)),
    }
}

#[test]
fn leaving_marks_merge_the_same_in_any_order_and_any_number() {
    fn holds(marks: Vec<(u8, u8)>) -> bool {
        let marks: Vec<LeavingMark> = marks.iter().map(|(t, i)| mark(t % 4, i % 4)).collect();
        let mut once = LeavingRegister::default();
        let mut twice = LeavingRegister::default();
        for mark in &marks {
            once.add(mark);
        }
        for mark in marks.iter().rev().chain(&marks) {
            twice.add(mark);
        }
        let is_sticky = marks.iter().all(|m| once.is_leaving(&m.service, &m.target, m.incarnation));
        once == twice && is_sticky
    }
    QuickCheck::new()
        .tests(1_000)
        .rng(Gen::from_size_and_seed(20, 5))
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_later_incarnation_is_not_leaving_and_pages_show_every_mark() {
    let mut register = LeavingRegister::default();
    for target in 0..100 {
        assert!(register.add(&mark(target, 2)));
        assert!(!register.add(&mark(target, 1)), "an older incarnation is not new");
    }
    let one = mark(7, 3);
    assert!(!register.is_leaving(&one.service, &one.target, one.incarnation));
    let mut seen = BTreeSet::new();
    let mut after = None;
    loop {
        let page = register.page(after.as_ref(), 32);
        let Some(last) = page.last() else { break };
        after = Some(last.clone());
        seen.extend(page);
    }
    assert_eq!(seen.len(), 100);
}

/// Guards against a leaving target that returns to service:
/// its entry in the target list may expire and be listed again for the same incarnation.
#[test]
fn a_mark_is_kept_while_its_target_is_unlisted_for_a_while() {
    struct Case {
        name: &'static str,
        /// Times of the target lists in seconds, each with the incarnation that the list contains.
        lists: &'static [(u64, Option<u64>)],
        is_kept: bool,
    }
    let cases = [
        Case { name: "listed", lists: &[(0, Some(2))], is_kept: true },
        Case { name: "listed with an earlier incarnation", lists: &[(0, Some(1))], is_kept: true },
        Case { name: "listed with a later incarnation", lists: &[(0, Some(3))], is_kept: false },
        Case {
            name: "unlisted, then listed again",
            lists: &[(0, None), (60, Some(2))],
            is_kept: true,
        },
        Case {
            name: "unlisted, then a later incarnation",
            lists: &[(0, None), (1, Some(3))],
            is_kept: false,
        },
        Case { name: "unlisted for too long", lists: &[(0, None), (601, None)], is_kept: false },
        Case {
            name: "unlisted twice",
            lists: &[(0, None), (500, Some(2)), (550, None), (700, None)],
            is_kept: true,
        },
    ];
    for Case { name, lists, is_kept } in cases {
        let mut register = LeavingRegister::default();
        let mark = mark(7, 2);
        register.add(&mark);
        for (second, incarnation) in lists {
            let now = Timestamp::from_micros(second * 1_000_000);
            register.prune(|_, _| incarnation.map(Incarnation::new), now);
        }
        let is_leaving = register.is_leaving(&mark.service, &mark.target, mark.incarnation);
        assert_eq!(is_leaving, is_kept, "{name}");
    }
}

fn subject() -> OrderSubject {
    OrderSubject::Probing(ServiceName::new("s").expect("a name"))
}

fn draft(change: OrderChange, seconds: u64) -> OrderDraft {
    OrderDraft {
        subject: subject(),
        change,
        operator: "anna".to_owned(),
        revision: None,
        expires_in: Duration::from_secs(seconds),
    }
}

/// An order given at one of three VMs, or an exchange of orders between two VMs.
#[derive(Debug, Clone, Copy)]
enum Step {
    Issue { vm: usize, stop: bool },
    Send { from: usize, to: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let any = |g: &mut Gen| usize::from(u8::arbitrary(g) % 3);
        if u8::arbitrary(g) % 3 == 0 {
            Self::Issue { vm: any(g), stop: bool::arbitrary(g) }
        } else {
            Self::Send { from: any(g), to: any(g) }
        }
    }
}

#[test]
fn racing_operators_end_with_the_same_order_everywhere() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut fleet = vec![Orders::default(); 3];
        let send = |fleet: &mut Vec<Orders>, from: usize, to: usize| {
            for order in fleet[from].list(at(0)) {
                fleet[to].add(&order, at(0));
            }
        };
        for step in steps {
            match step {
                Step::Issue { vm: number, stop } => {
                    let change = if stop { OrderChange::Stop } else { OrderChange::Resume };
                    let order = fleet[number].issue(vm(number), draft(change, 60), at(0));
                    fleet[number].add(&order, at(0));
                }
                Step::Send { from, to } => send(&mut fleet, from, to),
            }
        }
        // After every VM has exchanged orders with every other, all of them hold the same orders.
        for from in [0, 1, 2, 0, 1, 2] {
            (0..3).for_each(|to| send(&mut fleet, from, to));
        }
        let lists: Vec<Vec<Order>> = fleet.iter().map(|orders| orders.list(at(0))).collect();
        lists[0] == lists[1] && lists[1] == lists[2]
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(30, 6))
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn an_ended_order_does_not_come_back_after_the_one_that_ended_it_expired() {
    let mut orders = Orders::default();
    let stop = orders.issue(vm(0), draft(OrderChange::Stop, 3_600), at(0));
    orders.add(&stop, at(0));
    let resume = orders.issue(vm(0), draft(OrderChange::Resume, 1), at(1_000));
    orders.add(&resume, at(1_000));
    // A process that was unreachable still holds the first order and sends it again.
    let mut outdated = stop.clone();
    outdated.expires_in_ms -= 60_000;
    orders.add(&outdated, at(60_000));
    assert!(!orders.is_stopped(&subject(), at(60_000)));
    // Both orders have expired after one hour.
    orders.forget_expired(at(3_700_000));
    assert!(orders.list(at(3_700_000)).is_empty());
}

#[test]
fn orders_expire() {
    let mut orders = Orders::default();
    let stop = orders.issue(vm(0), draft(OrderChange::Stop, 10), at(0));
    assert!(orders.add(&stop, at(0)));
    assert!(orders.is_stopped(&subject(), at(9_999)));
    assert!(!orders.is_stopped(&subject(), at(10_000)));
    assert!(orders.forget_expired(at(10_000)));
}

fn member(number: usize) -> Member {
    let port = 1_000 + number as u16;
    Member {
        vm: vm(number),
        boot: Boot::new(1),
        heartbeat: 0,
        peer_address: ([127, 0, 0, 1], port).into(),
        control_address: ([127, 0, 0, 1], port + 1_000).into(),
        datagram_address: None,
        capacity: Capacity::default(),
        data_hall: DataHallName::new("a").expect("a name"),
        phase: Phase::Serving,
        revision: None,
    }
}

fn liveness(members: &Members, number: usize, now: Timestamp) -> Option<Liveness> {
    let dump = members.dump(now);
    dump.into_iter().find(|known| known.member.vm == vm(number)).map(|known| known.liveness)
}

#[test]
fn a_member_is_alive_while_its_heartbeat_advances() {
    let mut members = Members::new(member(0), Vec::new(), at(0));
    let beat = |members: &mut Members, heartbeat: u64, now| {
        members.record_announcement(&Member { heartbeat, ..member(1) }, now);
    };
    beat(&mut members, 5, at(0));
    assert_eq!(liveness(&members, 1, at(4_000)), Some(Liveness::Alive));
    // Gossip that repeats a known heartbeat is not a sign of life.
    beat(&mut members, 5, at(4_500));
    assert_eq!(liveness(&members, 1, at(5_500)), Some(Liveness::Suspect));
    beat(&mut members, 6, at(5_600));
    assert_eq!(liveness(&members, 1, at(5_600)), Some(Liveness::Alive));
    // An unanswered call is direct evidence against a member,
    // and an answered call is evidence for it.
    members.record_no_answer(member(1).peer_address);
    assert_eq!(liveness(&members, 1, at(5_700)), Some(Liveness::Suspect));
    members.record_answer(&Member { heartbeat: 6, ..member(1) }, at(5_800));
    assert_eq!(liveness(&members, 1, at(5_800)), Some(Liveness::Alive));
    assert_eq!(liveness(&members, 1, at(30_000)), Some(Liveness::Gone));
}

#[test]
fn a_process_that_was_paused_does_not_suspect_the_others() {
    let mut members = Members::new(member(0), Vec::new(), at(0));
    members.record_announcement(&Member { heartbeat: 1, ..member(1) }, at(0));
    members.paused(Duration::from_mins(1));
    assert_eq!(liveness(&members, 1, at(61_000)), Some(Liveness::Alive));
}

#[test]
fn hints_are_tried_only_while_nobody_is_known_there() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut members =
        Members::new(member(0), vec![member(0).peer_address, member(1).peer_address], at(0));
    assert_eq!(
        members.pick_peers(5, at(0), &mut rng),
        [member(1).peer_address],
        "not its own address"
    );
    members.record_announcement(&member(1), at(0));
    assert_eq!(
        members.pick_peers(5, at(0), &mut rng),
        [member(1).peer_address],
        "each address only once"
    );
    assert_eq!(members.pick_peers(5, at(60_000), &mut rng), [], "a gone member is not picked");
}

/// Simulated processes that exchange watcher announcements at random; some of them may be stopped.
struct WatcherFleet {
    selections: Vec<WatcherSelection>,
    is_running: Vec<bool>,
    rng: SmallRng,
    now: Timestamp,
}

impl WatcherFleet {
    const STEP: Duration = Duration::from_millis(100);

    fn new(count: usize) -> Self {
        let selections =
            (0..count).map(|number| WatcherSelection::new(vm(number), Boot::new(1))).collect();
        let rng = SmallRng::seed_from_u64(9);
        Self { selections, is_running: vec![true; count], rng, now: at(0) }
    }

    /// Runs the selection at every process and, about once a second,
    /// exchanges announcements with a random peer.
    fn run(&mut self, seconds: u64) {
        let count = self.selections.len();
        for _ in 0..seconds * 10 {
            self.now = self.now + Self::STEP;
            for process in 0..count {
                if !self.is_running[process] {
                    continue;
                }
                self.selections[process].should_watch(count, self.now);
                let peer = self.rng.random_range(0..count);
                if self.rng.random_ratio(1, 10) && self.is_running[peer] {
                    self.send(process, peer);
                    self.send(peer, process);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        for watcher in self.selections[from].watchers(self.now) {
            self.selections[to].merge(&watcher, self.now);
        }
    }

    fn watching(&self) -> Vec<usize> {
        let is_watching =
            |number: &usize| self.is_running[*number] && self.selections[*number].is_watching();
        (0..self.selections.len()).filter(is_watching).collect()
    }
}

#[test]
fn few_processes_watch_whatever_the_size_and_a_dead_one_is_replaced_in_time() {
    for (count, takeover_s) in [(1, 0), (4, 8), (16, 8), (64, 12), (256, 15)] {
        let mut fleet = WatcherFleet::new(count);
        fleet.run(60);
        let watching = fleet.watching();
        let watching_min = count.min(2);
        assert!((watching_min..=4).contains(&watching.len()), "{count}: {watching:?}");
        for dead in watching {
            fleet.is_running[dead] = false;
        }
        // All watchers fail at once, the worst case for the takeover.
        fleet.run(takeover_s);
        let has_watcher = takeover_s == 0 || !fleet.watching().is_empty();
        assert!(has_watcher, "{count}: no watcher within {takeover_s} s");
    }
}

#[test]
fn a_watcher_that_fails_backs_off_longer_each_time() {
    let mut selection = WatcherSelection::new(vm(0), Boot::new(1));
    let mut calls = 0;
    for step in 0..3_000 {
        let now = at(step * 100);
        if selection.should_watch(1, now) {
            calls += 1;
            selection.failed(now);
        }
    }
    assert!((4..=24).contains(&calls), "{calls} calls in five minutes");
}

#[test]
fn a_process_that_has_just_started_receives_all_members_at_once() {
    struct Case {
        note: &'static str,
        /// Peer answers that this process has received.
        answer_count: usize,
        is_other_new: bool,
        /// Whether the peer knows the same members as this process.
        knows_same_members: bool,
        sent_count: usize,
    }
    let cases = [
        Case {
            note: "both settled",
            answer_count: 30,
            is_other_new: false,
            knows_same_members: true,
            sent_count: 7,
        },
        Case {
            note: "the peer is new",
            answer_count: 30,
            is_other_new: true,
            knows_same_members: true,
            sent_count: 31,
        },
        Case {
            note: "this process is new",
            answer_count: 2,
            is_other_new: false,
            knows_same_members: false,
            sent_count: 31,
        },
    ];
    for Case { note, answer_count, is_other_new, knows_same_members, sent_count } in cases {
        let mut members = Members::new(member(0), Vec::new(), at(0));
        for number in 1..=30 {
            members.record_announcement(&member(number), at(0));
        }
        for number in 1..=answer_count {
            members.record_answer(&member(number), at(0));
        }
        // A process whose exchanges are not answered stays new,
        // however many heartbeats it has counted.
        for _ in 0..50 {
            members.advance_heartbeat(Phase::Serving, None);
        }
        let sender_only = MembersDigest::of([member(1)].iter());
        let other = FleetDigest { hall: sender_only, contacts: sender_only };
        let received = ReceivedSummary {
            sender: &member(1),
            digest: if knows_same_members { members.digest(at(1)) } else { other },
            is_new: is_other_new,
            is_regular: true,
        };
        let scope = members.answer_scope(&received, at(1));
        let sent = members.members_to_send(scope, at(1), &mut SmallRng::seed_from_u64(3));
        assert_eq!(sent.len(), sent_count, "{note}");
    }
}

#[test]
fn changes_among_members_are_counted_and_heartbeats_alone_are_none() {
    struct Case {
        note: &'static str,
        announced: Member,
        is_change: bool,
    }
    let starting = Member { phase: Phase::Starting, ..member(1) };
    let cases = [
        Case { note: "unknown member", announced: starting.clone(), is_change: true },
        Case { note: "same description again", announced: starting.clone(), is_change: false },
        Case {
            note: "heartbeat advances",
            announced: Member { heartbeat: 1, ..starting.clone() },
            is_change: false,
        },
        Case {
            note: "phase changes to serving",
            announced: Member { heartbeat: 2, ..member(1) },
            is_change: true,
        },
        Case {
            note: "older description",
            announced: Member { heartbeat: 1, ..starting },
            is_change: false,
        },
        Case {
            note: "member restarted",
            announced: Member { boot: Boot::new(2), ..member(1) },
            is_change: true,
        },
        Case { note: "this process itself", announced: member(0), is_change: false },
    ];
    let mut members = Members::new(member(0), Vec::new(), at(0));
    for Case { note, announced, is_change } in cases {
        let before = members.changes();
        members.record_announcement(&announced, at(0));
        assert_eq!(members.changes() > before, is_change, "{note}");
    }
}
