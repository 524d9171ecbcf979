//! Distribution of documents between processes: deltas, adoption,
//! and an exhaustive search over all orders of events in a small fleet.
#![allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]

use std::collections::BTreeSet;
use std::collections::VecDeque;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use thymeshift_fleet::Adoption;
use thymeshift_fleet::Delta;
use thymeshift_fleet::DeltaError;
use thymeshift_fleet::History;
use thymeshift_fleet::OfferOutcome;
use thymeshift_fleet::Published;
use thymeshift_fleet::Transfer;
use thymeshift_types::Revision;
use thymeshift_types::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1);

fn published(revision: u64, text: &str) -> Published {
    Published::new(Revision::new(revision), text)
}

/// Document check of these tests, which rejects texts that contain "bad".
fn check(text: &str) -> Result<(), String> {
    if text.contains("bad") { Err("bad".to_owned()) } else { Ok(()) }
}

fn offer(adoption: &mut Adoption, published: &Published) -> OfferOutcome {
    adoption.offer(published, NOW, check).0
}

fn revision(adoption: &Adoption) -> u64 {
    adoption.head().map_or(0, |head| head.revision.number())
}

#[test]
fn a_delta_makes_the_new_text_and_only_from_its_own_base() {
    fn holds(old: String, new: String, other: String) -> bool {
        let (from, to) = (published(1, &old), published(2, &new));
        let delta = Delta::between(&from, &to);
        let is_made = delta.apply(&from).as_ref() == Ok(&to);
        let foreign = delta.apply(&published(1, &other));
        is_made && (other == old || foreign == Err(DeltaError::OtherBase))
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(40, 3))
        .quickcheck(holds as fn(String, String, String) -> bool);
}

#[test]
fn a_small_change_of_a_long_text_is_a_small_delta() {
    let lines: Vec<String> = (0..2_000).map(|line| format!("target {line}: serving")).collect();
    let old = lines.join("\n");
    let new = old.replace("target 1234: serving", "target 1234: leaving");
    let delta = Delta::between(&published(1, &old), &published(2, &new));
    assert!(delta.len_bytes() <= 7 + 10, "{}", delta.len_bytes());
}

/// Guards against deltas that grow to the size of the document when ten targets anywhere
/// in a long list change at the same time.
#[test]
fn a_few_changes_anywhere_in_a_long_text_are_a_small_delta() {
    let line =
        |number: u32, state: &str| format!("- {{\"name\":\"i-{number}\",\"state\":\"{state}\"}}\n");
    let old: String = (0..6_000).map(|number| line(number, "serving")).collect();
    let is_gone = |number: u32| number % 1_200 == 7;
    let state = |number: u32| if number % 1_100 == 3 { "leaving" } else { "serving" };
    let kept = (0..6_000).filter(|number| !is_gone(*number));
    let new: String = kept.map(|number| line(number, state(number))).collect();
    let new = format!("{new}{}", line(9_000, "serving"));
    let (from, to) = (published(1, &old), published(2, &new));
    let delta = Delta::between(&from, &to);
    assert!(delta.len_bytes() < 1_000, "{} of {}", delta.len_bytes(), new.len());
    assert_eq!(delta.apply(&from), Ok(to));
}

#[test]
fn deltas_of_lines_in_any_order_make_the_new_text() {
    fn holds(old: Vec<u8>, new: Vec<u8>) -> bool {
        let text = |lines: &[u8]| -> String {
            let lines: Vec<String> =
                lines.iter().map(|line| format!("line {}\n", line % 16)).collect();
            lines.concat()
        };
        let (from, to) = (published(1, &text(&old)), published(2, &text(&new)));
        Delta::between(&from, &to).apply(&from).as_ref() == Ok(&to)
    }
    QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(60, 4))
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn a_process_that_is_behind_gets_deltas_and_one_that_is_unknown_the_whole() {
    let base = "x".repeat(1_000);
    let texts: Vec<Published> =
        (1..=100).map(|number| published(number, &format!("{base}{number}"))).collect();
    let mut history = History::default();
    for pair in texts.windows(2) {
        history.record(&pair[0], &pair[1]);
    }
    let last = &texts[99];
    let cases = [
        ("nothing", None, "whole"),
        ("up to date", Some(last.head()), "nothing"),
        ("a few behind", Some(texts[90].head()), "deltas"),
        ("too far behind", Some(texts[3].head()), "whole"),
        ("other content", Some(published(95, "other").head()), "whole"),
    ];
    for (name, theirs, expected) in cases {
        let transfer = history.transfer(theirs, last);
        let kind = match &transfer {
            Transfer::UpToDate => "nothing",
            Transfer::Busy => "busy",
            Transfer::Deltas(_) => "deltas",
            Transfer::Whole(_) => "whole",
        };
        assert_eq!(kind, expected, "{name}");
        let base = theirs.and_then(|head| texts.iter().find(|text| text.head() == head));
        let received = transfer.receive(base);
        assert_eq!(received.as_ref(), (kind != "nothing").then_some(last), "{name}");
    }
}

struct Case {
    name: &'static str,
    offered: (u64, &'static str),
    expected: OfferOutcome,
    in_force: u64,
}

#[test]
fn offers_in_sequence() {
    let cases = [
        Case {
            name: "the first",
            offered: (5, "five"),
            expected: OfferOutcome::Adopted,
            in_force: 5,
        },
        Case {
            name: "again",
            offered: (5, "five"),
            expected: OfferOutcome::Confirmed,
            in_force: 5,
        },
        Case { name: "older", offered: (4, "four"), expected: OfferOutcome::Older, in_force: 5 },
        Case { name: "other", offered: (5, "5"), expected: OfferOutcome::Conflicting, in_force: 5 },
        Case {
            name: "invalid",
            offered: (6, "bad"),
            expected: OfferOutcome::Rejected,
            in_force: 5,
        },
        Case { name: "still", offered: (6, "bad"), expected: OfferOutcome::Rejected, in_force: 5 },
        Case {
            name: "repaired",
            offered: (7, "seven"),
            expected: OfferOutcome::Adopted,
            in_force: 7,
        },
        Case { name: "late", offered: (6, "bad"), expected: OfferOutcome::Older, in_force: 7 },
    ];
    let mut adoption = Adoption::default();
    for case in cases {
        let offered = published(case.offered.0, case.offered.1);
        assert_eq!(offer(&mut adoption, &offered), case.expected, "{}", case.name);
        assert_eq!(revision(&adoption), case.in_force, "{}", case.name);
        let has_conflict = case.name == "other" || case.name == "invalid" || case.name == "still";
        assert_eq!(adoption.conflict().is_some(), has_conflict, "{}", case.name);
        let has_rejection = case.name == "invalid" || case.name == "still";
        assert_eq!(adoption.rejection().is_some(), has_rejection, "{}", case.name);
    }
}

#[test]
fn other_content_under_the_same_revision_at_a_peer_is_noticed_once() {
    let mut adoption = Adoption::default();
    let (one, other) = (published(5, "five"), published(5, "5"));
    assert!(!adoption.observe_peer_head(other.head()), "no document in force");
    offer(&mut adoption, &one);
    assert!(!adoption.observe_peer_head(one.head()));
    assert!(!adoption.observe_peer_head(published(4, "four").head()));
    assert!(adoption.observe_peer_head(other.head()));
    assert!(!adoption.observe_peer_head(other.head()), "already known");
    assert_eq!(adoption.conflict().map(|conflict| conflict.offered), Some(other.head()));
    offer(&mut adoption, &published(6, "six"));
    assert_eq!(adoption.conflict(), None, "ended by a larger revision");
}

#[test]
fn what_is_in_force_never_goes_down_and_depends_only_on_what_was_offered() {
    fn holds(offers: Vec<(u8, bool)>) -> bool {
        let offers: Vec<Published> = offers
            .iter()
            .map(|(number, is_bad)| {
                let text = if *is_bad { format!("bad {number}") } else { format!("{number}") };
                published(u64::from(*number) * 2 + u64::from(*is_bad), &text)
            })
            .collect();
        let mut forwards = Adoption::default();
        let mut last = 0;
        let mut is_monotone = true;
        for offered in &offers {
            offer(&mut forwards, offered);
            is_monotone &= revision(&forwards) >= last;
            last = revision(&forwards);
        }
        let mut backwards = Adoption::default();
        for offered in offers.iter().rev().chain(&offers) {
            offer(&mut backwards, offered);
        }
        is_monotone && backwards.head() == forwards.head()
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(30, 4))
        .quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}

/// Number of processes in the exhaustive search.
const PROCESSES: usize = 3;
/// Revisions that the platform publishes one after the other; the second one is invalid.
const REVISIONS: [(u64, &str); 4] = [(1, "one"), (2, "bad"), (3, "three"), (4, "four")];

#[derive(Clone)]
struct Fleet {
    /// Number of revisions that the platform has published so far.
    published_count: usize,
    processes: Vec<Adoption>,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Publish,
    /// A process reads any published revision, because the platform's answers may be stale.
    Read {
        process: usize,
        revision: usize,
    },
    /// One process fetches newer revisions from another process.
    Fetch {
        from: usize,
        to: usize,
    },
}

impl Fleet {
    fn key(&self) -> (usize, Vec<u64>, Vec<bool>) {
        let revisions = self.processes.iter().map(revision).collect();
        let rejections = self.processes.iter().map(|p| p.rejection().is_some()).collect();
        (self.published_count, revisions, rejections)
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.published_count < REVISIONS.len() {
            events.push(Event::Publish);
        }
        for process in 0..PROCESSES {
            events.extend(
                (0..self.published_count).map(|revision| Event::Read { process, revision }),
            );
            let others = (0..PROCESSES).filter(|other| *other != process);
            events.extend(others.map(|from| Event::Fetch { from, to: process }));
        }
        events
    }

    fn after(&self, event: Event) -> Self {
        let mut fleet = self.clone();
        match event {
            Event::Publish => fleet.published_count += 1,
            Event::Read { process, revision } => {
                let (number, text) = REVISIONS[revision];
                offer(&mut fleet.processes[process], &published(number, text));
            }
            Event::Fetch { from, to } => {
                let base = fleet.processes[to].head();
                let transfer = fleet.processes[from].transfer(base);
                let current = fleet.processes[to].in_force().cloned();
                if let Some(received) = transfer.receive(current.as_ref()) {
                    offer(&mut fleet.processes[to], &received);
                }
            }
        }
        fleet
    }
}

/// Visits every reachable state of a small fleet and checks that no process returns to a
/// smaller revision or adopts an invalid document.
#[test]
fn no_order_of_events_brings_a_revision_down_or_an_invalid_one_into_force() {
    let first = Fleet { published_count: 0, processes: vec![Adoption::default(); PROCESSES] };
    let mut seen = BTreeSet::from([first.key()]);
    let mut unexplored = VecDeque::from([first]);
    while let Some(fleet) = unexplored.pop_front() {
        for event in fleet.events() {
            let after = fleet.after(event);
            for (before, now) in fleet.processes.iter().zip(&after.processes) {
                assert!(revision(now) >= revision(before), "{event:?} at {:?}", fleet.key());
                assert_ne!(revision(now), 2, "{event:?} at {:?}", fleet.key());
            }
            if seen.insert(after.key()) {
                unexplored.push_back(after);
            }
        }
    }
    let goal = (REVISIONS.len(), vec![4; PROCESSES]);
    assert!(
        seen.iter()
            .any(|(published_count, revisions, _)| (*published_count, revisions)
                == (goal.0, &goal.1))
    );
    assert!(seen.len() > 300, "{} states", seen.len());
}
