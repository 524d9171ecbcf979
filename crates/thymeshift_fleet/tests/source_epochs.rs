//! Revisions of a source that is restored from a copy: readers' positions, and agreement of processes.

use thymeshift_fleet::Adoption;
use thymeshift_fleet::AnswerAge;
use thymeshift_fleet::OfferOutcome;
use thymeshift_fleet::Published;
use thymeshift_fleet::SourcePosition;
use thymeshift_types::Epoch;
use thymeshift_types::Revision;
use thymeshift_types::Timestamp;

fn document(epoch: u64, number: u64) -> Published {
    let revision = Revision::new(number).with_epoch(Epoch::new(epoch));
    Published::new(revision, &format!("written in {epoch} as {number}"))
}

fn offer(adoption: &mut Adoption, published: &Published) -> OfferOutcome {
    let check = |text: &str| Ok::<_, String>(text.to_owned());
    adoption.offer(published, Timestamp::default(), check).0
}

#[test]
fn a_position_follows_the_epochs_of_the_answers() {
    struct Case {
        note: &'static str,
        /// Epochs that successive answers state; the position is synced after the first one.
        stated: &'static [Option<u64>],
        last: AnswerAge,
        synced: Option<u64>,
        epoch: u64,
    }
    let restored = |held: u64, revision_held: Option<u64>| AnswerAge::Restored {
        held: Epoch::new(held),
        revision_held,
    };
    let cases = [
        Case {
            note: "never stated",
            stated: &[None, None],
            last: AnswerAge::Current,
            synced: Some(47),
            epoch: 0,
        },
        Case {
            note: "the same",
            stated: &[Some(4), Some(4)],
            last: AnswerAge::Current,
            synced: Some(47),
            epoch: 4,
        },
        Case {
            note: "not stated any more",
            stated: &[Some(4), None],
            last: AnswerAge::Current,
            synced: Some(47),
            epoch: 4,
        },
        Case {
            note: "later",
            stated: &[Some(4), Some(5)],
            last: restored(4, Some(47)),
            synced: None,
            epoch: 5,
        },
        Case {
            note: "later by several",
            stated: &[Some(4), Some(9)],
            last: restored(4, Some(47)),
            synced: None,
            epoch: 9,
        },
        Case {
            note: "stated for the first time",
            stated: &[None, Some(1)],
            last: restored(0, Some(47)),
            synced: None,
            epoch: 1,
        },
        Case {
            note: "earlier",
            stated: &[Some(4), Some(3)],
            last: AnswerAge::Outdated,
            synced: Some(47),
            epoch: 4,
        },
        Case {
            note: "twice in a row",
            stated: &[Some(4), Some(5), Some(6)],
            last: restored(5, None),
            synced: None,
            epoch: 6,
        },
        Case {
            note: "an answer of the earlier epoch arrives late",
            stated: &[Some(4), Some(5), Some(4)],
            last: AnswerAge::Outdated,
            synced: None,
            epoch: 5,
        },
    ];
    for Case { note, stated, last, synced, epoch } in cases {
        let mut position = SourcePosition::default();
        let mut ages = stated.iter().map(|stated| stated.map(Epoch::new));
        position.observe(ages.next().expect("a first answer"));
        position.set_synced(47);
        let age = ages.map(|stated| position.observe(stated)).last();
        assert_eq!(age, Some(last), "{note}");
        assert_eq!(position.synced_revision(), synced, "{note}");
        assert_eq!(position.needs_current_read(), synced.is_none(), "{note}");
        assert_eq!(position.revision().epoch(), Epoch::new(epoch), "{note}");
    }
}

/// Calls `visit` with every order of the numbers below `count`.
fn for_each_order(count: usize, visit: &mut impl FnMut(&[usize])) {
    fn extend(order: &mut Vec<usize>, count: usize, visit: &mut impl FnMut(&[usize])) {
        if order.len() == count {
            visit(order);
            return;
        }
        for next in 0..count {
            if !order.contains(&next) {
                order.push(next);
                extend(order, count, visit);
                order.pop();
            }
        }
    }
    extend(&mut Vec::new(), count, visit);
}

/// Two processes read in different epochs and transfer documents to each other.
/// Every order of all their steps must end with the latest document at both, and neither steps back.
#[test]
fn processes_in_different_epochs_agree_in_every_order_of_messages() {
    #[derive(Clone, Copy)]
    enum Step {
        /// The process reads this document from the source.
        Read(usize, u64, u64),
        /// The process fetches from the other one.
        Fetch(usize),
    }
    let steps = [
        Step::Read(0, 1, 46),
        Step::Read(0, 1, 47),
        Step::Read(0, 2, 45),
        Step::Read(1, 1, 47),
        Step::Read(1, 2, 44),
        Step::Read(1, 2, 46),
        Step::Fetch(0),
        Step::Fetch(1),
    ];
    let mut orders = 0_u32;
    for_each_order(steps.len(), &mut |order| {
        orders += 1;
        let mut processes = [Adoption::default(), Adoption::default()];
        let fetch = |processes: &mut [Adoption; 2], to: usize| {
            let have = processes[to].head();
            let transfer = processes[1 - to].transfer(have);
            let base = processes[to].in_force().cloned();
            if let Some(published) = transfer.receive(base.as_ref()) {
                offer(&mut processes[to], &published);
            }
        };
        for index in order {
            let before = processes.each_ref().map(Adoption::head);
            match steps[*index] {
                Step::Read(process, epoch, number) => {
                    offer(&mut processes[process], &document(epoch, number));
                }
                Step::Fetch(process) => fetch(&mut processes, process),
            }
            for (process, before) in processes.iter().zip(before) {
                let revisions =
                    (before.map(|head| head.revision), process.head().map(|head| head.revision));
                assert!(revisions.0 <= revisions.1, "{order:?}: a step back from {revisions:?}");
            }
        }
        fetch(&mut processes, 0);
        fetch(&mut processes, 1);
        for process in &processes {
            assert_eq!(process.head(), Some(document(2, 46).head()), "{order:?}");
            assert!(process.conflict().is_none(), "{order:?}");
        }
    });
    assert_eq!(orders, 40_320);
}

/// A rejected revision that is assigned again, with valid text, must be taken.
#[test]
fn a_rejected_revision_of_an_earlier_epoch_does_not_block_a_later_one() {
    let mut adoption = Adoption::default();
    offer(&mut adoption, &document(1, 46));
    let refuse = |_: &str| Err::<(), _>("invalid");
    let outcome = adoption.offer(&document(1, 47), Timestamp::default(), refuse).0;
    assert_eq!(outcome, OfferOutcome::Rejected);
    assert_eq!(offer(&mut adoption, &document(2, 47)), OfferOutcome::Adopted);
    assert!(adoption.rejection().is_none());
}
