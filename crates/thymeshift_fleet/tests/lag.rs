//! How long a process has known of a newer document than the one in force.

use thymeshift_fleet::Adoption;
use thymeshift_fleet::Head;
use thymeshift_fleet::OfferOutcome;
use thymeshift_fleet::Published;
use thymeshift_types::Revision;
use thymeshift_types::Timestamp;

/// What a process learns of a document.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Another process has this revision in force.
    Announced(u64),
    /// This revision arrives and is adopted.
    Adopted(u64),
    /// This revision arrives and is refused.
    Rejected(u64),
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn published(revision: u64) -> Published {
    Published::new(Revision::new(revision), &format!("text of {revision}"))
}

fn apply(adoption: &mut Adoption, step: Step, now: Timestamp) {
    match step {
        Step::Announced(revision) => {
            adoption.record_announced(published(revision).head(), now);
        }
        Step::Adopted(revision) => {
            adoption.offer(&published(revision), now, |_| Ok::<_, String>(()));
        }
        Step::Rejected(revision) => {
            let refuse = |_: &str| Err::<(), _>("refused");
            let (outcome, _) = adoption.offer(&published(revision), now, refuse);
            assert_eq!(outcome, OfferOutcome::Rejected);
        }
    }
}

#[test]
fn a_process_is_behind_from_the_first_announcement_of_what_it_lacks() {
    struct Case {
        note: &'static str,
        steps: &'static [(u64, Step)],
        behind_since_ms: Option<u64>,
        missing: Option<u64>,
    }
    let cases = [
        Case {
            note: "nothing newer is known",
            steps: &[(0, Step::Adopted(7)), (10, Step::Announced(7)), (20, Step::Announced(6))],
            behind_since_ms: None,
            missing: None,
        },
        Case {
            note: "announced again and again",
            steps: &[(0, Step::Adopted(7)), (10, Step::Announced(8)), (500, Step::Announced(8))],
            behind_since_ms: Some(10),
            missing: Some(8),
        },
        Case {
            note: "a newer one is announced meanwhile",
            steps: &[(0, Step::Adopted(7)), (10, Step::Announced(8)), (500, Step::Announced(9))],
            behind_since_ms: Some(10),
            missing: Some(9),
        },
        Case {
            note: "the first one arrives, the newer one does not",
            steps: &[
                (0, Step::Adopted(7)),
                (10, Step::Announced(8)),
                (500, Step::Announced(9)),
                (600, Step::Adopted(8)),
            ],
            behind_since_ms: Some(500),
            missing: Some(9),
        },
        Case {
            note: "the newest one arrives",
            steps: &[
                (0, Step::Adopted(7)),
                (10, Step::Announced(8)),
                (500, Step::Announced(9)),
                (600, Step::Adopted(9)),
            ],
            behind_since_ms: None,
            missing: None,
        },
        Case {
            note: "the missing one is refused here, and announced again",
            steps: &[
                (0, Step::Adopted(7)),
                (10, Step::Announced(8)),
                (20, Step::Rejected(8)),
                (30, Step::Announced(8)),
            ],
            behind_since_ms: None,
            missing: None,
        },
        Case {
            note: "nothing is in force yet",
            steps: &[(10, Step::Announced(8))],
            behind_since_ms: Some(10),
            missing: Some(8),
        },
    ];
    for Case { note, steps, behind_since_ms, missing } in cases {
        let mut adoption = Adoption::default();
        for (now_ms, step) in steps {
            apply(&mut adoption, *step, at(*now_ms));
        }
        assert_eq!(adoption.behind_since(), behind_since_ms.map(at), "{note}");
        let missing_revision = adoption.missing().map(|head: Head| head.revision);
        assert_eq!(missing_revision, missing.map(Revision::new), "{note}");
    }
}
